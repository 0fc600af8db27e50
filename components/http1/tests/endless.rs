//! Tests of upstreams that send bytes without end, in the head or the body of a response, until the
//! node closes the connection.

mod support;

use std::sync::atomic::Ordering::SeqCst;
use std::time::Duration;
use std::time::Instant;

use rstest::rstest;
use support::Node;
use support::endless::CHUNKED;
use support::endless::LONG_CHUNK;
use support::endless::start_endless;
use support::raw::CallerConnection;
use support::raw::get_request;
use support::raw::listen;
use support::raw::read_message;
use support::raw::request_with_body;
use support::raw::wait_until;
use support::start_entry_and_owner;
use tokio::io::AsyncWriteExt;

/// Deadline of the routes in the support configuration, and time for the node to act on it.
const DEADLINE: Duration = Duration::from_secs(3);
const SLACK: Duration = Duration::from_secs(2);
/// Most bytes that an upstream can send while the caller does not read: the buffers of three sockets and
/// of the node.
const MAX_UNREAD_BYTES: usize = 48 * 1024 * 1024;

const HEAD: &str = "HTTP/1.1 200 OK\r\n";
const ENDED_CHUNKS: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n";

/// Guards against a node that reads without end: the request ends by its deadline, never as a complete
/// success and never as not run, the upstream's connection is closed, and other requests are served
/// meanwhile.
#[rstest]
#[case::header_lines(HEAD, "x-a: b\r\n", 0)]
#[case::header_lines_slow(HEAD, "x-a: b\r\n", 20)]
#[case::header_line("HTTP/1.1 200 OK\r\nx-a: ", "bbbbbbbbbbbbbbbb", 0)]
#[case::no_response("", "bytes that are no response ", 0)]
#[case::empty_lines("", "\r\n", 0)]
#[case::interim_responses("", "HTTP/1.1 103 Early Hints\r\n\r\n", 0)]
#[case::chunks(CHUNKED, LONG_CHUNK, 0)]
#[case::chunks_slow(CHUNKED, "1\r\na\r\n", 20)]
#[case::chunk_extension(
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1;",
    "eeeeeeeeeeeeeeee",
    0
)]
#[case::trailers(ENDED_CHUNKS, "x-a: b\r\n", 0)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn send_to_endless_upstream(
    #[case] start: &'static str,
    #[case] part: &'static str,
    #[case] pause_ms: u64,
    #[values("GET", "POST")] method: &str,
) {
    let pause = Duration::from_millis(pause_ms);
    let (address, record) = start_endless(start, part, pause).await;
    let (entry, _owner) = start_entry_and_owner(address, 10, 10).await;
    let mut caller = CallerConnection::connect(entry.callers).await;
    let started = Instant::now();
    caller.send(request_with_body(method, "/endless", 3)).await;
    let mut other = CallerConnection::connect(entry.callers).await;
    for _ in 0..5 {
        let response = other.exchange(get_request("/x")).await.unwrap();
        assert_eq!(response.body, b"ok");
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    let response = tokio::time::timeout(DEADLINE + SLACK, caller.receive())
        .await
        .expect("the request ends by its deadline");
    if let Some(response) = response {
        assert!([502, 504].contains(&response.status()), "{}", response.head);
    }
    wait_until("closed upstream connection", || {
        record.closed.load(SeqCst) >= 1
    })
    .await;
    assert!(started.elapsed() < DEADLINE + 2 * SLACK);
}

/// Guards against a node that buffers a body without end for a caller that does not read, also where it reads bodies
/// ahead of its link.
#[rstest]
#[case::relayed(None)]
#[case::read_ahead(Some(12.0))]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn send_to_endless_upstream_unread(#[case] link_mbps: Option<f64>) {
    let (address, record) = start_endless(CHUNKED, LONG_CHUNK, Duration::ZERO).await;
    let (entry, _owner) = match link_mbps {
        Some(mbps) => (Node::start_with_link(address, 10, mbps).await, None),
        None => {
            let (entry, owner) = start_entry_and_owner(address, 10, 10).await;
            (entry, Some(owner))
        }
    };
    let mut caller = CallerConnection::connect(entry.callers).await;
    caller.send(get_request("/endless").repeat(4)).await;
    tokio::time::sleep(DEADLINE / 2).await;
    let sent = record.sent_bytes.load(SeqCst);
    assert!(sent < 4 * MAX_UNREAD_BYTES, "{sent} bytes");
    wait_until("closed upstream connections", || {
        record.closed.load(SeqCst) >= 1
    })
    .await;
}

/// Guards against interim responses and empty lines without end, which no limit on a head ends: a node that discards them
/// until the deadline spends its processor time on them, and the caller waits for nothing.
#[rstest]
#[case::interim_responses("HTTP/1.1 103 Early Hints\r\n\r\n")]
#[case::long_interim_responses("HTTP/1.1 103 Early Hints\r\nlink: </a.css>; rel=preload\r\n\r\n")]
#[case::empty_lines("\r\n")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn refuse_endless_start(
    #[case] part: &'static str,
    #[values("GET", "POST")] method: &str,
    #[values(false, true)] forwarded: bool,
) {
    let (address, record) = start_endless("", part, Duration::ZERO).await;
    let (node, _owner) = if forwarded {
        let (entry, owner) = start_entry_and_owner(address, 10, 10).await;
        (entry, Some(owner))
    } else {
        (Node::start(address, 10, 10).await, None)
    };
    let started = Instant::now();
    let mut caller = CallerConnection::connect(node.callers).await;
    let request = request_with_body(method, "/endless", 3);
    caller.send(request).await;
    wait_until("closed upstream connection", || {
        record.closed.load(SeqCst) >= 1
    })
    .await;
    assert!(started.elapsed() < DEADLINE / 2, "{:?}", started.elapsed());
    // A GET request is sent once more after a delay.
    let response = caller.receive().await.expect("a refusal");
    assert_eq!(response.status(), 502, "{}", response.head);
    assert_eq!(response.header("medlar-verdict"), Some("may-have-run"));
    // hyper refuses empty lines by itself. Such an upstream is not taken for one that has broken its connection.
    let reason = (part != "\r\n").then_some("malformed");
    assert!(reason.is_none() || response.header("medlar-reason") == reason);
}

/// Guards against a limit on what comes before a head that ends proper interim responses, or counts those of earlier
/// responses on the connection.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn relay_after_interim_responses() {
    const INTERIM: &str = "HTTP/1.1 103 Early Hints\r\nlink: </a.css>; rel=preload\r\n\r\n";
    let address = listen(|mut stream| async move {
        let mut buffer = Vec::new();
        while read_message(&mut stream, &mut buffer).await.is_some() {
            let final_response = "HTTP/1.1 200 OK\r\ncontent-length: 200000\r\n\r\n";
            let bytes = INTERIM.repeat(500) + final_response + &"a".repeat(200_000);
            stream
                .write_all(bytes.as_bytes())
                .await
                .expect("the node reads");
        }
    })
    .await;
    let node = Node::start(address, 1, 1).await;
    let mut caller = CallerConnection::connect(node.callers).await;
    for _ in 0..10 {
        let response = caller.exchange(get_request("/")).await;
        assert_eq!(response.map(|it| it.body.len()), Some(200_000));
    }
}
