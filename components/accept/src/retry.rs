//! Retry delays and deadline of the state machines.

use std::time::Duration;

use kernel::Random;
use kernel::Time;

/// Upper bound of the first random delay; it doubles with each retry up to [`MAX_DELAY_BOUND`].
const INITIAL_DELAY_BOUND: Duration = Duration::from_millis(100);
const MAX_DELAY_BOUND: Duration = Duration::from_secs(2);

/// Time of the next retry, by exponential backoff with full jitter, and the deadline.
#[derive(Clone, Debug)]
pub(crate) struct RetrySchedule {
    deadline: Time,
    delay_bound: Duration,
    due: Option<Time>,
}

impl RetrySchedule {
    pub(crate) fn new(deadline: Time) -> Self {
        Self {
            deadline,
            delay_bound: INITIAL_DELAY_BOUND,
            due: None,
        }
    }

    /// Schedules the next retry after a random delay below the current bound, and doubles the
    /// bound.
    pub(crate) fn schedule_retry(&mut self, now: Time, random: &mut dyn Random) {
        let micros = usize::try_from(self.delay_bound.as_micros()).unwrap_or(usize::MAX);
        let delay = Duration::from_micros(random.below(micros) as u64);
        self.due = Some(now + delay);
        self.delay_bound = (self.delay_bound * 2).min(MAX_DELAY_BOUND);
    }

    /// Whether a scheduled retry is due; clears it if so.
    pub(crate) fn take_due(&mut self, now: Time) -> bool {
        self.due.take_if(|due| *due <= now).is_some()
    }

    pub(crate) fn is_expired(&self, now: Time) -> bool {
        self.deadline <= now
    }

    pub(crate) fn next_wake(&self) -> Time {
        self.due.map_or(self.deadline, |due| due.min(self.deadline))
    }
}
