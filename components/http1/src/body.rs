//! Bodies of requests and answers.
//!
//! A [`Payload`] is whatever is sent: bytes in hand, a body that is still arriving, or the relayed
//! answer of a [`Link`]. A payload that breaks off ends in an error, which makes hyper close the
//! connection before the end of the message. Trailers are dropped.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::OnceLock;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

use bytes::Bytes;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::body::SizeHint;
use quick_error::quick_error;
use tokio::time::Instant;
use tokio::time::Sleep;

use crate::link::Link;
use errors::Reason;

/// Longest pause between two parts of a request body.
pub(crate) const BODY_PAUSE: Duration = Duration::from_secs(5);

quick_error! {
    /// Why a body broke off.
    #[derive(Debug)]
    pub enum Broken {
        /// The connection or the framing failed.
        Connection(error: hyper::Error) {
            from()
            display("{error}")
        }
        /// A bound on size or time was passed.
        Bound(reason: Reason) {
            display("{reason}")
        }
    }
}

/// Any body.
pub(crate) enum Payload {
    /// Bytes in hand.
    Whole(Option<Bytes>),
    /// A body that is still arriving.
    Stream(Box<Stream>),
    /// An answer that is relayed.
    Relay(Box<Relay>),
}

type Polled = Poll<Option<Result<Frame<Bytes>, Broken>>>;

impl Body for Payload {
    type Data = Bytes;
    type Error = Broken;

    fn poll_frame(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Polled {
        match &mut *self {
            Self::Whole(bytes) => Poll::Ready(bytes.take().map(|it| Ok(Frame::data(it)))),
            Self::Stream(stream) => stream.poll_part(context),
            Self::Relay(relay) => relay.poll_part(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(bytes) => bytes.is_none(),
            Self::Stream(stream) => stream.prefix.is_none() && stream.rest.is_end_stream(),
            Self::Relay(relay) => relay.source.as_ref().is_none_or(Source::is_end_stream),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, len)),
            Self::Stream(stream) => stream.size_hint(),
            Self::Relay(relay) => relay
                .source
                .as_ref()
                .map_or_else(|| SizeHint::with_exact(0), Source::size_hint),
        }
    }
}

fn len(bytes: &Bytes) -> u64 {
    bytes.len() as u64
}

/// A body that is in hand.
pub(crate) fn full(bytes: impl Into<Bytes>) -> Payload {
    let bytes = bytes.into();
    Payload::Whole((!bytes.is_empty()).then_some(bytes))
}

/// Why a streamed request body broke off, for the answer to its sender.
pub(crate) type Fate = Arc<OnceLock<Reason>>;

/// A request body that is passed on while it arrives, within a bound on its size.
pub(crate) struct Stream {
    /// Bytes that were read before.
    prefix: Option<Bytes>,
    rest: Incoming,
    /// Bytes of `rest` that may still come.
    left: u64,
    fate: Fate,
    pause: Option<Pin<Box<Sleep>>>,
}

impl Stream {
    pub(crate) fn new(prefix: Bytes, rest: Incoming, left: u64, fate: Fate) -> Self {
        Self {
            prefix: (!prefix.is_empty()).then_some(prefix),
            rest,
            left,
            fate,
            pause: None,
        }
    }

    fn poll_part(&mut self, context: &mut Context<'_>) -> Polled {
        if let Some(prefix) = self.prefix.take() {
            return Poll::Ready(Some(Ok(Frame::data(prefix))));
        }
        loop {
            match Pin::new(&mut self.rest).poll_frame(context) {
                Poll::Pending => return self.poll_pause(context),
                Poll::Ready(None) => return Poll::Ready(None),
                Poll::Ready(Some(Err(error))) => {
                    // The slot is set at most once, so a second value cannot matter.
                    let _ = self.fate.set(Reason::Malformed);
                    return Poll::Ready(Some(Err(error.into())));
                }
                Poll::Ready(Some(Ok(frame))) => {
                    self.pause = None;
                    let Ok(bytes) = frame.into_data() else {
                        continue;
                    };
                    let Some(left) = self.left.checked_sub(len(&bytes)) else {
                        return self.fail(Reason::TooLarge);
                    };
                    self.left = left;
                    return Poll::Ready(Some(Ok(Frame::data(bytes))));
                }
            }
        }
    }

    fn poll_pause(&mut self, context: &mut Context<'_>) -> Polled {
        let pause = self
            .pause
            .get_or_insert_with(|| Box::pin(tokio::time::sleep(BODY_PAUSE)));
        ready!(pause.as_mut().poll(context));
        self.fail(Reason::DeadlinePassed)
    }

    fn fail(&mut self, reason: Reason) -> Polled {
        let _ = self.fate.set(reason);
        Poll::Ready(Some(Err(Broken::Bound(reason))))
    }

    fn size_hint(&self) -> SizeHint {
        let prefix = self.prefix.as_ref().map_or(0, len);
        self.rest
            .size_hint()
            .exact()
            .map_or_else(SizeHint::new, |rest| SizeHint::with_exact(prefix + rest))
    }
}

/// Where a relayed answer comes from.
pub(crate) enum Source {
    /// Another payload.
    Payload(Payload),
    /// The answer on a connection, which is polled along with it.
    Link {
        /// Bytes that were read before.
        prefix: Option<Bytes>,
        body: Incoming,
        link: Link,
    },
}

impl Source {
    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Payload(payload) => payload.size_hint(),
            Self::Link { prefix, body, .. } => {
                body.size_hint().exact().map_or_else(SizeHint::new, |rest| {
                    SizeHint::with_exact(prefix.as_ref().map_or(0, len) + rest)
                })
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Payload(payload) => payload.is_end_stream(),
            Self::Link { prefix, body, .. } => prefix.is_none() && body.is_end_stream(),
        }
    }

    fn poll_part(&mut self, context: &mut Context<'_>) -> Polled {
        match self {
            Self::Payload(payload) => Pin::new(payload).poll_frame(context),
            Self::Link { prefix, body, link } => {
                if let Some(prefix) = prefix.take() {
                    return Poll::Ready(Some(Ok(Frame::data(prefix))));
                }
                link.poll_body(body, context).map_err(Broken::from)
            }
        }
    }
}

/// How the relay of an answer ended.
pub(crate) enum End {
    /// It was relayed to its end; a connection that carried it can be used again.
    Whole(Option<Link>),
    /// It broke off.
    Broken(Reason),
    /// The receiver left.
    Dropped,
}

type OnEnd = Box<dyn FnOnce(End) + Send>;

/// An answer that tells when it has ended and breaks off at its deadline.
pub(crate) struct Relay {
    /// `None` once it has ended.
    source: Option<Source>,
    deadline: Instant,
    timer: Option<Pin<Box<Sleep>>>,
    on_end: Option<OnEnd>,
}

impl Relay {
    pub(crate) fn new(
        source: Source,
        deadline: Instant,
        on_end: impl FnOnce(End) + Send + 'static,
    ) -> Self {
        Self {
            source: Some(source),
            deadline,
            timer: None,
            on_end: Some(Box::new(on_end)),
        }
    }

    fn poll_part(&mut self, context: &mut Context<'_>) -> Polled {
        loop {
            let Some(source) = &mut self.source else {
                return Poll::Ready(None);
            };
            match source.poll_part(context) {
                Poll::Pending => return self.poll_deadline(context),
                Poll::Ready(Some(Ok(frame))) if frame.is_trailers() => {}
                Poll::Ready(Some(Ok(frame))) => {
                    // hyper does not poll again after the last byte of a body of known length.
                    if source.is_end_stream() {
                        self.end(None);
                    }
                    return Poll::Ready(Some(Ok(frame)));
                }
                Poll::Ready(Some(Err(error))) => {
                    self.end(Some(Reason::ConnectionBroken));
                    return Poll::Ready(Some(Err(error)));
                }
                Poll::Ready(None) => {
                    self.end(None);
                    return Poll::Ready(None);
                }
            }
        }
    }

    fn poll_deadline(&mut self, context: &mut Context<'_>) -> Polled {
        let deadline = self.deadline;
        let timer = self
            .timer
            .get_or_insert_with(|| Box::pin(tokio::time::sleep_until(deadline)));
        ready!(timer.as_mut().poll(context));
        self.end(Some(Reason::DeadlinePassed));
        Poll::Ready(Some(Err(Broken::Bound(Reason::DeadlinePassed))))
    }

    fn end(&mut self, broken: Option<Reason>) {
        let source = self.source.take();
        if let Some(on_end) = self.on_end.take() {
            on_end(match (broken, source) {
                (Some(reason), _) => End::Broken(reason),
                (None, Some(Source::Link { link, .. })) => End::Whole(Some(link)),
                (None, _) => End::Whole(None),
            });
        }
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        // A body without bytes is dropped unread.
        if self.source.as_ref().is_some_and(Source::is_end_stream) {
            self.end(None);
        } else if let Some(on_end) = self.on_end.take() {
            on_end(End::Dropped);
        }
    }
}
