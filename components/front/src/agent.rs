//! Extension point of the agents, which speak with the surroundings of an instance.

use std::sync::Arc;

use linkme::distributed_slice;
use tokio::sync::mpsc;

use crate::StartFuture;
use crate::TrafficDriver;
use control::Input;
use kernel::Plugin;
use kernel::plugin;
use kernel::plugin::EXTENSION_POINTS;
use kernel::plugin::ExtensionPoint;

/// Registered agents.
#[distributed_slice]
pub static AGENT_PLUGINS: [Plugin<dyn Agent>];

#[distributed_slice(EXTENSION_POINTS)]
static EXTENSION_POINT: ExtensionPoint = ExtensionPoint {
    kind: "agent",
    names: || plugin::list_names(&AGENT_PLUGINS),
};

/// Listens for announcements of the upstream and for questions about the node's readiness, in the
/// protocol of the instance's surroundings.
pub trait Agent: Send + Sync {
    /// Listens; the inner future serves until it is dropped.
    fn start(&self, driver: Arc<TrafficDriver>, inputs: mpsc::Sender<Input>) -> StartFuture<'_>;
}

#[distributed_slice(AGENT_PLUGINS)]
static NONE: Plugin<dyn Agent> = Plugin {
    name: "none",
    make: |params| {
        params.check_names(&[])?;
        Ok(Box::new(Absent))
    },
};

/// No agent: the admin address takes announcements.
struct Absent;

impl Agent for Absent {
    fn start(&self, _: Arc<TrafficDriver>, _: mpsc::Sender<Input>) -> StartFuture<'_> {
        Box::pin(async {
            let serving: crate::ServeFuture = Box::pin(std::future::pending());
            Ok(serving)
        })
    }
}
