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
const MAX_TOTAL_BYTES: usize = 16 * 1024 * 1024;
/// Bytes that an answer takes besides its body and the text of its headers.
const RESPONSE_OVERHEAD_BYTES: usize = 512;

struct StoredResponse {
    id: RequestId,
    expires: Time,
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
    bytes: usize,
}

#[derive(Default)]
struct StoredState {
    /// Sorted by request.
    responses: Vec<StoredResponse>,
    bytes: usize,
}

/// Answers of finished requests that may not be repeated, until they expire or are confirmed.
#[derive(Default)]
pub(crate) struct StoredResponses {
    state: Mutex<StoredState>,
}

impl StoredResponses {
    /// Keeps a copy of an answer; false if it does not fit.
    pub(crate) fn store(
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
        let bytes = RESPONSE_OVERHEAD_BYTES + head + body.len();
        let mut state = self.lock();
        if body.len() > MAX_BODY_BYTES || state.bytes + bytes > MAX_TOTAL_BYTES {
            return false;
        }
        let Err(index) = state.response_index(id) else {
            return false;
        };
        state.bytes += bytes;
        let response = StoredResponse {
            id,
            expires,
            status,
            headers: headers.clone(),
            // A slice could keep a larger read buffer alive than is counted here.
            body: Bytes::copy_from_slice(body),
            bytes,
        };
        state.responses.insert(index, response);
        true
    }

    /// A copy of a kept answer.
    pub(crate) fn get(&self, id: RequestId) -> Option<Response<Payload>> {
        let state = self.lock();
        let stored = &state.responses[state.response_index(id).ok()?];
        let mut response = Response::new(full(stored.body.clone()));
        *response.status_mut() = stored.status;
        *response.headers_mut() = stored.headers.clone();
        Some(response)
    }

    /// Forgets an answer that the entry has got.
    pub(crate) fn remove(&self, id: RequestId) {
        let mut state = self.lock();
        if let Ok(index) = state.response_index(id) {
            state.bytes -= state.responses.remove(index).bytes;
        }
    }

    /// Forgets the answers whose request has expired.
    pub(crate) fn remove_expired(&self, now: Time) {
        let mut state = self.lock();
        state.responses.retain(|response| response.expires > now);
        state.bytes = state.responses.iter().map(|response| response.bytes).sum();
    }

    fn lock(&self) -> MutexGuard<'_, StoredState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl StoredState {
    fn response_index(&self, id: RequestId) -> Result<usize, usize> {
        self.responses
            .binary_search_by_key(&id, |response| response.id)
    }
}
