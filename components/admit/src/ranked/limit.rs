//! Concurrency limit, learned from latency and shedding.
//!
//! Additive increase and multiplicative decrease: a window of finished requests whose latency stays
//! near the base raises the limit by one if it was in use; a shed request lowers it by a tenth, unless
//! the upstream sheds whatever the limit is. A
//! window whose latency is a multiple of the base lowers it on trial: if the latency does not fall
//! with the concurrency, the requests are slow for another reason, such as a route whose requests
//! differ, and the limit goes back. It never exceeds the declared slots.

use std::time::Duration;

use crate::ranked::shedding::Shedding;
use crate::ranked::shedding::Verdict;
use kernel::Time;

/// Part of the slots that a cold upstream starts with.
const COLD_PART: u32 = 4;
/// Growth with each good finish on a cold start: half as much again in each round of requests.
const RAMP_STEP: f64 = 0.5;
/// Mean excess from which a window counts as congested: twice the time without contention. The base
/// lies somewhat under times that vary by chance, so a lower bound would cut without need.
const TOLERANCE: f64 = std::f64::consts::LN_2;
const DECREASE: f64 = 0.9;
/// Part of the limit that is kept on trial; a smaller step would drown in the noise of a window.
const TRIAL: f64 = 0.7;
/// Fall of the excess up to which the trial has failed: to 85% of the latency before, half-way
/// between the fall that concurrency would cause and none.
const TRIAL_FALL: f64 = 0.16;
/// Finished requests in a window at least.
const MIN_WINDOW: f64 = 32.0;
/// Finished requests in a trial, for a mean that is steadier.
const TRIAL_WINDOW: f64 = 64.0;

/// What the last windows have shown.
#[derive(Clone, Copy, Debug, Default)]
enum Phase {
    /// Nothing unusual.
    #[default]
    Steady,
    /// One window was congested; the concurrency was perhaps still rising in it.
    Suspect,
    /// The limit was lowered to see whether the latency falls with it.
    Trial {
        limit_before: f64,
        excess_before: f64,
    },
}

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
    phase: Phase,
    shedding: Shedding,
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
    /// whether the upstream shed it, and how many ran until now. The logarithm keeps a few requests
    /// of a route whose base is not known well from looking like congestion of all. Tells whether a
    /// trial has failed, so that the present latency is the normal one.
    pub(crate) fn learn(
        &mut self,
        now: Time,
        latency: Duration,
        excess: f64,
        shed: bool,
        running: usize,
    ) -> bool {
        // After a cut, the excess has to finish before the new limit shows its effect.
        if running > self.get() as usize && self.cut_at > Time::default() {
            self.cut_at = now;
            self.open_window();
        }
        // A request that was sent before the last cut says nothing about the limit after it.
        if Time(now.0.saturating_sub(latency.as_micros() as u64)) < self.cut_at {
            return false;
        }
        match self.shedding.learn(now, shed, self.limit) {
            Verdict::Keep if shed => return false,
            Verdict::Keep => {}
            Verdict::Cut => {
                self.phase = Phase::Steady;
                self.cut(now, DECREASE);
                return false;
            }
            Verdict::Restore(limit) => {
                self.limit = limit.min(f64::from(self.slots));
                self.open_window();
                return false;
            }
        }
        if self.ramping {
            self.limit += RAMP_STEP;
        }
        self.samples += 1.0;
        self.excess += excess;
        self.saturated |= running >= self.get() as usize;
        let least = match self.phase {
            Phase::Trial { .. } => TRIAL_WINDOW,
            Phase::Steady | Phase::Suspect => MIN_WINDOW,
        };
        let failed = self.samples >= least.max(self.limit * 2.0) && self.close_window(now);
        if self.limit >= f64::from(self.slots) {
            self.limit = f64::from(self.slots);
            self.ramping = false;
        }
        failed
    }

    /// Ends a window; tells whether a trial has failed.
    fn close_window(&mut self, now: Time) -> bool {
        let excess = self.excess / self.samples;
        // A limit that holds nobody back is not what makes requests slow.
        let congested = excess > TOLERANCE && self.saturated;
        match std::mem::take(&mut self.phase) {
            Phase::Trial {
                limit_before,
                excess_before,
            } if excess > excess_before - TRIAL_FALL => {
                self.limit = limit_before;
                self.open_window();
                return true;
            }
            Phase::Suspect if congested => {
                self.phase = Phase::Trial {
                    limit_before: self.limit,
                    excess_before: excess,
                };
                self.cut(now, TRIAL);
                return false;
            }
            Phase::Trial { .. } | Phase::Suspect | Phase::Steady if congested => {
                self.phase = Phase::Suspect;
            }
            _ if self.saturated => self.limit += 1.0,
            _ => {}
        }
        self.open_window();
        false
    }

    fn cut(&mut self, now: Time, part: f64) {
        self.limit = (self.limit * part).max(1.0);
        self.ramping = false;
        self.cut_at = now;
        self.open_window();
    }

    fn open_window(&mut self) {
        (self.samples, self.excess, self.saturated) = (0.0, 0.0, false);
    }
}
