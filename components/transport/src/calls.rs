//! Control calls over tarpc: `pull` and `outcome`.

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

/// Calls that one connection may have open.
const MAX_CALLS_PER_CONNECTION: usize = 8;
/// Connections from one address.
const MAX_CONNECTIONS_PER_ADDRESS: u32 = 256;

quick_error! {
    /// Why a control call failed.
    #[derive(Debug)]
    pub enum Error {
        /// No connection could be opened.
        Connect(error: io::Error) {
            from()
            display("no connection: {error}")
        }
        /// The call failed or took too long.
        Call(error: client::RpcError) {
            from()
            display("call failed: {error}")
        }
        /// The answer breaks the protocol.
        Malformed {
            display("malformed answer")
        }
        /// Opening the connection took too long.
        Timeout {
            display("no connection in time")
        }
    }
}

/// Opens a connection for one or more calls.
pub async fn connect(to: SocketAddr, limit: Duration) -> Result<PeerClient, Error> {
    let mut connect = tcp::connect(to, Bincode::default);
    connect.config_mut().max_frame_length(MAX_FRAME_BYTES);
    let stream = tokio::time::timeout(limit, connect)
        .await
        .map_err(|_| Error::Timeout)??;
    Ok(PeerClient::new(client::Config::default(), stream).spawn())
}

/// A context whose call ends after `limit`.
pub fn context_with_timeout(limit: Duration) -> context::Context {
    let mut context = context::current();
    context.deadline = Instant::now() + limit;
    context
}

/// Listens on `address` and answers with clones of `handler` until the future is dropped.
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
                |answer| async move {
                    answer.await;
                },
            )
        }))
}
