//! Points in time, and the clocks that they are read from.

use std::ops::Add;
use std::time::Duration;
use std::time::Instant;

use rustix::time::ClockId;
use rustix::time::clock_gettime;

/// A point in time, in microseconds since the [`Clock`] that it was read from started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Time(pub u64);

impl Time {
    /// Duration from `earlier` to this time; zero if `earlier` is later than this time.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Duration from this time to `later`; zero if `later` is earlier than this time.
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

/// Source of the current time.
pub trait Clock: Send + Sync {
    /// Returns the current time.
    fn now(&self) -> Time;
}

/// Clock on top of the monotonic clock of the operating system.
#[derive(Clone, Copy, Debug)]
pub struct MonotonicClock {
    start: Instant,
}

impl MonotonicClock {
    /// Creates a clock that starts at zero.
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Converts a `time` of this clock to an [`Instant`].
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

/// Clock that includes the time during which the instance was suspended. Its times are since the start of the
/// instance, so that moments before the start of the process have a time too.
#[derive(Clone, Copy, Debug, Default)]
pub struct BootClock;

impl Clock for BootClock {
    fn now(&self) -> Time {
        let now = clock_gettime(ClockId::Boottime);
        let seconds = u64::try_from(now.tv_sec).unwrap_or(0);
        let micros = u64::try_from(now.tv_nsec).unwrap_or(0) / 1_000;
        Time(seconds.saturating_mul(1_000_000).saturating_add(micros))
    }
}
