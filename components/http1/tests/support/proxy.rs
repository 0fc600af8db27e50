//! A TCP proxy that can stop relaying on its open connections while new connections work.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::watch;

use super::raw::free_address;

/// Number of the first connection that relays; connections with a lower number hold back their bytes.
type FirstRelaying = watch::Receiver<usize>;

/// A running proxy. Connections are numbered in the order in which they were accepted.
pub(crate) struct Proxy {
    pub(crate) address: SocketAddr,
    /// Connections accepted since the start.
    pub(crate) accepted_connections: Arc<AtomicUsize>,
    first_relaying_requests: watch::Sender<usize>,
    first_relaying_responses: watch::Sender<usize>,
}

impl Proxy {
    /// Starts a proxy that relays to `target`.
    pub(crate) async fn start(target: SocketAddr) -> Self {
        let address = free_address();
        let listener = TcpListener::bind(address).await.unwrap();
        let accepted_connections = Arc::new(AtomicUsize::new(0));
        let (first_relaying_requests, requests) = watch::channel(0);
        let (first_relaying_responses, responses) = watch::channel(0);
        let connection_counter = Arc::clone(&accepted_connections);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let number = connection_counter.fetch_add(1, Ordering::SeqCst);
                let Ok(target_stream) = TcpStream::connect(target).await else {
                    continue;
                };
                let (from_entry, to_entry) = stream.into_split();
                let (from_owner, to_owner) = target_stream.into_split();
                tokio::spawn(relay(from_entry, to_owner, number, requests.clone()));
                tokio::spawn(relay(from_owner, to_entry, number, responses.clone()));
            }
        });
        Self {
            address,
            accepted_connections,
            first_relaying_requests,
            first_relaying_responses,
        }
    }

    /// Holds back the requests, the responses or both that arrive from now on on the open connections.
    pub(crate) fn silence(&self, requests: bool, responses: bool) {
        let accepted_count = self.accepted_connections.load(Ordering::SeqCst);
        for (sender, held_back) in [
            (&self.first_relaying_requests, requests),
            (&self.first_relaying_responses, responses),
        ] {
            if held_back {
                sender.send_replace(accepted_count);
            }
        }
    }

    /// Relays the bytes that were held back and all later ones.
    pub(crate) fn resume(&self) {
        self.first_relaying_requests.send_replace(0);
        self.first_relaying_responses.send_replace(0);
    }
}

/// Relays bytes in one direction of connection `number`, as long as it may relay.
async fn relay(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    number: usize,
    mut first_relaying: FirstRelaying,
) {
    let mut chunk = vec![0; 65_536];
    while let Ok(read @ 1..) = from.read(&mut chunk).await {
        let may_relay = first_relaying
            .wait_for(|first| number >= *first)
            .await
            .is_ok();
        if !may_relay || to.write_all(&chunk[..read]).await.is_err() {
            return;
        }
    }
}
