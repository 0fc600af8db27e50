//! Log lines of the decisions that touch a request.
//!
//! Each line names the request as its caller knows it, so that the lines of the entry and of the owner
//! join. Ordinary decisions and failures have a bound each on the lines of a second, and a line tells
//! how many its kind has held back before it; failures have the wider one, and a failure's line holds
//! all that the ordinary lines before it said.

use std::time::Duration;

use log::info;
use log::warn;

use crate::SharedState;
use errors::Reason;
use errors::Verdict;
use ids::NodeId;
use kernel::Time;
use telemetry::LogLimiter;
use traffic::Refusal;
use traffic::entry::Attempt;

/// Lines a second about requests that go as they should, at each side of a node. A line takes about
/// 20 µs of processor time, so that both sides together stay below a tenth of a percent of a core.
const MAX_ORDINARY_LINES: u32 = 20;
/// Lines a second about requests that fail, at each side of a node; half a percent of a core.
const MAX_FAILURE_LINES: u32 = 120;
const LIMITER_PERIOD: Duration = Duration::from_secs(1);

static ENTRY_LIMITER: LogLimiter = LogLimiter::with_lines(MAX_ORDINARY_LINES, LIMITER_PERIOD);
static ENTRY_FAILURE_LIMITER: LogLimiter =
    LogLimiter::with_lines(MAX_FAILURE_LINES, LIMITER_PERIOD);
static OWNER_LIMITER: LogLimiter = LogLimiter::with_lines(MAX_ORDINARY_LINES, LIMITER_PERIOD);
static OWNER_FAILURE_LIMITER: LogLimiter =
    LogLimiter::with_lines(MAX_FAILURE_LINES, LIMITER_PERIOD);

/// What the lines of one request at the entry have in common.
#[derive(Clone, Debug)]
pub(crate) struct RequestLogContext {
    /// Identity of the request, as its caller knows it.
    pub(crate) trace_id: String,
    /// When it arrived.
    pub(crate) arrived: Time,
    /// Nodes that it was sent to, with what came of it.
    pub(crate) failed_attempts: String,
}

impl RequestLogContext {
    /// Adds an attempt that has failed.
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

/// The entry sends a request to an owner.
pub(crate) fn log_forwarded(
    shared: &SharedState,
    log_context: &RequestLogContext,
    attempt: Attempt,
) {
    let Some(suppressed) = ENTRY_LIMITER.admit() else {
        return;
    };
    let now = shared.driver.now();
    info!(
        event = "forwarded", request = log_context.trace_id.as_str(), version = config_version(shared),
        attempt = attempt.number, node = attempt.node.to_string().as_str(),
        address = attempt.request_address.to_string().as_str(), own = attempt.node == shared.driver.node_id(),
        age_ms = millis(now.since(log_context.arrived)), left_ms = millis(now.until(attempt.deadline)),
        held = suppressed;
        "request sent to an owner"
    );
}

/// An attempt failed and another one follows.
pub(crate) fn log_retried(shared: &SharedState, log_context: &RequestLogContext, reason: Reason) {
    let Some(suppressed) = ENTRY_FAILURE_LIMITER.admit() else {
        return;
    };
    info!(
        event = "retried", request = log_context.trace_id.as_str(), reason = reason.name(),
        attempts = log_context.failed_attempts.as_str(),
        age_ms = millis(shared.driver.now().since(log_context.arrived)), held = suppressed;
        "attempt failed; the request is tried again"
    );
}

/// The entry answers in place of an upstream.
pub(crate) fn log_refused(shared: &SharedState, log_context: &RequestLogContext, refusal: Refusal) {
    let Some(suppressed) = ENTRY_FAILURE_LIMITER.admit() else {
        return;
    };
    warn!(
        event = "refused", request = log_context.trace_id.as_str(), reason = refusal.reason.name(),
        verdict = refusal.verdict.name(), retry_after_ms = millis(refusal.retry_after),
        version = config_version(shared), attempts = log_context.failed_attempts.as_str(),
        age_ms = millis(shared.driver.now().since(log_context.arrived)), held = suppressed;
        "request refused or failed"
    );
}

/// An answer was relayed to its end, or broke off.
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
        attempts = log_context.failed_attempts.as_str(),
        age_ms = millis(shared.driver.now().since(log_context.arrived)), held = suppressed;
        "answer relayed"
    );
}

/// The owner does not give a request to its upstream.
pub(crate) fn log_held_back(shared: &SharedState, trace_id: &str, refusal: Refusal) {
    let Some(suppressed) = OWNER_FAILURE_LIMITER.admit() else {
        return;
    };
    let load = shared.driver.load();
    warn!(
        event = "held-back", request = trace_id, reason = refusal.reason.name(),
        verdict = refusal.verdict.name(), retry_after_ms = millis(refusal.retry_after),
        running = load.running, queued = load.queued, limit = load.limit, held = suppressed;
        "owner refuses the request"
    );
}

/// The owner gives a request to its upstream.
pub(crate) fn log_dispatched(
    shared: &SharedState,
    trace_id: &str,
    run: Option<&str>,
    left: Duration,
) {
    let Some(suppressed) = OWNER_LIMITER.admit() else {
        return;
    };
    let load = shared.driver.load();
    info!(
        event = "dispatched", request = trace_id, run = run.unwrap_or("unknown"),
        left_ms = millis(left), running = load.running, queued = load.queued, limit = load.limit,
        held = suppressed;
        "request sent to the upstream"
    );
}

/// What came of a request at the upstream.
pub(crate) fn log_finished(
    trace_id: &str,
    status: u16,
    run: Duration,
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
        run_ms = millis(run), held = suppressed;
        "upstream answered or failed"
    );
}
