//! Time until which keys are verified, shared between the control thread and the traffic threads.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use kernel::Time;

/// Time until which the configuration that is published to the traffic threads is known to be the newest.
#[derive(Debug, Default)]
pub struct Cell {
    /// In microseconds; 0 if there is no proof.
    valid_until: AtomicU64,
}

impl Cell {
    /// Sets the time until which keys are verified. To be called after the configuration is published.
    pub fn set_valid_until(&self, time: Time) {
        self.valid_until.store(time.0, Ordering::Release);
    }

    /// Whether keys are verified at `now`. To be called before the configuration is read, so that this is not older
    /// than the one that the proof is for.
    pub fn is_fresh(&self, now: Time) -> bool {
        now < Time(self.valid_until.load(Ordering::Acquire))
    }

    /// Time for which keys are still verified, without a newer proof.
    pub fn time_left(&self, now: Time) -> Duration {
        now.until(Time(self.valid_until.load(Ordering::Acquire)))
    }
}
