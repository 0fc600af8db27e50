//! Rate limit, state and retry backoff of calls to the store. Pulls use the same backoff.

use std::time::Duration;

use crate::Output;
use kernel::Random;
use kernel::Time;

/// Store calls that a node may make in a burst, and interval after which it may make one more.
/// Bounds the load that a node puts on the store, whatever happens.
const MAX_CALL_BURST: u32 = 4;
const CALL_REFILL_INTERVAL: Duration = Duration::from_secs(1);
/// The same interval where watches end after a second. These and the calls for contacts are more than one call a
/// second, so that some watches would start up to a second late.
const SHORT_CALL_REFILL_INTERVAL: Duration = Duration::from_millis(500);
/// Time after which the answer to a call for the configuration counts as lost. The client of the
/// store ends each call by itself, by its progress; a limit that is reached sooner would break off a
/// long transfer.
pub const CONFIG_CALL_TIMEOUT: Duration = Duration::from_secs(200);
/// Time after which another call for contacts is made. These are small, and an answer that arrives
/// later is still used.
const CONTACTS_CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Exponential backoff with full jitter: each delay is random below a bound that doubles.
#[derive(Debug)]
pub(crate) struct Backoff {
    initial_bound: Duration,
    max_bound: Duration,
    next_bound: Duration,
}

impl Backoff {
    pub(crate) const fn new(initial_bound: Duration, max_bound: Duration) -> Self {
        Self {
            initial_bound,
            max_bound,
            next_bound: initial_bound,
        }
    }

    /// Backoff of calls to the store. A new configuration must be in force within 4 s, so the
    /// longest delay is half of that. The load stays low, because only watchers call, one call at a
    /// time each.
    pub(crate) const fn for_store_calls() -> Self {
        Self::new(Duration::from_millis(500), Duration::from_secs(2))
    }

    pub(crate) fn reset(&mut self) {
        self.next_bound = self.initial_bound;
    }

    /// The random delay after one more failure; doubles the bound of the next one.
    pub(crate) fn next_delay(&mut self, random: &mut dyn Random) -> Duration {
        let delay = random_below(self.next_bound, random);
        self.next_bound = (self.next_bound * 2).min(self.max_bound);
        delay
    }
}

/// A random duration below `bound`, in whole microseconds.
pub(crate) fn random_below(bound: Duration, random: &mut dyn Random) -> Duration {
    let micros = usize::try_from(bound.as_micros()).unwrap_or(usize::MAX);
    Duration::from_micros(random.below(micros) as u64)
}

/// Token bucket that limits the rate of calls to the store.
#[derive(Debug)]
pub(crate) struct CallBudget {
    remaining: u32,
    /// Time from which the interval until the next refill counts.
    last_refill: Time,
    refill_interval: Duration,
}

impl Default for CallBudget {
    fn default() -> Self {
        Self {
            remaining: MAX_CALL_BURST,
            last_refill: Time(0),
            refill_interval: CALL_REFILL_INTERVAL,
        }
    }
}

impl CallBudget {
    /// Allows as many calls as watches of a second need, or ends that.
    pub(crate) fn allow_short_watches(&mut self, allowed: bool) {
        self.refill_interval = match allowed {
            true => SHORT_CALL_REFILL_INTERVAL,
            false => CALL_REFILL_INTERVAL,
        };
    }

    /// Spends one call; the error is the time when the next call is allowed.
    pub(crate) fn try_spend(&mut self, now: Time) -> Result<(), Time> {
        while self.remaining < MAX_CALL_BURST && now.since(self.last_refill) >= self.refill_interval
        {
            self.remaining += 1;
            self.last_refill = self.last_refill + self.refill_interval;
        }
        if self.remaining == 0 {
            return Err(self.last_refill + self.refill_interval);
        }
        if self.remaining == MAX_CALL_BURST {
            self.last_refill = now;
        }
        self.remaining -= 1;
        Ok(())
    }
}

/// State of the calls for one key of the store, of which one runs at a time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum CallState {
    /// No calls are made.
    #[default]
    Disabled,
    /// The next call is to be made at this time.
    Due(Time),
    /// A call was made; its answer counts as lost at `deadline`.
    InFlight { deadline: Time },
}

impl CallState {
    /// Makes a call if the budget allows it; otherwise stores it in `delayed_call` and makes it due
    /// later.
    pub(crate) fn start(
        now: Time,
        budget: &mut CallBudget,
        call: Output,
        delayed_call: &mut Option<Output>,
        out: &mut Vec<Output>,
    ) -> Self {
        let is_contacts = matches!(
            call,
            Output::ReadContacts { .. } | Output::WriteContacts { .. }
        );
        let timeout = if is_contacts {
            CONTACTS_CALL_TIMEOUT
        } else {
            CONFIG_CALL_TIMEOUT
        };
        match budget.try_spend(now) {
            Ok(()) => {
                out.push(call);
                let deadline = now + timeout;
                Self::InFlight { deadline }
            }
            // The call itself is kept. If a read were due instead, each read would spend the budget
            // that the delayed call waits for, so that it would never be made.
            Err(allowed_at) => {
                *delayed_call = Some(call);
                Self::Due(allowed_at)
            }
        }
    }

    pub(crate) fn next_wake(self) -> Option<Time> {
        match self {
            Self::Disabled => None,
            Self::Due(due) => Some(due),
            Self::InFlight { deadline } => Some(deadline),
        }
    }

    /// Whether the answer to the call is overdue.
    pub(crate) fn has_timed_out(self, now: Time) -> bool {
        matches!(self, Self::InFlight { deadline } if deadline <= now)
    }
}
