//! Tests of request heads that violate HTTP/1.1, attempt request smuggling or carry headers that must
//! not reach the upstream.

mod support;

use std::time::Duration;

use rstest::rstest;
use support::Node;
use support::raw::CallerConnection;
use support::raw::exchange;
use support::raw::get_request;
use support::start_entry_and_owner;
use support::upstream;

/// Checks that a request that two parsers could frame differently is refused with status 400 before
/// anything reaches the upstream, and that its connection is closed. Otherwise the node and the
/// upstream could disagree where the next request starts (request smuggling).
#[rstest]
#[case::two_lengths(
    "POST /x HTTP/1.1\r\nhost: h\r\ncontent-length: 3\r\ncontent-length: 4\r\n\r\nabcd"
)]
#[case::length_list("POST /x HTTP/1.1\r\nhost: h\r\ncontent-length: 3, 4\r\n\r\nabcd")]
#[case::signed_length("POST /x HTTP/1.1\r\nhost: h\r\ncontent-length: +3\r\n\r\nabc")]
#[case::bad_chunk(
    "POST /x HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n"
)]
#[case::chunk_overflow(
    "POST /x HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\nfffffffffffffffff\r\nabc"
)]
#[case::coding_list(
    "POST /x HTTP/1.1\r\nhost: h\r\ntransfer-encoding: gzip, chunked\r\n\r\n0\r\n\r\n"
)]
#[case::two_codings(
    "POST /x HTTP/1.1\r\nhost: h\r\ntransfer-encoding: x\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n"
)]
#[case::last_not_chunked(
    "POST /x HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked, x\r\n\r\n0\r\n\r\n"
)]
#[case::folded_header("GET /x HTTP/1.1\r\nhost: h\r\nx-a: 1\r\n 2\r\n\r\n")]
#[case::space_before_colon("GET /x HTTP/1.1\r\nhost: h\r\ncontent-length : 3\r\n\r\nabc")]
#[case::no_host("GET /x HTTP/1.1\r\n\r\n")]
#[case::two_hosts("GET /x HTTP/1.1\r\nhost: a\r\nhost: b\r\n\r\n")]
#[case::old_version("GET /x HTTP/1.0\r\nhost: h\r\n\r\n")]
#[case::connect("CONNECT h:80 HTTP/1.1\r\nhost: h\r\n\r\n")]
#[case::upgrade("GET /x HTTP/1.1\r\nhost: h\r\nconnection: upgrade\r\nupgrade: websocket\r\n\r\n")]
#[case::asterisk("OPTIONS * HTTP/1.1\r\nhost: h\r\n\r\n")]
#[case::no_slash("GET x HTTP/1.1\r\nhost: h\r\n\r\n")]
#[case::expectation("GET /x HTTP/1.1\r\nhost: h\r\nexpect: tea\r\n\r\n")]
#[case::not_http("\u{16}\u{3}\u{1}\r\n\r\n")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn validate_request_head_refused(#[case] request: &str) {
    let (address, upstream_record) = upstream::start().await;
    let node = Node::start(address, 10, 10).await;
    let mut caller = CallerConnection::connect(node.callers).await;
    let response = caller.exchange(request).await.unwrap();
    assert_eq!(response.status(), 400, "{}", response.head);
    assert!(
        caller.is_closed().await,
        "the remaining bytes could be parsed as another request"
    );
    assert_eq!(upstream_record.request_count(), 0);
    let refusal_counted = || {
        let sides = ["entry", "listener"];
        sides
            .iter()
            .map(|side| {
                node.counter_value(&format!(
                    "medlar_refusals_total{{reason=\"malformed\",side=\"{side}\""
                ))
            })
            .sum::<u64>()
            == 1
    };
    support::raw::wait_until("refusal counter", refusal_counted).await;
}

/// Checks that of a request with both Content-Length and Transfer-Encoding only the decoded body is
/// sent to the upstream, and that the bytes after it are never read as another request.
#[rstest]
#[case::length_first("content-length: 3\r\ntransfer-encoding: chunked\r\n")]
#[case::coding_first("transfer-encoding: chunked\r\ncontent-length: 3\r\n")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn validate_request_head_length_and_coding(#[case] headers: &str) {
    let (address, upstream_record) = upstream::start().await;
    let (entry, _owner) = start_entry_and_owner(address, 10, 10).await;
    let mut caller = CallerConnection::connect(entry.callers).await;
    let request = format!("POST /x HTTP/1.1\r\nhost: h\r\n{headers}\r\n5\r\nhello\r\n0\r\n\r\n");
    let response = caller
        .exchange(request + &get_request("/smuggled"))
        .await
        .unwrap();
    assert_eq!(response.body, b"5");
    assert!(caller.is_closed().await);
    assert_eq!(upstream_record.request_count(), 1);
    let head = upstream_record.last_head();
    assert!(head.contains("content-length: 5\r\n"), "{head}");
    assert!(!head.contains("transfer-encoding"), "{head}");
}

/// Checks that a head that is too long or has too many headers is refused with status 431 and not
/// forwarded.
#[rstest]
#[case::long_header("x-a", 20_000, 1)]
#[case::many_headers("x-a", 10, 200)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn read_request_oversize_head(
    #[case] name: &str,
    #[case] length: usize,
    #[case] count: usize,
) {
    let (address, upstream_record) = upstream::start().await;
    let node = Node::start(address, 10, 10).await;
    let line = format!("{name}: {}\r\n", "v".repeat(length)).repeat(count);
    let request = format!("GET /x HTTP/1.1\r\nhost: h\r\n{line}\r\n");
    let response = exchange(node.callers, request).await.unwrap();
    assert_eq!(response.status(), 431, "{}", response.head);
    assert_eq!(upstream_record.request_count(), 0);
}

/// Checks that hop-by-hop headers and internal headers of a caller do not reach the upstream, and that
/// a caller can't remove the headers set by the node by listing them in `Connection`.
#[rstest]
#[case(
    "keep-alive: 1\r\nproxy-connection: x\r\nte: trailers\r\n",
    "keep-alive"
)]
#[case("connection: x-secret\r\nx-secret: 1\r\n", "x-secret")]
#[case(
    "connection: medlar-request-id, medlar-deadline-us, host\r\n",
    "connection"
)]
#[case(
    "medlar-owner: 0\r\nmedlar-expires-us: 1\r\nmedlar-x: 1\r\n",
    "medlar-x"
)]
#[case(
    "medlar-request-id: 00000000000000000000000000000001\r\n",
    "00000000000000000000000000000001"
)]
#[case("medlar-deadline-us: 99999999999999999\r\n", "99999999999999999")]
#[case("medlar-deadline-us: -1\r\n", "us: -1")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn strip_request_headers(#[case] headers: &str, #[case] removed: &str) {
    let (address, upstream_record) = upstream::start().await;
    let (entry, _owner) = start_entry_and_owner(address, 10, 10).await;
    let request = format!("GET /x?q=1 HTTP/1.1\r\nhost: shop\r\nx-kept: 1\r\n{headers}\r\n");
    let response = exchange(entry.callers, request).await.unwrap();
    assert_eq!(response.status(), 200, "{}", response.head);
    let head = upstream_record.last_head();
    assert!(!head.contains(removed), "{head}");
    for kept in [
        "GET /x?q=1 ",
        "host: shop",
        "x-kept: 1",
        "medlar-request-id: ",
        "medlar-deadline-us: ",
    ] {
        assert!(head.contains(kept), "{kept} is not in {head}");
    }
}

/// Checks that a deadline of the caller that is shorter than the route's takes effect.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn serve_shorter_deadline() {
    let (address, _) = upstream::start().await;
    let (entry, _owner) = start_entry_and_owner(address, 10, 10).await;
    let request = "GET /wait/2000 HTTP/1.1\r\nhost: h\r\nmedlar-deadline-us: 100000\r\n\r\n";
    let started = std::time::Instant::now();
    let response = exchange(entry.callers, request).await.unwrap();
    assert_eq!(response.status(), 504, "{}", response.head);
    assert!(started.elapsed() < Duration::from_millis(1_500));
}

/// Checks that a target in absolute form is sent to the upstream in origin form, and that its
/// authority replaces the Host header.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn validate_request_head_absolute_target() {
    let (address, upstream_record) = upstream::start().await;
    let node = Node::start(address, 10, 10).await;
    let request = "GET http://shop:81/x?q HTTP/1.1\r\nhost: other\r\n\r\n";
    assert_eq!(exchange(node.callers, request).await.unwrap().status(), 200);
    assert!(
        upstream_record
            .last_head()
            .starts_with("GET /x?q HTTP/1.1\r\n"),
        "{}",
        upstream_record.last_head()
    );
    assert!(
        upstream_record.last_head().contains("host: shop:81\r\n"),
        "{}",
        upstream_record.last_head()
    );
}

/// Checks that a connection whose head or body never ends is closed after the read timeout, and that
/// the incomplete request does not reach the upstream.
#[rstest]
#[case::head("GET /x HTTP/1.1\r\nhost:", 10)]
#[case::body("POST /x HTTP/1.1\r\nhost: h\r\ncontent-length: 9\r\n\r\nabc", 5)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn read_request_incomplete(#[case] request: &str, #[case] timeout_s: u64) {
    let (address, upstream_record) = upstream::start().await;
    let node = Node::start(address, 10, 10).await;
    let mut caller = CallerConnection::connect(node.callers).await;
    let started = std::time::Instant::now();
    caller.send(request).await;
    while !caller.is_closed().await {
        assert!(
            caller
                .receive()
                .await
                .is_none_or(|response| response.status() >= 400)
        );
    }
    assert!(started.elapsed() < Duration::from_secs(timeout_s + 5));
    assert_eq!(upstream_record.request_count(), 0);
}
