//! What the entry takes in and what it asks for.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::Refusal;
use crate::entry::CallKey;
use crate::ledger::Outcome;
use control::Topology;
use errors::Reason;
use errors::Verdict;
use ids::NodeId;
use ids::Rank;
use ids::RequestId;
use ids::RouteId;
use ids::ServiceId;
use kernel::Time;
use policy::HealthChange;
use policy::Load;

/// What the entry needs to know of a request's head.
#[derive(Clone, Debug)]
pub struct RequestHead {
    /// Identity.
    pub id: RequestId,
    /// Host that the caller asked for.
    pub host: Option<String>,
    /// HTTP method in capitals.
    pub method: String,
    /// Path without query.
    pub path: String,
    /// Time that an outer level leaves; `None` from a caller that sets no deadline.
    pub time_left: Option<Duration>,
    /// Whether a level further out retries.
    pub outer_retries: bool,
    /// Whether the body can be sent again.
    pub replayable: bool,
    /// Whether a leaving node takes it all the same, such as for a request that runs at the node's
    /// own upstream and depends on it.
    pub allowed_while_leaving: bool,
}

/// Where to send a request and with what.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// Number of the attempt, from 1.
    pub number: u32,
    /// Node of the endpoint.
    pub node: NodeId,
    /// Its address for requests.
    pub request_address: SocketAddr,
    /// Its address for control calls.
    pub peer_address: SocketAddr,
    /// When the answer is no longer of use.
    pub deadline: Time,
    /// Until when the answer is worth most.
    pub objective: Option<Time>,
    /// Wait before sending.
    pub delay: Duration,
}

/// What can happen to a call. All inputs but the first are about its latest attempt; the shell drops
/// what comes back from an earlier one.
#[derive(Clone, Debug)]
pub enum Input {
    /// A caller's request arrived.
    Arrived {
        topology: Arc<Topology>,
        head: RequestHead,
    },
    /// The answer to an attempt has begun.
    AttemptReported {
        call: CallKey,
        topology: Arc<Topology>,
        report: AttemptReport,
    },
    /// Nothing has come back for the silence bound.
    SilenceTimeout { call: CallKey },
    /// The owner told what became of the attempt.
    OutcomeReceived {
        call: CallKey,
        topology: Arc<Topology>,
        outcome: Outcome,
    },
    /// The owner gave the stored answer, which the shell holds, or could not.
    FetchCompleted {
        call: CallKey,
        topology: Arc<Topology>,
        found: bool,
    },
    /// The caller left, or the answer has been relayed to its end or broke off.
    CallEnded { call: CallKey },
    /// The node ends soon: a call that still waits elsewhere gets its answer now.
    Shutdown,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug)]
pub struct AttemptReport {
    /// What is known of the execution.
    pub verdict: Verdict,
    /// Why there is no answer to relay; `None` if there is one.
    pub reason: Option<Reason>,
    /// When the owner allows another try.
    pub retry_after: Duration,
    /// Load that the owner reported.
    pub load: Option<Load>,
    /// Whether the answer says that the upstream failed; it is relayed all the same.
    pub upstream_failed: bool,
}

/// What a call needs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Send the request.
    Forward {
        call: CallKey,
        route: RouteProfile,
        attempt: Attempt,
    },
    /// Ask the owner what became of the attempt; with `give_up` it cancels the attempt if that has
    /// not started.
    Query {
        call: CallKey,
        attempt: Attempt,
        cancel_if_queued: bool,
    },
    /// Fetch the stored answer of the attempt from its owner over another connection.
    Fetch { call: CallKey, attempt: Attempt },
    /// Wait on for the answer.
    Wait { call: CallKey },
    /// Relay the answer that has begun.
    Deliver { call: CallKey },
    /// Answer with a refusal; the call is closed.
    Refuse { refusal: Refusal },
    /// A retry was decided on.
    Retrying { reason: Reason },
    /// A failed attempt is not retried, for this reason; the refusal follows.
    RetryDenied { reason: Reason },
    /// The judgement on an endpoint changed.
    HealthChanged {
        node: NodeId,
        health_change: HealthChange,
    },
}

/// What a route asks of each attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RouteProfile {
    /// Identity of the route.
    pub route: RouteId,
    /// The service that is to serve it.
    pub service: ServiceId,
    /// Urgency.
    pub rank: Rank,
    /// Whether the request can run more than once.
    pub idempotent: bool,
    /// Time within which an answer is worth most, if the operator has said so.
    pub objective: Option<Duration>,
}
