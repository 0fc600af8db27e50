//! Rate limit that an upstream names, enforced by the generic cell rate algorithm.
//!
//! Each start moves the due time of the next one by the interval between requests. A start may come
//! earlier than due by [`BURST_TOLERANCE`], so that requests that arrive close together need not wait as
//! long as the mean rate is kept.

use std::time::Duration;

use kernel::Time;
use policy::RequestRate;

/// Time by which a request may start before it is due. Within any second at most a tenth more requests
/// start than the limit allows.
const BURST_TOLERANCE: Duration = Duration::from_millis(100);
/// Longest interval between two requests, however low the limit is. Only a response tells that the limit
/// has ended, so some requests have to be sent.
const MAX_INTERVAL: Duration = Duration::from_secs(5);
/// Longest time for which requests that were started before the limit was named or changed delay the next
/// one, unless the interval is longer.
const MAX_INITIAL_DELAY: Duration = Duration::from_secs(1);

/// Rate limit on the requests that an upstream gets.
#[derive(Debug, Default)]
pub(crate) struct RateLimit {
    /// Time between two requests; `None` without a limit.
    interval: Option<Duration>,
    /// When the next request is due.
    next_due: Time,
}

impl RateLimit {
    /// Sets or ends the limit. Requests that were started under another limit keep their part of the rate,
    /// and so do the `running` ones if there was none. Returns whether the limit has changed.
    pub(crate) fn set(&mut self, now: Time, rate: Option<RequestRate>, running: usize) -> bool {
        let interval = rate.map(|it| it.interval().unwrap_or(MAX_INTERVAL).min(MAX_INTERVAL));
        if interval == self.interval {
            return false;
        }
        if let Some(interval) = interval {
            let delay = match self.interval {
                Some(before) => {
                    let pending = now.until(self.next_due).as_secs_f64() / before.as_secs_f64();
                    interval.mul_f64(pending)
                }
                None => {
                    let running = u32::try_from(running).unwrap_or(u32::MAX);
                    interval.saturating_mul(running)
                }
            };
            self.next_due = now + delay.min(MAX_INITIAL_DELAY.max(interval));
        }
        self.interval = interval;
        true
    }

    /// When the next request may start; `None` if it may start now.
    pub(crate) fn opens_at(&self, now: Time) -> Option<Time> {
        self.interval?;
        let tolerance = u64::try_from(BURST_TOLERANCE.as_micros()).unwrap_or(u64::MAX);
        let opens_at = Time(self.next_due.0.saturating_sub(tolerance));
        (opens_at > now).then_some(opens_at)
    }

    /// Records the start of a request.
    pub(crate) fn record_start(&mut self, now: Time) {
        if let Some(interval) = self.interval {
            self.next_due = self.next_due.max(now) + interval;
        }
    }

    /// Mean number of requests of this length that run at once under the limit; `None` without a limit or
    /// before a length is known.
    pub(crate) fn concurrency(&self, mean_length: Duration) -> Option<f64> {
        let interval = self.interval.filter(|_| !mean_length.is_zero())?;
        Some(mean_length.as_secs_f64() / interval.as_secs_f64())
    }
}
