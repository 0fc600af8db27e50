//! Responses of the fake upstreams, which carry the request's number and a checksum so that a
//! corrupted response or one to another request is detected.

use bytes::Bytes;
use hyper::HeaderMap;
use hyper::Response;

use super::sample::Outcome;
use crate::http::full_body;
use crate::upstream::BoxedResponse;

/// Header with the number of the request, which the response repeats.
pub const REQUEST_NUMBER_HEADER: &str = "x-booking";
/// Header with the [`checksum`] of the response body.
pub const CHECKSUM_HEADER: &str = "x-checksum";

/// Computes the 64-bit FNV-1a hash of `bytes`.
pub fn checksum(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3)
    })
}

/// Builds a response to the request `request_number`, with a body of at least `size` bytes. `onward` is
/// the summary of the call to another service, empty if there was none.
pub(crate) fn build_response(
    service: &str,
    path: &str,
    request_number: u64,
    onward: &str,
    size: usize,
) -> BoxedResponse {
    let mut body = format!("{service} {path} {request_number} {onward}\n");
    while body.len() < size {
        body.push_str("................................................................\n");
    }
    let mut response = Response::new(full_body(body.clone()));
    let headers = response.headers_mut();
    headers.insert(REQUEST_NUMBER_HEADER, request_number.into());
    headers.insert(CHECKSUM_HEADER, checksum(body.as_bytes()).into());
    response
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Classifies a complete response to the request `request_number`.
pub fn classify_response(
    request_number: u64,
    status: u16,
    headers: &HeaderMap,
    body: &Bytes,
) -> Outcome {
    if status != 200 {
        return Outcome::Refused {
            verdict: header_text(headers, "medlar-verdict")
                .unwrap_or("none")
                .to_owned(),
            reason: header_text(headers, "medlar-reason")
                .map_or_else(|| format!("status-{status}"), str::to_owned),
        };
    }
    let header_number = |name| header_text(headers, name).and_then(|it| it.parse::<u64>().ok());
    if header_number(REQUEST_NUMBER_HEADER) != Some(request_number) {
        return Outcome::Mismatched;
    }
    if header_number(CHECKSUM_HEADER) != Some(checksum(body)) {
        return Outcome::Corrupted;
    }
    Outcome::Good
}
