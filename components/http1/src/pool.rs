//! Connections to other nodes: one request at a time each.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use http_body_util::BodyExt;
use hyper::Request;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::answer::parse_header;
use crate::body::Payload;
use crate::body::full;
use crate::clock::Remote;
use errors::Reason;
use ids::NodeId;
use kernel::Clock;
use kernel::Time;
use kernel::clock::Monotonic;
use wire::header;

/// Longest wait for a connection and the hello on it.
const CONNECT_LIMIT: Duration = Duration::from_millis(500);
/// Age after which an idle connection is closed, since it may have gone silent.
const MAX_IDLE: Duration = Duration::from_secs(1);
/// Idle connections kept for one address.
const MAX_IDLE_PER_ADDRESS: usize = 64;
/// Path of the hello between nodes.
pub(crate) const HELLO: &str = "/medlar/hello";
/// Header of the hello's answer with the node's clock, in microseconds.
pub(crate) const CLOCK: &str = "medlar-clock-us";

/// An open connection that no request uses.
pub(crate) struct Idle {
    pub(crate) sender: SendRequest<Payload>,
    pub(crate) remote: Remote,
}

struct Kept {
    address: SocketAddr,
    since: Time,
    idle: Idle,
}

/// Idle connections of all addresses.
#[derive(Default)]
pub(crate) struct Pool {
    /// Sorted by address; the most recent last within an address.
    kept: Mutex<Vec<Kept>>,
}

impl Pool {
    /// Takes an idle connection to `node` or opens one.
    pub(crate) async fn take(
        &self,
        address: SocketAddr,
        node: NodeId,
        clock: &Monotonic,
    ) -> Result<Idle, Reason> {
        while let Some(mut idle) = self.pop(address, clock.now()) {
            if idle.remote.node == node && idle.sender.ready().await.is_ok() {
                return Ok(idle);
            }
        }
        match timeout(CONNECT_LIMIT, open(address, clock)).await {
            Ok(Some(idle)) if idle.remote.node == node => Ok(idle),
            _ => Err(Reason::ConnectFailed),
        }
    }

    /// Keeps a connection whose answer was read to its end.
    pub(crate) fn keep(&self, address: SocketAddr, idle: Idle, now: Time) {
        if idle.sender.is_closed() {
            return;
        }
        let mut kept = self.kept.lock().unwrap_or_else(PoisonError::into_inner);
        kept.retain(|it| now.since(it.since) < MAX_IDLE);
        let first = kept.partition_point(|it| it.address < address);
        let end = kept.partition_point(|it| it.address <= address);
        if end - first < MAX_IDLE_PER_ADDRESS {
            kept.insert(
                end,
                Kept {
                    address,
                    since: now,
                    idle,
                },
            );
        }
    }

    fn pop(&self, address: SocketAddr, now: Time) -> Option<Idle> {
        let mut kept = self.kept.lock().unwrap_or_else(PoisonError::into_inner);
        kept.retain(|it| now.since(it.since) < MAX_IDLE);
        let end = kept.partition_point(|it| it.address <= address);
        let at = end
            .checked_sub(1)
            .filter(|at| kept[*at].address == address)?;
        Some(kept.remove(at).idle)
    }
}

/// Opens a connection and says hello on it.
async fn open(address: SocketAddr, clock: &Monotonic) -> Option<Idle> {
    let stream = TcpStream::connect(address).await.ok()?;
    stream.set_nodelay(true).ok()?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(connection);
    let hello = Request::get(HELLO)
        .header("host", "node")
        .body(full(""))
        .ok()?;
    let response = sender.send_request(hello).await.ok()?;
    let node = parse_header::<NodeId>(response.headers(), header::OWNER)?;
    let its_time = Time(parse_header(response.headers(), CLOCK)?);
    response.into_body().collect().await.ok()?;
    let remote = Remote {
        node,
        its_time,
        our_time: clock.now(),
    };
    sender.ready().await.ok()?;
    Some(Idle { sender, remote })
}
