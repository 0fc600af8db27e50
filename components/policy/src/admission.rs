//! Admission of requests at the node that owns an upstream.

use std::time::Duration;

use linkme::distributed_slice;

use errors::Reason;
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

/// Names a request at admission.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// A request that asks to run.
#[derive(Clone, Copy, Debug)]
pub struct Job {
    /// Its name until it is finished or refused.
    pub ticket: Ticket,
    /// Its route.
    pub route: RouteId,
    /// Its urgency.
    pub rank: Rank,
    /// Share of its route among the routes of its rank.
    pub weight: u32,
    /// When its answer is no longer of use.
    pub expires: Time,
    /// Until when its answer is worth most, if that is known; later it is worth less.
    pub objective: Option<Time>,
}

/// What becomes of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Run it now.
    Start(Ticket),
    /// Refuse it as not run.
    Refuse {
        /// The request.
        ticket: Ticket,
        /// Why.
        reason: Reason,
        /// When the sender may try again.
        retry_after: Duration,
    },
}

/// How a request that ran has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Completion {
    /// Time from dispatch to the end.
    pub latency: Duration,
    /// Whether the upstream shed it.
    pub shed: bool,
}

/// Load of an owner, as its answers carry it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub queued: u32,
    /// Requests that wait, by rank; a request waits for those of its own and of more urgent ranks.
    pub queued_by_rank: [u32; Rank::COUNT],
    /// Requests that may run at once.
    pub limit: u32,
    /// The least urgent rank that is accepted now.
    pub least_urgent_accepted: Rank,
}

/// Decides which request runs, waits or is refused at one upstream.
pub trait Admission: Send {
    /// Sets how many requests the upstream takes at once; 0 while it is not ready.
    fn set_slots(&mut self, now: Time, slots: u32, decisions: &mut Vec<Decision>);

    /// Takes a request in; each one gets exactly one decision, now or later, unless cancelled.
    fn offer(&mut self, now: Time, job: Job, decisions: &mut Vec<Decision>);

    /// A started request has ended.
    fn finish(
        &mut self,
        now: Time,
        ticket: Ticket,
        finish: Completion,
        decisions: &mut Vec<Decision>,
    );

    /// Forgets a waiting request; tells whether it was waiting.
    fn cancel(&mut self, now: Time, ticket: Ticket) -> bool;

    /// Refuses those that cannot finish in time any more.
    fn wake(&mut self, now: Time, decisions: &mut Vec<Decision>);

    /// When `wake` is due next.
    fn next_wake(&self) -> Option<Time>;

    /// The present load.
    fn load(&self) -> Load;
}
