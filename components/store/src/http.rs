//! HTTP client of a store: one connection for each call.
//!
//! A call on a connection of its own cannot be held up by one that has gone silent, and its loss says
//! nothing about other calls.

#[cfg(test)]
mod tests;

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use serde_json::Value;
use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::Error;
use kernel::plugin;
use kernel::plugin::Params;

/// Longest answer: a value of a megabyte in base64, with its envelope.
pub(crate) const MAX_ANSWER_BYTES: usize = 1_500_000;
/// Time between two probes of an idle connection, and probes without answer that end it: a watch that
/// has gone silent costs less than the 4 s in which a configuration has to be in force.
const PROBE_PERIOD: Duration = Duration::from_secs(1);
const LOST_PROBES: u32 = 1;
const DEFAULT_TIMEOUT_MS: u64 = 2_000;
const MAX_TIMEOUT_MS: u64 = 60_000;

/// Client of one store address.
#[derive(Clone, Debug)]
pub struct HttpClient {
    address: SocketAddr,
    timeout: Duration,
}

impl HttpClient {
    /// Reads `address` and `timeout_ms`, the longest time of one call.
    pub fn from_params(params: &Params) -> Result<Self, plugin::Error> {
        params.check_names(&["address", "timeout_ms"])?;
        let address = params.get("address").unwrap_or_default();
        Ok(Self {
            address: address.parse().map_err(|_| plugin::Error::InvalidParam {
                name: "address".to_owned(),
                value: address.to_owned(),
                expected: "an IP address with a port",
            })?,
            timeout: read_timeout(params)?,
        })
    }

    /// Sends one request and waits for the head of its answer, whatever its status.
    pub(crate) async fn send(
        &self,
        method: Method,
        path: &str,
        body: Option<&Value>,
    ) -> Result<Response<Incoming>, Error> {
        // Without a connection nothing was sent, so a write cannot have taken effect.
        let stream = match timeout(self.timeout / 2, TcpStream::connect(self.address)).await {
            Ok(stream) => stream.map_err(unreachable)?,
            Err(_) => return Err(unreachable("no connection in time")),
        };
        set_probes(&stream).map_err(unreachable)?;
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(unreachable)?;
        tokio::spawn(connection);
        let bytes = body.map_or(Bytes::new(), |body| Bytes::from(body.to_string()));
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header("host", self.address.to_string())
            .header("content-type", "application/json")
            .body(Full::new(bytes))
            .map_err(unreachable)?;
        sender.send_request(request).await.map_err(unknown)
    }

    /// Sends one request and reads its answer, within the timeout and `extra`.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        body: Option<&Value>,
        extra: Duration,
    ) -> Result<(StatusCode, Value), Error> {
        let limit = self.timeout + extra;
        let answer = async {
            let response = self.send(method, path, body).await?;
            let status = response.status();
            let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES);
            let bytes = body.collect().await.map_err(unknown)?.to_bytes();
            // The body of a refusal says nothing that its status does not say.
            if !status.is_success() {
                return Ok((status, serde_json::from_slice(&bytes).unwrap_or_default()));
            }
            Ok((status, serde_json::from_slice(&bytes).map_err(unknown)?))
        };
        timeout(limit, answer)
            .await
            .unwrap_or_else(|_| Err(unknown(format!("no answer in {limit:?}"))))
    }
}

/// Has the system probe an idle connection, so that a watch whose connection has gone silent ends.
fn set_probes(stream: &TcpStream) -> io::Result<()> {
    let probes = TcpKeepalive::new()
        .with_time(PROBE_PERIOD)
        .with_interval(PROBE_PERIOD)
        .with_retries(LOST_PROBES);
    SockRef::from(stream).set_tcp_keepalive(&probes)
}

fn read_timeout(params: &Params) -> Result<Duration, plugin::Error> {
    let millis = params.u64_or("timeout_ms", DEFAULT_TIMEOUT_MS)?;
    if (1..=MAX_TIMEOUT_MS).contains(&millis) {
        return Ok(Duration::from_millis(millis));
    }
    Err(plugin::Error::InvalidParam {
        name: "timeout_ms".to_owned(),
        value: millis.to_string(),
        expected: "1 to 60000 milliseconds",
    })
}

pub(crate) fn unreachable(error: impl ToString) -> Error {
    Error::Unreachable {
        message: error.to_string(),
    }
}

pub(crate) fn unknown(error: impl ToString) -> Error {
    Error::OutcomeUnknown {
        message: error.to_string(),
    }
}
