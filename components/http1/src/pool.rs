//! Connections to other nodes: one request at a time each.

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

use crate::answer::parse_header;
use crate::body::Payload;
use crate::body::full;
use crate::clock::Remote;
use crate::link::Bound;
use crate::link::Link;
use crate::stored;
use errors::Reason;
use ids::NodeId;
use ids::RequestId;
use kernel::Clock;
use kernel::Time;
use kernel::clock::MonotonicClock;
use wire::header;

/// Longest wait for a connection and the hello on it.
const CONNECT_LIMIT: Duration = Duration::from_millis(500);
/// Longest wait for a stored answer.
const FETCH_LIMIT: Duration = Duration::from_secs(2);
/// Age after which an idle connection is checked or closed, since it may have gone silent.
const MAX_IDLE: Duration = Duration::from_secs(1);
/// Time without requests after which a connection is not kept open any longer.
const MAX_UNUSED: Duration = Duration::from_secs(10);
/// Time between two looks at the idle connections.
pub(crate) const SWEEP_PERIOD: Duration = Duration::from_millis(250);
/// Heartbeats for each look; each takes about 400 bytes, and control may cost 3 KB/s.
const HEARTBEATS_PER_SWEEP: usize = 2;
/// Connections to one node.
const MAX_PER_ADDRESS: usize = 128;
/// Connections to all nodes.
const MAX_TOTAL: usize = 2_048;
/// Path of the hello between nodes.
pub(crate) const HELLO: &str = "/medlar/hello";
/// Path of stored answers, followed by the request's id.
pub(crate) const ANSWER: &str = "/medlar/answer/";
/// Header of the hello's answer with the node's clock, in microseconds.
pub(crate) const CLOCK: &str = "medlar-clock-us";

/// An open connection that no request uses.
pub(crate) struct Idle {
    pub(crate) link: Link,
    pub(crate) remote: Remote,
}

struct Kept {
    address: SocketAddr,
    /// When it was last used or checked.
    since: Time,
    /// When it last carried a request.
    used: Time,
    idle: Idle,
}

#[derive(Default)]
struct State {
    /// Sorted by address; the most recent last within an address.
    kept: Vec<Kept>,
    /// Sorted by address.
    bounds: Vec<(SocketAddr, Arc<Bound>)>,
}

/// Connections to all addresses.
#[derive(Default)]
pub(crate) struct Pool {
    state: Mutex<State>,
    total: Arc<Bound>,
}

impl Pool {
    /// Takes an idle connection to `node` or opens one.
    pub(crate) async fn take(
        &self,
        address: SocketAddr,
        node: NodeId,
        clock: &MonotonicClock,
    ) -> Result<Idle, Reason> {
        while let Some(mut idle) = self.pop(address, clock.now()) {
            if idle.remote.node == node && idle.link.is_usable().await {
                return Ok(idle);
            }
        }
        let idle = self.open(address, clock).await?;
        if idle.remote.node == node {
            Ok(idle)
        } else {
            Err(Reason::ConnectFailed)
        }
    }

    /// Keeps a connection whose answer was read to its end.
    pub(crate) fn keep(&self, address: SocketAddr, idle: Idle, now: Time) {
        self.lock().insert(Kept {
            address,
            since: now,
            used: now,
            idle,
        });
    }

    /// Checks the newest idle connection of each address and closes the others that are due.
    pub(crate) fn sweep(self: &Arc<Self>, clock: &MonotonicClock) {
        for mut kept in self.take_due(clock.now()) {
            let pool = Arc::clone(self);
            let clock = *clock;
            tokio::spawn(async move {
                let hello = greet(&mut kept.idle.link, &clock);
                if let Ok(Some(remote)) = timeout(CONNECT_LIMIT, hello).await
                    && remote.node == kept.idle.remote.node
                {
                    kept.idle.remote = remote;
                    kept.since = clock.now();
                    pool.lock().insert(kept);
                }
            });
        }
    }

    /// Fetches a stored answer over a new connection.
    pub(crate) async fn fetch(
        &self,
        address: SocketAddr,
        node: NodeId,
        id: RequestId,
        clock: &MonotonicClock,
    ) -> Option<Response<Payload>> {
        let fetching = async {
            let mut idle = self.open(address, clock).await.ok()?;
            if idle.remote.node != node {
                return None;
            }
            let request = get(&format!("{ANSWER}{id}"));
            let response = idle.link.send(request).await.ok()?;
            let (parts, body) = response.into_parts();
            // A refusal carries a reason; the answer of an upstream does not.
            if parts.headers.contains_key(header::REASON) {
                return None;
            }
            let bytes = idle.link.collect(body, stored::MAX_BODY_BYTES).await?;
            Some(Response::from_parts(parts, full(bytes)))
        };
        timeout(FETCH_LIMIT, fetching).await.ok().flatten()
    }

    /// Opens a connection and says hello on it.
    async fn open(&self, address: SocketAddr, clock: &MonotonicClock) -> Result<Idle, Reason> {
        let bound = self.lock().bound(address);
        let slots = bound
            .take(MAX_PER_ADDRESS)
            .zip(self.total.take(MAX_TOTAL))
            .ok_or(Reason::QueueFull)?;
        let opening = async {
            let mut link = Link::open(address, (slots.0, Some(slots.1))).await?;
            let remote = greet(&mut link, clock).await?;
            Some(Idle { link, remote })
        };
        let opened = timeout(CONNECT_LIMIT, opening).await;
        opened.ok().flatten().ok_or(Reason::ConnectFailed)
    }

    fn pop(&self, address: SocketAddr, now: Time) -> Option<Idle> {
        let mut state = self.lock();
        let end = state.kept.partition_point(|it| it.address <= address);
        let at = end
            .checked_sub(1)
            .filter(|at| state.kept[*at].address == address)?;
        if now.since(state.kept[at].since) >= MAX_IDLE {
            // The others are older; the next look at the idle connections deals with them.
            return None;
        }
        Some(state.kept.remove(at).idle)
    }

    /// Removes the connections that are due and returns those to check.
    fn take_due(&self, now: Time) -> Vec<Kept> {
        let mut state = self.lock();
        state.bounds.retain(|(_, bound)| bound.open() > 0);
        let mut check: Vec<Kept> = Vec::new();
        // From the end, so that the newest of an address comes first.
        for at in (0..state.kept.len()).rev() {
            let kept = &state.kept[at];
            if now.since(kept.since) + SWEEP_PERIOD < MAX_IDLE {
                continue;
            }
            let newest = state
                .kept
                .get(at + 1)
                .is_none_or(|next| next.address != kept.address)
                && check.iter().all(|it| it.address != kept.address);
            let used = now.since(kept.used) < MAX_UNUSED;
            let kept = state.kept.remove(at);
            if newest && used && check.len() < HEARTBEATS_PER_SWEEP {
                check.push(kept);
            }
        }
        check
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn insert(&mut self, kept: Kept) {
        let end = self.kept.partition_point(|it| it.address <= kept.address);
        self.kept.insert(end, kept);
    }

    fn bound(&mut self, address: SocketAddr) -> Arc<Bound> {
        let at = match self.bounds.binary_search_by_key(&address, |(it, _)| *it) {
            Ok(at) => at,
            Err(at) => {
                self.bounds.insert(at, (address, Arc::default()));
                at
            }
        };
        Arc::clone(&self.bounds[at].1)
    }
}

fn get(path: &str) -> Request<Payload> {
    let mut request = Request::new(full(""));
    *request.method_mut() = Method::GET;
    if let Ok(uri) = path.parse() {
        *request.uri_mut() = uri;
    }
    let host = HeaderValue::from_static("node");
    request.headers_mut().insert(HOST, host);
    request
}

/// Asks for the identity and the clock of the node at the other end.
async fn greet(link: &mut Link, clock: &MonotonicClock) -> Option<Remote> {
    let response = link.send(get(HELLO)).await.ok()?;
    if response.status() != StatusCode::OK {
        return None;
    }
    let node = parse_header::<NodeId>(response.headers(), header::OWNER)?;
    let its_time = Time(parse_header(response.headers(), CLOCK)?);
    let our_time = clock.now();
    link.collect(response.into_body(), 0).await?;
    let remote = Remote {
        node,
        its_time,
        our_time,
    };
    link.is_usable().await.then_some(remote)
}
