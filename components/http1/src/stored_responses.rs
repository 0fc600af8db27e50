//! Responses that an owner stores for entries whose connection fails before they have read them.

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

/// Longest body that is stored, in bytes.
pub(crate) const MAX_BODY_BYTES: usize = 64 * 1024;
/// Limit on the size of all stored responses, in bytes.
const MAX_TOTAL_BYTES: usize = 16 * 1024 * 1024;
/// Estimated size of a stored response without its body and header text, in bytes.
const RESPONSE_OVERHEAD_BYTES: usize = 512;

struct StoredResponse {
    id: RequestId,
    expires: Time,
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
    /// Size that counts toward [`MAX_TOTAL_BYTES`].
    bytes: usize,
}

#[derive(Default)]
struct StoredState {
    /// Sorted by request identifier.
    responses: Vec<StoredResponse>,
    /// Sum of the sizes of all responses.
    bytes: usize,
}

/// Responses to finished non-idempotent requests. Each is stored until its request expires or the
/// entry has read it.
#[derive(Default)]
pub(crate) struct StoredResponses {
    state: Mutex<StoredState>,
}

impl StoredResponses {
    /// Stores a copy of a response. Returns false if it exceeds a limit or one is already stored.
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
            // A slice would keep the whole read buffer in memory, which is not counted here.
            body: Bytes::copy_from_slice(body),
            bytes,
        };
        state.responses.insert(index, response);
        true
    }

    /// Copy of a stored response.
    pub(crate) fn get(&self, id: RequestId) -> Option<Response<Payload>> {
        let state = self.lock();
        let stored = &state.responses[state.response_index(id).ok()?];
        let mut response = Response::new(full(stored.body.clone()));
        *response.status_mut() = stored.status;
        *response.headers_mut() = stored.headers.clone();
        Some(response)
    }

    /// Removes a response that the entry has read.
    pub(crate) fn remove(&self, id: RequestId) {
        let mut state = self.lock();
        if let Ok(index) = state.response_index(id) {
            state.bytes -= state.responses.remove(index).bytes;
        }
    }

    /// Removes the responses whose request has expired.
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
