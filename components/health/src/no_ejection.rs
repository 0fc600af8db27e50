//! Health plug-in that never ejects a node.

use linkme::distributed_slice;

use ids::NodeId;
use kernel::Plugin;
use kernel::Time;
use policy::HEALTH_PLUGINS;
use policy::Health;
use policy::HealthChange;

#[distributed_slice(HEALTH_PLUGINS)]
static PLUGIN: Plugin<dyn Health> = Plugin {
    name: "none",
    make: |params| {
        params.check_names(&[])?;
        Ok(Box::new(NoEjection))
    },
};

/// Treats every node as healthy.
#[derive(Clone, Copy, Debug)]
pub struct NoEjection;

impl Health for NoEjection {
    fn record_outcome(&mut self, _: Time, _: NodeId, _: bool) -> Option<HealthChange> {
        None
    }

    fn retain_healthy(&mut self, _: Time, _: &mut Vec<NodeId>) {}
}
