//! Reading of request bodies: small ones are buffered and large ones streamed.

use std::sync::Arc;

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::body::Incoming;
use tokio::time::timeout;

use crate::body::AbortReason;
use crate::body::BODY_IDLE_TIMEOUT;
use crate::body::Payload;
use crate::body::StreamedBody;
use crate::body::full;
use errors::Reason;
use ids::Fingerprint;

/// Longest request body that is buffered, so that it can be sent again in a retry, in bytes.
pub(crate) const MAX_BUFFERED_BODY_BYTES: usize = 64 * 1024;

/// Body of a caller's request.
pub(crate) enum RequestBody {
    /// A small body that was read to its end.
    Buffered(Bytes),
    /// A large body that is still arriving; the payload is `None` once it was sent.
    Streamed {
        payload: Option<Payload>,
        abort_reason: AbortReason,
        /// Fingerprint of the part of the body that had arrived when the request was read.
        start: Fingerprint,
    },
}

impl RequestBody {
    /// Reads a body of at most `max_bytes` bytes to its end, or only its beginning if it is large. A
    /// request without a body has `None`.
    pub(crate) async fn read(body: Option<Incoming>, max_bytes: u64) -> Result<Self, Reason> {
        let Some(mut body) = body else {
            return Ok(Self::Buffered(Bytes::new()));
        };
        if body.size_hint().lower() > max_bytes {
            return Err(Reason::TooLarge);
        }
        if body.is_end_stream() {
            return Ok(Self::Buffered(Bytes::new()));
        }
        let read = read_up_to_limit(&mut body);
        let read = timeout(BODY_IDLE_TIMEOUT, read)
            .await
            .map_err(|_| Reason::DeadlinePassed)?;
        let (bytes, complete) = read?;
        if complete {
            return Ok(Self::Buffered(bytes));
        }
        let remaining_bytes = max_bytes.saturating_sub(bytes.len() as u64);
        let abort_reason = AbortReason::default();
        // More than this may have arrived, and how much differs between repetitions of a request.
        let start = Fingerprint::of(&[&bytes[..MAX_BUFFERED_BODY_BYTES.min(bytes.len())]]);
        let stream = StreamedBody::new(bytes, body, remaining_bytes, Arc::clone(&abort_reason));
        Ok(Self::Streamed {
            payload: Some(Payload::Streamed(Box::new(stream))),
            abort_reason,
            start,
        })
    }

    /// Fingerprint of the body, or of its first [`MAX_BUFFERED_BODY_BYTES`] bytes if it is larger.
    pub(crate) fn fingerprint(&self) -> Fingerprint {
        match self {
            Self::Buffered(bytes) => Fingerprint::of(&[bytes]),
            Self::Streamed { start, .. } => *start,
        }
    }

    /// Whether the body is in memory, so that it can be sent again.
    pub(crate) fn is_buffered(&self) -> bool {
        matches!(self, Self::Buffered(_))
    }

    /// Body for one attempt; `None` if it was streamed and cannot be sent again.
    pub(crate) fn payload(&mut self) -> Option<Payload> {
        match self {
            Self::Buffered(bytes) => Some(full(bytes.clone())),
            Self::Streamed { payload, .. } => payload.take(),
        }
    }

    /// Why a streamed body failed, if it did.
    pub(crate) fn abort_reason(&self) -> Option<Reason> {
        match self {
            Self::Buffered(_) => None,
            Self::Streamed { abort_reason, .. } => abort_reason.get().copied(),
        }
    }
}

/// Reads until the end or until [`MAX_BUFFERED_BODY_BYTES`] are exceeded. The flag states whether
/// the end was reached.
async fn read_up_to_limit(body: &mut Incoming) -> Result<(Bytes, bool), Reason> {
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
        let complete = body.is_end_stream();
        let read = first.len().max(more.len());
        if complete || read > MAX_BUFFERED_BODY_BYTES {
            return Ok((
                if more.is_empty() {
                    first
                } else {
                    more.freeze()
                },
                complete,
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
