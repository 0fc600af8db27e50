//! Requests of a connection that were started before it was their turn.

use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::task::Waker;

use hyper::Request;
use hyper::Response;
use log::error;
use tokio::sync::Notify;
use tokio::sync::OwnedSemaphorePermit;
use tokio_util::task::AbortOnDropHandle;

use crate::body::Payload;

/// A request that is processed before hyper has read it. Dropping it cancels the request.
pub(crate) struct StartedRequest {
    /// Head of the request as it was read ahead.
    pub(crate) request: Request<()>,
    /// Task that processes the request.
    pub(crate) task: AbortOnDropHandle<Response<Payload>>,
    /// Share of the limit on started requests of the node.
    pub(crate) _permit: OwnedSemaphorePermit,
}

impl StartedRequest {
    fn is_same<B>(&self, request: &Request<B>) -> bool {
        self.request.method() == request.method()
            && self.request.uri() == request.uri()
            && self.request.headers() == request.headers()
    }
}

#[derive(Default)]
struct State {
    /// Number of requests that were released to hyper.
    released: u64,
    /// Number of requests that hyper has passed to the handler.
    handled: u64,
    /// Whether a released request has no response yet.
    in_progress: bool,
    /// Each with its position in the order of the connection's requests. Sorted by position.
    started: VecDeque<(u64, StartedRequest)>,
    /// Whether a request was received before the one in progress had its response.
    has_pipelined: bool,
    /// Waker of the stream, which waits for the response to the released request.
    reader: Option<Waker>,
}

/// Started requests of one connection, shared by its stream and its handler.
#[derive(Default)]
pub(crate) struct StartedQueue {
    state: Mutex<State>,
    /// Notified when the last started request is taken.
    emptied: Notify,
}

impl StartedQueue {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether a request was released whose response is not known yet.
    pub(crate) fn is_in_progress(&self) -> bool {
        self.state().in_progress
    }

    /// Records that the next request is released to hyper.
    pub(crate) fn record_released(&self) {
        let mut state = self.state();
        state.released += 1;
        state.in_progress = true;
    }

    /// Whether the caller has sent requests before it had the responses to earlier ones.
    pub(crate) fn has_pipelined(&self) -> bool {
        self.state().has_pipelined
    }

    /// Registers the task to be woken when the released request has its response.
    pub(crate) fn register_reader(&self, waker: &Waker) {
        let mut state = self.state();
        state.has_pipelined = true;
        match &mut state.reader {
            Some(reader) => reader.clone_from(waker),
            None => state.reader = Some(waker.clone()),
        }
    }

    /// Adds the request that follows the released one and those started before.
    pub(crate) fn push(&self, request: StartedRequest) {
        let mut state = self.state();
        let last = state.started.back().map(|(position, _)| *position);
        let position = last.unwrap_or(state.released) + 1;
        state.started.push_back((position, request));
    }

    /// Number of requests that were started and not taken.
    pub(crate) fn len(&self) -> usize {
        self.state().started.len()
    }

    /// Counts the request that hyper has read, and takes its started counterpart if there is one.
    pub(crate) fn take<B>(&self, request: &Request<B>) -> Option<StartedRequest> {
        let mut state = self.state();
        state.handled += 1;
        let handled = state.handled;
        if state
            .started
            .front()
            .is_none_or(|(position, _)| *position != handled)
        {
            return None;
        }
        let (_, started) = state.started.pop_front()?;
        if state.started.is_empty() {
            self.emptied.notify_waiters();
        }
        if started.is_same(request) {
            return Some(started);
        }
        // The two parsers disagree about the connection's bytes. All started requests are idempotent.
        error!(event = "pipeline-mismatch", started = state.started.len() + 1;
            "request differs from the one that was read ahead; started requests are cancelled");
        state.started.clear();
        self.emptied.notify_waiters();
        None
    }

    /// Records that the request in progress has its response.
    pub(crate) fn record_response(&self) {
        let mut state = self.state();
        state.in_progress = false;
        if let Some(reader) = state.reader.take() {
            reader.wake();
        }
    }

    /// Waits until all started requests have been taken.
    pub(crate) async fn wait_until_empty(&self) {
        loop {
            let emptied = self.emptied.notified();
            tokio::pin!(emptied);
            emptied.as_mut().enable();
            if self.len() == 0 {
                return;
            }
            emptied.await;
        }
    }
}
