//! Concurrency limit, learned from latency and shedding.
//!
//! Additive increase and multiplicative decrease: a window of finished requests whose latency stays
//! near the base raises the limit by one if it was in use; a shed request, or a window whose latency
//! is a multiple of the base, lowers it by a tenth. It never exceeds the declared slots.

use std::time::Duration;

use kernel::Time;

/// Part of the slots that a cold upstream starts with.
const COLD_PART: u32 = 4;
/// Growth with each good finish on a cold start: half as much again in each round of requests.
const RAMP_STEP: f64 = 0.5;
/// Mean excess from which a window counts as congested: twice the time without contention. The base
/// lies somewhat under times that vary by chance, so a lower bound would cut without need.
const TOLERANCE: f64 = std::f64::consts::LN_2;
const DECREASE: f64 = 0.9;
/// Finished requests in a window at least.
const MIN_WINDOW: f64 = 32.0;

/// The learned limit.
#[derive(Debug, Default)]
pub(crate) struct Limit {
    slots: u32,
    limit: f64,
    ramping: bool,
    samples: f64,
    excess: f64,
    saturated: bool,
    cut_at: Time,
}

impl Limit {
    /// Requests that may run at once.
    pub(crate) fn get(&self) -> u32 {
        (self.limit as u32).min(self.slots)
    }

    /// Changes the declared slots; an upstream that had none starts cold.
    pub(crate) fn set_slots(&mut self, slots: u32) {
        if self.slots == 0 && slots > 0 {
            self.limit = f64::from(slots.div_ceil(COLD_PART));
            self.ramping = true;
        }
        self.slots = slots;
        self.limit = self.limit.min(f64::from(slots));
    }

    /// Takes in a finished request: how long it ran, the logarithm of its latency over the base,
    /// whether the upstream shed it, and whether the limit held others back. The logarithm keeps a
    /// few requests of a route whose base is not known well from looking like congestion of all.
    pub(crate) fn learn(
        &mut self,
        now: Time,
        latency: Duration,
        excess: f64,
        shed: bool,
        saturated: bool,
    ) {
        // A request that was sent before the last cut says nothing about the limit after it.
        if Time(now.0.saturating_sub(latency.as_micros() as u64)) < self.cut_at {
            return;
        }
        if shed {
            return self.cut(now);
        }
        if self.ramping {
            self.limit += RAMP_STEP;
        }
        self.samples += 1.0;
        self.excess += excess;
        self.saturated |= saturated;
        if self.samples >= MIN_WINDOW.max(self.limit * 2.0) {
            self.close_window(now);
        }
        if self.limit >= f64::from(self.slots) {
            self.limit = f64::from(self.slots);
            self.ramping = false;
        }
    }

    fn close_window(&mut self, now: Time) {
        if self.excess / self.samples > TOLERANCE {
            return self.cut(now);
        }
        if self.saturated {
            self.limit += 1.0;
        }
        self.open_window();
    }

    fn cut(&mut self, now: Time) {
        self.limit = (self.limit * DECREASE).max(1.0);
        self.ramping = false;
        self.cut_at = now;
        self.open_window();
    }

    fn open_window(&mut self) {
        (self.samples, self.excess, self.saturated) = (0.0, 0.0, false);
    }
}
