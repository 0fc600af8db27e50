//! Tests of request heads that violate HTTP/1.1, attempt request smuggling or carry headers that must
//! not reach the upstream.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use rstest::rstest;
use support::CONFIG_TEXT;
use support::Node;
use support::raw::CallerConnection;
use support::raw::exchange;
use support::raw::free_address;
use support::raw::get_request;
use support::raw::listen;
use support::raw::read_message;
use support::start_entry_and_owner;
use support::upstream;
use tokio::io::AsyncWriteExt;

use control::NodeStage;
use ids::NodeId;
use member::MemberTable;

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

/// Checks that a head that is longer than the limit is refused with status 431 and not forwarded, whether
/// it has few headers or so many that their number exceeds its own limit.
#[rstest]
#[case::long_header("x-a", 20_000, 1)]
#[case::many_headers("x-a", 10, 1_200)]
#[case::short_headers("a", 0, 3_000)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn read_request_oversize_head(
    #[case] name: &str,
    #[case] length: usize,
    #[case] count: usize,
) {
    let (address, upstream_record) = upstream::start().await;
    let node = Node::start(address, 10, 10).await;
    let line = format!("{name}:{}\r\n", "v".repeat(length)).repeat(count);
    let request = format!("GET /x HTTP/1.1\r\nhost: h\r\n{line}\r\n");
    let response = exchange(node.callers, request).await.unwrap();
    assert_eq!(response.status(), 431, "{}", response.head);
    assert_eq!(upstream_record.request_count(), 0);
}

/// Default limit on the head of a caller's request, in bytes.
const HEAD_BYTES: usize = 16 * 1024;

/// A request whose head has `bytes` bytes and `count` headers `x:` beside `host`.
fn request_of(bytes: usize, count: usize) -> String {
    let start = "GET /x HTTP/1.1\r\nhost: h\r\n";
    let missing = bytes - start.len() - "\r\n".len();
    let length = missing / count - "x:\r\n".len();
    let rest = missing % count;
    let line = |at| format!("x:{}\r\n", "v".repeat(length + usize::from(at < rest)));
    let lines: String = (0..count).map(line).collect();
    format!("{start}{lines}\r\n")
}

/// Checks that a head up to the limit on callers reaches the upstream whole, also by way of another node, whose HTTP
/// server refused it with 431: the entry adds headers, and hyper a space in each line.
#[rstest]
#[case::longest(HEAD_BYTES, 1)]
#[case::more_than_hyper_accepts(2_000, 150)]
#[case::longest_of_short_headers(HEAD_BYTES, 2_000)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn forward_head_at_limit(
    #[case] bytes: usize,
    #[case] count: usize,
    #[values(false, true)] remote: bool,
) {
    let (address, upstream_record) = upstream::start().await;
    let (entry, owner) = start_entry_and_owner(address, 10, 10).await;
    let receiver = if remote { &entry } else { &owner };
    let request = request_of(bytes, count);
    assert_eq!(request.len(), bytes);
    let response = exchange(receiver.callers, request).await.unwrap();
    assert_eq!(response.status(), 200, "{}", response.head);
    let head = upstream_record.last_head();
    let received = head.lines().filter(|line| line.starts_with("x: "));
    assert_eq!(received.count(), count);
}

/// Checks that a response head which the owner accepts from its upstream reaches the caller, also by way of another
/// node. Its owner adds headers, so that the entry's HTTP client broke the response off.
#[rstest]
#[case::many_headers(250, 0)]
#[case::long_headers(4, 16_000)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn relay_head_at_limit(
    #[case] count: usize,
    #[case] length: usize,
    #[values(false, true)] remote: bool,
) {
    let (address, _upstream) = upstream::start().await;
    let (entry, owner) = start_entry_and_owner(address, 10, 10).await;
    let receiver = if remote { &entry } else { &owner };
    let path = format!("/headers/{count}/{length}");
    let response = exchange(receiver.callers, get_request(&path))
        .await
        .unwrap();
    assert_eq!(response.status(), 200);
    let received = response.head.lines().filter(|it| it.starts_with("x: "));
    assert_eq!(received.count(), count);
}

/// Checks that the refusal of an owner's HTTP server, whose configuration has lower limits than that of the entry, is
/// neither delivered as the upstream's response nor blamed on the caller: the request has not run, so another owner
/// gets it, or the caller is told to come back.
#[rstest]
#[case::another_owner(true, 200)]
#[case::no_other(false, 503)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn forward_head_owner_limit(#[case] has_another: bool, #[case] expected: u16) {
    let (address, upstream_record) = upstream::start().await;
    let (entry, owner) = start_entry_and_owner(address, 10, 10).await;
    let other = Node::start(address, 10, 10).await;
    let raised = format!("limits: {{head_bytes: 65536}}{CONFIG_TEXT}");
    let mut table = MemberTable::default();
    table.merge(owner.member(10, 10));
    if has_another {
        // Both owners get requests; only one of them has the new limits yet.
        table.merge(other.member(10, 10));
    }
    other.publish_config(&raised, &table, NodeStage::Serving);
    entry.publish_config(&raised, &table, NodeStage::Serving);
    for _ in 0..8 {
        let response = exchange(entry.callers, request_of(40_000, 1))
            .await
            .unwrap();
        assert_eq!(response.status(), expected, "{}", response.head);
    }
    let ran = upstream_record.request_count();
    assert_eq!(ran, if has_another { 8 } else { 0 });
    let refused = "medlar_refusals_total{reason=\"too-large\",side=\"listener\"";
    assert!(owner.counter_value(refused) > 0);
}

/// Checks that an upstream's own refusal of a head is delivered, and not taken for one of the owner's HTTP server.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn forward_head_upstream_refuses(#[values(false, true)] remote: bool) {
    let (address, upstream_record) = upstream::start().await;
    let (entry, owner) = start_entry_and_owner(address, 10, 10).await;
    let receiver = if remote { &entry } else { &owner };
    let response = exchange(receiver.callers, get_request("/status/431"))
        .await
        .unwrap();
    assert_eq!(
        (response.status(), &response.body[..]),
        (431, &b"upstream"[..])
    );
    assert_eq!(upstream_record.request_count(), 1);
}

/// Checks that an open connection ends once the limit on heads is raised. It kept the limit that held when it was
/// opened, so that a head that the configuration allows was refused with 431.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn raise_head_limit_open_connection() {
    let (address, _upstream) = upstream::start().await;
    let node = Node::start(address, 10, 10).await;
    let mut caller = CallerConnection::connect(node.callers).await;
    let response = caller.exchange(get_request("/x")).await.unwrap();
    assert_eq!(response.status(), 200);
    let raised = format!("limits: {{head_bytes: 65536}}{CONFIG_TEXT}");
    let mut table = MemberTable::default();
    table.merge(node.member(10, 10));
    node.publish_config(&raised, &table, NodeStage::Serving);
    // Well before the connection ends because it is idle.
    let closed = tokio::time::timeout(Duration::from_secs(3), caller.is_closed());
    assert_eq!(closed.await, Ok(true));
    let response = exchange(node.callers, request_of(40_000, 1)).await.unwrap();
    assert_eq!(response.status(), 200, "{}", response.head);
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

/// Starts an owner `id` that answers checks of its connections, and each request with `status` and without its load.
async fn start_owner_without_load(id: NodeId, status: &'static str) -> SocketAddr {
    listen(move |mut stream| async move {
        let mut buffer = Vec::new();
        while let Some(message) = read_message(&mut stream, &mut buffer).await {
            let (status, headers) = match message.path().as_str() {
                "/medlar/hello" => {
                    let headers = format!("medlar-owner: {id}\r\nmedlar-clock-us: 1\r\n");
                    ("200 OK", headers)
                }
                _ => (status, String::new()),
            };
            let response = format!("HTTP/1.1 {status}\r\n{headers}content-length: 0\r\n\r\n");
            if stream.write_all(response.as_bytes()).await.is_err() {
                return;
            }
        }
    })
    .await
}

/// Checks that a response of a node that lacks its load is not delivered, and counts as not run only if it is one with
/// which the HTTP server of a node refuses a head. Whatever else answers at its address may have run the request.
#[rstest]
#[case::head_too_long("431 Too Large", 503)]
#[case::malformed("400 Bad Request", 503)]
#[case::success("200 OK", 502)]
#[case::other_refusal("413 Too Large", 502)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn send_remote_without_load(#[case] status: &'static str, #[case] expected: u16) {
    let entry = Node::start(free_address(), 1, 1).await;
    let id = NodeId(7);
    let owner = start_owner_without_load(id, status).await;
    let mut table = MemberTable::default();
    table.merge(support::member(id, owner, owner, 10, 10));
    entry.publish(&table, NodeStage::Serving);
    let request = "POST /x HTTP/1.1\r\nhost: h\r\ncontent-length: 0\r\n\r\n".to_owned();
    let response = exchange(entry.callers, request).await.unwrap();
    assert_eq!(response.status(), expected, "{}", response.head);
}
