//! No ejection.

use linkme::distributed_slice;

use ids::NodeId;
use kernel::Plugin;
use kernel::Time;
use policy::HEALTHS;
use policy::Health;
use policy::Judgement;

#[distributed_slice(HEALTHS)]
static PLUGIN: Plugin<dyn Health> = Plugin {
    name: "none",
    make: |params| {
        params.check_names(&[])?;
        Ok(Box::new(NoEjection))
    },
};

/// Ejects nobody.
#[derive(Clone, Copy, Debug)]
pub struct NoEjection;

impl Health for NoEjection {
    fn record(&mut self, _: Time, _: NodeId, _: bool) -> Option<Judgement> {
        None
    }

    fn retain_healthy(&mut self, _: Time, _: &mut Vec<NodeId>) {}
}
