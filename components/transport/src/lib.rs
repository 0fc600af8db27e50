//! Carries messages between nodes.
//!
//! Declares the extension point [`Transport`] for gossip datagrams with the plug-in `udp`, and holds
//! the client and server of control calls over tarpc.

pub mod calls;

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
use telemetry::Counters;

/// Registered transport plug-ins.
#[distributed_slice]
pub static TRANSPORT_PLUGINS: [Plugin<dyn Transport>];

#[distributed_slice(EXTENSION_POINTS)]
static EXTENSION_POINT: ExtensionPoint = ExtensionPoint {
    kind: "transport",
    names: || plugin::list_names(&TRANSPORT_PLUGINS),
};

/// Takes messages that arrive; must not block.
pub type MessageHandler = Box<dyn Fn(SocketAddr, Message) + Send + Sync>;

/// Future of opening a transport.
pub type OpenFuture<'a> = Pin<Box<dyn Future<Output = io::Result<Arc<dyn Sender>>> + Send + 'a>>;

/// Carries gossip messages, which may be lost, repeated or reordered.
pub trait Transport: Send + Sync {
    /// Listens on `address`; messages go to `inbox` until the sender is dropped.
    fn open(
        &self,
        address: SocketAddr,
        inbox: MessageHandler,
        counters: Arc<Counters>,
    ) -> OpenFuture<'_>;
}

/// Sending side of an open transport.
pub trait Sender: Send + Sync {
    /// Sends a message if that is possible at once; otherwise it is lost and counted.
    fn send(&self, to: SocketAddr, message: &Message);
}
