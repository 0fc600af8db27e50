//! HTTP client and server functions for the lab's fake services and its scenarios.

use std::convert::Infallible;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use http_body_util::combinators::BoxBody;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::client::conn::http1 as client;
use hyper::server::conn::http1 as server;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use serde_json::Value;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::task::JoinSet;
use tokio::time::timeout;

use crate::Error;
use crate::time;

/// Maximum size of a body that is read; a store value of 1 MB in base64 inside JSON fits.
const MAX_BODY_BYTES: usize = 4_000_000;
/// Timeout of a request on a new connection, from connecting to the end of the response.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Delay after a failed accept, such as when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Body of a request or response.
pub type Body = BoxBody<Bytes, Infallible>;

/// Error of a handler that closes the connection without a response.
#[derive(Debug)]
pub struct CloseConnection;

impl fmt::Display for CloseConnection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("closed without a response")
    }
}

impl std::error::Error for CloseConnection {}

/// Result of a request handler.
pub type HandlerResult = Result<Response<Body>, CloseConnection>;

/// Limits of a listener.
#[derive(Clone, Copy, Debug)]
pub struct ListenerLimits {
    /// Maximum number of open connections; further ones are closed when they are accepted.
    pub max_connections: usize,
    /// Delay from accepting a connection until its requests are read.
    pub connect_delay: Duration,
}

impl Default for ListenerLimits {
    fn default() -> Self {
        Self {
            max_connections: 10_000,
            connect_delay: Duration::ZERO,
        }
    }
}

/// Builds a body from `bytes`.
pub fn full_body(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).boxed()
}

/// Builds a response with `status` and the body `text`.
pub fn text_response(status: StatusCode, text: impl Into<Bytes>) -> Response<Body> {
    let mut response = Response::new(full_body(text));
    *response.status_mut() = status;
    response
}

/// Reads a body of at most `MAX_BODY_BYTES`; the error for a larger or incomplete body closes the
/// connection.
pub async fn read_body(body: Incoming) -> Result<Bytes, CloseConnection> {
    match Limited::new(body, MAX_BODY_BYTES).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(_) => Err(CloseConnection),
    }
}

/// Accepts and serves connections until the future is dropped, which also closes the open ones.
pub async fn serve<H, F>(listener: &TcpListener, limits: ListenerLimits, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = HandlerResult> + Send + 'static,
{
    let free_connections = Arc::new(Semaphore::new(limits.max_connections));
    let mut connections = JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let Ok(permit) = Arc::clone(&free_connections).try_acquire_owned() else {
            continue;
        };
        let handler = handler.clone();
        connections.spawn(async move {
            let _permit = permit;
            time::sleep(limits.connect_delay).await;
            serve_connection(stream, handler).await;
        });
    }
}

async fn serve_connection<H, F>(stream: TcpStream, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = HandlerResult> + Send + 'static,
{
    // If the socket is already closed, the first read reports it.
    let _ = stream.set_nodelay(true);
    let _ = server::Builder::new()
        .timer(TokioTimer::new())
        .serve_connection(TokioIo::new(stream), service_fn(handler))
        .await;
}

/// Opens an HTTP/1 connection to `address`.
pub async fn connect(address: SocketAddr) -> io::Result<client::SendRequest<Body>> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let (sender, connection) = client::handshake(TokioIo::new(stream))
        .await
        .map_err(io::Error::other)?;
    tokio::spawn(connection);
    Ok(sender)
}

/// Sends one request on a new connection; fails if there is no response within [`CALL_TIMEOUT`].
pub async fn send(address: SocketAddr, request: Request<Body>) -> Result<Response<Bytes>, Error> {
    let call = async {
        let mut sender = connect(address).await?;
        let (parts, body) = sender.send_request(request).await?.into_parts();
        let bytes = body.collect().await?.to_bytes();
        Ok(Response::from_parts(parts, bytes))
    };
    timeout(CALL_TIMEOUT, call).await?
}

/// Sends a request with `method` for `path` and returns the response body; a status other than 2xx is
/// an error.
pub async fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
) -> Result<Bytes, Error> {
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header("host", address.to_string())
        .body(full_body(body.to_owned()))?;
    let response = send(address, request).await?;
    if response.status().is_success() {
        return Ok(response.into_body());
    }
    let text = String::from_utf8_lossy(response.body()).into_owned();
    Err(format!("{method} {address}{path}: {}: {text}", response.status()).into())
}

/// Fetches `path` with GET and parses the response body as JSON.
pub async fn get_json(address: SocketAddr, path: &str) -> Result<Value, Error> {
    Ok(serde_json::from_slice(
        &call(address, "GET", path, "").await?,
    )?)
}
