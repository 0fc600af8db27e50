//! Ejection of endpoints by the outcomes of requests.

use std::time::Duration;

use linkme::distributed_slice;

use ids::NodeId;
use kernel::Plugin;
use kernel::Time;
use kernel::plugin;
use kernel::plugin::EXTENSION_POINTS;
use kernel::plugin::ExtensionPoint;

/// Registered health plug-ins.
#[distributed_slice]
pub static HEALTH_PLUGINS: [Plugin<dyn Health>];

#[distributed_slice(EXTENSION_POINTS)]
static EXTENSION_POINT: ExtensionPoint = ExtensionPoint {
    kind: "health",
    names: || plugin::list_names(&HEALTH_PLUGINS),
};

/// Weight of an endpoint that nothing speaks against, in thousandths.
pub const FULL_WEIGHT: u32 = 1_000;

/// Change of the judgement on a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthChange {
    /// It gets no requests for `time`.
    Ejected {
        /// Length of the ejection.
        duration: Duration,
        /// Ejections in a row, with this one.
        ejections: u32,
        /// Failures in a row.
        consecutive_failures: u32,
        /// Failures among the `outcomes`.
        failures: u32,
        /// Outcomes that counted.
        outcomes: u32,
    },
    /// It gets requests again.
    Readmitted,
}

/// Judges endpoints.
pub trait Health: Send {
    /// A request to `node` went well or failed for a reason that lies with the node. Tells whether
    /// that changes the judgement on it.
    fn record_outcome(&mut self, now: Time, node: NodeId, success: bool) -> Option<HealthChange>;

    /// The upstream of `node` shed a request or took one.
    fn record_shed(&mut self, _now: Time, _node: NodeId, _shed: bool) {}

    /// Takes out of `nodes` (sorted) those that are ejected, within the bound on ejections.
    fn retain_healthy(&mut self, now: Time, nodes: &mut Vec<NodeId>);

    /// A request goes to `node`.
    fn record_sent(&mut self, _now: Time, _node: NodeId) {}

    /// Whether the next request to `node` decides if it returns from ejection.
    fn is_trial_due(&self, _now: Time, _node: NodeId) -> bool {
        false
    }

    /// Share of a healthy endpoint's work that `node` should get, in thousandths.
    fn weight(&self, _now: Time, _node: NodeId) -> u32 {
        FULL_WEIGHT
    }

    /// Forgets all nodes but these (sorted).
    fn retain_nodes(&mut self, _nodes: &[NodeId]) {}
}
