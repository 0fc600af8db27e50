//! Message transport between nodes.
//!
//! This crate declares the extension point [`Transport`] for gossip messages and its plug-in `udp`,
//! and contains the client and server of the control calls, which use tarpc.

pub mod calls;

mod entry_log;
mod udp;

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;

use linkme::distributed_slice;

use kernel::Plugin;
use kernel::plugin;
use kernel::plugin::EXTENSION_POINTS;
use kernel::plugin::ExtensionPoint;
use member::Message;
use quarantine::Report;
use telemetry::Metrics;
use wire::rate_limits;

pub use entry_log::log_malformed_entries;

/// Registered transport plug-ins.
#[distributed_slice]
pub static TRANSPORT_PLUGINS: [Plugin<dyn Transport>];

#[distributed_slice(EXTENSION_POINTS)]
static EXTENSION_POINT: ExtensionPoint = ExtensionPoint {
    kind: "transport",
    names: || plugin::list_names(&TRANSPORT_PLUGINS),
};

/// Content of one datagram.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Datagram {
    /// Message of the membership protocol.
    Membership(Message),
    /// Reports on requests that crash upstreams.
    CrashReports(Vec<Report>),
    /// Request for a proof that a configuration is the newest, or its response.
    Freshness(fresh::Message),
    /// Message that keeps the rate limits of organisations.
    RateLimits(rate_limits::Message),
    /// Message about rollouts.
    Rollout(rollout::Message),
}

/// Callback for received datagrams, called with the address of the sender; must not block.
pub type DatagramHandler = Box<dyn Fn(SocketAddr, Datagram) + Send + Sync>;

/// Future that opens a transport and resolves to its sending side.
pub type OpenFuture<'a> = Pin<Box<dyn Future<Output = io::Result<Arc<dyn Sender>>> + Send + 'a>>;

/// Transport of gossip; datagrams may be lost, duplicated or reordered.
pub trait Transport: Send + Sync {
    /// Listens on `address` and passes received datagrams to `handler` until the returned sender is
    /// dropped.
    fn open(
        &self,
        address: SocketAddr,
        handler: DatagramHandler,
        metrics: Arc<Metrics>,
    ) -> OpenFuture<'_>;
}

/// Sending side of an open transport.
pub trait Sender: Send + Sync {
    /// Sends a datagram without waiting; one that cannot be sent at once is dropped and counted.
    fn send(&self, to: SocketAddr, datagram: &Datagram);
}
