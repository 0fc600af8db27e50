//! Client of the node's own upstream.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::client::conn::TrySendError;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::body::Payload;
use errors::Reason;
use errors::Verdict;
use kernel::Time;

/// Longest wait for a connection.
const CONNECT_LIMIT: Duration = Duration::from_secs(1);
/// Age after which an idle connection is closed.
const MAX_IDLE: Duration = Duration::from_secs(5);

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

/// Connections to the upstream. Admission bounds the requests that run, and so the connections.
pub(crate) struct Client {
    address: SocketAddr,
    idle: Mutex<Vec<(SendRequest<Payload>, Time)>>,
}

impl Client {
    pub(crate) fn new(address: SocketAddr) -> Self {
        Self {
            address,
            idle: Mutex::new(Vec::new()),
        }
    }

    /// Sends a request; the connection goes back with [`Client::keep`].
    pub(crate) async fn send(
        &self,
        request: Request<Payload>,
        now: Time,
    ) -> Result<(Response<Incoming>, SendRequest<Payload>), Failure> {
        let mut sender = self.connect(now).await?;
        match sender.try_send_request(request).await {
            Ok(response) => Ok((response, sender)),
            Err(mut error) => Err((judge(&mut error), Reason::ConnectionBroken)),
        }
    }

    /// Keeps a connection whose answer was read to its end.
    pub(crate) fn keep(&self, sender: SendRequest<Payload>, now: Time) {
        if !sender.is_closed() {
            let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
            idle.push((sender, now));
        }
    }

    async fn connect(&self, now: Time) -> Result<SendRequest<Payload>, Failure> {
        while let Some(mut sender) = self.pop(now) {
            if sender.ready().await.is_ok() {
                return Ok(sender);
            }
        }
        let open = async {
            let stream = TcpStream::connect(self.address).await.ok()?;
            stream.set_nodelay(true).ok()?;
            let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
            tokio::spawn(connection);
            Some(sender)
        };
        match timeout(CONNECT_LIMIT, open).await {
            Ok(Some(sender)) => Ok(sender),
            _ => Err((Verdict::NotRun, Reason::ConnectFailed)),
        }
    }

    fn pop(&self, now: Time) -> Option<SendRequest<Payload>> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|(_, since)| now.since(*since) < MAX_IDLE);
        idle.pop().map(|(sender, _)| sender)
    }
}
