//! Log lines of the organisations' rate limits.

use std::time::Duration;

use log::info;
use log::warn;

use errors::Reason;
use ids::NodeId;
use quota::Refusal;
use telemetry::LogLimiter;

/// Limit on log lines per second. A node has eight granters at most, and each changes at most every two seconds.
const MAX_LINES_PER_SECOND: u32 = 10;

static GRANTER_LIMITER: LogLimiter =
    LogLimiter::with_lines(MAX_LINES_PER_SECOND, Duration::from_secs(1));
static REFUSAL_LIMITER: LogLimiter =
    LogLimiter::with_lines(MAX_LINES_PER_SECOND, Duration::from_secs(1));

/// Logs that the share of a group goes to another granter.
pub(crate) fn log_granter(group: usize, granter: NodeId, silent: bool) {
    let Some(suppressed) = GRANTER_LIMITER.admit() else {
        return;
    };
    let name = granter.to_string();
    if silent {
        warn!(
            event = "granter-silent", group = group, granter = name.as_str(), held = suppressed;
            "share of rate limits delegated to another granter because the last one does not respond"
        );
    } else {
        info!(
            event = "granter", group = group, granter = name.as_str(), held = suppressed;
            "share of rate limits delegated"
        );
    }
}

/// Logs that a request got no token.
pub(crate) fn log_refusal(organisation: &str, refusal: Refusal) {
    let Some(suppressed) = REFUSAL_LIMITER.admit() else {
        return;
    };
    let (reason, retry_after) = match refusal {
        Refusal::Reached(retry_after) => (Reason::LimitReached, retry_after),
        Refusal::Unknown(retry_after) => (Reason::LimitUnknown, retry_after),
    };
    let retry_ms = u64::try_from(retry_after.as_millis()).unwrap_or(u64::MAX);
    info!(
        event = "limit-refused", organisation = organisation, reason = reason.name(), retry_ms = retry_ms, held = suppressed;
        "request refused by the rate limit of its organisation"
    );
}
