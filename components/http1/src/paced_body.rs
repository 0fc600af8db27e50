//! Response body that is sent in pieces as the link of the instance allows.

use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

use bytes::Bytes;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;
use hyper::http::Extensions;
use tokio::time::Instant;

use crate::SharedState;
use crate::body::BodyError;
use crate::body::Payload;
use crate::body::add_prefix;
use crate::events;
use crate::metered_stream::LinkMeter;
use errors::Reason;
use front::LinkSlot;
use ids::Rank;
use kernel::Time;

/// Time after which a response without a [`SendPriority`] is not sent on; the longest deadline of a configuration.
const DEFAULT_SEND_TIME: Duration = Duration::from_secs(60);

/// Place of a response among others that wait for the link. Handlers attach it to their responses as an extension.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SendPriority {
    pub(crate) rank: Rank,
    /// Time by which the latency objective asks for the response.
    pub(crate) objective: Option<Time>,
    /// Time after which the response is not sent on.
    pub(crate) deadline: Time,
}

impl SendPriority {
    /// Attaches the priority to a response where responses are paced.
    pub(crate) fn attach(self, shared: &SharedState, extensions: &mut Extensions) {
        if shared.driver.active_link().is_some() {
            extensions.insert(self);
        }
    }
}

/// A response body whose bytes are passed on as its connection's link grants them.
pub(crate) struct PacedBody {
    body: Payload,
    shared: Arc<SharedState>,
    meter: Arc<LinkMeter>,
    priority: SendPriority,
    /// Place at the link; `None` while the body may still turn out to be short.
    slot: Option<LinkSlot>,
    /// Bytes of `body` that were not passed on yet.
    chunk: Bytes,
    /// Bytes that may be passed on without another grant.
    allowance: u64,
    /// Bytes that were passed on.
    sent: u64,
    opened: Time,
    /// Whether the deadline passed before the end.
    expired: bool,
}

/// Paces `body` on the connection of `meter`, unless it is known to be short.
pub(crate) fn pace(
    shared: &Arc<SharedState>,
    meter: &Arc<LinkMeter>,
    priority: Option<SendPriority>,
    body: Payload,
) -> Payload {
    let paced_above = meter.pacer.paced_above();
    let length = body.size_hint().exact();
    if length.is_some_and(|it| it <= paced_above) || body.is_end_stream() {
        return body;
    }
    let opened = shared.driver.now();
    let priority = priority.unwrap_or(SendPriority {
        rank: Rank::default(),
        objective: None,
        deadline: opened + DEFAULT_SEND_TIME,
    });
    let mut paced = PacedBody {
        body,
        shared: Arc::clone(shared),
        meter: Arc::clone(meter),
        priority,
        slot: None,
        chunk: Bytes::new(),
        allowance: paced_above,
        sent: 0,
        opened,
        expired: false,
    };
    if length.is_some() {
        paced.allowance = 0;
        paced.open(length);
    }
    Payload::Paced(Box::new(paced))
}

impl PacedBody {
    /// Takes a place at the link.
    fn open(&mut self, bytes: Option<u64>) {
        let SendPriority {
            rank,
            objective,
            deadline,
        } = self.priority;
        self.slot = Some(self.meter.pacer.open(link::Body {
            rank,
            objective,
            deadline,
            bytes,
        }));
    }

    pub(crate) fn poll_next_frame(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        while self.chunk.is_empty() {
            match ready!(Pin::new(&mut self.body).poll_frame(context)) {
                None => return Poll::Ready(None),
                Some(Err(error)) => return Poll::Ready(Some(Err(error))),
                Some(Ok(frame)) => self.chunk = frame.into_data().unwrap_or_default(),
            }
        }
        if self.allowance == 0 {
            match ready!(self.poll_piece(context)) {
                Some(bytes) => self.allowance = bytes,
                None => return Poll::Ready(Some(Err(self.expire()))),
            }
        }
        Poll::Ready(Some(Ok(Frame::data(self.take_allowed()))))
    }

    fn poll_piece(&mut self, context: &mut Context<'_>) -> Poll<Option<u64>> {
        if self.slot.is_none() {
            self.open(self.size_hint().exact());
        }
        let slot = self.slot.as_ref();
        slot.map_or(Poll::Ready(None), |it| it.poll_piece(context))
    }

    /// Takes as much of the chunk as may be passed on.
    fn take_allowed(&mut self) -> Bytes {
        let most = usize::try_from(self.allowance).unwrap_or(usize::MAX);
        let bytes = self.chunk.split_to(self.chunk.len().min(most));
        let length = bytes.len() as u64;
        self.allowance -= length;
        self.sent += length;
        if self.slot.is_some() {
            self.meter.add_granted(length);
        }
        bytes
    }

    /// Time at which the body ends if its source has not.
    pub(crate) fn deadline(&self) -> Option<Instant> {
        self.body.deadline()
    }

    fn expire(&mut self) -> BodyError {
        self.expired = true;
        self.body.abort(Reason::DeadlinePassed);
        BodyError::LimitExceeded(Reason::DeadlinePassed)
    }

    pub(crate) fn is_end_stream(&self) -> bool {
        self.chunk.is_empty() && self.body.is_end_stream()
    }

    pub(crate) fn size_hint(&self) -> SizeHint {
        let chunk = (!self.chunk.is_empty()).then_some(&self.chunk);
        add_prefix(chunk, &self.body.size_hint())
    }
}

impl Drop for PacedBody {
    fn drop(&mut self) {
        if self.slot.take().is_none() {
            return;
        }
        let end = match (self.expired, self.is_end_stream()) {
            (true, _) => "deadline",
            (false, true) => "complete",
            (false, false) => "cut",
        };
        self.shared.driver.metrics().count_paced_body(end);
        let elapsed = self.shared.driver.now().since(self.opened);
        events::log_paced(&self.shared, self.priority.rank, self.sent, elapsed, end);
    }
}
