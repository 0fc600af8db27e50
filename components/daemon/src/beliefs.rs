//! Log lines of what the node learns of the fleet and of its dependencies.

use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use log::info;
use log::warn;

use control::Topology;
use member::Member;
use telemetry::LogLimiter;
use transport::calls;

/// Lines a second about members; a fleet that starts at once would write one for each pair of nodes.
const MEMBER_LINES: u32 = 50;

/// Lines a second about control calls that fail; nodes of a failure domain that is cut off fail together.
const CALL_LINES: u32 = 10;

static CALLS: LogLimiter = LogLimiter::with_lines(CALL_LINES, Duration::from_secs(1));
static MEMBERS: LogLimiter = LogLimiter::with_lines(MEMBER_LINES, Duration::from_secs(1));

/// Logs each member that differs between two topologies.
pub(crate) fn log_members(before: &Topology, now: &Topology) {
    for member in now.members() {
        let old = before.member(member.id);
        if old.is_none_or(|old| old.status != member.status || !old.has_same_routing(member)) {
            log_member(old, member);
        }
    }
}

fn log_member(old: Option<&Member>, member: &Member) {
    let Some(held) = MEMBERS.admit() else {
        return;
    };
    let upstream = member.upstream.as_ref();
    let text = |it: &dyn std::fmt::Debug| format!("{it:?}").to_lowercase();
    info!(
        event = "member", node = member.id.to_string().as_str(),
        address = member.addresses.requests.to_string().as_str(),
        of_domain = member.domain.as_str(), incarnation = member.incarnation.0,
        status = text(&member.status).as_str(), stage = text(&member.stage).as_str(),
        was = old.map_or("unknown".to_owned(), |old| text(&old.status)).as_str(),
        service = upstream.map_or("none", |it| &it.service),
        run = upstream.and_then(|it| it.run_id.as_deref()).unwrap_or("none"),
        slots = upstream.map_or(0, |it| it.slots), held;
        "member learned or changed"
    );
}

/// Whether calls of the store succeed.
#[derive(Debug, Default)]
pub(crate) struct StoreHealth {
    lost: AtomicBool,
}

impl StoreHealth {
    /// Takes in a call that was answered.
    pub(crate) fn note_answer(&self) {
        if self.lost.swap(false, Ordering::Relaxed) {
            info!(event = "dependency", name = "store", state = "regained"; "store answers again");
        }
    }

    /// Takes in a call that failed.
    pub(crate) fn note_failure(&self, error: &store::Error) {
        if !self.lost.swap(true, Ordering::Relaxed) {
            warn!(
                event = "dependency", name = "store", state = "lost",
                error = error.to_string().as_str();
                "store call failed; the node goes on with what it holds and tries again"
            );
        }
    }
}

/// Logs a control call to another node that failed; another node is asked in its place.
pub(crate) fn log_failed_call(call: &str, to: SocketAddr, error: &calls::Error) {
    let Some(held) = CALLS.admit() else {
        return;
    };
    warn!(
        event = "call-failed", call, to = to.to_string().as_str(),
        error = error.to_string().as_str(), held;
        "control call failed; another node is asked"
    );
}
