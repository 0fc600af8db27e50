//! Responses that the node generates itself, and header helpers.

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

/// Response to a caller whose request is refused or has failed, in the caller's dialect.
pub(crate) fn refusal_to_caller(dialect: &dyn Dialect, refusal: Refusal) -> Response<Payload> {
    let refusal_response = dialect.refusal_response(refusal);
    let mut response = Response::new(full(refusal_response.body));
    *response.status_mut() = refusal_response.status;
    *response.headers_mut() = refusal_response.headers;
    response
}

/// Response to another node whose request is refused or has failed; states the reason and whether
/// the request may have run.
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

/// Refusal of a request that has certainly not run.
pub(crate) fn not_run_refusal(reason: Reason) -> Refusal {
    Refusal {
        reason,
        verdict: Verdict::NotRun,
        retry_after: Duration::from_secs(1),
    }
}

/// Parses the value of a header; `None` if it is absent or malformed.
pub(crate) fn parse_header<T: std::str::FromStr>(headers: &HeaderMap, name: &str) -> Option<T> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}

/// Sets the load header of a response to another node.
pub(crate) fn set_load_header(headers: &mut HeaderMap, load: Load) {
    if let Ok(value) = HeaderValue::from_str(&header::format_load(load)) {
        headers.insert(header::LOAD, value);
    }
}
