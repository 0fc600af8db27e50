//! Listening and serving of connections.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::Shared;
use crate::body::Payload;

/// Connections that one listener serves at once.
const MAX_CONNECTIONS: usize = 4_096;
/// Longest wait for the head of a request.
const HEAD_LIMIT: Duration = Duration::from_secs(10);
/// Longest head of a request, in bytes.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Pause after a failed accept, such as when file descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Serves connections until `stop`, then lets each finish its request.
pub(crate) async fn serve<H, F>(
    listener: TcpListener,
    shared: Arc<Shared>,
    stop: CancellationToken,
    handle: H,
) where
    H: Fn(Arc<Shared>, Request<Incoming>) -> F + Copy + Send + Sync + 'static,
    F: Future<Output = Response<Payload>> + Send + 'static,
{
    let tracker = TaskTracker::new();
    let free = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let accepted = tokio::select! {
            accepted = accept(&listener, &free) => accepted,
            () = stop.cancelled() => break,
        };
        let Some((stream, slot)) = accepted else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let shared = Arc::clone(&shared);
        let stop = stop.clone();
        tracker.spawn(async move {
            let _slot = slot;
            let service = service_fn(move |request| {
                let answer = handle(Arc::clone(&shared), request);
                async move { Ok::<_, Infallible>(answer.await) }
            });
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(HEAD_LIMIT)
                .max_buf_size(MAX_HEAD_BYTES)
                .serve_connection(TokioIo::new(stream), service);
            tokio::pin!(connection);
            tokio::select! {
                // Errors are those of the other end; what they mean for a request shows there.
                _ = connection.as_mut() => {}
                () = stop.cancelled() => {
                    connection.as_mut().graceful_shutdown();
                    let _ = connection.await;
                }
            }
        });
    }
    tracker.close();
    tracker.wait().await;
}

async fn accept(
    listener: &TcpListener,
    free: &Arc<Semaphore>,
) -> Option<(tokio::net::TcpStream, tokio::sync::OwnedSemaphorePermit)> {
    let slot = Arc::clone(free).acquire_owned().await.ok()?;
    let (stream, _) = listener.accept().await.ok()?;
    stream.set_nodelay(true).ok()?;
    Some((stream, slot))
}
