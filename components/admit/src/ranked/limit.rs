//! Concurrency limit, learned from latency and shedding.
//!
//! The limit follows additive increase and multiplicative decrease. A window of finished requests
//! whose latency stays near the baseline raises the limit by one if as many requests ran as the
//! limit allows. A shed request lowers the limit by a tenth, unless the upstream sheds regardless of
//! the limit. Two windows in a row with a latency of more than twice the baseline lower the limit
//! tentatively: if the latency does not fall with the concurrency, the requests are slow for another
//! reason, such as a route whose requests differ in cost, and the limit is restored. The limit never
//! exceeds the slots that the upstream declares.

use std::time::Duration;

use crate::ranked::shedding::LimitAction;
use crate::ranked::shedding::SheddingDetector;
use kernel::Time;

/// Divisor of the declared slots that gives the initial limit.
const COLD_START_DIVISOR: u32 = 4;
/// Increase of the limit for each request that finishes during slow start. The limit thus grows by
/// half in the time in which as many requests finish as the limit allows at once.
const SLOW_START_STEP: f64 = 0.5;
/// Mean logarithm of the slowdown above which a window is considered congested: twice the baseline.
/// The baseline lies somewhat below the mean of latencies that vary at random, so a lower threshold
/// would reduce the limit needlessly.
const CONGESTED_LOG_SLOWDOWN: f64 = std::f64::consts::LN_2;
/// Factor by which a shed request lowers the limit.
const SHED_DECREASE_FACTOR: f64 = 0.9;
/// Factor by which a tentative decrease lowers the limit; the effect of a smaller step would be
/// lost in the noise of a window.
const TENTATIVE_DECREASE_FACTOR: f64 = 0.7;
/// Minimum decrease of the mean logarithm of the slowdown from which a tentative decrease is kept.
/// It corresponds to 85% of the earlier latency, half-way between no effect and a latency that is
/// proportional to the concurrency.
const MIN_LOG_IMPROVEMENT: f64 = 0.16;
/// Minimum number of finished requests in a window.
const MIN_WINDOW_SAMPLES: f64 = 32.0;
/// Minimum number of finished requests in the window after a tentative decrease; more than in other
/// windows, so that the mean has less noise.
const MIN_TENTATIVE_SAMPLES: f64 = 64.0;

/// State of the congestion detection after the last window.
#[derive(Clone, Copy, Debug, Default)]
enum Phase {
    /// The last window was not congested.
    #[default]
    Steady,
    /// The last window was congested, but the concurrency may have been rising during the window.
    Congested,
    /// The limit was lowered to find out whether the latency falls with it.
    TentativeDecrease {
        limit_before: f64,
        log_slowdown_before: f64,
    },
}

/// Learned limit on the requests that the upstream runs at once.
#[derive(Debug, Default)]
pub(crate) struct ConcurrencyLimit {
    /// Number of slots that the upstream declares.
    slots: u32,
    limit: f64,
    /// Whether the limit grows with each completed request.
    slow_start: bool,
    /// Number of finished requests in the window.
    samples: f64,
    /// Sum over the window of the logarithms of the ratio of latency to baseline.
    log_slowdown_sum: f64,
    /// Whether the limit was reached in the window.
    saturated: bool,
    /// Last time at which the limit was lowered, or at which more requests ran than the lowered
    /// limit allows.
    decreased_at: Time,
    phase: Phase,
    shedding: SheddingDetector,
}

impl ConcurrencyLimit {
    /// Number of requests that may run at once.
    pub(crate) fn get(&self) -> u32 {
        (self.limit as u32).min(self.slots)
    }

    /// Sets the slots that the upstream declares. An upstream that had none so far begins with slow
    /// start, since it may be cold.
    pub(crate) fn set_slots(&mut self, slots: u32) {
        if self.slots == 0 && slots > 0 {
            self.limit = f64::from(slots.div_ceil(COLD_START_DIVISOR));
            self.slow_start = true;
        }
        self.slots = slots;
        self.limit = self.limit.min(f64::from(slots));
    }

    /// Ends the slow start: the limit is the number of slots.
    pub(crate) fn end_slow_start(&mut self) {
        if self.slow_start {
            self.limit = f64::from(self.slots);
            self.slow_start = false;
        }
    }

    /// Updates the limit for a finished request: `log_slowdown` is the logarithm of the ratio
    /// of its latency to the baseline of its route, and `running` the number of running requests, including this
    /// one. The logarithm keeps a few requests of a route whose baseline is inaccurate from making
    /// the whole window look congested. Returns whether a tentative decrease was reverted, in which
    /// case the current latency is not due to the concurrency.
    pub(crate) fn update(
        &mut self,
        now: Time,
        latency: Duration,
        log_slowdown: f64,
        shed: bool,
        running: usize,
    ) -> bool {
        // After a decrease, the requests above the new limit have to finish before it takes effect.
        if running > self.get() as usize && self.decreased_at > Time::default() {
            self.decreased_at = now;
            self.reset_window();
        }
        // The latency of a request that was sent before the last decrease does not show the effect
        // of the decreased limit.
        if Time(now.0.saturating_sub(latency.as_micros() as u64)) < self.decreased_at {
            return false;
        }
        match self.shedding.record_outcome(now, shed, self.limit) {
            LimitAction::Keep if shed => return false,
            LimitAction::Keep => {}
            LimitAction::Decrease => {
                self.phase = Phase::Steady;
                self.decrease(now, SHED_DECREASE_FACTOR);
                return false;
            }
            LimitAction::Restore(limit) => {
                self.limit = limit.min(f64::from(self.slots));
                self.reset_window();
                return false;
            }
        }
        if self.slow_start {
            self.limit += SLOW_START_STEP;
        }
        self.samples += 1.0;
        self.log_slowdown_sum += log_slowdown;
        self.saturated |= running >= self.get() as usize;
        let min_samples = match self.phase {
            Phase::TentativeDecrease { .. } => MIN_TENTATIVE_SAMPLES,
            Phase::Steady | Phase::Congested => MIN_WINDOW_SAMPLES,
        };
        let reverted = self.samples >= min_samples.max(self.limit * 2.0) && self.close_window(now);
        if self.limit >= f64::from(self.slots) {
            self.limit = f64::from(self.slots);
            self.slow_start = false;
        }
        reverted
    }

    /// Ends a window and adapts the limit. Returns whether a tentative decrease was reverted.
    fn close_window(&mut self, now: Time) -> bool {
        let log_slowdown = self.log_slowdown_sum / self.samples;
        // If fewer requests ran than the limit allows, the limit is not the reason for slow requests.
        let congested = log_slowdown > CONGESTED_LOG_SLOWDOWN && self.saturated;
        match std::mem::take(&mut self.phase) {
            Phase::TentativeDecrease {
                limit_before,
                log_slowdown_before,
            } if log_slowdown > log_slowdown_before - MIN_LOG_IMPROVEMENT => {
                self.limit = limit_before;
                self.reset_window();
                return true;
            }
            Phase::Congested if congested => {
                self.phase = Phase::TentativeDecrease {
                    limit_before: self.limit,
                    log_slowdown_before: log_slowdown,
                };
                self.decrease(now, TENTATIVE_DECREASE_FACTOR);
                return false;
            }
            Phase::TentativeDecrease { .. } | Phase::Congested | Phase::Steady if congested => {
                self.phase = Phase::Congested;
            }
            _ if self.saturated => self.limit += 1.0,
            _ => {}
        }
        self.reset_window();
        false
    }

    fn decrease(&mut self, now: Time, factor: f64) {
        self.limit = (self.limit * factor).max(1.0);
        self.slow_start = false;
        self.decreased_at = now;
        self.reset_window();
    }

    fn reset_window(&mut self) {
        (self.samples, self.log_slowdown_sum, self.saturated) = (0.0, 0.0, false);
    }
}
