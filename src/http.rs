//! Requests to the admin addresses of nodes.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Empty;
use http_body_util::Limited;
use hyper::Method;
use hyper::Request;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use serde::de::DeserializeOwned;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Longest time for one request.
const LIMIT: Duration = Duration::from_secs(2);
/// Longest answer; the member list of 1,700 nodes has about 500 KB.
const MAX_ANSWER_BYTES: usize = 8_000_000;

type Problem = Box<dyn std::error::Error + Send + Sync>;

/// Sends one request on a connection of its own; the error says what went wrong where.
pub(crate) async fn call(address: SocketAddr, method: Method, path: &str) -> Result<Bytes, String> {
    match timeout(LIMIT, send(address, method, path)).await {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(error)) => Err(format!("node {address}: {error}")),
        Err(_) => Err(format!("node {address}: no answer in {LIMIT:?}")),
    }
}

/// Reads a JSON answer.
pub(crate) async fn get<T: DeserializeOwned>(address: SocketAddr, path: &str) -> Result<T, String> {
    let body = call(address, Method::GET, path).await?;
    serde_json::from_slice(&body).map_err(|error| format!("node {address}: {error}"))
}

async fn send(address: SocketAddr, method: Method, path: &str) -> Result<Bytes, Problem> {
    let stream = TcpStream::connect(address).await?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    // Ends with the sender.
    tokio::spawn(connection);
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header("host", address.to_string())
        .body(Empty::<Bytes>::new())?;
    let (head, body) = sender.send_request(request).await?.into_parts();
    let body = Limited::new(body, MAX_ANSWER_BYTES)
        .collect()
        .await?
        .to_bytes();
    if head.status.is_success() {
        return Ok(body);
    }
    let reason = String::from_utf8_lossy(&body);
    Err(format!("{}: {}", head.status, reason.trim_end()).into())
}

/// Percent-encodes a value of a query.
pub(crate) fn encode(value: &str) -> String {
    let plain = |byte: u8| byte.is_ascii_alphanumeric() || b"-._~/".contains(&byte);
    value
        .bytes()
        .map(|byte| {
            if plain(byte) {
                char::from(byte).to_string()
            } else {
                format!("%{byte:02X}")
            }
        })
        .collect()
}
