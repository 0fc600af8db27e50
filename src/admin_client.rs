//! Client of the admin API of nodes.

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

/// Time limit of a request, from connecting to the end of the response.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest response body; the member list of 1,700 nodes has about 500 KB.
const MAX_RESPONSE_BYTES: usize = 8_000_000;

type BoxError = Box<dyn std::error::Error + Send + Sync>;

/// Sends a request on a new connection and returns the body of the response. The error message starts
/// with the address of the node.
pub(crate) async fn send_request(
    address: SocketAddr,
    method: Method,
    path: &str,
) -> Result<Bytes, String> {
    match timeout(REQUEST_TIMEOUT, exchange(address, method, path)).await {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(error)) => Err(format!("node {address}: {error}")),
        Err(_) => Err(format!("node {address}: no answer in {REQUEST_TIMEOUT:?}")),
    }
}

/// Sends a GET request and decodes the JSON response.
pub(crate) async fn get_json<T: DeserializeOwned>(
    address: SocketAddr,
    path: &str,
) -> Result<T, String> {
    let body = send_request(address, Method::GET, path).await?;
    serde_json::from_slice(&body).map_err(|error| format!("node {address}: {error}"))
}

async fn exchange(address: SocketAddr, method: Method, path: &str) -> Result<Bytes, BoxError> {
    let stream = TcpStream::connect(address).await?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    // The connection's task ends when the sender is dropped.
    tokio::spawn(connection);
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header("host", address.to_string())
        .body(Empty::<Bytes>::new())?;
    let (head, body) = sender.send_request(request).await?.into_parts();
    let body = Limited::new(body, MAX_RESPONSE_BYTES)
        .collect()
        .await?
        .to_bytes();
    if head.status.is_success() {
        return Ok(body);
    }
    let reason = String::from_utf8_lossy(&body);
    Err(format!("{}: {}", head.status, reason.trim_end()).into())
}

/// Percent-encodes a value for the query of a URL.
pub(crate) fn percent_encode(value: &str) -> String {
    let is_unescaped = |byte: u8| byte.is_ascii_alphanumeric() || b"-._~/".contains(&byte);
    value
        .bytes()
        .map(|byte| {
            if is_unescaped(byte) {
                char::from(byte).to_string()
            } else {
                format!("%{byte:02X}")
            }
        })
        .collect()
}
