//! Inputs and effects of the entry's state machine.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::Refusal;
use crate::entry::CallKey;
use crate::ledger::Outcome;
use control::Topology;
use errors::Reason;
use errors::Verdict;
use ids::Fingerprint;
use ids::KeyDigest;
use ids::NodeId;
use ids::OrganisationId;
use ids::Rank;
use ids::RequestId;
use ids::RouteId;
use ids::ServiceId;
use kernel::Time;
use policy::HealthChange;
use policy::Load;
use policy::RequestRate;
use rollout::Revision;
use rollout::Tally;

/// How a request shows which organisation it belongs to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Credential {
    /// The request carries no key.
    #[default]
    None,
    /// The request carries the key with this digest.
    Key(KeyDigest),
    /// The upstream of this node makes the request as part of a run, for which it needs no key.
    Onward,
}

/// The parts of a request's head that the entry uses.
#[derive(Clone, Debug)]
pub struct RequestHead {
    /// Identifier of the request.
    pub id: RequestId,
    /// Fingerprint of the request.
    pub fingerprint: Option<Fingerprint>,
    /// Host name that the caller requested.
    pub host: Option<String>,
    /// HTTP method in upper case.
    pub method: String,
    /// Path without the query string.
    pub path: String,
    /// Key of an organisation, if the request carries one.
    pub credential: Credential,
    /// Time left until the deadline that the caller set; `None` if it set no deadline.
    pub time_left: Option<Duration>,
    /// Whether a service further up the call chain retries.
    pub outer_retries: bool,
    /// Whether the request body can be sent again.
    pub replayable: bool,
    /// Whether a leaving node accepts the request, as it does for a call that a request running at
    /// the node's own upstream depends on.
    pub allowed_while_leaving: bool,
}

/// One attempt of a call: the endpoint that the request is sent to, and its time limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// Number of the attempt within its call, from 1.
    pub number: u32,
    /// Node of the endpoint.
    pub node: NodeId,
    /// Address at which the node accepts forwarded requests.
    pub request_address: SocketAddr,
    /// Address at which the node accepts control calls.
    pub peer_address: SocketAddr,
    /// Time by which the upstream has to be done: the caller no longer waits for the answer, or this node
    /// ends soon.
    pub deadline: Time,
    /// Time until which the entry waits for the answer; later than `deadline` if the caller waits longer
    /// than this node exists.
    pub give_up_at: Time,
    /// Time by which the route's latency objective asks for the answer.
    pub objective: Option<Time>,
    /// Whether the owner may refuse the request because it would miss its objective there.
    pub spillable: bool,
    /// Rate limit that the upstream has named in a recent response.
    pub rate_limit: Option<RequestRate>,
    /// Number of upstreams that have crashed during earlier attempts.
    pub seen_crashes: u32,
    /// Delay before the request is sent.
    pub delay: Duration,
}

/// Events of calls and of the node. Those that name a call concern its latest attempt; the code
/// that does the I/O discards responses to earlier attempts.
#[derive(Clone, Debug)]
pub enum Input {
    /// A request of a caller has arrived.
    Arrived {
        topology: Arc<Topology>,
        head: RequestHead,
    },
    /// The answer to an attempt has begun, or the attempt has failed.
    AttemptReported {
        call: CallKey,
        topology: Arc<Topology>,
        report: AttemptReport,
    },
    /// Nothing has been received for the attempt within the silence timeout.
    SilenceTimeout { call: CallKey },
    /// The outcome query about the attempt has been answered or has failed.
    OutcomeReceived {
        call: CallKey,
        topology: Arc<Topology>,
        outcome: Outcome,
    },
    /// The fetch of the stored answer has ended. If `found`, the code that does the I/O holds the
    /// answer.
    FetchCompleted {
        call: CallKey,
        topology: Arc<Topology>,
        found: bool,
    },
    /// The caller has disconnected, or the relay of the answer has completed or failed.
    CallEnded { call: CallKey },
    /// The node exits before the call has an answer; `sent` states whether its current attempt was sent to
    /// the owner.
    Abandoned {
        call: CallKey,
        topology: Arc<Topology>,
        sent: bool,
    },
    /// The node is leaving and accepts requests for a while; no request may run beyond `work_end`.
    EndScheduled { work_end: Time },
    /// The node is about to exit: failed attempts are no longer retried, and a call that is queued
    /// at another node is cancelled there and answered now.
    Shutdown,
}

/// Result of an attempt: an answer to relay or a failure.
#[derive(Clone, Copy, Debug)]
pub struct AttemptReport {
    /// Whether the attempt ran, as far as is known.
    pub verdict: Verdict,
    /// Why the attempt failed; `None` if there is an answer to relay.
    pub reason: Option<Reason>,
    /// Time after which the owner allows another attempt.
    pub retry_after: Duration,
    /// Load that the owner reported with its answer.
    pub load: Option<Load>,
    /// Rate limit that the upstream names in its answer.
    pub rate_limit: Option<RequestRate>,
    /// Whether the answer is a server error of the upstream; it is relayed like any other.
    pub upstream_failed: bool,
}

/// Actions and notifications that the state machine emits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Send the request to the endpoint of the attempt.
    Forward {
        call: CallKey,
        route: RouteProfile,
        attempt: Attempt,
    },
    /// Query the owner for the outcome of the attempt. With `cancel_if_queued` the owner cancels
    /// the attempt if it has not started.
    Query {
        call: CallKey,
        attempt: Attempt,
        cancel_if_queued: bool,
    },
    /// Fetch the stored answer of the attempt from its owner over another connection.
    Fetch { call: CallKey, attempt: Attempt },
    /// Keep waiting for the answer.
    Wait { call: CallKey },
    /// Relay the answer to the caller.
    Deliver { call: CallKey },
    /// Answer the caller with a refusal; the call has ended.
    Refuse { refusal: Refusal },
    /// The attempt failed for this reason and is retried.
    Retrying { reason: Reason },
    /// A failed attempt is not retried, for this reason; a [`Effect::Refuse`] follows.
    RetryDenied { reason: Reason },
    /// Outcomes of a service's requests since an order, for the control thread.
    OutcomesCounted {
        service: Arc<str>,
        order: Revision,
        tallies: Vec<Tally>,
    },
    /// The health policy has ejected or readmitted an endpoint.
    HealthChanged {
        node: NodeId,
        health_change: HealthChange,
    },
}

/// Properties of a route that apply to each attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RouteProfile {
    /// Identifier of the route.
    pub route: RouteId,
    /// Service that the request is routed to.
    pub service: ServiceId,
    /// Priority rank.
    pub rank: Rank,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Latency objective of the route, if the operator has set one.
    pub objective: Option<Duration>,
    /// Whether responses are mostly so large that they occupy a link for some time.
    pub large_responses: bool,
    /// Organisation of the caller; `None` for a public route or a call of an upstream.
    pub organisation: Option<OrganisationId>,
    /// Whether the owner lets the request go before new requests of its rank, because a run of this node's
    /// upstream depends on it.
    pub onward: bool,
}
