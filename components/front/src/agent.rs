//! Extension point `agent`: protocols of the platform that an instance runs on.

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

/// Registered agent plug-ins.
#[distributed_slice]
pub static AGENT_PLUGINS: [Plugin<dyn Agent>];

#[distributed_slice(EXTENSION_POINTS)]
static EXTENSION_POINT: ExtensionPoint = ExtensionPoint {
    kind: "agent",
    names: || plugin::list_names(&AGENT_PLUGINS),
};

/// Listens for announcements of the upstream and for readiness probes in the platform's protocol.
pub trait Agent: Send + Sync {
    /// Opens the listeners. The inner future serves them until it is dropped; it sends announcements
    /// to the control thread through `inputs`.
    fn start(&self, driver: Arc<TrafficDriver>, inputs: mpsc::Sender<Input>) -> StartFuture<'_>;
}

#[distributed_slice(AGENT_PLUGINS)]
static PLUGIN: Plugin<dyn Agent> = Plugin {
    name: "none",
    make: |params| {
        params.check_names(&[])?;
        Ok(Box::new(NoAgent))
    },
};

/// Agent that does nothing; the upstream announces itself at the admin address.
struct NoAgent;

impl Agent for NoAgent {
    fn start(&self, _: Arc<TrafficDriver>, _: mpsc::Sender<Input>) -> StartFuture<'_> {
        Box::pin(async {
            let serving: crate::ServeFuture = Box::pin(std::future::pending());
            Ok(serving)
        })
    }
}
