//! Validation of request heads and removal of headers that are not forwarded.

use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper::Uri;
use hyper::Version;
use hyper::header::CONNECTION;
use hyper::header::CONTENT_LENGTH;
use hyper::header::EXPECT;
use hyper::header::HOST;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use hyper::header::TRANSFER_ENCODING;
use hyper::header::UPGRADE;
use hyper::http::uri::PathAndQuery;

use errors::Reason;
use wire::header;

/// Headers that apply to one connection only and are not forwarded.
const HOP_BY_HOP_HEADERS: [&str; 8] = [
    "connection",
    "expect",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Validates the head of a request and rewrites its target to origin form.
pub(crate) fn validate_request_head<B>(request: &mut Request<B>) -> Result<(), Reason> {
    // An HTTP/1.0 caller cannot tell a truncated response from a complete one.
    if request.version() != Version::HTTP_11 || request.method() == Method::CONNECT {
        return Err(Reason::Malformed);
    }
    let headers = request.headers();
    let host_count = headers.get_all(HOST).iter().count();
    let transfer_codings: Vec<_> = headers.get_all(TRANSFER_ENCODING).iter().collect();
    let chunked_or_none = transfer_codings.is_empty()
        || transfer_codings.len() == 1
            && transfer_codings[0]
                .as_bytes()
                .eq_ignore_ascii_case(b"chunked");
    let expectation_supported = headers
        .get(EXPECT)
        .is_none_or(|it| it.as_bytes().eq_ignore_ascii_case(b"100-continue"));
    if host_count != 1
        || !chunked_or_none
        || !expectation_supported
        || headers.contains_key(UPGRADE)
    {
        return Err(Reason::Malformed);
    }
    let path = request.uri().path_and_query().cloned();
    let path = path.filter(|path| path.as_str().starts_with('/'));
    let path = path.ok_or(Reason::Malformed)?;
    if let Some(authority) = request.uri().authority() {
        // The authority of an absolute target overrides the Host header (RFC 9112, 3.2.2).
        let host = HeaderValue::from_str(authority.as_str()).map_err(|_| Reason::Malformed)?;
        request.headers_mut().insert(HOST, host);
    }
    *request.uri_mut() = origin_form(path);
    Ok(())
}

fn origin_form(path: PathAndQuery) -> Uri {
    Uri::from(path)
}

/// Removes all headers with the prefix of the system's own headers.
pub(crate) fn remove_internal_headers(headers: &mut HeaderMap) {
    let is_internal = |name: &HeaderName| name.as_str().starts_with(header::PREFIX);
    while let Some(name) = headers.keys().find(|name| is_internal(name)).cloned() {
        headers.remove(name);
    }
}

/// Removes hop-by-hop headers, including those that `Connection` lists.
pub(crate) fn remove_hop_by_hop_headers(headers: &mut HeaderMap) {
    if headers.contains_key(CONNECTION) {
        let listed: Vec<String> = headers
            .get_all(CONNECTION)
            .iter()
            .filter_map(|value| value.to_str().ok())
            .flat_map(|value| value.split(','))
            .map(|name| name.trim().to_ascii_lowercase())
            .collect();
        for name in listed {
            // Host and Content-Length belong to the message even if `Connection` lists them.
            if name != HOST.as_str() && name != CONTENT_LENGTH.as_str() {
                headers.remove(name.as_str());
            }
        }
    }
    for name in HOP_BY_HOP_HEADERS {
        headers.remove(name);
    }
}

/// Removes the headers of a request that are not forwarded. The Content-Length of the forwarded
/// request is set from its body.
pub(crate) fn strip_request_headers(headers: &mut HeaderMap) {
    remove_internal_headers(headers);
    remove_hop_by_hop_headers(headers);
    headers.remove(CONTENT_LENGTH);
}
