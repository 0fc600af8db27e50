//! Log lines of the decisions that touch a request.
//!
//! Each line names the request as its caller knows it, so that the lines of the entry and of the owner
//! join. Ordinary decisions and failures have a bound each on the lines of a second, and a line tells
//! how many its kind has held back before it; failures have the wider one, and a failure's line holds
//! all that the ordinary lines before it said.

use std::time::Duration;

use log::info;
use log::warn;

use crate::Shared;
use errors::Reason;
use errors::Verdict;
use ids::NodeId;
use kernel::Time;
use telemetry::LogLimiter;
use traffic::Refusal;
use traffic::entry::Attempt;

/// Lines a second about requests that go as they should, at each side of a node. A line takes about
/// 20 µs of processor time, so that both sides together stay below a tenth of a percent of a core.
const ORDINARY_LINES: u32 = 20;
/// Lines a second about requests that fail, at each side of a node; half a percent of a core.
const FAILURE_LINES: u32 = 120;
const SECOND: Duration = Duration::from_secs(1);

static ENTRY: LogLimiter = LogLimiter::with_lines(ORDINARY_LINES, SECOND);
static ENTRY_FAILURES: LogLimiter = LogLimiter::with_lines(FAILURE_LINES, SECOND);
static OWNER: LogLimiter = LogLimiter::with_lines(ORDINARY_LINES, SECOND);
static OWNER_FAILURES: LogLimiter = LogLimiter::with_lines(FAILURE_LINES, SECOND);

/// What the lines of one request at the entry have in common.
#[derive(Clone, Debug)]
pub(crate) struct Subject {
    /// Identity of the request, as its caller knows it.
    pub(crate) trace: String,
    /// When it arrived.
    pub(crate) arrived: Time,
    /// Nodes that it was sent to, with what came of it.
    pub(crate) history: String,
}

impl Subject {
    /// Adds an attempt that has failed.
    pub(crate) fn add(&mut self, node: NodeId, reason: Reason, verdict: Verdict) {
        if !self.history.is_empty() {
            self.history.push_str(", ");
        }
        self.history.push_str(&format!("{node} {reason} {verdict}"));
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

fn version(shared: &Shared) -> u64 {
    let topology = shared.driver.topology();
    let snapshot = topology.snapshot.as_ref();
    snapshot.map_or(0, |snapshot| snapshot.version().0)
}

/// The entry sends a request to an owner.
pub(crate) fn forwarded(shared: &Shared, subject: &Subject, attempt: Attempt) {
    let Some(held) = ENTRY.admit() else {
        return;
    };
    let now = shared.driver.now();
    info!(
        event = "forwarded", request = subject.trace.as_str(), version = version(shared),
        attempt = attempt.number, node = attempt.node.to_string().as_str(),
        address = attempt.request_address.to_string().as_str(), own = attempt.node == shared.driver.node_id(),
        age_ms = millis(now.since(subject.arrived)), left_ms = millis(now.until(attempt.deadline)),
        held;
        "request sent to an owner"
    );
}

/// An attempt failed and another one follows.
pub(crate) fn retried(shared: &Shared, subject: &Subject, reason: Reason) {
    let Some(held) = ENTRY_FAILURES.admit() else {
        return;
    };
    info!(
        event = "retried", request = subject.trace.as_str(), reason = reason.name(),
        attempts = subject.history.as_str(),
        age_ms = millis(shared.driver.now().since(subject.arrived)), held;
        "attempt failed; the request is tried again"
    );
}

/// The entry answers in place of an upstream.
pub(crate) fn refused(shared: &Shared, subject: &Subject, refusal: Refusal) {
    let Some(held) = ENTRY_FAILURES.admit() else {
        return;
    };
    warn!(
        event = "refused", request = subject.trace.as_str(), reason = refusal.reason.name(),
        verdict = refusal.verdict.name(), retry_after_ms = millis(refusal.retry_after),
        version = version(shared), attempts = subject.history.as_str(),
        age_ms = millis(shared.driver.now().since(subject.arrived)), held;
        "request refused or failed"
    );
}

/// An answer was relayed to its end, or broke off.
pub(crate) fn answered(
    shared: &Shared,
    subject: &Subject,
    (status, node): (u16, NodeId),
    broken: Option<Reason>,
) {
    let failed = broken.is_some() || status >= 500;
    let lines = if failed { &ENTRY_FAILURES } else { &ENTRY };
    let Some(held) = lines.admit() else {
        return;
    };
    info!(
        event = "answered", request = subject.trace.as_str(), status,
        node = node.to_string().as_str(), broken = broken.map_or("no", Reason::name),
        attempts = subject.history.as_str(),
        age_ms = millis(shared.driver.now().since(subject.arrived)), held;
        "answer relayed"
    );
}

/// The owner does not give a request to its upstream.
pub(crate) fn held_back(shared: &Shared, trace: &str, refusal: Refusal) {
    let Some(held) = OWNER_FAILURES.admit() else {
        return;
    };
    let load = shared.driver.load();
    warn!(
        event = "held-back", request = trace, reason = refusal.reason.name(),
        verdict = refusal.verdict.name(), retry_after_ms = millis(refusal.retry_after),
        running = load.running, queued = load.queued, limit = load.limit, held;
        "owner refuses the request"
    );
}

/// The owner gives a request to its upstream.
pub(crate) fn dispatched(shared: &Shared, trace: &str, run: Option<&str>, left: Duration) {
    let Some(held) = OWNER.admit() else {
        return;
    };
    let load = shared.driver.load();
    info!(
        event = "dispatched", request = trace, run = run.unwrap_or("unknown"),
        left_ms = millis(left), running = load.running, queued = load.queued, limit = load.limit,
        held;
        "request sent to the upstream"
    );
}

/// What came of a request at the upstream.
pub(crate) fn finished(
    trace: &str,
    status: u16,
    run: Duration,
    failure: Option<(Verdict, Reason)>,
) {
    let failed = failure.is_some() || status >= 500;
    let lines = if failed { &OWNER_FAILURES } else { &OWNER };
    let Some(held) = lines.admit() else {
        return;
    };
    let (verdict, reason) = match failure {
        Some((verdict, reason)) => (verdict, reason.name()),
        None => (Verdict::Ran, "none"),
    };
    info!(
        event = "finished", request = trace, status, verdict = verdict.name(), reason,
        run_ms = millis(run), held;
        "upstream answered or failed"
    );
}
