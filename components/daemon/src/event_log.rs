//! Log lines about other nodes of the fleet and about the store.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use log::info;
use log::warn;

use control::Topology;
use ids::Domain;
use member::Member;
use telemetry::LogLimiter;
use telemetry::Metrics;
use transport::calls;

/// Rate limit of lines about members. A fleet that starts all at once would otherwise write one line for
/// each pair of nodes.
const MAX_MEMBER_LINES_PER_SECOND: u32 = 50;

/// Rate limit of lines about failed control calls. When a failure domain is cut off, the calls to all its
/// nodes fail at the same time.
const MAX_CALL_LINES_PER_SECOND: u32 = 10;

/// Rate limit of lines about failed calls to the store. A node makes few calls, whatever happens.
const MAX_STORE_CALL_LINES_PER_SECOND: u32 = 5;

static CALL_LIMITER: LogLimiter =
    LogLimiter::with_lines(MAX_CALL_LINES_PER_SECOND, Duration::from_secs(1));
static STORE_CALL_LIMITER: LogLimiter =
    LogLimiter::with_lines(MAX_STORE_CALL_LINES_PER_SECOND, Duration::from_secs(1));
static MEMBER_LIMITER: LogLimiter =
    LogLimiter::with_lines(MAX_MEMBER_LINES_PER_SECOND, Duration::from_secs(1));

/// Logs each member whose status or routing differs between two topologies.
pub(crate) fn log_member_changes(old_topology: &Topology, new_topology: &Topology) {
    for member in new_topology.members() {
        let old_member = old_topology.member(member.id);
        if old_member.is_none_or(|old_member| {
            old_member.status != member.status || !old_member.has_same_routing(member)
        }) {
            log_member(old_member, member);
        }
    }
}

/// Logs a store that has an older configuration than the node, or has returned from an older copy.
pub(crate) fn log_store_changes(old_topology: &Topology, new_topology: &Topology) {
    if new_topology.report.store_behind > old_topology.report.store_behind {
        let version = new_topology
            .snapshot
            .as_ref()
            .map_or(0, |it| it.version().0);
        warn!(
            event = "store-behind", version;
            "the store has an older configuration than the fleet; the fleet keeps its own"
        );
    }
    if new_topology.report.store_restores > old_topology.report.store_restores {
        warn!(
            event = "store-restored", restores = new_topology.report.store_restores;
            "the store has returned from an older copy; reading its keys again"
        );
    }
}

fn log_member(old_member: Option<&Member>, member: &Member) {
    let Some(suppressed) = MEMBER_LIMITER.admit() else {
        return;
    };
    let upstream = member.upstream.as_ref();
    let lowercase = |it: &dyn std::fmt::Debug| format!("{it:?}").to_lowercase();
    info!(
        event = "member", node = member.id.to_string().as_str(),
        address = member.addresses.requests.to_string().as_str(),
        of_domain = member.domain.as_str(), incarnation = member.incarnation.0,
        status = lowercase(&member.status).as_str(), stage = lowercase(&member.stage).as_str(),
        was = old_member.map_or("unknown".to_owned(), |old_member| lowercase(&old_member.status)).as_str(),
        service = upstream.map_or("none", |it| &it.service),
        run = upstream.and_then(|it| it.run_id.as_deref()).unwrap_or("none"),
        slots = upstream.map_or(0, |it| it.slots), held = suppressed;
        "member joined or changed"
    );
}

/// Kind of a call to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StoreCall {
    Read,
    ReadChanges,
    Watch,
    Write,
}

impl StoreCall {
    /// Name of the call, for counters and log lines.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Read => "read",
            Self::ReadChanges => "read-changes",
            Self::Watch => "watch",
            Self::Write => "write",
        }
    }
}

/// Tracks whether calls to the store succeed; counts failed calls and logs them, and each change.
#[derive(Debug)]
pub(crate) struct StoreHealth {
    failing: AtomicBool,
    metrics: Arc<Metrics>,
}

impl StoreHealth {
    pub(crate) fn new(metrics: Arc<Metrics>) -> Self {
        Self {
            failing: AtomicBool::default(),
            metrics,
        }
    }

    /// Records a call to which the store responded.
    pub(crate) fn record_success(&self) {
        if self.failing.swap(false, Ordering::Relaxed) {
            info!(event = "dependency", name = "store", state = "regained"; "store calls succeed again");
        }
    }

    /// Records a call for `key` that failed `elapsed` after it was made.
    pub(crate) fn record_failure(
        &self,
        call: StoreCall,
        key: &str,
        elapsed: Duration,
        error: &store::Error,
    ) {
        let cause = error.cause();
        self.metrics.count_store_failure(call.name(), cause);
        let message = error.to_string();
        if !self.failing.swap(true, Ordering::Relaxed) {
            warn!(
                event = "dependency", name = "store", state = "lost", error = message.as_str();
                "store call failed; the node keeps its current data and retries"
            );
        }
        let Some(suppressed) = STORE_CALL_LIMITER.admit() else {
            return;
        };
        warn!(
            event = "store-call-failed", call = call.name(), key, cause,
            after_ms = u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX),
            error = message.as_str(), held = suppressed;
            "store call failed; it is repeated after a backoff"
        );
    }
}

/// Logs entries of a failure domain's contacts that cannot be used.
pub(crate) fn log_malformed_contacts(domain: &Domain, malformed: usize, usable: usize) {
    let Some(suppressed) = STORE_CALL_LIMITER.admit() else {
        return;
    };
    warn!(
        event = "contacts-malformed", of_domain = domain.as_str(), malformed, usable,
        held = suppressed;
        "entries in the store are no addresses with a port; the others are used"
    );
}

/// Logs a failed control call to another node; the control state machine then calls a different node.
pub(crate) fn log_failed_call(call: &str, to: SocketAddr, error: &calls::Error) {
    let Some(suppressed) = CALL_LIMITER.admit() else {
        return;
    };
    warn!(
        event = "call-failed", call, to = to.to_string().as_str(),
        error = error.to_string().as_str(), held = suppressed;
        "control call failed; another node will be called"
    );
}
