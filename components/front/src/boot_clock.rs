//! Clock that goes on while the instance is suspended.

use std::time::Duration;

use rustix::time::ClockId;
use rustix::time::Timespec;
use rustix::time::clock_gettime;

use kernel::Clock;
use kernel::Time;

/// Clock on top of `CLOCK_BOOTTIME`. Tokens and shares lapse by it, also in an instance that is suspended; the monotonic
/// clock stands still then.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BootClock {
    start: Duration,
}

impl BootClock {
    /// Creates a clock that starts at zero.
    pub(crate) fn new() -> Self {
        Self { start: read() }
    }
}

impl Clock for BootClock {
    fn now(&self) -> Time {
        // One more than zero, since a share that is delegated at zero could not be told from none.
        Time(1) + read().saturating_sub(self.start)
    }
}

fn read() -> Duration {
    let Timespec { tv_sec, tv_nsec } = clock_gettime(ClockId::Boottime);
    let nanos = u32::try_from(tv_nsec).unwrap_or(0);
    Duration::new(u64::try_from(tv_sec).unwrap_or(0), nanos)
}
