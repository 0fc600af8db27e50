//! Time as the decisions see it.

use std::ops::Add;
use std::time::Duration;
use std::time::Instant;

/// Microseconds since the process started, on the monotonic clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Time(pub u64);

impl Time {
    /// Time that passed since `earlier`; zero if that is later.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Time left until `later`; zero if that has passed.
    pub fn until(self, later: Self) -> Duration {
        later.since(self)
    }
}

impl Add<Duration> for Time {
    type Output = Self;

    fn add(self, duration: Duration) -> Self {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(micros))
    }
}

/// Source of the present time.
pub trait Clock: Send + Sync {
    /// The present time.
    fn now(&self) -> Time;
}

/// The process's monotonic clock.
#[derive(Clone, Copy, Debug)]
pub struct MonotonicClock {
    start: Instant,
}

impl MonotonicClock {
    /// A clock that reads zero now.
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// The instant that `time` stands for.
    pub fn to_instant(&self, time: Time) -> Instant {
        self.start + Duration::from_micros(time.0)
    }
}

impl Default for MonotonicClock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for MonotonicClock {
    fn now(&self) -> Time {
        Time(u64::try_from(self.start.elapsed().as_micros()).unwrap_or(u64::MAX))
    }
}
