//! Retry budget: bounds retries to a share of first attempts.
//!
//! Each service has a token bucket, from which a retry takes a token. A first attempt adds a
//! fraction of a token. In addition, a reserve is refilled over time, since a service with few
//! requests could not retry otherwise. The bucket holds at most the node's share of the reserve, so
//! that little accumulates while there are no requests: in any window, the retries of all nodes are
//! bounded by that fraction of the first attempts plus twice the reserve. Full buckets are dropped,
//! which bounds the state by the number of services in use.

use std::ops::RangeInclusive;
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
const DEFAULT_MAX_ATTEMPTS: u64 = 3;
/// Retries that a node can make for a service in one window regardless of its first attempts.
const DEFAULT_RESERVE: u64 = 3;
/// Default time in which an empty bucket regains the whole reserve, in seconds.
const DEFAULT_WINDOW_SECONDS: f64 = 10.0;
/// Part of the `ratio` that the retries of the nodes may use. A repeated execution repeats its onward
/// calls, which count as retries of the services that are called.
const RATIO_PART: f64 = 0.6;
/// Accepted values of the param `ratio`.
const RATIOS: RangeInclusive<f64> = 0.0..=1.0;
/// Accepted values of the param `window_s`, in seconds.
const WINDOW_SECONDS: RangeInclusive<f64> = 0.1..=3_600.0;
/// Accepted values of the param `slack`, in retries.
const SHARED_RESERVES: RangeInclusive<f64> = 0.0..=1e9;
/// Upper bound of the random wait before the first retry; doubles with each further retry.
const INITIAL_MAX_JITTER: Duration = Duration::from_millis(5);
/// Upper bound of the random wait before any retry.
const MAX_JITTER: Duration = Duration::from_millis(100);

#[distributed_slice(RETRY_PLUGINS)]
static PLUGIN: Plugin<dyn Retry> = Plugin {
    name: "budget",
    make: |params| Ok(Box::new(RetryBudget::from_params(params)?)),
};

/// Token bucket of a service.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    service: ServiceId,
    /// Tokens at `updated`.
    tokens: f64,
    updated: Time,
}

/// Retry budgets of all services on this node.
#[derive(Debug)]
pub struct RetryBudget {
    /// Tokens that a first attempt adds.
    tokens_per_request: f64,
    /// Maximum number of attempts at a request, the first one included.
    max_attempts: u32,
    /// Time in which an empty bucket regains the whole reserve.
    window: Duration,
    /// Tokens that a bucket holds, and that are refilled in one window.
    reserve: f64,
    /// Reserve that all nodes share; 0 if each node has a reserve of its own.
    shared_reserve: f64,
    /// Buckets of the services in use, sorted by service.
    buckets: Vec<Bucket>,
}

impl RetryBudget {
    /// Reads the params `percent` (retries per hundred first attempts), `ratio` (in place of
    /// `percent`: most executions beyond the first per request, onward calls included), `attempts`
    /// (maximum number of attempts at a request), `window_s` (seconds of a window), `reserve` (retries
    /// of a node in one window regardless of its first attempts) and `slack` (the same for all nodes
    /// together, in place of `reserve`). Fails if a param is unknown or its value is not accepted.
    pub fn from_params(params: &Params) -> Result<Self, Error> {
        params.check_names(&[
            "attempts", "percent", "ratio", "reserve", "slack", "window_s",
        ])?;
        let max_attempts = params.u64_or("attempts", DEFAULT_MAX_ATTEMPTS)?;
        let reserve = params.u64_or("reserve", DEFAULT_RESERVE)?;
        let percent = params.u64_or("percent", DEFAULT_PERCENT)?.min(100);
        let tokens_per_request = match params.quantity("ratio", RATIOS)? {
            None => percent as f64 / 100.0,
            Some(ratio) if params.get("percent").is_none() => ratio * RATIO_PART,
            Some(ratio) => {
                return Err(Error::InvalidParam {
                    name: "ratio".to_owned(),
                    value: ratio.to_string(),
                    expected: "allowed beside 'percent'",
                });
            }
        };
        let window = params.f64_or("window_s", DEFAULT_WINDOW_SECONDS, WINDOW_SECONDS)?;
        Ok(Self {
            tokens_per_request,
            window: Duration::from_secs_f64(window),
            max_attempts: u32::try_from(max_attempts).unwrap_or(u32::MAX),
            reserve: reserve as f64,
            shared_reserve: params.f64_or("slack", 0.0, SHARED_RESERVES)?,
            buckets: Vec::new(),
        })
    }

    /// Number of services that have a bucket.
    pub fn bucket_count(&self) -> usize {
        self.buckets.len()
    }

    /// Returns the tokens of `bucket` at `now`.
    fn tokens_at(&self, now: Time, bucket: &Bucket) -> f64 {
        let elapsed_windows = now.since(bucket.updated).as_secs_f64() / self.window.as_secs_f64();
        (bucket.tokens + self.reserve * elapsed_windows).min(self.capacity())
    }

    /// Maximum number of tokens of a bucket. It is at least 1, since a retry takes a whole token,
    /// even if the node's share of the reserve is smaller.
    fn capacity(&self) -> f64 {
        self.reserve.max(1.0)
    }

    /// Returns the bucket of `service` with its tokens at `now`; adds a full bucket if there is
    /// none.
    fn refilled_bucket(&mut self, now: Time, service: ServiceId) -> &mut Bucket {
        let index = match self.position(service) {
            Ok(index) => index,
            Err(_) => {
                self.drop_full_buckets(now);
                let index = self.position(service).unwrap_or_else(|index| index);
                let bucket = Bucket {
                    service,
                    tokens: self.capacity(),
                    updated: now,
                };
                self.buckets.insert(index, bucket);
                index
            }
        };
        let tokens = self.tokens_at(now, &self.buckets[index]);
        let bucket = &mut self.buckets[index];
        (bucket.tokens, bucket.updated) = (tokens, now);
        bucket
    }

    /// Drops the buckets that are full at `now`; a service without a bucket counts as having a full
    /// one.
    fn drop_full_buckets(&mut self, now: Time) {
        let mut buckets = std::mem::take(&mut self.buckets);
        buckets.retain(|bucket| self.tokens_at(now, bucket) < self.capacity());
        self.buckets = buckets;
    }

    fn position(&self, service: ServiceId) -> Result<usize, usize> {
        self.buckets
            .binary_search_by_key(&service, |bucket| bucket.service)
    }

    fn has_token(&self, now: Time, service: ServiceId) -> bool {
        let position = self.position(service).ok();
        position.map_or(self.capacity(), |index| {
            self.tokens_at(now, &self.buckets[index])
        }) >= 1.0
    }

    /// Returns the minimum wait before the next attempt, or the reason why a retry is denied.
    fn check(&self, now: Time, failure: &FailedAttempt) -> Result<Duration, Reason> {
        if failure.verdict != Verdict::NotRun && !failure.idempotent {
            return Err(Reason::NotRepeatable);
        }
        if failure.outer_retries {
            return Err(Reason::OuterRetries);
        }
        let max_upstreams = failure.max_upstreams;
        let are_upstreams_spent = max_upstreams.is_some_and(|max| failure.upstreams_tried >= max);
        if are_upstreams_spent || failure.attempts >= self.max_attempts || !failure.replayable {
            return Err(Reason::AttemptsSpent);
        }
        // The delay applies only to the owner that asked for it; another owner can be tried at once.
        let wait = if failure.has_untried_endpoint {
            Duration::ZERO
        } else {
            failure.retry_after
        };
        if wait >= failure.time_left {
            return Err(Reason::DeadlineTooShort);
        }
        if takes_token(failure) && !self.has_token(now, failure.service) {
            return Err(Reason::BudgetSpent);
        }
        Ok(wait)
    }
}

/// Whether a retry takes a token, since it adds load: it repeats work that an upstream may have
/// received, or goes to a service whose owners are full. An attempt that failed because its owner
/// was unavailable, or has other limits than the entry, put no load on that owner.
fn takes_token(failure: &FailedAttempt) -> bool {
    let has_put_no_load = matches!(
        failure.reason,
        Reason::ConnectFailed
            | Reason::Draining
            | Reason::LimitsDiffer
            | Reason::NoEndpoint
            | Reason::Warming
    );
    failure.upstreams_tried > 0 || !has_put_no_load
}

impl Retry for RetryBudget {
    fn record_first_attempt(&mut self, now: Time, service: ServiceId) {
        let (added, capacity) = (self.tokens_per_request, self.capacity());
        let bucket = self.refilled_bucket(now, service);
        bucket.tokens = (bucket.tokens + added).min(capacity);
    }

    fn allow(
        &mut self,
        now: Time,
        failure: FailedAttempt,
        random: &mut dyn Random,
    ) -> Result<Duration, Reason> {
        let wait = self.check(now, &failure)?;
        let doublings = failure.attempts.saturating_sub(1);
        let max_jitter = INITIAL_MAX_JITTER
            .saturating_mul(2_u32.saturating_pow(doublings))
            .min(MAX_JITTER)
            // The random wait takes at most half of the time left.
            .min((failure.time_left - wait) / 2);
        let jitter_micros =
            random.below(usize::try_from(max_jitter.as_micros()).unwrap_or(usize::MAX));
        if takes_token(&failure) {
            self.refilled_bucket(now, failure.service).tokens -= 1.0;
        }
        Ok(wait + Duration::from_micros(jitter_micros as u64))
    }

    fn set_node_count(&mut self, node_count: usize) {
        if self.shared_reserve > 0.0 {
            // In one window, a node can spend a full bucket and its refill, so each gets one half.
            self.reserve = self.shared_reserve / 2.0 / node_count.max(1) as f64;
        }
    }

    fn would_allow(&self, now: Time, failure: FailedAttempt) -> bool {
        self.check(now, &failure).is_ok()
    }
}
