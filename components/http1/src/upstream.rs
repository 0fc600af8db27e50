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
use crate::link::Bound;
use crate::link::Link;
use errors::Reason;
use errors::Verdict;
use kernel::Time;

/// Longest wait for a connection.
const CONNECT_LIMIT: Duration = Duration::from_secs(1);
/// Age after which an idle connection is closed; common servers close theirs after 5 s, and a
/// request that crosses that close may have run.
const MAX_IDLE: Duration = Duration::from_secs(3);

/// A failed request with what is known of its execution.
pub(crate) type Failure = (Verdict, Reason);

/// What a failed send says of the execution; the request comes back only if none of it was written.
pub(crate) fn judge(error: &mut TrySendError<Request<Payload>>) -> Verdict {
    if error.take_message().is_some() {
        Verdict::NotRun
    } else {
        Verdict::MayHaveRun
    }
}

/// Connections to the upstream, never more than it declared.
pub(crate) struct Client {
    address: SocketAddr,
    bound: Arc<Bound>,
    /// The most recent last.
    idle: Mutex<Vec<(Link, Time)>>,
}

impl Client {
    pub(crate) fn new(address: SocketAddr) -> Self {
        Self {
            address,
            bound: Arc::default(),
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
    ) -> Result<(Response<Incoming>, Link), Failure> {
        let mut link = self.connect(limit, now).await?;
        match link.send(request).await {
            Ok(response) => Ok((response, link)),
            Err(mut error) => Err((judge(&mut error), Reason::ConnectionBroken)),
        }
    }

    /// Keeps a connection whose answer was read to its end.
    pub(crate) fn keep(&self, link: Link, now: Time) {
        self.lock().push((link, now));
        self.bound.freed.notify_one();
    }

    /// Closes the connections that have been idle for too long.
    pub(crate) fn sweep(&self, now: Time) {
        self.lock()
            .retain(|(_, since)| now.since(*since) < MAX_IDLE);
    }

    async fn connect(&self, limit: usize, now: Time) -> Result<Link, Failure> {
        if let Some(found) = self.find(limit, now).await {
            return found;
        }
        // The deadline of the request bounds the wait.
        loop {
            let mut freed = pin!(self.bound.freed.notified());
            // Registered before the look, or a connection that is freed between the look and the
            // wait would wake nobody: only one such notice is kept.
            freed.as_mut().enable();
            if let Some(found) = self.find(limit, now).await {
                return found;
            }
            freed.await;
        }
    }

    /// Takes an idle connection or opens one; `None` if all are in use.
    async fn find(&self, limit: usize, now: Time) -> Option<Result<Link, Failure>> {
        while let Some(mut link) = self.pop(now) {
            if link.is_usable().await {
                return Some(Ok(link));
            }
        }
        let slot = self.bound.take(limit)?;
        let open = Link::open(self.address, (slot, None));
        Some(match timeout(CONNECT_LIMIT, open).await {
            Ok(Some(link)) => Ok(link),
            _ => Err((Verdict::NotRun, Reason::ConnectFailed)),
        })
    }

    fn pop(&self, now: Time) -> Option<Link> {
        let mut idle = self.lock();
        idle.retain(|(_, since)| now.since(*since) < MAX_IDLE);
        idle.pop().map(|(link, _)| link)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<(Link, Time)>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
