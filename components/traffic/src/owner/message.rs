//! Inputs and effects of the owner's state machine.

use std::time::Duration;

use crate::Refusal;
use crate::ledger::Outcome;
use errors::Verdict;
use ids::Fingerprint;
use ids::NodeId;
use ids::OrganisationId;
use ids::Rank;
use ids::RequestId;
use ids::RouteId;
use kernel::Time;
use member::Stage;
use policy::LimitNotice;
use policy::RequestRate;

/// A request as it arrives at the owner.
#[derive(Clone, Copy, Debug)]
pub struct IncomingRequest {
    /// Tag by which inputs and effects refer to the request at this owner.
    pub tag: u64,
    /// Identifier of the request, the same for all its attempts.
    pub id: RequestId,
    /// Number of the attempt, from 1. The sender sends each attempt only once.
    pub attempt: u32,
    /// Node that the sender meant to reach.
    pub intended_owner: NodeId,
    /// Time at which the sender no longer waits for the answer, on this node's clock.
    pub expires: Time,
    /// Time by which the upstream has to be done, on this node's clock; before `expires` if the sender ends
    /// soon and needs the rest of the time for the answer.
    pub deadline: Time,
    /// Time by which the route's latency objective asks for the answer, on this node's clock.
    pub objective: Option<Time>,
    /// Whether the sender tries another endpoint if the request cannot meet its objective here.
    pub spillable: bool,
    /// Route of the request.
    pub route: RouteId,
    /// Priority rank of the request.
    pub rank: Rank,
    /// Organisation of the caller, if the request belongs to one.
    pub organisation: Option<OrganisationId>,
    /// Whether an upstream makes the request as part of a run, which is lost if the request is.
    pub onward: bool,
    /// Weight of the request's flow among the flows of its rank.
    pub weight: u32,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Rate limit that the upstream has named in a recent response to the sender.
    pub rate_limit: Option<RequestRate>,
    /// Fingerprint of the request; `None` if the sender does not state it.
    pub fingerprint: Option<Fingerprint>,
    /// Number of upstreams that have crashed while they ran the request for its sender.
    pub seen_crashes: u32,
    /// Bytes of response bodies that wait on this instance to be sent.
    pub link_backlog: u64,
}

/// A query for the outcome of one attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OutcomeQuery {
    /// Identifier of the request.
    pub id: RequestId,
    /// Node that the attempt was sent to.
    pub intended_owner: NodeId,
    /// Number of the attempt that the sender is waiting for.
    pub attempt: u32,
    /// Expiry of the request, on the clock of the queried node.
    pub expires: Time,
    /// Whether to cancel the attempt if it has not started.
    pub cancel_if_queued: bool,
}

/// Events at the owner.
#[derive(Clone, Copy, Debug)]
pub enum Input {
    /// A request has arrived.
    Arrived(IncomingRequest),
    /// The upstream has ended a started request, or the connection to it has broken.
    Finished {
        /// Tag of the request.
        tag: u64,
        /// Whether the request ran, as far as is known.
        verdict: Verdict,
        /// Whether the upstream shed the request.
        shed: bool,
        /// Whether the answer is stored and can be fetched.
        stored: bool,
    },
    /// The upstream crashed while it ran the request: it broke the connection and accepts no other.
    UpstreamCrashed {
        /// Tag of the request.
        tag: u64,
    },
    /// The sender has disconnected or no longer needs the answer.
    Cancelled { tag: u64 },
    /// A sender queries the outcome of a request; [`Effect::ReportOutcome`] answers it.
    OutcomeQueried { tag: u64, query: OutcomeQuery },
    /// The upstream has announced its stage and how many requests it takes at once.
    UpstreamAnnounced { stage: Stage, slots: u32 },
    /// The upstream is warm, so that it can run as many requests as it has slots, or it still warms up.
    /// Without this input, the upstream counts as warming up when it gets slots.
    UpstreamWarmed { warm: bool },
    /// The upstream has begun a response.
    UpstreamResponded {
        /// What the response says of a rate limit.
        rate_limit: LimitNotice,
        /// Fingerprint of the request, if the upstream has served it. A response that reports a failure of the
        /// upstream does not show that the request is harmless: it can end at its deadline before it does harm.
        served: Option<Fingerprint>,
    },
    /// A response of the route has arrived completely.
    ResponseEnded { route: RouteId, bytes: u64 },
    /// The node is leaving and accepts requests for a while; none may run beyond `work_end`.
    EndScheduled { work_end: Time },
    /// The node is leaving: it finishes accepted requests and refuses new ones.
    Drain,
    /// The node is about to exit: requests that still wait are refused.
    Shutdown,
}

/// Rate limit of the upstream and the requests that were sent to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RateLimitReport {
    /// Limit that the upstream names now; `None` if it has just ended.
    pub limit: Option<RequestRate>,
    /// Number of requests that were sent to the upstream since the previous report on the limit.
    pub sent: u32,
    /// Time since the previous report on the limit; zero if this is the first one.
    pub elapsed: Duration,
}

/// A request that ran at the upstream when that crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CrashedRequest {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Number of the crash among those that this process has seen, from 1.
    pub crash: u32,
    /// Time for which the request had run.
    pub ran_for: Duration,
}

/// Actions that the state machine requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Dispatch the request to the upstream, which has to be done by `deadline`.
    Start { tag: u64, deadline: Time },
    /// Refuse the request.
    Refuse { tag: u64, refusal: Refusal },
    /// Abort the request at the upstream.
    Abort { tag: u64 },
    /// Answer an outcome query.
    ReportOutcome { tag: u64, outcome: Outcome },
    /// The upstream has named a limit or another one, or a second has passed since the last report on it.
    RateLimitReported(RateLimitReport),
    /// The request ran at the upstream when that crashed.
    RequestCrashed(CrashedRequest),
    /// All requests that were accepted before the drain have ended.
    Drained,
}
