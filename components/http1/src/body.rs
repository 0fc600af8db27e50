//! Bodies of requests and responses.
//!
//! A [`Payload`] is any body that is sent: buffered bytes, a request body that is still arriving,
//! or a relayed response. If its source fails, the payload ends in an error, and hyper closes the
//! connection before the end of the message. Trailers are dropped.

use std::future::poll_fn;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::OnceLock;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::body::SizeHint;
use quick_error::quick_error;
use tokio::task::coop::Unconstrained;
use tokio::task::coop::unconstrained;
use tokio::time::Instant;
use tokio::time::Sleep;

use crate::connection::ClientConnection;
use crate::paced_body::PacedBody;
use crate::read_ahead::Budget;
use crate::read_ahead::ReadAheadBody;
use crate::read_ahead::read_ahead;
use errors::Reason;

#[cfg(test)]
mod tests;

/// Longest pause between two chunks of a request body, and longest wait for a body that is
/// buffered.
pub(crate) const BODY_IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Number of bytes that are read of a response at its deadline, to find out whether all of it has arrived. Covers what
/// arrives while a process is paused.
const MAX_OVERDUE_BYTES: usize = 1024 * 1024;

quick_error! {
    /// Why a body ended before it was complete.
    #[derive(Debug)]
    pub enum BodyError {
        /// The connection failed or the message was malformed.
        Connection(error: hyper::Error) {
            from()
            display("{error}")
        }
        /// A limit on size or time was exceeded.
        LimitExceeded(reason: Reason) {
            display("{reason}")
        }
    }
}

/// Body of a request or response that is sent.
pub(crate) enum Payload {
    /// Bytes in memory; `None` once they were sent or if there are none.
    Buffered(Option<Bytes>),
    /// A request body that is still arriving.
    Streamed(Box<StreamedBody>),
    /// A response that is relayed while it arrives.
    Relayed(Box<RelayedResponse>),
    /// A body that is read into memory while it is sent.
    ReadAhead(Box<ReadAheadBody>),
    /// A body that is sent as the link of the instance allows.
    Paced(Box<PacedBody>),
    /// Bytes that were read from the rest of the body before it is sent.
    Continued(Option<Bytes>, Box<Payload>),
    /// A body whose source has failed; `None` once the error was returned.
    Failed(Option<BodyError>),
}

/// What polling a body returns.
pub(crate) type FramePoll = Poll<Option<Result<Frame<Bytes>, BodyError>>>;

impl Body for Payload {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> FramePoll {
        match &mut *self {
            Self::Buffered(bytes) => Poll::Ready(bytes.take().map(|it| Ok(Frame::data(it)))),
            Self::Streamed(stream) => stream.poll_next_frame(context),
            Self::Relayed(relay) => relay.poll_next_frame(context),
            Self::ReadAhead(body) => body.poll_next_frame(context),
            Self::Paced(body) => body.poll_next_frame(context),
            Self::Continued(prefix, rest) => match prefix.take() {
                Some(bytes) => Poll::Ready(Some(Ok(Frame::data(bytes)))),
                None => Pin::new(rest.as_mut()).poll_frame(context),
            },
            Self::Failed(error) => Poll::Ready(error.take().map(Err)),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Buffered(bytes) => bytes.is_none(),
            Self::Streamed(stream) => stream.prefix.is_none() && stream.rest.is_end_stream(),
            Self::Relayed(relay) => relay.source.as_ref().is_none_or(RelaySource::is_end_stream),
            Self::ReadAhead(body) => body.is_end_stream(),
            Self::Paced(body) => body.is_end_stream(),
            Self::Continued(prefix, rest) => prefix.is_none() && rest.is_end_stream(),
            Self::Failed(error) => error.is_none(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Buffered(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, byte_len)),
            Self::Streamed(stream) => stream.size_hint(),
            Self::Relayed(relay) => relay
                .source
                .as_ref()
                .map_or_else(|| SizeHint::with_exact(0), RelaySource::size_hint),
            Self::ReadAhead(body) => body.size_hint(),
            Self::Paced(body) => body.size_hint(),
            Self::Continued(prefix, rest) => add_prefix(prefix.as_ref(), &rest.size_hint()),
            Self::Failed(_) => SizeHint::new(),
        }
    }
}

impl Payload {
    /// Time at which the body ends if its source has not. `None` if the source has ended or is in memory.
    pub(crate) fn deadline(&self) -> Option<Instant> {
        match self {
            Self::Relayed(relay) => relay.source.as_ref().map(|_| relay.deadline.deadline),
            Self::ReadAhead(body) => body.deadline(),
            Self::Paced(body) => body.deadline(),
            Self::Continued(_, rest) => rest.deadline(),
            Self::Buffered(_) | Self::Streamed(_) | Self::Failed(_) => None,
        }
    }

    /// Whether the body is sent as the link of the instance allows.
    pub(crate) fn is_paced(&self) -> bool {
        matches!(self, Self::Paced(_))
    }

    /// Ends the relay of a response whose rest is not sent.
    pub(crate) fn abort(&mut self, reason: Reason) {
        match self {
            Self::Relayed(relay) => relay.end(Some(reason)),
            Self::Continued(_, rest) => rest.abort(reason),
            Self::Buffered(_)
            | Self::Streamed(_)
            | Self::ReadAhead(_)
            | Self::Paced(_)
            | Self::Failed(_) => {}
        }
    }
}

/// Size of a body that continues with `rest` after `prefix`.
pub(crate) fn add_prefix(prefix: Option<&Bytes>, rest: &SizeHint) -> SizeHint {
    add_length(prefix.map_or(0, byte_len), rest)
}

/// Size of a body that continues with `rest` after `length` bytes.
pub(crate) fn add_length(length: u64, rest: &SizeHint) -> SizeHint {
    rest.exact()
        .map_or_else(SizeHint::new, |rest| SizeHint::with_exact(length + rest))
}

/// Reads a body into memory, so that its source is free before the body is sent. Of a body of more
/// than `max_bytes`, the rest is read ahead, so that it ends at its deadline although it is not polled.
pub(crate) async fn read_into_memory(
    mut payload: Payload,
    max_bytes: usize,
    budget: &Arc<Budget>,
) -> Payload {
    let mut read = BytesMut::new();
    while !payload.is_end_stream() {
        if read.len() > max_bytes {
            let rest = read_ahead(payload, 0, budget);
            return Payload::Continued(Some(read.freeze()), Box::new(rest));
        }
        match poll_fn(|context| Pin::new(&mut payload).poll_frame(context)).await {
            None => break,
            Some(Ok(frame)) => {
                if let Ok(bytes) = frame.into_data() {
                    read.extend_from_slice(&bytes);
                }
            }
            Some(Err(error)) => {
                let prefix = (!read.is_empty()).then(|| read.freeze());
                return Payload::Continued(prefix, Box::new(Payload::Failed(Some(error))));
            }
        }
    }
    full(read.freeze())
}

fn byte_len(bytes: &Bytes) -> u64 {
    bytes.len() as u64
}

/// Creates a body of bytes in memory.
pub(crate) fn full(bytes: impl Into<Bytes>) -> Payload {
    let bytes = bytes.into();
    Payload::Buffered((!bytes.is_empty()).then_some(bytes))
}

/// Reason for which a streamed request body failed, set by the body and read when the response to
/// its sender is built.
pub(crate) type AbortReason = Arc<OnceLock<Reason>>;

/// A request body that is forwarded while it arrives, up to a size limit.
pub(crate) struct StreamedBody {
    /// Bytes that were read before streaming began.
    prefix: Option<Bytes>,
    rest: Incoming,
    /// Number of bytes of `rest` that may still be forwarded.
    remaining_bytes: u64,
    abort_reason: AbortReason,
    idle_timer: Option<Pin<Box<Sleep>>>,
}

impl StreamedBody {
    pub(crate) fn new(
        prefix: Bytes,
        rest: Incoming,
        remaining_bytes: u64,
        abort_reason: AbortReason,
    ) -> Self {
        Self {
            prefix: (!prefix.is_empty()).then_some(prefix),
            rest,
            remaining_bytes,
            abort_reason,
            idle_timer: None,
        }
    }

    fn poll_next_frame(&mut self, context: &mut Context<'_>) -> FramePoll {
        if let Some(prefix) = self.prefix.take() {
            return Poll::Ready(Some(Ok(Frame::data(prefix))));
        }
        loop {
            match Pin::new(&mut self.rest).poll_frame(context) {
                Poll::Pending => return self.poll_idle_timeout(context),
                Poll::Ready(None) => return Poll::Ready(None),
                Poll::Ready(Some(Err(error))) => {
                    // `set` fails only if a reason is already stored, which is then kept.
                    let _ = self.abort_reason.set(Reason::Malformed);
                    return Poll::Ready(Some(Err(error.into())));
                }
                Poll::Ready(Some(Ok(frame))) => {
                    self.idle_timer = None;
                    let Ok(bytes) = frame.into_data() else {
                        continue;
                    };
                    let Some(remaining_bytes) = self.remaining_bytes.checked_sub(byte_len(&bytes))
                    else {
                        return self.fail(Reason::TooLarge);
                    };
                    self.remaining_bytes = remaining_bytes;
                    return Poll::Ready(Some(Ok(Frame::data(bytes))));
                }
            }
        }
    }

    fn poll_idle_timeout(&mut self, context: &mut Context<'_>) -> FramePoll {
        let idle_timer = self
            .idle_timer
            .get_or_insert_with(|| Box::pin(tokio::time::sleep(BODY_IDLE_TIMEOUT)));
        ready!(idle_timer.as_mut().poll(context));
        self.fail(Reason::DeadlinePassed)
    }

    fn fail(&mut self, reason: Reason) -> FramePoll {
        let _ = self.abort_reason.set(reason);
        Poll::Ready(Some(Err(BodyError::LimitExceeded(reason))))
    }

    fn size_hint(&self) -> SizeHint {
        add_prefix(self.prefix.as_ref(), &self.rest.size_hint())
    }
}

/// Where a relayed response comes from.
pub(crate) enum RelaySource {
    /// Another body.
    Payload(Payload),
    /// The body of a response on a connection, which must be polled together with the body.
    Connection {
        /// Bytes of the body that were read before.
        prefix: Option<Bytes>,
        body: Incoming,
        connection: ClientConnection,
    },
}

impl RelaySource {
    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Payload(payload) => payload.size_hint(),
            Self::Connection { prefix, body, .. } => add_prefix(prefix.as_ref(), &body.size_hint()),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Payload(payload) => payload.is_end_stream(),
            Self::Connection { prefix, body, .. } => prefix.is_none() && body.is_end_stream(),
        }
    }

    fn poll_next_frame(&mut self, context: &mut Context<'_>) -> FramePoll {
        match self {
            Self::Payload(payload) => Pin::new(payload).poll_frame(context),
            Self::Connection {
                prefix,
                body,
                connection,
            } => {
                if let Some(prefix) = prefix.take() {
                    return Poll::Ready(Some(Ok(Frame::data(prefix))));
                }
                connection.poll_body(body, context).map_err(BodyError::from)
            }
        }
    }
}

/// Timer of a deadline.
pub(crate) struct Timer {
    deadline: Instant,
    /// Unconstrained, so that a source that uses up the task's budget of I/O does not keep the deadline from being
    /// noticed.
    sleep: Option<Pin<Box<Unconstrained<Sleep>>>>,
}

impl Timer {
    pub(crate) fn at(deadline: Instant) -> Self {
        Self {
            deadline,
            sleep: None,
        }
    }

    fn has_elapsed(&self) -> bool {
        Instant::now() >= self.deadline
    }

    /// Completes at the deadline and each time after it.
    pub(crate) fn poll(&mut self, context: &mut Context<'_>) -> Poll<()> {
        if self.has_elapsed() {
            return Poll::Ready(());
        }
        let deadline = self.deadline;
        let sleep = self
            .sleep
            .get_or_insert_with(|| Box::pin(unconstrained(tokio::time::sleep_until(deadline))));
        sleep.as_mut().poll(context)
    }
}

/// How the relay of a response ended.
pub(crate) enum RelayEnd {
    /// The whole response was relayed; contains the connection that carried it, for reuse.
    Complete(Option<ClientConnection>),
    /// The source failed or the deadline passed.
    Failed(Reason),
    /// The receiver closed its connection first.
    Dropped,
}

/// Receives how the relay ended and the number of bytes that were relayed.
type OnEnd = Box<dyn FnOnce(RelayEnd, u64) + Send>;

/// A response that is relayed until its deadline and calls `on_end` when the relay ends.
pub(crate) struct RelayedResponse {
    /// `None` once the relay has ended.
    source: Option<RelaySource>,
    deadline: Timer,
    relayed_bytes: u64,
    on_end: Option<OnEnd>,
}

impl RelayedResponse {
    pub(crate) fn new(
        source: RelaySource,
        deadline: Instant,
        on_end: impl FnOnce(RelayEnd, u64) + Send + 'static,
    ) -> Self {
        Self {
            source: Some(source),
            deadline: Timer::at(deadline),
            relayed_bytes: 0,
            on_end: Some(Box::new(on_end)),
        }
    }

    fn poll_next_frame(&mut self, context: &mut Context<'_>) -> FramePoll {
        loop {
            let Some(source) = &mut self.source else {
                return Poll::Ready(None);
            };
            match source.poll_next_frame(context) {
                Poll::Pending => return self.poll_deadline(context),
                Poll::Ready(Some(Ok(frame))) if frame.is_trailers() => {}
                Poll::Ready(Some(Ok(frame))) => {
                    self.relayed_bytes += frame.data_ref().map_or(0, byte_len);
                    // hyper does not poll a body of known length again after its last byte.
                    if source.is_end_stream() {
                        self.end(None);
                    } else if self.deadline.has_elapsed() {
                        let bytes = frame.into_data().unwrap_or_default();
                        return self.finish_overdue(bytes, context);
                    }
                    return Poll::Ready(Some(Ok(frame)));
                }
                Poll::Ready(Some(Err(error))) => return self.fail(error),
                Poll::Ready(None) => {
                    self.end(None);
                    return Poll::Ready(None);
                }
            }
        }
    }

    fn poll_deadline(&mut self, context: &mut Context<'_>) -> FramePoll {
        ready!(self.deadline.poll(context));
        self.finish_overdue(Bytes::new(), context)
    }

    /// Ends the relay at its deadline. Returns `bytes` and the rest of the body if all of it has arrived.
    fn finish_overdue(&mut self, bytes: Bytes, context: &mut Context<'_>) -> FramePoll {
        let mut read = BytesMut::from(bytes);
        while read.len() <= MAX_OVERDUE_BYTES {
            let Some(source) = &mut self.source else {
                break;
            };
            if source.size_hint().lower() > MAX_OVERDUE_BYTES as u64 {
                break;
            }
            // Unconstrained, because a task that has used up its budget of I/O would see no bytes.
            let mut polled = unconstrained(poll_fn(|context| source.poll_next_frame(context)));
            match Pin::new(&mut polled).poll(context) {
                Poll::Pending => break,
                Poll::Ready(Some(Err(error))) => return self.fail(error),
                Poll::Ready(None) => {
                    self.end(None);
                    let frame = (!read.is_empty()).then(|| Ok(Frame::data(read.freeze())));
                    return Poll::Ready(frame);
                }
                Poll::Ready(Some(Ok(frame))) => {
                    let bytes = frame.into_data().unwrap_or_default();
                    self.relayed_bytes += byte_len(&bytes);
                    read.extend_from_slice(&bytes);
                    if source.is_end_stream() {
                        self.end(None);
                        return Poll::Ready(Some(Ok(Frame::data(read.freeze()))));
                    }
                }
            }
        }
        self.end(Some(Reason::DeadlinePassed));
        Poll::Ready(Some(Err(BodyError::LimitExceeded(Reason::DeadlinePassed))))
    }

    fn fail(&mut self, error: BodyError) -> FramePoll {
        let reason = match &error {
            BodyError::Connection(_) => Reason::ConnectionBroken,
            BodyError::LimitExceeded(reason) => *reason,
        };
        self.end(Some(reason));
        Poll::Ready(Some(Err(error)))
    }

    fn end(&mut self, failure_reason: Option<Reason>) {
        let source = self.source.take();
        if let Some(on_end) = self.on_end.take() {
            let end = match (failure_reason, source) {
                (Some(reason), _) => RelayEnd::Failed(reason),
                (None, Some(RelaySource::Connection { connection, .. })) => {
                    RelayEnd::Complete(Some(connection))
                }
                (None, _) => RelayEnd::Complete(None),
            };
            on_end(end, self.relayed_bytes);
        }
    }
}

impl Drop for RelayedResponse {
    fn drop(&mut self) {
        // hyper drops a body without bytes unpolled.
        if self.source.as_ref().is_some_and(RelaySource::is_end_stream) {
            self.end(None);
        } else if let Some(on_end) = self.on_end.take() {
            on_end(RelayEnd::Dropped, self.relayed_bytes);
        }
    }
}
