//! Log lines of the events of a request at its entry and at its owner.
//!
//! Each line contains the identifier that the caller gave the request, which joins the lines of
//! both nodes. Lines of normal events and of failures are limited separately per second, and each
//! line states how many lines of its kind were suppressed before it. The limit for failures is
//! higher, and the line of a failure repeats what the normal lines before it reported.

use std::net::SocketAddr;
use std::time::Duration;

use log::info;
use log::warn;

use crate::SharedState;
use errors::Reason;
use errors::Verdict;
use ids::NodeId;
use ids::Rank;
use kernel::Time;
use telemetry::LogLimiter;
use traffic::Refusal;
use traffic::entry::Attempt;

/// Limit on lines of normal events per second, for the entry and the owner side each. A line takes
/// about 20 µs of processor time, so both sides together use less than 0.1 % of a core.
const MAX_NORMAL_LINES: u32 = 20;
/// Limit on lines of failures per second, for the entry and the owner side each; both sides
/// together use 0.5 % of a core.
const MAX_FAILURE_LINES: u32 = 120;
/// Limit on lines of paced responses per second.
const MAX_PACED_LINES: u32 = 5;
const LIMITER_PERIOD: Duration = Duration::from_secs(1);

static ENTRY_LIMITER: LogLimiter = LogLimiter::with_lines(MAX_NORMAL_LINES, LIMITER_PERIOD);
static ENTRY_FAILURE_LIMITER: LogLimiter =
    LogLimiter::with_lines(MAX_FAILURE_LINES, LIMITER_PERIOD);
static PACED_LIMITER: LogLimiter = LogLimiter::with_lines(MAX_PACED_LINES, LIMITER_PERIOD);
static OWNER_LIMITER: LogLimiter = LogLimiter::with_lines(MAX_NORMAL_LINES, LIMITER_PERIOD);
static OWNER_FAILURE_LIMITER: LogLimiter =
    LogLimiter::with_lines(MAX_FAILURE_LINES, LIMITER_PERIOD);

/// Fields that all log lines of one request at its entry share.
#[derive(Clone, Debug)]
pub(crate) struct RequestLogContext {
    /// Identifier that the caller gave the request, or else the request's internal identifier.
    pub(crate) trace_id: String,
    /// When the request arrived.
    pub(crate) arrived: Time,
    /// Number of unanswered requests before it on its connection.
    pub(crate) pipelined: usize,
    /// Node, reason and verdict of each failed attempt, separated by commas.
    pub(crate) failed_attempts: String,
}

impl RequestLogContext {
    /// Appends a failed attempt.
    pub(crate) fn add_failed_attempt(&mut self, node: NodeId, reason: Reason, verdict: Verdict) {
        if !self.failed_attempts.is_empty() {
            self.failed_attempts.push_str(", ");
        }
        self.failed_attempts
            .push_str(&format!("{node} {reason} {verdict}"));
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

fn config_version(shared: &SharedState) -> u64 {
    let topology = shared.driver.topology();
    let snapshot = topology.snapshot.as_ref();
    snapshot.map_or(0, |snapshot| snapshot.version().0)
}

/// Logs that the entry sends a request to an owner.
pub(crate) fn log_forwarded(
    shared: &SharedState,
    log_context: &RequestLogContext,
    rank: Rank,
    attempt: Attempt,
) {
    let Some(suppressed) = ENTRY_LIMITER.admit() else {
        return;
    };
    let now = shared.driver.now();
    info!(
        event = "forwarded", request = log_context.trace_id.as_str(), rank = rank.0,
        version = config_version(shared), attempt = attempt.number,
        node = attempt.node.to_string().as_str(),
        address = attempt.request_address.to_string().as_str(),
        own = attempt.node == shared.driver.node_id(), pipelined = log_context.pipelined,
        age_ms = millis(now.since(log_context.arrived)),
        left_ms = millis(now.until(attempt.deadline)),
        held = suppressed;
        "request sent to an owner"
    );
}

/// Logs that an attempt failed and the request is retried.
pub(crate) fn log_retried(shared: &SharedState, log_context: &RequestLogContext, reason: Reason) {
    let limiter = if reason == Reason::ObjectiveTooShort {
        &ENTRY_LIMITER
    } else {
        &ENTRY_FAILURE_LIMITER
    };
    let Some(suppressed) = limiter.admit() else {
        return;
    };
    info!(
        event = "retried", request = log_context.trace_id.as_str(), reason = reason.name(),
        attempts = log_context.failed_attempts.as_str(),
        age_ms = millis(shared.driver.now().since(log_context.arrived)), held = suppressed;
        "attempt failed; request is retried"
    );
}

/// Logs that the entry responds with a refusal or failure of its own.
pub(crate) fn log_refused(shared: &SharedState, log_context: &RequestLogContext, refusal: Refusal) {
    let Some(suppressed) = ENTRY_FAILURE_LIMITER.admit() else {
        return;
    };
    warn!(
        event = "refused", request = log_context.trace_id.as_str(), reason = refusal.reason.name(),
        verdict = refusal.verdict.name(), retry_after_ms = millis(refusal.retry_after),
        version = config_version(shared), attempts = log_context.failed_attempts.as_str(),
        pipelined = log_context.pipelined,
        age_ms = millis(shared.driver.now().since(log_context.arrived)), held = suppressed;
        "request refused or failed"
    );
}

/// Logs that a response was relayed, or why the relay was aborted.
pub(crate) fn log_answered(
    shared: &SharedState,
    log_context: &RequestLogContext,
    (status, node): (u16, NodeId),
    failure_reason: Option<Reason>,
) {
    let failed = failure_reason.is_some() || status >= 500;
    let limiter = if failed {
        &ENTRY_FAILURE_LIMITER
    } else {
        &ENTRY_LIMITER
    };
    let Some(suppressed) = limiter.admit() else {
        return;
    };
    info!(
        event = "answered", request = log_context.trace_id.as_str(), status,
        node = node.to_string().as_str(), broken = failure_reason.map_or("no", Reason::name),
        attempts = log_context.failed_attempts.as_str(), pipelined = log_context.pipelined,
        age_ms = millis(shared.driver.now().since(log_context.arrived)), held = suppressed;
        "response relayed or aborted"
    );
}

/// Logs that the owner does not pass a request to its upstream.
pub(crate) fn log_held_back(shared: &SharedState, trace_id: &str, rank: Rank, refusal: Refusal) {
    // A request that may meet its objective elsewhere has not failed.
    let limiter = if refusal.reason == Reason::ObjectiveTooShort {
        &OWNER_LIMITER
    } else {
        &OWNER_FAILURE_LIMITER
    };
    let Some(suppressed) = limiter.admit() else {
        return;
    };
    let load = shared.driver.load();
    warn!(
        event = "held-back", request = trace_id, rank = rank.0, reason = refusal.reason.name(),
        verdict = refusal.verdict.name(), retry_after_ms = millis(refusal.retry_after),
        running = load.running, queued = load.queued, limit = load.limit, held = suppressed;
        "request refused by its owner"
    );
}

/// Logs that the owner sends a request to its upstream.
pub(crate) fn log_dispatched(
    shared: &SharedState,
    trace_id: &str,
    rank: Rank,
    run_id: Option<&str>,
    time_left: Duration,
) {
    let Some(suppressed) = OWNER_LIMITER.admit() else {
        return;
    };
    let load = shared.driver.load();
    info!(
        event = "dispatched", request = trace_id, rank = rank.0, run = run_id.unwrap_or("unknown"),
        left_ms = millis(time_left), running = load.running, queued = load.queued, limit = load.limit,
        held = suppressed;
        "request sent to the upstream"
    );
}

/// Logs the upstream's response to a request, or why there is none.
pub(crate) fn log_finished(
    trace_id: &str,
    status: u16,
    elapsed: Duration,
    failure: Option<(Verdict, Reason)>,
) {
    let failed = failure.is_some() || status >= 500;
    let limiter = if failed {
        &OWNER_FAILURE_LIMITER
    } else {
        &OWNER_LIMITER
    };
    let Some(suppressed) = limiter.admit() else {
        return;
    };
    let (verdict, reason) = match failure {
        Some((verdict, reason)) => (verdict, reason.name()),
        None => (Verdict::Ran, "none"),
    };
    info!(
        event = "finished", request = trace_id, status, verdict = verdict.name(), reason,
        run_ms = millis(elapsed), held = suppressed;
        "upstream responded or failed"
    );
}

/// Logs that the owner has not relayed a response of its upstream to the end. The reason is `caller-left` if the receiver
/// closed its connection first.
pub(crate) fn log_response_cut(trace_id: &str, reason: Reason, bytes: u64, elapsed: Duration) {
    let Some(suppressed) = OWNER_FAILURE_LIMITER.admit() else {
        return;
    };
    warn!(
        event = "response-cut", request = trace_id, reason = reason.name(), bytes,
        run_ms = millis(elapsed), held = suppressed;
        "response of the upstream not relayed to its end"
    );
}

/// Logs the end of a response that was paced. `end` is `complete`, `deadline` or `cut`.
pub(crate) fn log_paced(
    shared: &SharedState,
    rank: Rank,
    bytes: u64,
    elapsed: Duration,
    end: &'static str,
) {
    let Some(suppressed) = PACED_LIMITER.admit() else {
        return;
    };
    info!(
        event = "paced", rank = rank.0, bytes, took_ms = millis(elapsed), end,
        backlog_bytes = shared.driver.link_backlog(), held = suppressed;
        "long response sent or ended"
    );
}

/// Logs that a connection is still open some time after its listener was stopped, which delays the end of
/// the process.
pub(crate) fn log_connection_open(
    peer: Option<SocketAddr>,
    is_busy: bool,
    unchanged_for: Duration,
) {
    let Some(suppressed) = OWNER_FAILURE_LIMITER.admit() else {
        return;
    };
    let peer = peer.map_or_else(|| "unknown".to_owned(), |peer| peer.to_string());
    info!(
        event = "connection-open", peer = peer.as_str(), busy = is_busy,
        unchanged_ms = millis(unchanged_for), held = suppressed;
        "connection has not ended since the listener was stopped"
    );
}

/// Logs that hyper has refused the head of a request, for which no handler was called.
pub(crate) fn log_head_refused(listener: &str, peer: Option<SocketAddr>, reason: Reason) {
    let Some(suppressed) = ENTRY_FAILURE_LIMITER.admit() else {
        return;
    };
    let peer = peer.map_or_else(|| "unknown".to_owned(), |peer| peer.to_string());
    warn!(
        event = "head-refused", listener, peer = peer.as_str(), reason = reason.name(),
        held = suppressed;
        "request head refused; the request has not run"
    );
}
