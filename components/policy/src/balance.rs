//! Choice of an endpoint.

use linkme::distributed_slice;

use crate::Load;
use ids::NodeId;
use kernel::Plugin;
use kernel::Random;
use kernel::plugin;
use kernel::plugin::EXTENSION_POINTS;
use kernel::plugin::ExtensionPoint;

/// Registered balancing plug-ins.
#[distributed_slice]
pub static BALANCE_PLUGINS: [Plugin<dyn Balance>];

#[distributed_slice(EXTENSION_POINTS)]
static EXTENSION_POINT: ExtensionPoint = ExtensionPoint {
    kind: "balance",
    names: || plugin::list_names(&BALANCE_PLUGINS),
};

/// An endpoint that can be chosen.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Its node.
    pub node: NodeId,
    /// Whether it is in the sender's failure domain.
    pub same_domain: bool,
    /// Requests of this sender, as urgent as the one to send or more, that it has not answered.
    pub in_flight: u32,
    /// Requests that its upstream runs at once.
    pub slots: u32,
    /// Load that it reported, reduced with the age of the report; `None` without a recent report.
    /// What waits counts only up to the rank of the request to send.
    pub load: Option<Load>,
    /// Share of a full endpoint's work that it should get, in thousandths; lower while it is new or
    /// has just returned.
    pub weight: u32,
}

/// Chooses among endpoints.
pub trait Balance: Send {
    /// Position of the choice; `None` only if there are no candidates.
    fn choose(&mut self, candidates: &[Candidate], random: &mut dyn Random) -> Option<usize>;
}
