//! Body of a faulty upstream that has no end.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

use bytes::Bytes;
use hyper::body::Body;
use hyper::body::Frame;
use tokio::time::Interval;
use tokio::time::MissedTickBehavior;
use tokio::time::interval;

/// Bytes of each part, and the time between two parts: about 16 MB a second, which leaves the processor to others.
static PART: [u8; 16_384] = [b'.'; 16_384];
const PART_INTERVAL: Duration = Duration::from_millis(1);

/// Sends parts until the connection is closed.
pub(super) struct EndlessBody(Interval);

impl Default for EndlessBody {
    fn default() -> Self {
        let mut parts = interval(PART_INTERVAL);
        parts.set_missed_tick_behavior(MissedTickBehavior::Delay);
        Self(parts)
    }
}

impl Body for EndlessBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        ready!(self.0.poll_tick(context));
        Poll::Ready(Some(Ok(Frame::data(Bytes::from_static(&PART)))))
    }
}
