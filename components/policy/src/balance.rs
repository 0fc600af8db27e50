//! Load balancing: the choice of an endpoint for an attempt.

use linkme::distributed_slice;

use crate::Load;
use ids::NodeId;
use kernel::Plugin;
use kernel::Random;
use kernel::plugin;
use kernel::plugin::EXTENSION_POINTS;
use kernel::plugin::ExtensionPoint;

/// Registered load balancing plug-ins.
#[distributed_slice]
pub static BALANCE_PLUGINS: [Plugin<dyn Balance>];

#[distributed_slice(EXTENSION_POINTS)]
static EXTENSION_POINT: ExtensionPoint = ExtensionPoint {
    kind: "balance",
    names: || plugin::list_names(&BALANCE_PLUGINS),
};

/// [`Candidate::slowness`] of an average endpoint, or of one that has not responded yet.
pub const AVERAGE_SLOWNESS: u32 = 1_000;

/// An endpoint that can be chosen.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Node of the endpoint.
    pub node: NodeId,
    /// Whether the endpoint is in the sender's failure domain.
    pub same_domain: bool,
    /// Unanswered requests of this sender to the endpoint that are at least as urgent as the
    /// request to send.
    pub in_flight: u32,
    /// Number of requests that the endpoint's upstream declares to run at once.
    pub slots: u32,
    /// Load that the endpoint reported, reduced with the age of the report; `None` without a recent
    /// report. Waiting requests count only if they are at least as urgent as the request to send, and the
    /// link only if the response to it is large.
    pub load: Option<Load>,
    /// Share of the requests of a fully used endpoint that this one should get, in thousandths;
    /// lower during slow start and after an ejection.
    pub weight: u32,
    /// Response time of the endpoint in thousandths of that of an average one, as this sender has seen it.
    pub slowness: u32,
}

/// Chooses an endpoint for an attempt.
pub trait Balance: Send {
    /// Index of the chosen candidate; `None` only if there are no candidates.
    fn choose(&mut self, candidates: &[Candidate], random: &mut dyn Random) -> Option<usize>;
}
