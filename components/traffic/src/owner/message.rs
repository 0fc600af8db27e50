//! What the owner takes in and what it asks for.

use crate::Refusal;
use crate::ledger::Outcome;
use errors::Verdict;
use ids::NodeId;
use ids::Rank;
use ids::RequestId;
use ids::RouteId;
use kernel::Time;
use member::Stage;

/// A request as it arrives at the owner.
#[derive(Clone, Copy, Debug)]
pub struct IncomingRequest {
    /// Name by which the effects refer to it.
    pub tag: u64,
    /// Identity.
    pub id: RequestId,
    /// Number of the attempt, from 1; the sender sends each attempt once.
    pub attempt: u32,
    /// The node that it was sent to.
    pub intended_owner: NodeId,
    /// When its answer is no longer of use, on this node's clock.
    pub expires: Time,
    /// Until when its answer is worth most, on this node's clock.
    pub objective: Option<Time>,
    /// Its route.
    pub route: RouteId,
    /// Its urgency.
    pub rank: Rank,
    /// Share of its route among the routes of its rank.
    pub weight: u32,
    /// Whether it can run more than once without harm.
    pub idempotent: bool,
}

/// An outcome query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OutcomeQuery {
    /// The request.
    pub id: RequestId,
    /// The node that the attempt was sent to.
    pub intended_owner: NodeId,
    /// Number of the attempt that the sender waits for.
    pub attempt: u32,
    /// When the request expires, on the clock of the node that is asked.
    pub expires: Time,
    /// Whether the sender no longer waits for this attempt if it has not started.
    pub cancel_if_queued: bool,
}

/// What can happen at the owner.
#[derive(Clone, Copy, Debug)]
pub enum Input {
    /// A request arrived.
    Arrived(IncomingRequest),
    /// The upstream has ended a started request, or its connection broke.
    Finished {
        /// The request.
        tag: u64,
        /// What is known of its execution.
        verdict: Verdict,
        /// Whether the upstream shed it.
        shed: bool,
        /// Whether the shell keeps its answer.
        stored: bool,
    },
    /// The sender left or no longer needs the answer.
    Cancelled { tag: u64 },
    /// A sender asks what became of a request; answered by [`Effect::ReportOutcome`].
    OutcomeQueried { tag: u64, query: OutcomeQuery },
    /// The upstream announced itself.
    UpstreamAnnounced { stage: Stage, slots: u32 },
    /// The node leaves: what was accepted is finished, new requests are refused.
    Drain,
}

/// What the owner asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Give the request to the upstream.
    Start { tag: u64 },
    /// Refuse the request.
    Refuse { tag: u64, refusal: Refusal },
    /// Cancel the request at the upstream.
    Abort { tag: u64 },
    /// Answer an outcome query.
    ReportOutcome { tag: u64, outcome: Outcome },
    /// All that was accepted before the drain has ended.
    Drained,
}
