//! Server of the admin listener and its resource limits.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use log::warn;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::AdminHandler;

/// Maximum number of concurrent connections; one upstream, one metrics collector and a few operators
/// need fewer.
const MAX_CONNECTIONS: usize = 64;
/// Maximum length of a request head in bytes; the minimum that hyper supports.
const MAX_HEAD_BYTES: usize = 8 * 1024;
/// Timeout of receiving a request head.
const HEAD_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum lifetime of a connection; clients with persistent connections reconnect.
const MAX_CONNECTION_LIFETIME: Duration = Duration::from_secs(30);
/// Delay after a failed accept, for example because there are too many open files.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Serves the admin API on `listener` until the future is dropped.
///
/// Connections beyond [`MAX_CONNECTIONS`] wait in the backlog of the listener. Each connection is
/// closed after at most [`MAX_CONNECTION_LIFETIME`], so that idle ones cannot lock operators out for
/// longer.
pub async fn serve(listener: TcpListener, handler: AdminHandler) -> Result<(), Infallible> {
    let handle = move |request| {
        let handler = handler.clone();
        async move { handler.handle(request).await }
    };
    serve_requests(listener, handle).await;
    Ok(())
}

/// Serves a listener of operators or of local agents with the handler `handle`, within the resource
/// limits of the admin listener.
pub async fn serve_requests<H, F>(listener: TcpListener, handle: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Response<Full<Bytes>>> + Send + 'static,
{
    let semaphore = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let Ok(permit) = Arc::clone(&semaphore).acquire_owned().await else {
            // The semaphore is never closed.
            return;
        };
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                warn!("admin listener: cannot accept a connection: {error}");
                sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let handle = handle.clone();
        tokio::spawn(async move {
            // A connection error is caused by the client; the timeout closes the connection.
            let _ = timeout(MAX_CONNECTION_LIFETIME, serve_connection(stream, handle)).await;
            drop(permit);
        });
    }
}

/// Serves one connection until the client closes it.
async fn serve_connection<H, F>(stream: TcpStream, handle: H) -> Result<(), hyper::Error>
where
    H: Fn(Request<Incoming>) -> F,
    F: Future<Output = Response<Full<Bytes>>>,
{
    let service = service_fn(move |request| {
        let response = handle(request);
        async move { Ok::<_, Infallible>(response.await) }
    });
    http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(TokioIo::new(stream), service)
        .await
}
