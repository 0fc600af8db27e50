//! Retries as a bounded share of first tries.
//!
//! Each service counts its first tries and its retries; both counts are halved every few seconds, so
//! that a quiet time saves up nothing and a past burst is forgotten. A service whose counts have
//! decayed to zero is dropped, which bounds the state by the services in use.

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
/// Retries that a service may make whatever its first tries; without them a service with few
/// requests could never retry.
const DEFAULT_RESERVE: u64 = 3;
/// Time after which the counts are halved.
const HALF_LIFE: Duration = Duration::from_secs(5);
/// Counts are kept in hundredths of a request.
const ONE: u64 = 100;
/// Upper bound of the random wait before the first retry; doubles with each attempt.
const FIRST_WAIT: Duration = Duration::from_millis(5);
/// Upper bound of the random part of any wait.
const LONGEST_JITTER: Duration = Duration::from_millis(100);

#[distributed_slice(RETRIES)]
static PLUGIN: Plugin<dyn Retry> = Plugin {
    name: "budget",
    make: |params| Ok(Box::new(Budget::from_params(params)?)),
};

#[derive(Clone, Copy, Debug)]
struct Tally {
    service: ServiceId,
    firsts: u64,
    retries: u64,
    halved: Time,
}

impl Tally {
    fn decay(&mut self, now: Time) {
        let halvings = now.since(self.halved).as_micros() / HALF_LIFE.as_micros();
        let halvings = u32::try_from(halvings).unwrap_or(u32::MAX);
        if halvings > 0 {
            self.halved = self.halved + HALF_LIFE.saturating_mul(halvings);
            self.firsts = self.firsts.checked_shr(halvings).unwrap_or(0);
            self.retries = self.retries.checked_shr(halvings).unwrap_or(0);
        }
    }
}

/// Budget of each service.
#[derive(Debug)]
pub struct Budget {
    percent: u64,
    attempts: u32,
    reserve: u64,
    /// Sorted by service.
    tallies: Vec<Tally>,
}

impl Budget {
    /// Reads `percent` (retries as a share of first tries), `attempts` (tries of one request) and
    /// `reserve` (retries that do not depend on first tries).
    pub fn from_params(params: &Params) -> Result<Self, Error> {
        params.check_names(&["attempts", "percent", "reserve"])?;
        let attempts = params.number("attempts", DEFAULT_ATTEMPTS)?;
        let reserve = params.number("reserve", DEFAULT_RESERVE)?;
        Ok(Self {
            percent: params.number("percent", DEFAULT_PERCENT)?.min(100),
            attempts: u32::try_from(attempts).unwrap_or(u32::MAX),
            reserve: reserve.saturating_mul(ONE),
            tallies: Vec::new(),
        })
    }

    /// Services that the budget holds counts of.
    pub fn services(&self) -> usize {
        self.tallies.len()
    }

    fn tally(&mut self, now: Time, service: ServiceId) -> &mut Tally {
        let at = match self.position(service) {
            Ok(at) => at,
            Err(_) => {
                self.drop_idle(now);
                let at = self.position(service).unwrap_or_else(|at| at);
                let tally = Tally {
                    service,
                    firsts: 0,
                    retries: 0,
                    halved: now,
                };
                self.tallies.insert(at, tally);
                at
            }
        };
        let tally = &mut self.tallies[at];
        tally.decay(now);
        tally
    }

    fn drop_idle(&mut self, now: Time) {
        for tally in &mut self.tallies {
            tally.decay(now);
        }
        self.tallies
            .retain(|tally| tally.firsts > 0 || tally.retries > 0);
    }

    fn position(&self, service: ServiceId) -> Result<usize, usize> {
        self.tallies
            .binary_search_by_key(&service, |tally| tally.service)
    }

    fn has_credit(&self, now: Time, service: ServiceId) -> bool {
        let mut tally = match self.position(service) {
            Ok(at) => self.tallies[at],
            Err(_) => return self.reserve >= ONE,
        };
        tally.decay(now);
        tally.retries + ONE <= tally.firsts * self.percent / 100 + self.reserve
    }

    /// The shortest wait before the next attempt, or why there is none.
    fn check(&self, now: Time, failure: &Failure) -> Result<Duration, Reason> {
        if failure.verdict != Verdict::NotRun && !failure.idempotent {
            return Err(Reason::NotRepeatable);
        }
        if failure.outer_retries {
            return Err(Reason::OuterRetries);
        }
        let most = failure.most_upstreams;
        let spent = most.is_some_and(|most| failure.upstreams >= most);
        if spent || failure.attempts >= self.attempts || !failure.replayable {
            return Err(Reason::AttemptsSpent);
        }
        // The owner's wait is about that owner; another one can be tried at once.
        let wait = if failure.elsewhere {
            Duration::ZERO
        } else {
            failure.retry_after
        };
        if wait >= failure.left {
            return Err(Reason::DeadlineTooShort);
        }
        if draws_on_budget(failure) && !self.has_credit(now, failure.service) {
            return Err(Reason::BudgetSpent);
        }
        Ok(wait)
    }
}

/// Whether the next attempt adds load: a repeat of work that an upstream has, or one more attempt at a
/// service whose owners are full. An owner that is away has no work from the attempt.
fn draws_on_budget(failure: &Failure) -> bool {
    let away = matches!(
        failure.reason,
        Reason::ConnectFailed | Reason::Draining | Reason::NoEndpoint | Reason::Warming
    );
    failure.upstreams > 0 || !away
}

impl Retry for Budget {
    fn count_first(&mut self, now: Time, service: ServiceId) {
        let tally = self.tally(now, service);
        tally.firsts = tally.firsts.saturating_add(ONE);
    }

    fn allow(
        &mut self,
        now: Time,
        failure: Failure,
        random: &mut dyn Random,
    ) -> Result<Duration, Reason> {
        let wait = self.check(now, &failure)?;
        let doublings = failure.attempts.saturating_sub(1);
        let jitter = FIRST_WAIT
            .saturating_mul(2_u32.saturating_pow(doublings))
            .min(LONGEST_JITTER)
            // At most half of the time left is spent on waiting by chance.
            .min((failure.left - wait) / 2);
        let micros = random.below(usize::try_from(jitter.as_micros()).unwrap_or(usize::MAX));
        if draws_on_budget(&failure) {
            self.tally(now, failure.service).retries += ONE;
        }
        Ok(wait + Duration::from_micros(micros as u64))
    }

    fn would_allow(&self, now: Time, failure: Failure) -> bool {
        self.check(now, &failure).is_ok()
    }
}
