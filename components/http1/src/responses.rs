//! Answers that the node makes itself, and the reading of answers from other nodes.

use std::time::Duration;

use hyper::HeaderMap;
use hyper::Response;
use hyper::header::HeaderValue;

use crate::Dialect;
use crate::body::Payload;
use crate::body::full;
use crate::dialect::refusal_status;
use errors::Reason;
use errors::Verdict;
use policy::Load;
use traffic::Refusal;
use wire::header;

/// An answer of the node itself to a caller.
pub(crate) fn refusal_to_caller(dialect: &dyn Dialect, refusal: Refusal) -> Response<Payload> {
    let refusal_response = dialect.refusal_response(refusal);
    let mut response = Response::new(full(refusal_response.body));
    *response.status_mut() = refusal_response.status;
    *response.headers_mut() = refusal_response.headers;
    response
}

/// An answer of the node itself to another node: why a request is refused and whether it may have
/// run.
pub(crate) fn refusal_to_node(refusal: Refusal) -> Response<Payload> {
    let mut response = Response::new(full(""));
    *response.status_mut() = refusal_status(refusal);
    let millis = refusal.retry_after.as_millis().to_string();
    let headers = response.headers_mut();
    let reason = HeaderValue::from_static(refusal.reason.name());
    headers.insert(header::REASON, reason);
    let verdict = HeaderValue::from_static(refusal.verdict.name());
    headers.insert(header::VERDICT, verdict);
    if let Ok(millis) = HeaderValue::from_str(&millis) {
        headers.insert(header::RETRY_AFTER, millis);
    }
    response
}

/// A refusal that is certain not to have run.
pub(crate) fn not_run_refusal(reason: Reason) -> Refusal {
    Refusal {
        reason,
        verdict: Verdict::NotRun,
        retry_after: Duration::from_secs(1),
    }
}

/// Reads a header as text and parses it.
pub(crate) fn parse_header<T: std::str::FromStr>(headers: &HeaderMap, name: &str) -> Option<T> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}

/// Puts the load on an answer to another node.
pub(crate) fn set_load_header(headers: &mut HeaderMap, load: Load) {
    if let Ok(value) = HeaderValue::from_str(&header::format_load(load)) {
        headers.insert(header::LOAD, value);
    }
}
