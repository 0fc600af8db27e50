//! Traffic side of a node, independent of any protocol.
//!
//! [`TrafficDriver`] steps the entry and owner state machines, which do no I/O, under short locks and
//! resolves futures by their effects. [`FrontEnd`] is the extension point for the protocols spoken with
//! callers, other nodes and the upstream; each front end is a crate of its own.

mod agent;
mod driver;
mod health_log;
mod key_validity;
mod limit_log;
mod link_pacer;
mod permit;
mod query;
mod rate_limits;
mod token;
mod upstream_log;

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
pub use key_validity::KeyValidity;
pub use link_pacer::LinkPacer;
pub use link_pacer::LinkSlot;
pub use permit::Permit;
pub use query::query_outcome;
pub use token::Token;

/// Registered front end plug-ins.
#[distributed_slice]
pub static FRONT_END_PLUGINS: [Plugin<dyn FrontEnd>];

#[distributed_slice(EXTENSION_POINTS)]
static EXTENSION_POINT: ExtensionPoint = ExtensionPoint {
    kind: "front",
    names: || plugin::list_names(&FRONT_END_PLUGINS),
};

/// Addresses that a front end listens on and connects to.
#[derive(Clone, Copy, Debug)]
pub struct FrontEndAddresses {
    /// Listen address for callers and for calls that the upstream itself makes.
    pub callers: SocketAddr,
    /// Listen address for requests that other nodes forward.
    pub requests: SocketAddr,
    /// Address of the upstream of this instance.
    pub upstream: SocketAddr,
}

/// Future that serves the opened listeners of a front end or agent.
pub type ServeFuture = Pin<Box<dyn Future<Output = ()> + Send>>;

/// Future that opens the listeners of a front end or agent; fails if an address cannot be bound.
pub type StartFuture<'a> = Pin<Box<dyn Future<Output = io::Result<ServeFuture>> + Send + 'a>>;

/// Serves callers and other nodes and calls the upstream in one protocol.
pub trait FrontEnd: Send + Sync {
    /// Opens the listeners. The inner future serves them until `stop` is cancelled, and ends once all
    /// connections have ended.
    fn start(
        &self,
        addresses: FrontEndAddresses,
        driver: Arc<TrafficDriver>,
        stop: CancellationToken,
    ) -> StartFuture<'_>;
}
