//! Client and server of the control calls between nodes, over tarpc.

use std::io;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use futures::StreamExt;
use futures::future;
use quick_error::quick_error;
use tarpc::client;
use tarpc::context;
use tarpc::serde_transport::tcp;
use tarpc::server::BaseChannel;
use tarpc::server::Channel;
use tarpc::server::incoming::Incoming;
use tarpc::tokio_serde::formats::Bincode;

use wire::control::MAX_FRAME_BYTES;
use wire::control::Peer;
use wire::control::PeerClient;

/// Time limit of a pull on an open connection. Other pulls begin while one is overdue, and a node with a
/// link of 7 Mbit/s gets the largest message in this time though three others share the link.
pub const PULL_TIMEOUT: Duration = Duration::from_secs(6);
/// Maximum number of calls that one connection processes at a time.
const MAX_CALLS_PER_CONNECTION: usize = 8;
/// Maximum number of connections from one IP address.
const MAX_CONNECTIONS_PER_ADDRESS: u32 = 256;

quick_error! {
    /// Why a control call failed.
    #[derive(Debug)]
    pub enum Error {
        /// The connection could not be opened.
        Connect(error: io::Error) {
            from()
            display("cannot connect: {error}")
        }
        /// The call failed or exceeded its deadline.
        Call(error: client::RpcError) {
            from()
            display("call failed: {error}")
        }
        /// The response violates the protocol.
        Malformed {
            display("malformed response")
        }
        /// The connection was not established in time.
        Timeout {
            display("timed out while connecting")
        }
    }
}

/// Opens a connection for one or more calls; fails if it is not established within `timeout`.
pub async fn connect(to: SocketAddr, timeout: Duration) -> Result<PeerClient, Error> {
    let mut connect = tcp::connect(to, Bincode::default);
    connect.config_mut().max_frame_length(MAX_FRAME_BYTES);
    let stream = tokio::time::timeout(timeout, connect)
        .await
        .map_err(|_| Error::Timeout)??;
    Ok(PeerClient::new(client::Config::default(), stream).spawn())
}

/// Returns a context for a call that fails if it takes longer than `timeout`.
pub fn context_with_timeout(timeout: Duration) -> context::Context {
    let mut context = context::current();
    context.deadline = Instant::now() + timeout;
    context
}

/// Listens on `address` and returns a future that serves the calls, each with a clone of `handler`,
/// until it is dropped.
pub async fn listen<H>(address: SocketAddr, handler: H) -> io::Result<impl Future<Output = ()>>
where
    H: Peer + Clone + Send + 'static,
{
    let mut listener = tcp::listen(address, Bincode::default).await?;
    listener.config_mut().max_frame_length(MAX_FRAME_BYTES);
    Ok(listener
        .filter_map(|accepted| future::ready(accepted.ok()))
        .map(BaseChannel::with_defaults)
        .max_channels_per_key(MAX_CONNECTIONS_PER_ADDRESS, |channel| {
            let address = channel.transport().peer_addr();
            address.map_or(IpAddr::V4(Ipv4Addr::UNSPECIFIED), |address| address.ip())
        })
        .for_each_concurrent(None, move |channel| {
            let handler = handler.clone();
            channel.execute(handler.serve()).for_each_concurrent(
                MAX_CALLS_PER_CONNECTION,
                |response| async move {
                    response.await;
                },
            )
        }))
}
