//! Traffic side of a node, below any protocol.
//!
//! [`TrafficDriver`] runs the pure entry and owner machines under short locks and turns their effects into
//! futures. [`FrontEnd`] is the extension point of the front ends that speak a protocol with callers,
//! nodes and the upstream; each is a crate of its own.

mod agent;
mod driver;
mod judgement;
mod permit;
mod query;

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;

use linkme::distributed_slice;
use tokio_util::sync::CancellationToken;

use kernel::Plugin;
use kernel::plugin;
use kernel::plugin::EXTENSION_POINTS;
use kernel::plugin::ExtensionPoint;

pub use agent::AGENT_PLUGINS;
pub use agent::Agent;
pub use driver::TrafficDriver;
pub use driver::TrafficDriverParts;
pub use permit::Permit;
pub use query::query_outcome;

/// Registered front ends.
#[distributed_slice]
pub static FRONT_END_PLUGINS: [Plugin<dyn FrontEnd>];

#[distributed_slice(EXTENSION_POINTS)]
static EXTENSION_POINT: ExtensionPoint = ExtensionPoint {
    kind: "front",
    names: || plugin::list_names(&FRONT_END_PLUGINS),
};

/// Addresses that a front end works with.
#[derive(Clone, Copy, Debug)]
pub struct FrontEndAddresses {
    /// Listens for callers and for onward calls of the upstream.
    pub callers: SocketAddr,
    /// Listens for requests of other nodes.
    pub requests: SocketAddr,
    /// The upstream.
    pub upstream: SocketAddr,
}

/// Future of a front end; ends when all connections have ended after `stop`.
pub type ServeFuture = Pin<Box<dyn Future<Output = ()> + Send>>;

/// Future of starting a front end.
pub type StartFuture<'a> = Pin<Box<dyn Future<Output = io::Result<ServeFuture>> + Send + 'a>>;

/// Speaks a protocol with callers, nodes and the upstream.
pub trait FrontEnd: Send + Sync {
    /// Listens on the addresses; the inner future serves until `stop`.
    fn start(
        &self,
        addresses: FrontEndAddresses,
        driver: Arc<TrafficDriver>,
        stop: CancellationToken,
    ) -> StartFuture<'_>;
}
