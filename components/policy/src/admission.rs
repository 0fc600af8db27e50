//! Admission of requests at the node that owns an upstream.

use std::time::Duration;

use linkme::distributed_slice;

use crate::RequestRate;
use errors::Reason;
use ids::OrganisationId;
use ids::Rank;
use ids::RouteId;
use kernel::Plugin;
use kernel::Time;
use kernel::plugin;
use kernel::plugin::EXTENSION_POINTS;
use kernel::plugin::ExtensionPoint;

/// Registered admission plug-ins.
#[distributed_slice]
pub static ADMISSION_PLUGINS: [Plugin<dyn Admission>];

#[distributed_slice(EXTENSION_POINTS)]
static EXTENSION_POINT: ExtensionPoint = ExtensionPoint {
    kind: "admission",
    names: || plugin::list_names(&ADMISSION_PLUGINS),
};

/// Identifies a request from [`Admission::offer`] until it is refused, cancelled or finished.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// A request that is offered for admission.
#[derive(Clone, Copy, Debug)]
pub struct Job {
    /// Identifier of the request.
    pub ticket: Ticket,
    /// Route of the request.
    pub route: RouteId,
    /// Priority of the request.
    pub rank: Rank,
    /// Weight of the request's route and organisation in the slot time of its rank, relative to the others.
    pub weight: u32,
    /// Time from which the response is of no use.
    pub expires: Time,
    /// Time by which the response should arrive, if the operator has set an objective; a later one
    /// is worth less, but still of use until `expires`.
    pub objective: Option<Time>,
    /// Whether the sender tries another endpoint if this one refuses the request.
    pub spillable: bool,
    /// Whether an upstream makes the request as part of a run, which is lost if the request is.
    pub onward: bool,
    /// Organisation of the request, if it belongs to one.
    pub organisation: Option<OrganisationId>,
}

/// Decision about a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The request runs now.
    Start(Ticket),
    /// The request is refused and does not run.
    Refuse {
        /// Identifier of the request.
        ticket: Ticket,
        /// Reason for the refusal.
        reason: Reason,
        /// Time after which the sender may retry.
        retry_after: Duration,
    },
}

/// How a request that ran ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Completion {
    /// Time from [`Decision::Start`] to the end of the request.
    pub latency: Duration,
    /// Whether the upstream shed the request instead of serving it.
    pub shed: bool,
}

/// Load of an owner, which it reports with its responses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Number of running requests.
    pub running: u32,
    /// Number of waiting requests.
    pub queued: u32,
    /// Number of waiting requests of each rank; a request waits for those of its own rank and of
    /// more urgent ones.
    pub queued_by_rank: [u32; Rank::REQUEST_COUNT],
    /// Number of requests that may run at once, or that run on average if the upstream limits their rate.
    pub limit: u32,
    /// Least urgent rank whose requests are accepted at present, or the last rank of those that the owner
    /// knows.
    pub least_urgent_accepted: Rank,
    /// Time until the link of the instance has carried the large responses that wait or are expected; zero
    /// without a link rate.
    pub link_busy: Duration,
}

impl Load {
    /// Whether requests of this rank are accepted at present. An owner that refuses a rank has waiting
    /// requests of it, so if none waits beyond the last rank of an organisation, that is just the last rank
    /// that the owner knows.
    pub fn accepts(&self, rank: Rank) -> bool {
        let last = self.least_urgent_accepted;
        let beyond = self.queued_by_rank.iter().skip(last.index() + 1);
        let is_last_known = last.of_route().index() + 1 == Rank::COUNT;
        rank <= last || (is_last_known && rank.index() >= Rank::COUNT && beyond.sum::<u32>() == 0)
    }
}

/// Decides which requests run, wait or are refused at one upstream.
pub trait Admission: Send {
    /// Sets the number of requests that the upstream declares to run at once; 0 while it is not
    /// ready.
    fn set_slots(&mut self, now: Time, slots: u32, decisions: &mut Vec<Decision>);

    /// Ends the slow start of an upstream that is known to be warm, so that it gets all its slots.
    fn end_slow_start(&mut self, now: Time, decisions: &mut Vec<Decision>);

    /// Sets the rate of requests that the upstream accepts; `None` if it names no limit.
    fn set_rate_limit(
        &mut self,
        now: Time,
        rate: Option<RequestRate>,
        decisions: &mut Vec<Decision>,
    );

    /// Offers a request. Each request gets exactly one decision, now or later, unless it is
    /// cancelled.
    fn offer(&mut self, now: Time, job: Job, decisions: &mut Vec<Decision>);

    /// Reports that a started request has ended.
    fn finish(
        &mut self,
        now: Time,
        ticket: Ticket,
        completion: Completion,
        decisions: &mut Vec<Decision>,
    );

    /// Removes a waiting request, which then gets no decision; tells whether it was waiting.
    fn cancel(&mut self, now: Time, ticket: Ticket) -> bool;

    /// Refuses the waiting requests that can no longer finish before they expire.
    fn wake(&mut self, now: Time, decisions: &mut Vec<Decision>);

    /// Time at which to call [`Admission::wake`] next; `None` if nothing is due.
    fn next_wake(&self) -> Option<Time>;

    /// Present load.
    fn load(&self) -> Load;
}
