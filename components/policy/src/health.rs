//! Outlier detection: ejection of endpoints by the outcomes of their requests.

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

/// Weight of a healthy endpoint, in thousandths.
pub const FULL_WEIGHT: u32 = 1_000;

/// Change of the health state of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthChange {
    /// The endpoint gets no requests for `duration`.
    Ejected {
        /// Duration of the ejection.
        duration: Duration,
        /// Consecutive ejections, including this one.
        ejections: u32,
        /// Consecutive failures.
        consecutive_failures: u32,
        /// Number of failures among the `outcomes`.
        failures: u32,
        /// Number of outcomes that were considered.
        outcomes: u32,
    },
    /// The endpoint gets requests again.
    Readmitted,
}

/// Tracks the health of endpoints, each identified by its node.
pub trait Health: Send {
    /// Records that a request to `node` succeeded, or failed for a reason that lies with the node.
    /// Returns the change of its health state, if there is one.
    fn record_outcome(&mut self, now: Time, node: NodeId, success: bool) -> Option<HealthChange>;

    /// Records whether the upstream of `node` shed a request or accepted it.
    fn record_shed(&mut self, _now: Time, _node: NodeId, _shed: bool) {}

    /// Removes ejected nodes from `nodes`, which is sorted. A bound on ejections can keep some of
    /// them.
    fn retain_healthy(&mut self, now: Time, nodes: &mut Vec<NodeId>);

    /// Records that a request is sent to `node`.
    fn record_sent(&mut self, _now: Time, _node: NodeId) {}

    /// Whether the next request to `node` is a trial request, whose outcome ends or prolongs its
    /// ejection.
    fn is_trial_due(&self, _now: Time, _node: NodeId) -> bool {
        false
    }

    /// Share of the requests of a healthy endpoint that `node` should get, in thousandths.
    fn weight(&self, _now: Time, _node: NodeId) -> u32 {
        FULL_WEIGHT
    }

    /// Drops the state of all nodes except `nodes`, which is sorted.
    fn retain_nodes(&mut self, _nodes: &[NodeId]) {}
}
