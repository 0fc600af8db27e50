//! Heads of requests that break the protocol or try to smuggle something, over raw sockets.

mod support;

use std::time::Duration;

use rstest::rstest;
use support::Node;
use support::raw::Caller;
use support::raw::ask;
use support::raw::get;
use support::start_pair;
use support::upstream;

/// Guards against request smuggling: the node and the upstream must see the same messages, so what
/// can be read in two ways is refused or framed anew.
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
async fn check_head_refused(#[case] request: &str) {
    let (address, seen) = upstream::start().await;
    let node = Node::start(address, 10, 10).await;
    let mut caller = Caller::connect(node.callers).await;
    let answer = caller.ask(request).await.unwrap();
    assert_eq!(answer.status(), 400, "{}", answer.head);
    assert!(
        caller.is_closed().await,
        "the rest could be read as another request"
    );
    assert_eq!(seen.count(), 0);
    let counted = || {
        let sides = ["entry", "listener"];
        sides
            .iter()
            .map(|side| {
                node.counter(&format!(
                    "medlar_refusals_total{{reason=\"malformed\",side=\"{side}\""
                ))
            })
            .sum::<u64>()
            == 1
    };
    support::raw::wait_until("count", counted).await;
}

/// Guards against a length next to a coding that reaches the upstream, or that leaves the rest of
/// the connection open to a second reading.
#[rstest]
#[case::length_first("content-length: 3\r\ntransfer-encoding: chunked\r\n")]
#[case::coding_first("transfer-encoding: chunked\r\ncontent-length: 3\r\n")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn check_head_length_and_coding(#[case] headers: &str) {
    let (address, seen) = upstream::start().await;
    let (entry, _owner) = start_pair(address, 10, 10).await;
    let mut caller = Caller::connect(entry.callers).await;
    let request = format!("POST /x HTTP/1.1\r\nhost: h\r\n{headers}\r\n5\r\nhello\r\n0\r\n\r\n");
    let answer = caller.ask(request + &get("/smuggled")).await.unwrap();
    assert_eq!(answer.body, b"5");
    assert!(caller.is_closed().await);
    assert_eq!(seen.count(), 1);
    let head = seen.last();
    assert!(head.contains("content-length: 5\r\n"), "{head}");
    assert!(!head.contains("transfer-encoding"), "{head}");
}

/// Guards against an oversize head that is buffered without bound or passed on.
#[rstest]
#[case::long_header("x-a", 20_000, 1)]
#[case::many_headers("x-a", 10, 200)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn check_head_oversize(#[case] name: &str, #[case] length: usize, #[case] count: usize) {
    let (address, seen) = upstream::start().await;
    let node = Node::start(address, 10, 10).await;
    let line = format!("{name}: {}\r\n", "v".repeat(length)).repeat(count);
    let request = format!("GET /x HTTP/1.1\r\nhost: h\r\n{line}\r\n");
    let answer = ask(node.callers, request).await.unwrap();
    assert_eq!(answer.status(), 431, "{}", answer.head);
    assert_eq!(seen.count(), 0);
}

/// Guards against headers of one connection, or of the system, that pass from a caller to the
/// upstream, and against callers that remove the system's own by listing them in `Connection`.
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
async fn clean_request_headers(#[case] headers: &str, #[case] hidden: &str) {
    let (address, seen) = upstream::start().await;
    let (entry, _owner) = start_pair(address, 10, 10).await;
    let request = format!("GET /x?q=1 HTTP/1.1\r\nhost: shop\r\nx-kept: 1\r\n{headers}\r\n");
    let answer = ask(entry.callers, request).await.unwrap();
    assert_eq!(answer.status(), 200, "{}", answer.head);
    let head = seen.last();
    assert!(!head.contains(hidden), "{head}");
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

/// Guards against a caller's deadline that is ignored.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn serve_shorter_deadline() {
    let (address, _) = upstream::start().await;
    let (entry, _owner) = start_pair(address, 10, 10).await;
    let request = "GET /wait/2000 HTTP/1.1\r\nhost: h\r\nmedlar-deadline-us: 100000\r\n\r\n";
    let started = std::time::Instant::now();
    let answer = ask(entry.callers, request).await.unwrap();
    assert_eq!(answer.status(), 504, "{}", answer.head);
    assert!(started.elapsed() < Duration::from_millis(1_500));
}

/// Guards against an absolute target that reaches the upstream, or whose host loses to the header.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn check_head_absolute_target() {
    let (address, seen) = upstream::start().await;
    let node = Node::start(address, 10, 10).await;
    let request = "GET http://shop:81/x?q HTTP/1.1\r\nhost: other\r\n\r\n";
    assert_eq!(ask(node.callers, request).await.unwrap().status(), 200);
    assert!(
        seen.last().starts_with("GET /x?q HTTP/1.1\r\n"),
        "{}",
        seen.last()
    );
    assert!(seen.last().contains("host: shop:81\r\n"), "{}", seen.last());
}

/// Guards against connections that are held open by a head or a body that never ends.
#[rstest]
#[case::head("GET /x HTTP/1.1\r\nhost:", 10)]
#[case::body("POST /x HTTP/1.1\r\nhost: h\r\ncontent-length: 9\r\n\r\nabc", 5)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn read_request_slow(#[case] request: &str, #[case] seconds: u64) {
    let (address, seen) = upstream::start().await;
    let node = Node::start(address, 10, 10).await;
    let mut caller = Caller::connect(node.callers).await;
    let started = std::time::Instant::now();
    caller.send(request).await;
    while !caller.is_closed().await {
        assert!(
            caller
                .receive()
                .await
                .is_none_or(|answer| answer.status() >= 400)
        );
    }
    assert!(started.elapsed() < Duration::from_secs(seconds + 5));
    assert_eq!(seen.count(), 0);
}
