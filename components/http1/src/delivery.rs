//! Delivery of a response on a server connection.
//!
//! hyper polls a body only while it has room for more bytes, which is at the pace of the peer. Between those polls the
//! connection itself polls the body by [`Slot::poll_ahead`] and keeps what its source has ready. A response that is
//! complete before its deadline is therefore delivered however slowly the peer reads it, and any other response ends at
//! its deadline, also if the peer reads nothing.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use bytes::Bytes;
use hyper::body::Body as HttpBody;
use hyper::body::Frame;
use hyper::body::SizeHint;

use crate::body::BodyError;
use crate::body::FramePoll;
use crate::body::Payload;
use crate::body::Timer;
use crate::body::add_length;
use crate::read_ahead::Budget;
use crate::read_ahead::Chunks;

/// A response body that is being sent.
struct Response {
    source: Payload,
    /// Bytes that were read from the source and not passed to hyper yet.
    chunks: Chunks,
    /// Set once the source has ended, with its error if it failed.
    end: Option<Option<BodyError>>,
    /// Whether hyper polled the body last and got nothing, so that it is woken when the source has more.
    awaited: bool,
    /// Timer of the deadline, once nothing more may be read before it.
    timer: Option<Timer>,
}

impl Response {
    fn poll_frame(&mut self, context: &mut Context<'_>) -> FramePoll {
        self.awaited = false;
        if let Some(chunk) = self.chunks.pop() {
            return Poll::Ready(Some(Ok(Frame::data(chunk))));
        }
        if let Some(error) = &mut self.end {
            return Poll::Ready(error.take().map(Err));
        }
        let polled = Pin::new(&mut self.source).poll_frame(context);
        self.awaited = polled.is_pending();
        polled
    }

    /// Reads what the source has ready while hyper does not. Completes if the response cannot be completed.
    fn poll_ahead(&mut self, context: &mut Context<'_>) -> Poll<()> {
        while !self.awaited && self.end.is_none() {
            let Some(deadline) = self.source.deadline() else {
                break;
            };
            // A paced body is read as the link allows, so that only its deadline matters here.
            if self.source.is_paced() || !self.chunks.has_room() {
                let timer = self.timer.get_or_insert_with(|| Timer::at(deadline));
                ready!(timer.poll(context));
            }
            match ready!(Pin::new(&mut self.source).poll_frame(context)) {
                None => self.end = Some(None),
                Some(Ok(frame)) => {
                    self.chunks.push(&frame.into_data().unwrap_or_default());
                    if self.source.is_end_stream() {
                        self.end = Some(None);
                    }
                }
                Some(Err(error)) => {
                    self.chunks.clear();
                    self.end = Some(Some(error));
                    return Poll::Ready(());
                }
            }
        }
        Poll::Pending
    }

    fn is_end_stream(&self) -> bool {
        match &self.end {
            Some(error) => self.chunks.is_empty() && error.is_none(),
            None => self.chunks.is_empty() && self.source.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.end {
            Some(Some(_)) => SizeHint::new(),
            _ => add_length(self.chunks.len(), &self.source.size_hint()),
        }
    }
}

/// The response that a connection is sending, if any.
#[derive(Default)]
pub(crate) struct Slot {
    response: Mutex<Option<Response>>,
    /// Whether a response has ended before it was complete.
    failed: AtomicBool,
}

impl Slot {
    /// Starts the delivery of `source`; the connection sends one response at a time.
    pub(crate) fn start(self: &Arc<Self>, source: Payload, budget: &Arc<Budget>) -> Body {
        *self.response() = Some(Response {
            source,
            chunks: Chunks::new(Arc::clone(budget)),
            end: None,
            awaited: false,
            timer: None,
        });
        Body {
            slot: Arc::clone(self),
        }
    }

    /// Reads ahead of hyper. Completes once the response cannot be completed.
    pub(crate) fn poll_ahead(&self, context: &mut Context<'_>) -> Poll<()> {
        let mut response = self.response();
        let Some(response) = &mut *response else {
            return Poll::Pending;
        };
        ready!(response.poll_ahead(context));
        self.failed.store(true, Ordering::Relaxed);
        Poll::Ready(())
    }

    /// Whether a response has ended before it was complete.
    pub(crate) fn has_failed(&self) -> bool {
        self.failed.load(Ordering::Relaxed)
    }

    fn response(&self) -> MutexGuard<'_, Option<Response>> {
        self.response.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Body that hyper polls; the delivery ends when it is dropped.
pub(crate) struct Body {
    slot: Arc<Slot>,
}

impl HttpBody for Body {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(self: Pin<&mut Self>, context: &mut Context<'_>) -> FramePoll {
        let mut response = self.slot.response();
        let Some(response) = &mut *response else {
            return Poll::Ready(None);
        };
        let polled = response.poll_frame(context);
        if matches!(polled, Poll::Ready(Some(Err(_)))) {
            self.slot.failed.store(true, Ordering::Relaxed);
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        let response = self.slot.response();
        response.as_ref().is_none_or(Response::is_end_stream)
    }

    fn size_hint(&self) -> SizeHint {
        let response = self.slot.response();
        response
            .as_ref()
            .map_or_else(SizeHint::new, Response::size_hint)
    }
}

impl Drop for Body {
    fn drop(&mut self) {
        // The lock is released before the response is dropped, because its end runs other code.
        let response = self.slot.response().take();
        drop(response);
    }
}
