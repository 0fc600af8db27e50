//! Answers of the stand-in upstreams, sealed so that a short or foreign one shows.

use bytes::Bytes;
use hyper::HeaderMap;
use hyper::Response;

use super::sample::Outcome;
use crate::http::full;
use crate::upstream::Sealed;

/// Header with the number of the request, which the answer repeats.
pub const REQUEST_NUMBER_HEADER: &str = "x-booking";
/// Header with the checksum of the body.
pub const CHECKSUM_HEADER: &str = "x-checksum";

/// FNV-1a, 64 bits.
pub fn checksum(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3)
    })
}

/// An answer of about `size` bytes that names its request.
pub(crate) fn build_response(
    service: &str,
    path: &str,
    request_number: u64,
    onward: &str,
    size: usize,
) -> Sealed {
    let mut body = format!("{service} {path} {request_number} {onward}\n");
    while body.len() < size {
        body.push_str("................................................................\n");
    }
    let mut response = Response::new(full(body.clone()));
    let headers = response.headers_mut();
    headers.insert(REQUEST_NUMBER_HEADER, request_number.into());
    headers.insert(CHECKSUM_HEADER, checksum(body.as_bytes()).into());
    response
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Classifies a complete answer to the request `booking`.
pub fn classify_response(
    request_number: u64,
    status: u16,
    headers: &HeaderMap,
    body: &Bytes,
) -> Outcome {
    if status != 200 {
        return Outcome::Refused {
            verdict: text(headers, "medlar-verdict").unwrap_or("none").to_owned(),
            reason: text(headers, "medlar-reason")
                .map_or_else(|| format!("status-{status}"), str::to_owned),
        };
    }
    let number = |name| text(headers, name).and_then(|it| it.parse::<u64>().ok());
    if number(REQUEST_NUMBER_HEADER) != Some(request_number) {
        return Outcome::Mismatched;
    }
    if number(CHECKSUM_HEADER) != Some(checksum(body)) {
        return Outcome::Corrupted;
    }
    Outcome::Good
}
