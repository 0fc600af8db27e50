//! HTTP client for stores that opens a new connection for each call.
//!
//! A call is therefore not delayed by an older connection whose peer no longer responds, and a broken
//! connection affects one call only.

#[cfg(test)]
mod tests;

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use serde_json::Value;
use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio::time::timeout;
use tokio::time::timeout_at;

use crate::Error;
use crate::transfer;
use crate::transfer::Progress;
use kernel::plugin;
use kernel::plugin::Params;

/// Maximum size of a response: a value of 1 MB in base64 and the JSON around it.
pub(crate) const MAX_RESPONSE_BYTES: usize = 1_500_000;
/// Idle time before the first TCP keep-alive probe, and time between probes. With
/// [`MAX_UNANSWERED_PROBES`], a watch on a dead connection ends within 2 s, which is less than the
/// 4 s within which an accepted configuration has to be in force.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of unanswered keep-alive probes after which a connection is closed.
const MAX_UNANSWERED_PROBES: u32 = 1;
const DEFAULT_TIMEOUT_MS: u64 = 2_000;
const MAX_TIMEOUT_MS: u64 = 60_000;

/// Longest time that a call for a value of the largest size can take until the client ends it, with
/// the largest timeout. `watch_time` is the time for which the store may hold the call.
pub fn longest_call(watch_time: Duration) -> Duration {
    let timeout = Duration::from_millis(MAX_TIMEOUT_MS);
    let transfer = transfer::longest_time(MAX_RESPONSE_BYTES);
    // The request and the response are of the same size; the last window of the response may be lost.
    timeout + watch_time + transfer + transfer + timeout
}

/// HTTP client for the store at one address.
#[derive(Clone, Debug)]
pub struct HttpClient {
    address: SocketAddr,
    timeout: Duration,
}

impl HttpClient {
    /// Builds a client from the params `address` and `timeout_ms`, the time limit of one call.
    ///
    /// Returns an error if a param is unknown or invalid.
    pub fn from_params(params: &Params) -> Result<Self, plugin::Error> {
        params.check_names(&["address", "timeout_ms"])?;
        let address = params.get("address").unwrap_or_default();
        Ok(Self {
            address: address.parse().map_err(|_| plugin::Error::InvalidParam {
                name: "address".to_owned(),
                value: address.to_owned(),
                expected: "an IP address with a port",
            })?,
            timeout: parse_timeout(params)?,
        })
    }

    /// Sends one request and waits for the head of the response, whatever its status. Only connecting
    /// has a time limit.
    pub(crate) async fn send(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<Response<Incoming>, Error> {
        // Without a connection nothing is sent, so a write cannot have taken effect.
        let stream = match timeout(self.timeout / 2, TcpStream::connect(self.address)).await {
            Ok(stream) => stream.map_err(unreachable)?,
            Err(_) => return Err(unreachable("connecting timed out")),
        };
        enable_keepalive(&stream).map_err(unreachable)?;
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(unreachable)?;
        tokio::spawn(connection);
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header("host", self.address.to_string())
            .header("content-type", "application/json")
            .body(Full::new(body))
            .map_err(unreachable)?;
        sender.send_request(request).await.map_err(outcome_unknown)
    }

    /// Sends one request and reads the response.
    ///
    /// The head of the response has to arrive within the timeout of the client, plus `extra_time` and
    /// the time that the slowest accepted transfer of the request takes. Its body may take as long as
    /// it makes progress in each further timeout.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        body: Option<&Value>,
        extra_time: Duration,
    ) -> Result<Response<Value>, Error> {
        let request_body = body.map_or(Bytes::new(), |body| Bytes::from(body.to_string()));
        let sending_time = transfer::longest_time(request_body.len());
        let time_limit = self.timeout + extra_time + sending_time;
        let response = match timeout(time_limit, self.send(method, path, request_body)).await {
            Ok(response) => response?,
            Err(_) => return Err(timed_out(format!("no response within {time_limit:?}"))),
        };
        let (head, body) = response.into_parts();
        let bytes = read_body(body, Progress::start(self.timeout)).await?;
        let body = match serde_json::from_slice(&bytes) {
            Ok(body) => body,
            Err(error) if head.status.is_success() => return Err(outcome_unknown(error)),
            // The status of an error response is enough, so its body need not be JSON.
            Err(_) => Value::default(),
        };
        Ok(Response::from_parts(head, body))
    }
}

/// Reads the body of a response up to its end.
async fn read_body(mut body: Incoming, mut progress: Progress) -> Result<Vec<u8>, Error> {
    let started = Instant::now();
    let expected = body.size_hint().exact();
    let mut bytes = Vec::new();
    let describe = |received: usize, cause: &str| {
        let expected = expected.map_or("an unknown number".to_owned(), |it| it.to_string());
        let elapsed = started.elapsed();
        format!("{cause} after {received} of {expected} bytes of the body in {elapsed:?}")
    };
    let too_large = |message| Error::TooLarge { message };
    if expected.is_some_and(|it| it > MAX_RESPONSE_BYTES as u64) {
        return Err(too_large(describe(0, "not read")));
    }
    loop {
        let frame = match timeout_at(progress.deadline(), body.frame()).await {
            Ok(Some(Ok(frame))) => frame,
            Ok(Some(Err(error))) => {
                let cause = error.to_string();
                return Err(outcome_unknown(describe(bytes.len(), &cause)));
            }
            Ok(None) => return Ok(bytes),
            Err(_) => return Err(timed_out(describe(bytes.len(), "stalled"))),
        };
        let data = frame.data_ref().map_or(&[][..], |it| it);
        progress.record(data.len());
        bytes.extend_from_slice(data);
        if bytes.len() > MAX_RESPONSE_BYTES {
            return Err(too_large(describe(bytes.len(), "ended")));
        }
    }
}

/// Enables TCP keep-alive, so that a watch ends if its connection is dead.
fn enable_keepalive(stream: &TcpStream) -> io::Result<()> {
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(MAX_UNANSWERED_PROBES);
    SockRef::from(stream).set_tcp_keepalive(&keepalive)
}

/// Reads the param `timeout_ms`.
fn parse_timeout(params: &Params) -> Result<Duration, plugin::Error> {
    let timeout_ms = params.u64_or("timeout_ms", DEFAULT_TIMEOUT_MS)?;
    if (1..=MAX_TIMEOUT_MS).contains(&timeout_ms) {
        return Ok(Duration::from_millis(timeout_ms));
    }
    Err(plugin::Error::InvalidParam {
        name: "timeout_ms".to_owned(),
        value: timeout_ms.to_string(),
        expected: "1 to 60000 milliseconds",
    })
}

/// Wraps an error that occurred before the request was sent.
pub(crate) fn unreachable(error: impl ToString) -> Error {
    Error::Unreachable {
        message: error.to_string(),
    }
}

/// Wraps an error after which the request may have taken effect.
pub(crate) fn outcome_unknown(error: impl ToString) -> Error {
    Error::OutcomeUnknown {
        message: error.to_string(),
    }
}

/// Wraps a response that did not arrive in time, after which the request may have taken effect.
pub(crate) fn timed_out(message: String) -> Error {
    Error::TimedOut { message }
}
