//! Connections to the node's own upstream.

use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::client::conn::TrySendError;
use tokio::time::timeout;

use crate::body::Payload;
use crate::connection::ClientConnection;
use crate::connection::ConnectionLimit;
use errors::Reason;
use errors::Verdict;
use kernel::Time;

/// Longest wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Age after which an idle connection is closed; common servers close theirs after 5 s, and a
/// request that crosses that close may have run.
const MAX_IDLE_TIME: Duration = Duration::from_secs(3);

/// A failed request with what is known of its execution.
pub(crate) type UpstreamFailure = (Verdict, Reason);

/// What a failed send says of the execution; the request comes back only if none of it was written.
pub(crate) fn execution_verdict(error: &mut TrySendError<Request<Payload>>) -> Verdict {
    if error.take_message().is_some() {
        Verdict::NotRun
    } else {
        Verdict::MayHaveRun
    }
}

/// Connections to the upstream, never more than it declared.
pub(crate) struct UpstreamClient {
    address: SocketAddr,
    connection_limit: Arc<ConnectionLimit>,
    /// The most recent last.
    idle: Mutex<Vec<(ClientConnection, Time)>>,
}

impl UpstreamClient {
    pub(crate) fn new(address: SocketAddr) -> Self {
        Self {
            address,
            connection_limit: Arc::default(),
            idle: Mutex::new(Vec::new()),
        }
    }

    /// Sends a request over one of at most `limit` connections; the connection goes back with
    /// [`Client::keep`].
    pub(crate) async fn send(
        &self,
        request: Request<Payload>,
        limit: usize,
        now: Time,
    ) -> Result<(Response<Incoming>, ClientConnection), UpstreamFailure> {
        let mut connection = self.acquire(limit, now).await?;
        match connection.send(request).await {
            Ok(response) => Ok((response, connection)),
            Err(mut error) => Err((execution_verdict(&mut error), Reason::ConnectionBroken)),
        }
    }

    /// Keeps a connection whose answer was read to its end.
    pub(crate) fn release(&self, connection: ClientConnection, now: Time) {
        self.lock().push((connection, now));
        self.connection_limit.available.notify_one();
    }

    /// Closes the connections that have been idle for too long.
    pub(crate) fn close_idle(&self, now: Time) {
        self.lock()
            .retain(|(_, since)| now.since(*since) < MAX_IDLE_TIME);
    }

    async fn acquire(&self, limit: usize, now: Time) -> Result<ClientConnection, UpstreamFailure> {
        if let Some(result) = self.find_or_open(limit, now).await {
            return result;
        }
        // The deadline of the request bounds the wait.
        loop {
            let mut available = pin!(self.connection_limit.available.notified());
            // Registered before the look, or a connection that is freed between the look and the
            // wait would wake nobody: only one such notice is kept.
            available.as_mut().enable();
            if let Some(result) = self.find_or_open(limit, now).await {
                return result;
            }
            available.await;
        }
    }

    /// Takes an idle connection or opens one; `None` if all are in use.
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
        let opening = ClientConnection::connect(self.address, (slot, None));
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
