//! Log lines on the upstream: what it states about itself in its responses, and its crashes.

use std::time::Duration;

use log::info;
use log::warn;

use member::Stage;
use telemetry::LogLimiter;
use traffic::owner::CrashedRequest;
use traffic::owner::RateLimitReport;

/// Limit on log lines per second. A limit that stays the same is reported once a second; one that differs
/// in each response would cause a line for each.
const MAX_LINES_PER_SECOND: u32 = 5;

/// Limit on log lines about requests that ran at an upstream when that crashed, one for each slot.
const MAX_CRASH_LINES_PER_SECOND: u32 = 40;

static CRASH_LIMITER: LogLimiter =
    LogLimiter::with_lines(MAX_CRASH_LINES_PER_SECOND, Duration::from_secs(1));
static LOG_LIMITER: LogLimiter =
    LogLimiter::with_lines(MAX_LINES_PER_SECOND, Duration::from_secs(1));

/// Logs the rate limit that the upstream names, and how many requests it was sent.
pub(crate) fn log_rate_limit(report: RateLimitReport) {
    let Some(suppressed) = LOG_LIMITER.admit() else {
        return;
    };
    let during_ms = u64::try_from(report.elapsed.as_millis()).unwrap_or(u64::MAX);
    match report.limit {
        Some(limit) => warn!(
            event = "upstream-limit", limit_per_s = limit.per_second(), sent = report.sent, during_ms,
            held = suppressed;
            "upstream names a rate limit"
        ),
        None => info!(
            event = "upstream-limit-ended", sent = report.sent, during_ms, held = suppressed;
            "upstream names no rate limit any more"
        ),
    }
}

/// Logs that the upstream states in a response that it is leaving, and the stage in which other nodes see it.
pub(crate) fn log_leaving(stage: Option<Stage>, run_id: Option<&str>) {
    let Some(suppressed) = LOG_LIMITER.admit() else {
        return;
    };
    let stage = stage.map_or("unknown".to_owned(), |it| format!("{it:?}").to_lowercase());
    info!(
        event = "upstream-leaving", run = run_id.unwrap_or("none"), stage = stage.as_str(),
        held = suppressed;
        "upstream states that it is leaving"
    );
}

/// Logs a request that ran at the upstream when that crashed.
pub(crate) fn log_crashed(crashed: CrashedRequest) {
    let Some(suppressed) = CRASH_LIMITER.admit() else {
        return;
    };
    warn!(
        event = "upstream-crashed", crash = crashed.crash,
        fingerprint = crashed.fingerprint.to_string().as_str(),
        ran_ms = u64::try_from(crashed.ran_for.as_millis()).unwrap_or(u64::MAX), held = suppressed;
        "upstream crashed while it ran a request"
    );
}
