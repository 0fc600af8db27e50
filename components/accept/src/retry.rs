//! Time limit and pauses between tries.

use std::time::Duration;

use kernel::Random;
use kernel::Time;

/// First longest pause; doubles to [`LONGEST_PAUSE`].
const FIRST_PAUSE: Duration = Duration::from_millis(100);
const LONGEST_PAUSE: Duration = Duration::from_secs(2);

/// When to try again and when to give up.
#[derive(Clone, Debug)]
pub(crate) struct Pace {
    deadline: Time,
    pause: Duration,
    due: Option<Time>,
}

impl Pace {
    pub(crate) fn new(deadline: Time) -> Self {
        Self {
            deadline,
            pause: FIRST_PAUSE,
            due: None,
        }
    }

    /// Plans the next try, with full jitter.
    pub(crate) fn plan_retry(&mut self, now: Time, random: &mut dyn Random) {
        let micros = usize::try_from(self.pause.as_micros()).unwrap_or(usize::MAX);
        let pause = Duration::from_micros(random.below(micros) as u64);
        self.due = Some(now + pause);
        self.pause = (self.pause * 2).min(LONGEST_PAUSE);
    }

    /// Whether a planned try is due; it is planned no more.
    pub(crate) fn take_due(&mut self, now: Time) -> bool {
        self.due.take_if(|due| *due <= now).is_some()
    }

    pub(crate) fn is_over(&self, now: Time) -> bool {
        self.deadline <= now
    }

    pub(crate) fn next_wake(&self) -> Time {
        self.due.map_or(self.deadline, |due| due.min(self.deadline))
    }
}
