//! Retries as a bounded share of first tries.
//!
//! Each service has a token bucket. A first try adds a part of a token, and time adds the node's share
//! of a reserve, which a service with few requests could not retry without. The bucket holds no more
//! than that share, so that a quiet time saves up little, and in any window all nodes together retry
//! at most that part of the first tries and the reserve twice. A service whose bucket is full is
//! dropped, which bounds the state by the services in use.

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
use policy::FailedAttempt;
use policy::RETRY_PLUGINS;
use policy::Retry;

const DEFAULT_PERCENT: u64 = 10;
const DEFAULT_ATTEMPTS: u64 = 3;
/// Retries that a node may make for a service in one window whatever its first tries.
const DEFAULT_RESERVE: u64 = 3;
/// Time in which the reserve comes back.
const WINDOW: Duration = Duration::from_secs(10);
/// Upper bound of the random wait before the first retry; doubles with each attempt.
const FIRST_WAIT: Duration = Duration::from_millis(5);
/// Upper bound of the random part of any wait.
const LONGEST_JITTER: Duration = Duration::from_millis(100);

#[distributed_slice(RETRY_PLUGINS)]
static PLUGIN: Plugin<dyn Retry> = Plugin {
    name: "budget",
    make: |params| Ok(Box::new(RetryBudget::from_params(params)?)),
};

#[derive(Clone, Copy, Debug)]
struct Bucket {
    service: ServiceId,
    tokens: f64,
    filled: Time,
}

/// Budget of each service.
#[derive(Debug)]
pub struct RetryBudget {
    /// Tokens that a first try adds.
    part: f64,
    attempts: u32,
    /// Tokens that a bucket holds and that come back in a window.
    reserve: f64,
    /// Reserve of all nodes together; 0 if each node has its own.
    slack: f64,
    /// Sorted by service.
    buckets: Vec<Bucket>,
}

impl RetryBudget {
    /// Reads `percent` (retries as a share of first tries), `attempts` (tries of one request),
    /// `reserve` (retries of a node in a window that do not depend on first tries) and `slack` (the
    /// same for all nodes together, in place of `reserve`).
    pub fn from_params(params: &Params) -> Result<Self, Error> {
        params.check_names(&["attempts", "percent", "reserve", "slack"])?;
        let attempts = params.u64_or("attempts", DEFAULT_ATTEMPTS)?;
        let reserve = params.u64_or("reserve", DEFAULT_RESERVE)?;
        let percent = params.u64_or("percent", DEFAULT_PERCENT)?.min(100);
        Ok(Self {
            part: percent as f64 / 100.0,
            attempts: u32::try_from(attempts).unwrap_or(u32::MAX),
            reserve: reserve as f64,
            slack: params.u64_or("slack", 0)? as f64,
            buckets: Vec::new(),
        })
    }

    /// Services that the budget holds a bucket of.
    pub fn bucket_count(&self) -> usize {
        self.buckets.len()
    }

    /// Tokens of a bucket at `now`.
    fn tokens(&self, now: Time, bucket: &Bucket) -> f64 {
        let windows = now.since(bucket.filled).as_secs_f64() / WINDOW.as_secs_f64();
        (bucket.tokens + self.reserve * windows).min(self.most())
    }

    /// Most tokens of a bucket; a whole one even if the node's share of the reserve is less.
    fn most(&self) -> f64 {
        self.reserve.max(1.0)
    }

    fn bucket(&mut self, now: Time, service: ServiceId) -> &mut Bucket {
        let at = match self.position(service) {
            Ok(at) => at,
            Err(_) => {
                self.drop_full(now);
                let at = self.position(service).unwrap_or_else(|at| at);
                let bucket = Bucket {
                    service,
                    tokens: self.most(),
                    filled: now,
                };
                self.buckets.insert(at, bucket);
                at
            }
        };
        let tokens = self.tokens(now, &self.buckets[at]);
        let bucket = &mut self.buckets[at];
        (bucket.tokens, bucket.filled) = (tokens, now);
        bucket
    }

    fn drop_full(&mut self, now: Time) {
        let mut buckets = std::mem::take(&mut self.buckets);
        buckets.retain(|bucket| self.tokens(now, bucket) < self.most());
        self.buckets = buckets;
    }

    fn position(&self, service: ServiceId) -> Result<usize, usize> {
        self.buckets
            .binary_search_by_key(&service, |bucket| bucket.service)
    }

    fn has_credit(&self, now: Time, service: ServiceId) -> bool {
        let known = self.position(service).ok();
        known.map_or(self.most(), |at| self.tokens(now, &self.buckets[at])) >= 1.0
    }

    /// The shortest wait before the next attempt, or why there is none.
    fn check(&self, now: Time, failure: &FailedAttempt) -> Result<Duration, Reason> {
        if failure.verdict != Verdict::NotRun && !failure.idempotent {
            return Err(Reason::NotRepeatable);
        }
        if failure.outer_retries {
            return Err(Reason::OuterRetries);
        }
        let most = failure.max_upstreams;
        let spent = most.is_some_and(|most| failure.upstreams_tried >= most);
        if spent || failure.attempts >= self.attempts || !failure.replayable {
            return Err(Reason::AttemptsSpent);
        }
        // The owner's wait is about that owner; another one can be tried at once.
        let wait = if failure.has_untried_endpoint {
            Duration::ZERO
        } else {
            failure.retry_after
        };
        if wait >= failure.time_left {
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
fn draws_on_budget(failure: &FailedAttempt) -> bool {
    let away = matches!(
        failure.reason,
        Reason::ConnectFailed | Reason::Draining | Reason::NoEndpoint | Reason::Warming
    );
    failure.upstreams_tried > 0 || !away
}

impl Retry for RetryBudget {
    fn record_first_attempt(&mut self, now: Time, service: ServiceId) {
        let (part, most) = (self.part, self.most());
        let bucket = self.bucket(now, service);
        bucket.tokens = (bucket.tokens + part).min(most);
    }

    fn allow(
        &mut self,
        now: Time,
        failure: FailedAttempt,
        random: &mut dyn Random,
    ) -> Result<Duration, Reason> {
        let wait = self.check(now, &failure)?;
        let doublings = failure.attempts.saturating_sub(1);
        let jitter = FIRST_WAIT
            .saturating_mul(2_u32.saturating_pow(doublings))
            .min(LONGEST_JITTER)
            // At most half of the time left is spent on waiting by chance.
            .min((failure.time_left - wait) / 2);
        let micros = random.below(usize::try_from(jitter.as_micros()).unwrap_or(usize::MAX));
        if draws_on_budget(&failure) {
            self.bucket(now, failure.service).tokens -= 1.0;
        }
        Ok(wait + Duration::from_micros(micros as u64))
    }

    fn set_node_count(&mut self, nodes: usize) {
        if self.slack > 0.0 {
            // Half for what a bucket holds, half for what comes back in a window.
            self.reserve = self.slack / 2.0 / nodes.max(1) as f64;
        }
    }

    fn would_allow(&self, now: Time, failure: FailedAttempt) -> bool {
        self.check(now, &failure).is_ok()
    }
}
