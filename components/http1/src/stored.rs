//! Answers that an owner keeps for entries whose connection may go silent.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use bytes::Bytes;
use hyper::HeaderMap;
use hyper::Response;
use hyper::StatusCode;

use crate::body::Payload;
use crate::body::full;
use ids::RequestId;
use kernel::Time;

/// Longest body that is kept, in bytes.
pub(crate) const MAX_BODY_BYTES: usize = 64 * 1024;
/// Bytes of all kept answers.
const MAX_BYTES: usize = 16 * 1024 * 1024;
/// Bytes that an answer takes besides its body and the text of its headers.
const ENTRY_BYTES: usize = 512;

struct Answer {
    id: RequestId,
    expires: Time,
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
    bytes: usize,
}

#[derive(Default)]
struct Kept {
    /// Sorted by request.
    answers: Vec<Answer>,
    bytes: usize,
}

/// Answers of finished requests that may not be repeated, until they expire or are confirmed.
#[derive(Default)]
pub(crate) struct Answers {
    kept: Mutex<Kept>,
}

impl Answers {
    /// Keeps a copy of an answer; false if it does not fit.
    pub(crate) fn keep(
        &self,
        id: RequestId,
        expires: Time,
        status: StatusCode,
        headers: &HeaderMap,
        body: &Bytes,
    ) -> bool {
        let head: usize = headers
            .iter()
            .map(|(name, value)| name.as_str().len() + value.len())
            .sum();
        let bytes = ENTRY_BYTES + head + body.len();
        let mut kept = self.lock();
        if body.len() > MAX_BODY_BYTES || kept.bytes + bytes > MAX_BYTES {
            return false;
        }
        let Err(at) = kept.position(id) else {
            return false;
        };
        kept.bytes += bytes;
        let answer = Answer {
            id,
            expires,
            status,
            headers: headers.clone(),
            // A slice could keep a larger read buffer alive than is counted here.
            body: Bytes::copy_from_slice(body),
            bytes,
        };
        kept.answers.insert(at, answer);
        true
    }

    /// A copy of a kept answer.
    pub(crate) fn get(&self, id: RequestId) -> Option<Response<Payload>> {
        let kept = self.lock();
        let answer = &kept.answers[kept.position(id).ok()?];
        let mut response = Response::new(full(answer.body.clone()));
        *response.status_mut() = answer.status;
        *response.headers_mut() = answer.headers.clone();
        Some(response)
    }

    /// Forgets an answer that the entry has got.
    pub(crate) fn forget(&self, id: RequestId) {
        let mut kept = self.lock();
        if let Ok(at) = kept.position(id) {
            kept.bytes -= kept.answers.remove(at).bytes;
        }
    }

    /// Forgets the answers whose request has expired.
    pub(crate) fn sweep(&self, now: Time) {
        let mut kept = self.lock();
        kept.answers.retain(|answer| answer.expires > now);
        kept.bytes = kept.answers.iter().map(|answer| answer.bytes).sum();
    }

    fn lock(&self) -> MutexGuard<'_, Kept> {
        self.kept.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Kept {
    fn position(&self, id: RequestId) -> Result<usize, usize> {
        self.answers.binary_search_by_key(&id, |answer| answer.id)
    }
}
