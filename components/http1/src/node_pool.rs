//! Pool of connections to other nodes; each carries one request at a time.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::header::HOST;
use hyper::header::HeaderValue;
use tokio::time::timeout;

use crate::body::Payload;
use crate::body::full;
use crate::connection::ClientConnection;
use crate::connection::ConnectionLimit;
use crate::head;
use crate::peer_clock::PeerClock;
use crate::responses::parse_header;
use crate::stored_responses;
use errors::Reason;
use front::LinkPacer;
use ids::NodeId;
use ids::RequestId;
use kernel::Clock;
use kernel::Time;
use kernel::clock::MonotonicClock;
use wire::header;

/// Limits on the heads of responses of other nodes.
const RESPONSE_LIMITS: head::Limits = head::Limits::UPSTREAM_RESPONSE.between_nodes();
/// Timeout for opening a connection, including the hello on it.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout for fetching a stored response.
const FETCH_TIMEOUT: Duration = Duration::from_secs(2);
/// Time after which an idle connection is checked or closed, because the other node may no longer
/// be reachable.
const MAX_UNCHECKED_TIME: Duration = Duration::from_secs(1);
/// Time without requests after which an idle connection is closed.
const MAX_UNUSED_TIME: Duration = Duration::from_secs(10);
/// Time between two sweeps over the idle connections.
pub(crate) const SWEEP_PERIOD: Duration = Duration::from_millis(250);
/// Number of connections checked per sweep. A check takes about 400 bytes, and control traffic may
/// use 3 KB/s.
const HEARTBEATS_PER_SWEEP: usize = 2;
/// Limit on open connections to one node.
const MAX_CONNECTIONS_PER_ADDRESS: usize = 128;
/// Limit on open connections to all nodes.
const MAX_CONNECTIONS: usize = 2_048;
/// Path of the hello request between nodes.
pub(crate) const HELLO_PATH: &str = "/medlar/hello";
/// Path prefix of stored responses; the request's identifier follows.
pub(crate) const STORED_RESPONSE_PATH: &str = "/medlar/answer/";
/// Header of the hello response with the responding node's clock, in microseconds.
pub(crate) const CLOCK_HEADER: &str = "medlar-clock-us";

/// A connection to another node, and that node's clock.
pub(crate) struct NodeConnection {
    pub(crate) connection: ClientConnection,
    pub(crate) peer_clock: PeerClock,
}

struct IdleConnection {
    address: SocketAddr,
    /// When the connection was last used or checked.
    last_checked: Time,
    /// When the connection last carried a request.
    last_used: Time,
    node_connection: NodeConnection,
}

#[derive(Default)]
struct PoolState {
    /// Sorted by address; within an address, the most recently used or checked connection is last.
    idle: Vec<IdleConnection>,
    /// Limits of the single addresses, sorted by address.
    limits: Vec<(SocketAddr, Arc<ConnectionLimit>)>,
}

/// Pool of the connections to all nodes.
#[derive(Default)]
pub(crate) struct NodeConnectionPool {
    state: Mutex<PoolState>,
    total_limit: Arc<ConnectionLimit>,
    /// Pacer of the instance's link, if its rate is known.
    pacer: Option<Arc<LinkPacer>>,
}

impl NodeConnectionPool {
    /// Creates an empty pool whose connections report what they write to `pacer`.
    pub(crate) fn new(pacer: Option<Arc<LinkPacer>>) -> Self {
        Self {
            pacer,
            ..Self::default()
        }
    }

    /// Takes an idle connection to `node` or opens a new one.
    pub(crate) async fn acquire(
        &self,
        address: SocketAddr,
        node: NodeId,
        clock: &MonotonicClock,
    ) -> Result<NodeConnection, Reason> {
        while let Some(mut node_connection) = self.pop_idle(address, clock.now()) {
            if node_connection.peer_clock.node == node
                && node_connection.connection.is_usable().await
            {
                return Ok(node_connection);
            }
        }
        let node_connection = self.connect(address, clock).await?;
        if node_connection.peer_clock.node == node {
            Ok(node_connection)
        } else {
            Err(Reason::ConnectFailed)
        }
    }

    /// Returns a connection whose response was read to its end.
    pub(crate) fn release(&self, address: SocketAddr, node_connection: NodeConnection, now: Time) {
        self.lock().insert(IdleConnection {
            address,
            last_checked: now,
            last_used: now,
            node_connection,
        });
    }

    /// Removes the idle connections that are due for a check. Checks the newest one of each
    /// address, within [`HEARTBEATS_PER_SWEEP`], and closes the others.
    pub(crate) fn sweep(self: &Arc<Self>, clock: &MonotonicClock) {
        for mut idle_connection in self.take_due(clock.now()) {
            let pool = Arc::clone(self);
            let clock = *clock;
            tokio::spawn(async move {
                let hello = exchange_hello(&mut idle_connection.node_connection.connection, &clock);
                if let Ok(Some(peer_clock)) = timeout(CONNECT_TIMEOUT, hello).await
                    && peer_clock.node == idle_connection.node_connection.peer_clock.node
                {
                    idle_connection.node_connection.peer_clock = peer_clock;
                    idle_connection.last_checked = clock.now();
                    pool.lock().insert(idle_connection);
                }
            });
        }
    }

    /// Fetches the stored response to a request from its owner over a new connection.
    pub(crate) async fn fetch(
        &self,
        address: SocketAddr,
        node: NodeId,
        id: RequestId,
        clock: &MonotonicClock,
    ) -> Option<Response<Payload>> {
        let fetching = async {
            let mut node_connection = self.connect(address, clock).await.ok()?;
            if node_connection.peer_clock.node != node {
                return None;
            }
            let request = get_request(&format!("{STORED_RESPONSE_PATH}{id}"));
            let response = node_connection.connection.send(request).await.ok()?;
            let (parts, body) = response.into_parts();
            // Refusals have the reason header; stored responses of an upstream do not.
            if parts.headers.contains_key(header::REASON) {
                return None;
            }
            let bytes = node_connection
                .connection
                .read_body(body, stored_responses::MAX_BODY_BYTES)
                .await?;
            Some(Response::from_parts(parts, full(bytes)))
        };
        timeout(FETCH_TIMEOUT, fetching).await.ok().flatten()
    }

    /// Opens a connection and exchanges the hello on it.
    async fn connect(
        &self,
        address: SocketAddr,
        clock: &MonotonicClock,
    ) -> Result<NodeConnection, Reason> {
        let limit = self.lock().limit(address);
        let slots = limit
            .try_acquire(MAX_CONNECTIONS_PER_ADDRESS)
            .zip(self.total_limit.try_acquire(MAX_CONNECTIONS))
            .ok_or(Reason::QueueFull)?;
        let opening = async {
            let mut connection = ClientConnection::connect(
                address,
                RESPONSE_LIMITS,
                (slots.0, Some(slots.1)),
                self.pacer.as_ref(),
            )
            .await?;
            let peer_clock = exchange_hello(&mut connection, clock).await?;
            Some(NodeConnection {
                connection,
                peer_clock,
            })
        };
        let opened = timeout(CONNECT_TIMEOUT, opening).await;
        opened.ok().flatten().ok_or(Reason::ConnectFailed)
    }

    /// Takes the newest idle connection to `address` unless it is due for a check.
    fn pop_idle(&self, address: SocketAddr, now: Time) -> Option<NodeConnection> {
        let mut state = self.lock();
        let end = state.idle.partition_point(|it| it.address <= address);
        let index = end
            .checked_sub(1)
            .filter(|index| state.idle[*index].address == address)?;
        if now.since(state.idle[index].last_checked) >= MAX_UNCHECKED_TIME {
            // Other idle connections of this address are older; the next sweep handles all of them.
            return None;
        }
        Some(state.idle.remove(index).node_connection)
    }

    /// Removes the connections that are due for a check and returns those to check; the others are
    /// closed.
    fn take_due(&self, now: Time) -> Vec<IdleConnection> {
        let mut state = self.lock();
        state.limits.retain(|(_, limit)| limit.open_count() > 0);
        let mut to_check: Vec<IdleConnection> = Vec::new();
        // In reverse order, so that the newest connection of an address comes first.
        for index in (0..state.idle.len()).rev() {
            let idle_connection = &state.idle[index];
            if now.since(idle_connection.last_checked) + SWEEP_PERIOD < MAX_UNCHECKED_TIME {
                continue;
            }
            let is_newest = state
                .idle
                .get(index + 1)
                .is_none_or(|next| next.address != idle_connection.address)
                && to_check
                    .iter()
                    .all(|it| it.address != idle_connection.address);
            let recently_used = now.since(idle_connection.last_used) < MAX_UNUSED_TIME;
            let idle_connection = state.idle.remove(index);
            if is_newest && recently_used && to_check.len() < HEARTBEATS_PER_SWEEP {
                to_check.push(idle_connection);
            }
        }
        to_check
    }

    fn lock(&self) -> MutexGuard<'_, PoolState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl PoolState {
    fn insert(&mut self, idle_connection: IdleConnection) {
        let end = self
            .idle
            .partition_point(|it| it.address <= idle_connection.address);
        self.idle.insert(end, idle_connection);
    }

    fn limit(&mut self, address: SocketAddr) -> Arc<ConnectionLimit> {
        let index = match self.limits.binary_search_by_key(&address, |(it, _)| *it) {
            Ok(index) => index,
            Err(index) => {
                self.limits.insert(index, (address, Arc::default()));
                index
            }
        };
        Arc::clone(&self.limits[index].1)
    }
}

fn get_request(path: &str) -> Request<Payload> {
    let mut request = Request::new(full(""));
    *request.method_mut() = Method::GET;
    if let Ok(uri) = path.parse() {
        *request.uri_mut() = uri;
    }
    let host = HeaderValue::from_static("node");
    request.headers_mut().insert(HOST, host);
    request
}

/// Asks the other node for its identifier and clock.
async fn exchange_hello(
    connection: &mut ClientConnection,
    clock: &MonotonicClock,
) -> Option<PeerClock> {
    let response = connection.send(get_request(HELLO_PATH)).await.ok()?;
    if response.status() != StatusCode::OK {
        return None;
    }
    let node = parse_header::<NodeId>(response.headers(), header::OWNER)?;
    let peer_time = Time(parse_header(response.headers(), CLOCK_HEADER)?);
    let local_time = clock.now();
    connection.read_body(response.into_body(), 0).await?;
    let peer_clock = PeerClock {
        node,
        peer_time,
        local_time,
    };
    connection.is_usable().await.then_some(peer_clock)
}
