//! Rate limit that the upstream names in its responses.

use std::time::Duration;

use crate::owner::RateLimitReport;
use kernel::Time;
use policy::RequestRate;

/// Interval of the reports on a limit that stays the same.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Limit in force, and the requests sent under it.
#[derive(Debug, Default)]
pub(crate) struct UpstreamLimit {
    rate: Option<RequestRate>,
    /// Number of requests that were sent since the last report.
    sent: u32,
    reported_at: Time,
}

impl UpstreamLimit {
    /// Records that a request is sent to the upstream.
    pub(crate) fn record_sent(&mut self) {
        self.sent = self.sent.saturating_add(1);
    }

    /// Sets the limit of the latest response. Returns the report that is due.
    pub(crate) fn set(&mut self, now: Time, rate: Option<RequestRate>) -> Option<RateLimitReport> {
        let had_limit = self.rate.is_some();
        let changed = rate != self.rate;
        let is_due = had_limit && now.since(self.reported_at) >= REPORT_INTERVAL;
        self.rate = rate;
        if !changed && !is_due {
            return None;
        }
        let elapsed = if had_limit {
            now.since(self.reported_at)
        } else {
            Duration::ZERO
        };
        let sent = std::mem::take(&mut self.sent);
        self.reported_at = now;
        Some(RateLimitReport {
            limit: rate,
            sent: if had_limit { sent } else { 0 },
            elapsed,
        })
    }
}
