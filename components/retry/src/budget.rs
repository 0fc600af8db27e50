//! Retries as a bounded share of first tries.

use std::time::Duration;

use linkme::distributed_slice;

use errors::Reason;
use errors::Verdict;
use ids::ServiceId;
use kernel::Plugin;
use kernel::Random;
use kernel::Time;
use kernel::plugin::Error;
use kernel::plugin::Params;
use policy::Failure;
use policy::RETRIES;
use policy::Retry;

const DEFAULT_PERCENT: u64 = 10;
const DEFAULT_ATTEMPTS: u64 = 3;
/// Hundredths of a retry that a service can save up; allows ten retries after a quiet time.
const MAX_CREDIT: u64 = 1_000;
const RETRY_COST: u64 = 100;
/// Upper bound of the random wait before the first retry; doubles with each attempt.
const FIRST_WAIT: Duration = Duration::from_millis(5);

#[distributed_slice(RETRIES)]
static PLUGIN: Plugin<dyn Retry> = Plugin {
    name: "budget",
    make: |params| Ok(Box::new(Budget::from_params(params)?)),
};

/// Budget of each service.
#[derive(Debug)]
pub struct Budget {
    percent: u64,
    attempts: u32,
    /// Sorted by service.
    credits: Vec<(ServiceId, u64)>,
}

impl Budget {
    /// Reads `percent` (retries as a share of first tries) and `attempts` (tries of one request).
    pub fn from_params(params: &Params) -> Result<Self, Error> {
        params.check_names(&["attempts", "percent"])?;
        let attempts = params.number("attempts", DEFAULT_ATTEMPTS)?;
        Ok(Self {
            percent: params.number("percent", DEFAULT_PERCENT)?,
            attempts: u32::try_from(attempts).unwrap_or(u32::MAX),
            credits: Vec::new(),
        })
    }

    fn credit(&mut self, service: ServiceId) -> &mut u64 {
        let at = match self
            .credits
            .binary_search_by_key(&service, |(known, _)| *known)
        {
            Ok(at) => at,
            Err(at) => {
                self.credits.insert(at, (service, MAX_CREDIT));
                at
            }
        };
        &mut self.credits[at].1
    }
}

impl Retry for Budget {
    fn count_first(&mut self, _: Time, service: ServiceId) {
        let percent = self.percent;
        let credit = self.credit(service);
        *credit = (*credit + percent).min(MAX_CREDIT);
    }

    fn allow(
        &mut self,
        _: Time,
        failure: Failure,
        random: &mut dyn Random,
    ) -> Result<Duration, Reason> {
        if failure.verdict != Verdict::NotRun && !failure.idempotent {
            return Err(Reason::NotRepeatable);
        }
        if failure.outer_retries {
            return Err(Reason::OuterRetries);
        }
        if failure.attempts >= self.attempts || !failure.replayable {
            return Err(Reason::AttemptsSpent);
        }
        let bound = FIRST_WAIT * 2_u32.saturating_pow(failure.attempts.saturating_sub(1));
        let micros = random.below(usize::try_from(bound.as_micros()).unwrap_or(usize::MAX));
        let wait = Duration::from_micros(micros as u64);
        if wait >= failure.left {
            return Err(Reason::DeadlineTooShort);
        }
        let credit = self.credit(failure.service);
        if *credit < RETRY_COST {
            return Err(Reason::BudgetSpent);
        }
        *credit -= RETRY_COST;
        Ok(wait)
    }
}
