//! Waits between calls, and their bound.

use std::time::Duration;

use crate::Output;
use kernel::Random;
use kernel::Time;

/// Calls to the store that a node may make at once, and time until one more is allowed. Bounds the
/// load of a node on the store whatever happens.
const BURST: u32 = 4;
const REFILL: Duration = Duration::from_secs(1);
/// Times after which an answer counts as lost.
const CALL_LIMIT: Duration = Duration::from_secs(5);
const WATCH_LIMIT: Duration = Duration::from_secs(30);

/// Full-jitter exponential backoff.
#[derive(Debug)]
pub(crate) struct Backoff {
    first: Duration,
    longest: Duration,
    next: Duration,
}

impl Backoff {
    pub(crate) const fn new(first: Duration, longest: Duration) -> Self {
        Self {
            first,
            longest,
            next: first,
        }
    }

    /// Backoff of calls to the store. A configuration has to be in force within 4 s, so that the
    /// longest wait is half of that; only the watchers call, and each of them once at a time.
    pub(crate) const fn for_store() -> Self {
        Self::new(Duration::from_millis(500), Duration::from_secs(2))
    }

    pub(crate) fn reset(&mut self) {
        self.next = self.first;
    }

    /// The wait after one more failure.
    pub(crate) fn wait(&mut self, random: &mut dyn Random) -> Duration {
        let wait = pick_below(self.next, random);
        self.next = (self.next * 2).min(self.longest);
        wait
    }
}

/// A random time below `bound`.
pub(crate) fn pick_below(bound: Duration, random: &mut dyn Random) -> Duration {
    let micros = usize::try_from(bound.as_micros()).unwrap_or(usize::MAX);
    Duration::from_micros(random.below(micros) as u64)
}

/// Bound on calls to the store.
#[derive(Debug)]
pub(crate) struct Budget {
    left: u32,
    filled: Time,
}

impl Default for Budget {
    fn default() -> Self {
        Self {
            left: BURST,
            filled: Time(0),
        }
    }
}

impl Budget {
    /// Spends one call, or tells when the next is allowed.
    pub(crate) fn take(&mut self, now: Time) -> Result<(), Time> {
        while self.left < BURST && now.since(self.filled) >= REFILL {
            self.left += 1;
            self.filled = self.filled + REFILL;
        }
        if self.left == 0 {
            return Err(self.filled + REFILL);
        }
        if self.left == BURST {
            self.filled = now;
        }
        self.left -= 1;
        Ok(())
    }
}

/// One kind of call to the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Call {
    /// Not wanted.
    #[default]
    Off,
    /// To be made at this time.
    Due(Time),
    /// Made; counts as lost at `until`.
    Busy { until: Time, watching: bool },
}

impl Call {
    /// Makes a call if the budget allows it, and delays it otherwise.
    pub(crate) fn start(
        now: Time,
        budget: &mut Budget,
        call: Output,
        delayed: &mut Option<Output>,
        out: &mut Vec<Output>,
    ) -> Self {
        let watching = matches!(call, Output::WatchConfig { .. });
        let limit = if watching { WATCH_LIMIT } else { CALL_LIMIT };
        match budget.take(now) {
            Ok(()) => {
                out.push(call);
                let until = now + limit;
                Self::Busy { until, watching }
            }
            // A read instead would spend what the delayed call waits for, again and again.
            Err(later) => {
                *delayed = Some(call);
                Self::Due(later)
            }
        }
    }

    pub(crate) fn next_wake(self) -> Option<Time> {
        match self {
            Self::Off => None,
            Self::Due(due) => Some(due),
            Self::Busy { until, .. } => Some(until),
        }
    }

    /// Whether the answer is overdue.
    pub(crate) fn is_lost(self, now: Time) -> bool {
        matches!(self, Self::Busy { until, .. } if until <= now)
    }
}
