//! Accepting and serving of HTTP connections.

use std::convert::Infallible;
use std::future::poll_fn;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

use bytes::Bytes;
use hyper::Request;
use hyper::Response;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::body::SizeHint;
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
use crate::body::BodyError;
use crate::body::FramePoll;
use crate::body::Payload;
use crate::caller;
use crate::delivery;
use crate::events;
use crate::head;
use crate::metered_stream::LinkMeter;
use crate::metered_stream::MeteredStream;
use crate::metered_stream::ResetFlag;
use crate::metered_stream::is_local;
use crate::paced_body;
use crate::paced_body::SendPriority;
use crate::pipeline::ReadAheadStream;
use crate::pipeline::StartedQueue;
use crate::write_timeout::WriteTimeoutStream;
use errors::Reason;
use ids::RequestId;
use kernel::Time;

/// Time beyond the callers' idle limit before a connection is closed, so that a request sent within
/// the limit does not meet a closed connection.
const IDLE_MARGIN: Duration = Duration::from_secs(1);
/// hyper's timeout for a request head. The idle limit of callers is enforced by [`wait_idle`]
/// instead, because a new configuration can raise that limit while a connection is open.
const MAX_HEAD_TIMEOUT: Duration = Duration::from_secs(600);
/// Delay after a failed accept, for example when no file descriptors are left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Time from the stop of a listener until a connection that is still open is logged.
const LATE_END_LOG_DELAY: Duration = Duration::from_secs(1);

/// State of a server connection across its requests.
#[derive(Default)]
pub(crate) struct ConnectionState {
    /// Whether the peer is on this node's own instance, as its upstream is.
    pub(crate) is_local: bool,
    /// Counts what is written to another instance, if the rate of the link is known.
    meter: Option<Arc<LinkMeter>>,
    stored_request: Mutex<Option<RequestId>>,
    activity: Mutex<Activity>,
    /// The response that is being sent.
    delivery: Arc<delivery::Slot>,
    /// Set if the connection is to be reset when it is dropped.
    reset: ResetFlag,
    /// Requests that were started before hyper has read them.
    pub(crate) started_requests: Arc<StartedQueue>,
}

/// Whether and since when a connection is in use.
#[derive(Clone, Copy, Debug, Default)]
struct Activity {
    /// Whether a request or the body of its response is in progress.
    is_busy: bool,
    /// When `is_busy` last changed, or the connection was opened.
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

    /// Reads ahead of the peer until the response that is being sent cannot be completed. Never completes if the caller
    /// pipelines, as hyper may still hold complete responses to earlier requests.
    async fn wait_for_failed_response(&self) {
        poll_fn(|context| {
            ready!(self.delivery.poll_ahead(context));
            if self.started_requests.has_pipelined() {
                return Poll::Pending;
            }
            Poll::Ready(())
        })
        .await;
    }

    /// Lets the connection be reset if its last response has failed: the rest of an incomplete response is of no use to
    /// the peer, which may take long to read what the kernel holds of it.
    fn reset_if_failed(&self) {
        // The kernel may hold complete responses to the earlier requests of a pipeline.
        if self.delivery.has_failed() && !self.started_requests.has_pipelined() {
            self.reset.store(true, Ordering::Relaxed);
        }
    }

    /// Records that the response to this request is stored.
    pub(crate) fn set_stored(&self, id: RequestId) {
        *self
            .stored_request
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = Some(id);
    }

    /// Takes the identifier of the previous request if its response is stored.
    pub(crate) fn take_stored(&self) -> Option<RequestId> {
        let mut stored_request = self
            .stored_request
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        stored_request.take()
    }
}

/// Marks a connection as in use from a request to the end of the response's body.
struct ExchangeGuard {
    shared: Arc<SharedState>,
    connection_state: Arc<ConnectionState>,
}

impl ExchangeGuard {
    fn new(shared: Arc<SharedState>, connection_state: Arc<ConnectionState>) -> Self {
        connection_state.record_activity(true, shared.driver.now());
        Self {
            shared,
            connection_state,
        }
    }

    fn guard_body(self, body: Payload) -> GuardedBody {
        GuardedBody {
            body: self
                .connection_state
                .delivery
                .start(body, &self.shared.read_ahead),
            _exchange: self,
        }
    }
}

impl Drop for ExchangeGuard {
    fn drop(&mut self) {
        self.connection_state
            .record_activity(false, self.shared.driver.now());
    }
}

/// A response body that hyper drops once it is written; the exchange ends with it.
struct GuardedBody {
    body: delivery::Body,
    _exchange: ExchangeGuard,
}

impl Body for GuardedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> FramePoll {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Who connects to a listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Kind {
    Callers,
    Nodes,
}

impl Kind {
    /// Name of the listener in log lines and settings.
    fn name(self) -> &'static str {
        match self {
            Self::Callers => "callers",
            Self::Nodes => "requests",
        }
    }

    /// Limits on request heads, given those on callers.
    fn head_limits(self, callers: head::Limits) -> head::Limits {
        match self {
            Self::Callers => callers,
            Self::Nodes => callers.between_nodes(),
        }
    }
}

/// A bound listener with its limits.
pub(crate) struct Listener {
    pub(crate) kind: Kind,
    pub(crate) listener: TcpListener,
    /// Maximum number of open connections.
    pub(crate) max_connections: usize,
    /// Maximum number of requests of one connection that are processed at the same time.
    pub(crate) max_requests: usize,
}

/// Serves connections until `stop` is cancelled, then lets each finish its requests.
pub(crate) async fn serve<H, F>(
    Listener {
        kind,
        listener,
        max_connections,
        max_requests,
    }: Listener,
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
            serve_connection(kind, (stream, max_requests), shared, stop, handle).await;
        });
    }
    // A caller that connects from now on is refused at once; otherwise it would wait unread for the last of
    // the open connections.
    drop(listener);
    tracker.close();
    tracker.wait().await;
}

async fn serve_connection<H, F>(
    kind: Kind,
    (stream, max_requests): (TcpStream, usize),
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
    let peer = stream.peer_addr().ok();
    let connection_state = Arc::new(ConnectionState {
        is_local: is_local(&stream),
        meter: LinkMeter::for_stream(shared.driver.link(), &stream),
        ..ConnectionState::default()
    });
    connection_state.record_activity(false, shared.driver.now());
    let shared_state = Arc::clone(&shared);
    let watched_state = Arc::clone(&connection_state);
    let service = service_fn(move |request| {
        let shared = Arc::clone(&shared);
        let response_future = handle(Arc::clone(&shared), Arc::clone(&connection_state), request);
        // Boxed, so that an idle connection does not hold memory for the future of a request.
        let connection_state = Arc::clone(&connection_state);
        Box::pin(async move {
            let exchange = ExchangeGuard::new(Arc::clone(&shared), Arc::clone(&connection_state));
            let mut response = response_future.await;
            let headers = response.headers_mut();
            if connection_state.started_requests.len() > 0 {
                // A close would cut off the responses to the started requests.
                headers.remove(CONNECTION);
            } else if shared.driver.is_leaving() {
                headers.insert(CONNECTION, HeaderValue::from_static("close"));
            }
            connection_state.started_requests.record_response();
            let body_shared = Arc::clone(&shared);
            let priority = response.extensions_mut().remove::<SendPriority>();
            let is_paced = shared.driver.active_link().is_some();
            let meter = connection_state.meter.as_ref().filter(|_| is_paced);
            let response = response.map(|body| match meter {
                Some(meter) => paced_body::pace(&body_shared, meter, priority, body),
                None => body,
            });
            Ok::<_, Infallible>(response.map(|body| exchange.guard_body(body)))
        })
    });
    let start_shared = Arc::clone(&shared_state);
    let is_local = watched_state.is_local;
    let start_request =
        move |request, pipelined| caller::start_early(&start_shared, request, pipelined, is_local);
    let caller_limits = shared_state.caller_head_limits();
    let head_limits = kind.head_limits(caller_limits);
    let metered =
        MeteredStream::new(stream, watched_state.meter.clone()).with_reset(&watched_state.reset);
    let stream = ReadAheadStream::new(
        WriteTimeoutStream::new(metered),
        Arc::clone(&watched_state.started_requests),
        max_requests,
        head_limits.bytes,
        Box::new(start_request),
    );
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(MAX_HEAD_TIMEOUT)
        .max_buf_size(head_limits.bytes)
        .max_headers(head_limits.headers)
        .serve_connection(stream, service);
    tokio::pin!(connection);
    // hyper cannot change the limits of an open connection, so a connection with lower ones than are in
    // force ends with the request in progress.
    let mut newest_limits = shared_state.head_limits.subscribe();
    let limits_raised = newest_limits.wait_for(|it| it.bytes > caller_limits.bytes);
    let stopped = async {
        tokio::select! {
            () = stop.cancelled() => {}
            _ = limits_raised => {}
        }
        watched_state.started_requests.wait_until_empty().await;
    };
    let ended = tokio::select! {
        ended = drive(connection.as_mut(), &watched_state) => ended,
        () = stopped => {
            connection.as_mut().graceful_shutdown();
            let late = async {
                stop.cancelled().await;
                tokio::time::sleep(LATE_END_LOG_DELAY).await;
            };
            tokio::select! {
                ended = drive(connection.as_mut(), &watched_state) => ended,
                () = late => {
                    let Activity { is_busy, since } = watched_state.activity();
                    let unchanged_for = shared_state.driver.now().since(since);
                    events::log_connection_open(peer, is_busy, unchanged_for);
                    drive(connection, &watched_state).await
                }
            }
        }
        // No request is in progress, and the connection was idle or its request head incomplete for
        // too long.
        () = wait_idle(&shared_state, &watched_state) => return,
    };
    watched_state.reset_if_failed();
    // Only parse errors are counted here. Other errors come from the connection; if one affects a
    // request, the handler of the request reports it.
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
        events::log_head_refused(kind.name(), peer, reason);
    }
}

/// Runs `connection` until it ends or its response cannot be completed.
async fn drive(
    connection: Pin<&mut impl Future<Output = hyper::Result<()>>>,
    connection_state: &ConnectionState,
) -> hyper::Result<()> {
    tokio::select! {
        // The connection first, so that only what hyper does not read is read ahead.
        biased;
        ended = connection => ended,
        () = connection_state.wait_for_failed_response() => Ok(()),
    }
}

/// Waits until the connection has been idle for longer than the idle limit of callers.
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
