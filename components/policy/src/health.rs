//! Ejection of endpoints by the outcomes of requests.

use linkme::distributed_slice;

use ids::NodeId;
use kernel::Plugin;
use kernel::Time;
use kernel::plugin;
use kernel::plugin::EXTENSIONS;
use kernel::plugin::Extension;

/// Registered health plug-ins.
#[distributed_slice]
pub static HEALTHS: [Plugin<dyn Health>];

#[distributed_slice(EXTENSIONS)]
static EXTENSION: Extension = Extension {
    kind: "health",
    names: || plugin::list_names(&HEALTHS),
};

/// Judges endpoints.
pub trait Health: Send {
    /// A request to `node` went well or failed for a reason that lies with the node.
    fn record(&mut self, now: Time, node: NodeId, good: bool);

    /// Takes out of `nodes` (sorted) those that are ejected, within the bound on ejections.
    fn retain_healthy(&mut self, now: Time, nodes: &mut Vec<NodeId>);
}
