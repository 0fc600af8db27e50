//! The admin listener and its bounds.

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

/// Connections at once; one upstream, one collector of metrics and some operators need fewer.
const MAX_CONNECTIONS: usize = 64;
/// Longest head of a request, in bytes; hyper's least.
const MAX_HEAD_BYTES: usize = 8 * 1024;
/// Longest time for a head to arrive.
const HEAD_LIMIT: Duration = Duration::from_secs(2);
/// Longest life of a connection; those that are kept alive come back.
const CONNECTION_LIMIT: Duration = Duration::from_secs(30);
/// Pause after an error of the listener, such as too many open files.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Serves the admin listener until the future is dropped.
///
/// Connections over the bound wait in the listener's backlog. Each holds its place for at most
/// [`CONNECTION_LIMIT`], so that silent ones cannot shut operators out for longer.
pub async fn serve(listener: TcpListener, node: AdminHandler) -> Result<(), Infallible> {
    let handle = move |request| {
        let node = node.clone();
        async move { node.handle(request).await }
    };
    serve_requests(listener, handle).await;
    Ok(())
}

/// Serves a listener for operators or for the instance's surroundings within the same bounds.
pub async fn serve_requests<H, F>(listener: TcpListener, handle: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Response<Full<Bytes>>> + Send + 'static,
{
    let places = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let Ok(place) = Arc::clone(&places).acquire_owned().await else {
            // The semaphore is never closed.
            return;
        };
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                warn!("admin listener: {error}");
                sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let handle = handle.clone();
        tokio::spawn(async move {
            // Errors are those of the other end; passing the limit closes the connection.
            let _ = timeout(CONNECTION_LIMIT, converse(stream, handle)).await;
            drop(place);
        });
    }
}

async fn converse<H, F>(stream: TcpStream, handle: H) -> Result<(), hyper::Error>
where
    H: Fn(Request<Incoming>) -> F,
    F: Future<Output = Response<Full<Bytes>>>,
{
    let service = service_fn(move |request| {
        let answer = handle(request);
        async move { Ok::<_, Infallible>(answer.await) }
    });
    http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_LIMIT)
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(TokioIo::new(stream), service)
        .await
}
