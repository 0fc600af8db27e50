//! Reading of request bodies.

use std::sync::Arc;

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::body::Incoming;
use tokio::time::timeout;

use crate::body::BODY_PAUSE;
use crate::body::Fate;
use crate::body::Payload;
use crate::body::Stream;
use crate::body::full;
use errors::Reason;

/// Longest body of a request that is kept for another try, in bytes.
pub(crate) const SMALL_BODY_BYTES: usize = 64 * 1024;
/// The body of a request.
pub(crate) enum Intake {
    /// Small, in hand.
    Whole(Bytes),
    /// Large, still arriving; `None` once it was sent.
    Stream(Option<Payload>, Fate),
}

impl Intake {
    /// Reads a body of at most `most` bytes, or its beginning if it is large.
    pub(crate) async fn read(mut body: Incoming, most: u64) -> Result<Self, Reason> {
        if body.size_hint().lower() > most {
            return Err(Reason::TooLarge);
        }
        if body.is_end_stream() {
            return Ok(Self::Whole(Bytes::new()));
        }
        let read = read_small(&mut body);
        let read = timeout(BODY_PAUSE, read)
            .await
            .map_err(|_| Reason::DeadlinePassed)?;
        let (bytes, whole) = read?;
        if whole {
            return Ok(Self::Whole(bytes));
        }
        let left = most.saturating_sub(bytes.len() as u64);
        let fate = Fate::default();
        let stream = Stream::new(bytes, body, left, Arc::clone(&fate));
        Ok(Self::Stream(Some(Payload::Stream(Box::new(stream))), fate))
    }

    /// Whether the body can be sent again.
    pub(crate) fn is_whole(&self) -> bool {
        matches!(self, Self::Whole(_))
    }

    /// The body for one attempt; `None` if it cannot be sent again.
    pub(crate) fn payload(&mut self) -> Option<Payload> {
        match self {
            Self::Whole(bytes) => Some(full(bytes.clone())),
            Self::Stream(payload, _) => payload.take(),
        }
    }

    /// Why a streamed body broke off, if it did.
    pub(crate) fn failure(&self) -> Option<Reason> {
        match self {
            Self::Whole(_) => None,
            Self::Stream(_, fate) => fate.get().copied(),
        }
    }
}

/// Reads until the end or past the bound of a small body; tells whether that was the end.
async fn read_small(body: &mut Incoming) -> Result<(Bytes, bool), Reason> {
    let mut first = Bytes::new();
    let mut more = BytesMut::new();
    loop {
        let Some(frame) = body.frame().await else {
            break;
        };
        let frame = frame.map_err(|_| Reason::Malformed)?;
        let Ok(bytes) = frame.into_data() else {
            continue;
        };
        if first.is_empty() {
            first = bytes;
        } else {
            if more.is_empty() {
                more.extend_from_slice(&first);
            }
            more.extend_from_slice(&bytes);
        }
        let whole = body.is_end_stream();
        let read = first.len().max(more.len());
        if whole || read > SMALL_BODY_BYTES {
            return Ok((
                if more.is_empty() {
                    first
                } else {
                    more.freeze()
                },
                whole,
            ));
        }
    }
    Ok((
        if more.is_empty() {
            first
        } else {
            more.freeze()
        },
        true,
    ))
}
