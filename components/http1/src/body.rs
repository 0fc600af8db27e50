//! Bodies of requests and answers.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::combinators::BoxBody;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;

/// Any body.
pub(crate) type Payload = BoxBody<Bytes, hyper::Error>;

/// A body that is in hand.
pub(crate) fn full(bytes: impl Into<Bytes>) -> Payload {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed()
}

/// Called once: true if the body was read to its end, false if it broke off or was dropped.
type OnEnd = Box<dyn FnOnce(bool) + Send + Sync>;

/// A body that tells when it has ended; trailers are dropped.
pub(crate) struct Tracked<B> {
    inner: B,
    on_end: Option<OnEnd>,
}

impl<B> Tracked<B> {
    pub(crate) fn new(inner: B, on_end: impl FnOnce(bool) + Send + Sync + 'static) -> Self {
        Self {
            inner,
            on_end: Some(Box::new(on_end)),
        }
    }

    fn end(&mut self, whole: bool) {
        if let Some(on_end) = self.on_end.take() {
            on_end(whole);
        }
    }
}

impl<B> Body for Tracked<B>
where
    B: Body<Data = Bytes, Error = hyper::Error> + Unpin,
{
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        loop {
            match Pin::new(&mut self.inner).poll_frame(context) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(Some(Ok(frame))) if frame.is_trailers() => {}
                Poll::Ready(Some(Ok(frame))) => return Poll::Ready(Some(Ok(frame))),
                Poll::Ready(Some(Err(error))) => {
                    self.end(false);
                    return Poll::Ready(Some(Err(error)));
                }
                Poll::Ready(None) => {
                    self.end(true);
                    return Poll::Ready(None);
                }
            }
        }
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}

impl<B> Drop for Tracked<B> {
    fn drop(&mut self) {
        self.end(false);
    }
}
