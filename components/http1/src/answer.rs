//! Answers that the node makes itself, and the reading of answers from other nodes.

use std::time::Duration;

use hyper::HeaderMap;
use hyper::Response;
use hyper::StatusCode;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderValue;
use hyper::header::RETRY_AFTER;
use serde_json::json;

use crate::body::Payload;
use crate::body::full;
use errors::Reason;
use errors::Verdict;
use policy::Load;
use traffic::Refusal;
use wire::header;

/// Status by which callers see a refusal.
fn status(refusal: Refusal) -> StatusCode {
    match (refusal.reason, refusal.verdict) {
        (Reason::NoRoute, _) => StatusCode::NOT_FOUND,
        (Reason::TooLarge, _) => StatusCode::PAYLOAD_TOO_LARGE,
        (Reason::Malformed, Verdict::NotRun) => StatusCode::BAD_REQUEST,
        (Reason::DeadlinePassed | Reason::ConnectionSilent, Verdict::MayHaveRun) => {
            StatusCode::GATEWAY_TIMEOUT
        }
        (_, Verdict::NotRun) => StatusCode::SERVICE_UNAVAILABLE,
        (_, Verdict::MayHaveRun | Verdict::Ran) => StatusCode::BAD_GATEWAY,
    }
}

/// An answer that says why a request is refused and whether it may have run.
pub(crate) fn refuse(refusal: Refusal) -> Response<Payload> {
    let body = json!({
        "reason": refusal.reason.name(),
        "verdict": refusal.verdict.name(),
        "message": refusal.reason.summary(),
    });
    let mut response = Response::new(full(format!("{body}\n")));
    *response.status_mut() = status(refusal);
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    headers.insert(
        header::REASON,
        HeaderValue::from_static(refusal.reason.name()),
    );
    headers.insert(
        header::VERDICT,
        HeaderValue::from_static(refusal.verdict.name()),
    );
    let seconds = refusal.retry_after.as_millis().div_ceil(1_000);
    if let Ok(value) = HeaderValue::from_str(&seconds.to_string()) {
        headers.insert(RETRY_AFTER, value);
    }
    response
}

/// A refusal that is certain not to have run.
pub(crate) fn not_run(reason: Reason) -> Refusal {
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
pub(crate) fn set_load(headers: &mut HeaderMap, load: Load) {
    if let Ok(value) = HeaderValue::from_str(&header::format_load(load)) {
        headers.insert(header::LOAD, value);
    }
}
