//! Listening and serving of connections.

use std::convert::Infallible;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::header::CONNECTION;
use hyper::header::HeaderValue;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioTimer;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::SharedState;
use crate::body::Payload;
use crate::write_timeout::WriteTimeoutStream;
use errors::Reason;
use ids::RequestId;
use kernel::Time;

/// Time beyond the callers' idle limit for which a connection is kept, so that a request that was sent
/// within the limit does not cross the close.
const IDLE_MARGIN: Duration = Duration::from_secs(1);
/// Least bound that hyper takes for a head, in bytes.
const MIN_HEAD_BYTES: usize = 8 * 1024;
/// Upper bound on the wait for a head; a change of the configuration can make callers idle longer
/// than they were allowed to when the connection began.
const MAX_HEAD_TIMEOUT: Duration = Duration::from_secs(600);
/// Pause after a failed accept, such as when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// What is remembered from one request of a connection to the next.
#[derive(Debug, Default)]
pub(crate) struct ConnectionState {
    stored_request: Mutex<Option<RequestId>>,
    activity: Mutex<Activity>,
}

/// When a connection was used.
#[derive(Clone, Copy, Debug, Default)]
struct Activity {
    /// Whether a request is being answered.
    is_busy: bool,
    /// When it last began or ended to answer one, or was opened.
    since: Time,
}

impl ConnectionState {
    fn record_activity(&self, is_busy: bool, since: Time) {
        let activity = Activity { is_busy, since };
        *self.activity.lock().unwrap_or_else(PoisonError::into_inner) = activity;
    }

    fn activity(&self) -> Activity {
        *self.activity.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Remembers that the answer to this request is kept.
    pub(crate) fn set_stored(&self, id: RequestId) {
        *self
            .stored_request
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = Some(id);
    }

    /// The request before, if its answer is kept.
    pub(crate) fn take_stored(&self) -> Option<RequestId> {
        let mut stored_request = self
            .stored_request
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        stored_request.take()
    }
}

/// Serves at most `bound` connections at once until `stop`, then lets each finish its request.
pub(crate) async fn serve<H, F>(
    (listener, max_connections): (TcpListener, usize),
    shared: Arc<SharedState>,
    stop: CancellationToken,
    handle: H,
) where
    H: Fn(Arc<SharedState>, Arc<ConnectionState>, Request<Incoming>) -> F
        + Copy
        + Send
        + Sync
        + 'static,
    F: Future<Output = Response<Payload>> + Send + 'static,
{
    let tracker = TaskTracker::new();
    let free_slots = Arc::new(Semaphore::new(max_connections));
    loop {
        let accepted = tokio::select! {
            accepted = accept(&listener, &free_slots) => accepted,
            () = stop.cancelled() => break,
        };
        let Some((stream, slot)) = accepted else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let shared = Arc::clone(&shared);
        let stop = stop.clone();
        tracker.spawn(async move {
            let _slot = slot;
            serve_connection(stream, shared, stop, handle).await;
        });
    }
    tracker.close();
    tracker.wait().await;
}

async fn serve_connection<H, F>(
    stream: TcpStream,
    shared: Arc<SharedState>,
    stop: CancellationToken,
    handle: H,
) where
    H: Fn(Arc<SharedState>, Arc<ConnectionState>, Request<Incoming>) -> F
        + Copy
        + Send
        + Sync
        + 'static,
    F: Future<Output = Response<Payload>> + Send + 'static,
{
    let connection_state = Arc::new(ConnectionState::default());
    connection_state.record_activity(false, shared.driver.now());
    let shared_state = Arc::clone(&shared);
    let watched_state = Arc::clone(&connection_state);
    let service = service_fn(move |request| {
        let shared = Arc::clone(&shared);
        let response_future = handle(Arc::clone(&shared), Arc::clone(&connection_state), request);
        // Boxed, so that an idle connection holds no place for a request.
        let connection_state = Arc::clone(&connection_state);
        Box::pin(async move {
            connection_state.record_activity(true, shared.driver.now());
            let mut response = response_future.await;
            connection_state.record_activity(false, shared.driver.now());
            if shared.driver.is_leaving() {
                let headers = response.headers_mut();
                headers.insert(CONNECTION, HeaderValue::from_static("close"));
            }
            Ok::<_, Infallible>(response)
        })
    });
    let head_bytes = shared_state.limits().max_head_bytes.max(MIN_HEAD_BYTES);
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(MAX_HEAD_TIMEOUT)
        .max_buf_size(head_bytes)
        .serve_connection(WriteTimeoutStream::new(stream), service);
    tokio::pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = stop.cancelled() => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
        // Nothing is being answered, and a head that is not whole by now will not be.
        () = wait_idle(&shared_state, &watched_state) => return,
    };
    // Other errors are those of the other end; what they mean for a request shows there.
    if let Err(error) = ended
        && error.is_parse()
    {
        let reason = if error.is_parse_too_large() {
            Reason::TooLarge
        } else {
            Reason::Malformed
        };
        shared_state
            .driver
            .metrics()
            .count_refusal("listener", reason);
    }
}

/// Waits until the connection has been idle for longer than callers may be.
async fn wait_idle(shared: &SharedState, connection_state: &ConnectionState) {
    loop {
        let limit = shared.limits().idle_timeout + IDLE_MARGIN;
        let Activity { is_busy, since } = connection_state.activity();
        let remaining = limit.saturating_sub(shared.driver.now().since(since));
        if remaining.is_zero() && !is_busy {
            return;
        }
        tokio::time::sleep(if is_busy { limit } else { remaining }).await;
    }
}

async fn accept(
    listener: &TcpListener,
    free_slots: &Arc<Semaphore>,
) -> Option<(TcpStream, OwnedSemaphorePermit)> {
    let slot = Arc::clone(free_slots).acquire_owned().await.ok()?;
    let (stream, _) = listener.accept().await.ok()?;
    stream.set_nodelay(true).ok()?;
    Some((stream, slot))
}
