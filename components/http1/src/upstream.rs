//! Pool of connections to this node's own upstream.

use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::client::conn::TrySendError;
use tokio::time::timeout;

use crate::body::Payload;
use crate::connection::ClientConnection;
use crate::connection::ConnectionLimit;
use crate::connection::ConnectionSlot;
use crate::head;
use errors::Reason;
use errors::Verdict;
use kernel::Time;

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout for the connection that shows whether an upstream that broke another one has crashed.
const CRASH_CHECK_TIMEOUT: Duration = Duration::from_millis(100);
/// Time in which an upstream that refuses connections but has not crashed answers one of the requests that
/// are running.
const CRASH_CONFIRMATION_DELAY: Duration = Duration::from_millis(20);
/// Idle time after which a connection is closed. Common servers close idle connections after 5 s,
/// and a request that is sent while the server closes may have run.
const MAX_IDLE_TIME: Duration = Duration::from_secs(3);

/// Reason of a failed request, and whether the request may have run.
pub(crate) type UpstreamFailure = (Verdict, Reason);

/// Whether a request may have run although sending it failed. hyper returns the request only if
/// none of it was written.
pub(crate) fn execution_verdict(error: &mut TrySendError<Request<Payload>>) -> Verdict {
    if error.take_message().is_some() {
        Verdict::NotRun
    } else {
        Verdict::MayHaveRun
    }
}

/// HTTP client of this node's upstream, with a limit on open connections.
pub(crate) struct UpstreamClient {
    address: SocketAddr,
    connection_limit: Arc<ConnectionLimit>,
    /// Number of responses whose heads have arrived.
    responses: AtomicU64,
    /// Idle connections and when they became idle; the most recent is last.
    idle: Mutex<Vec<(ClientConnection, Time)>>,
}

impl UpstreamClient {
    pub(crate) fn new(address: SocketAddr) -> Self {
        Self {
            address,
            connection_limit: Arc::default(),
            responses: AtomicU64::new(0),
            idle: Mutex::new(Vec::new()),
        }
    }

    /// Sends a request over one of at most `limit` connections and waits for the head of the
    /// response. The connection is returned with [`UpstreamClient::release`].
    pub(crate) async fn send(
        &self,
        request: Request<Payload>,
        limit: usize,
        now: Time,
    ) -> Result<(Response<Incoming>, ClientConnection), UpstreamFailure> {
        let mut connection = self.acquire(limit, now).await?;
        match connection.send(request).await {
            Ok(response) => {
                self.responses.fetch_add(1, Ordering::Relaxed);
                Ok((response, connection))
            }
            Err(_) if connection.exceeded_head_limit() => {
                Err((Verdict::MayHaveRun, Reason::Malformed))
            }
            Err(mut error) => {
                drop(connection);
                let verdict = execution_verdict(&mut error);
                let reason = if verdict == Verdict::MayHaveRun && self.is_down(limit, now).await {
                    Reason::UpstreamCrashed
                } else {
                    Reason::ConnectionBroken
                };
                Err((verdict, reason))
            }
        }
    }

    /// Whether the upstream has crashed: it has broken a connection, accepts no other, and answers none of the
    /// requests that were running. A connection that it accepts serves a later request.
    async fn is_down(&self, limit: usize, now: Time) -> bool {
        let responses = self.responses.load(Ordering::Relaxed);
        let Some(slot) = self.connection_limit.try_acquire(limit) else {
            return false;
        };
        let opening = self.open_connection(slot);
        match timeout(CRASH_CHECK_TIMEOUT, opening).await {
            Ok(Some(connection)) => {
                self.release(connection, now);
                false
            }
            Ok(None) => {
                // Some upstreams reset connections while they are full, and answer others.
                tokio::time::sleep(CRASH_CONFIRMATION_DELAY).await;
                self.responses.load(Ordering::Relaxed) == responses
            }
            // A silent address shows nothing of the process.
            Err(_) => false,
        }
    }

    /// Opens a connection; `None` if that fails. The upstream is on the same instance, so its bytes do not count
    /// against the link.
    async fn open_connection(&self, slot: ConnectionSlot) -> Option<ClientConnection> {
        let limits = head::Limits::UPSTREAM_RESPONSE;
        ClientConnection::connect(self.address, limits, (slot, None), None).await
    }

    /// Returns a connection whose response was read to its end.
    pub(crate) fn release(&self, connection: ClientConnection, now: Time) {
        self.lock().push((connection, now));
        self.connection_limit.available.notify_one();
    }

    /// Closes the connections that have been idle for longer than [`MAX_IDLE_TIME`].
    pub(crate) fn close_idle(&self, now: Time) {
        self.lock()
            .retain(|(_, since)| now.since(*since) < MAX_IDLE_TIME);
    }

    async fn acquire(&self, limit: usize, now: Time) -> Result<ClientConnection, UpstreamFailure> {
        if let Some(result) = self.find_or_open(limit, now).await {
            return result;
        }
        // The wait is not limited here: this future is dropped at the deadline of the request.
        loop {
            let mut available = pin!(self.connection_limit.available.notified());
            // Registered before the search: `Notify` stores only one permit, so a connection
            // released between the search and the wait might otherwise wake no one.
            available.as_mut().enable();
            if let Some(result) = self.find_or_open(limit, now).await {
                return result;
            }
            available.await;
        }
    }

    /// Takes an idle connection or opens a new one; `None` if the limit is reached.
    async fn find_or_open(
        &self,
        limit: usize,
        now: Time,
    ) -> Option<Result<ClientConnection, UpstreamFailure>> {
        while let Some(mut connection) = self.pop_idle(now) {
            if connection.is_usable().await {
                return Some(Ok(connection));
            }
        }
        let slot = self.connection_limit.try_acquire(limit)?;
        let opening = self.open_connection(slot);
        Some(match timeout(CONNECT_TIMEOUT, opening).await {
            Ok(Some(connection)) => Ok(connection),
            _ => Err((Verdict::NotRun, Reason::ConnectFailed)),
        })
    }

    fn pop_idle(&self, now: Time) -> Option<ClientConnection> {
        let mut idle = self.lock();
        idle.retain(|(_, since)| now.since(*since) < MAX_IDLE_TIME);
        idle.pop().map(|(connection, _)| connection)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<(ClientConnection, Time)>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
