//! Tests of connections between nodes and to the upstream: silent connections, cancellation and
//! connection limits.

mod support;

use std::sync::Arc;
use std::sync::atomic::Ordering::SeqCst;
use std::time::Duration;
use std::time::Instant;

use rstest::rstest;
use support::Node;
use support::free_address;
use support::member;
use support::proxy::Proxy;
use support::raw::CallerConnection;
use support::raw::exchange;
use support::raw::get_request;
use support::raw::request_with_body;
use support::raw::wait_until;
use support::start_entry_and_owner;
use support::upstream;
use support::upstream::UpstreamRecord;

use control::NodeStage;
use ids::NodeId;
use member::MemberTable;

/// Starts an owner and an entry whose connections to the owner go through a proxy.
async fn start_proxied() -> (Node, Node, Proxy, Arc<UpstreamRecord>) {
    let (address, upstream_record) = upstream::start().await;
    let owner = Node::start(address, 10, 10).await;
    let entry = Node::start(free_address(), 1, 1).await;
    let proxy = Proxy::start(owner.requests).await;
    let mut table = MemberTable::default();
    table.merge(member(owner.id, proxy.address, owner.peer, 10, 10));
    entry.publish(&table, NodeStage::Serving);
    (entry, owner, proxy, upstream_record)
}

/// Checks that a caller gets a response soon though the connection between the nodes has gone silent.
/// A request that is not idempotent must run only once, and a response that arrives late must not be
/// delivered to another caller.
#[rstest]
#[case::post_response("POST", false, 1)]
#[case::post_request("POST", true, 1)]
#[case::get_response("GET", false, 2)]
#[case::get_request("GET", true, 1)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn send_remote_silent_connection(
    #[case] method: &str,
    #[case] silence_requests: bool,
    #[case] runs: usize,
) {
    let (entry, _owner, proxy, upstream_record) = start_proxied().await;
    exchange(entry.callers, get_request("/x")).await.unwrap();
    proxy.silence(silence_requests, !silence_requests);
    let started = Instant::now();
    let response = exchange(entry.callers, request_with_body(method, "/x", 7))
        .await
        .unwrap();
    assert_eq!((response.status(), response.body), (200, b"7".to_vec()));
    assert!(
        started.elapsed() < Duration::from_millis(2_500),
        "{:?}",
        started.elapsed()
    );
    assert_eq!(upstream_record.request_count() - 1, runs);
    proxy.resume();
    for length in [8, 9] {
        let response = exchange(entry.callers, request_with_body("POST", "/x", length))
            .await
            .unwrap();
        assert_eq!(response.body, length.to_string().as_bytes());
    }
    assert_eq!(
        upstream_record.request_count() - 3,
        runs,
        "a request that the proxy had held back ran later"
    );
}

/// Checks that heartbeats find a silent idle connection, so that the next request uses a new one
/// without delay, and that a healthy connection is reused.
#[rstest]
#[case::healthy(false, 1)]
#[case::silent(true, 2)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn sweep_idle_connection(#[case] silent: bool, #[case] connections: usize) {
    let (entry, _owner, proxy, _) = start_proxied().await;
    exchange(entry.callers, get_request("/x")).await.unwrap();
    proxy.silence(false, silent);
    tokio::time::sleep(Duration::from_millis(2_300)).await;
    let started = Instant::now();
    assert_eq!(
        exchange(entry.callers, get_request("/x"))
            .await
            .unwrap()
            .status(),
        200
    );
    assert!(
        started.elapsed() < Duration::from_millis(240),
        "{:?}",
        started.elapsed()
    );
    assert_eq!(proxy.accepted_connections.load(SeqCst), connections);
}

/// Checks that a running request is cancelled when its caller disconnects if it is idempotent, and
/// otherwise runs to its end.
#[rstest]
#[case::get("GET", true)]
#[case::post("POST", false)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn cancel_running(
    #[values(false, true)] forwarded: bool,
    #[case] method: &str,
    #[case] cancelled: bool,
) {
    let (address, upstream_record) = upstream::start().await;
    let (entry, owner) = start_entry_and_owner(address, 10, 10).await;
    let node = if forwarded { &entry } else { &owner };
    let mut caller = CallerConnection::connect(node.callers).await;
    caller.send(request_with_body(method, "/wait/700", 0)).await;
    wait_until("request", || upstream_record.request_count() == 1).await;
    drop(caller);
    wait_until("end of the request", || owner.driver.load().running == 0).await;
    assert_eq!(
        upstream_record.cancelled_requests.load(SeqCst),
        usize::from(cancelled)
    );
}

/// Checks that a queued request does not run if its caller disconnects, idempotent or not.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn cancel_queued(
    #[values(false, true)] forwarded: bool,
    #[values("GET", "POST")] method: &str,
) {
    let (address, upstream_record) = upstream::start().await;
    let (entry, owner) = start_entry_and_owner(address, 1, 10).await;
    let node = if forwarded { &entry } else { &owner };
    let mut first = CallerConnection::connect(node.callers).await;
    first.send(get_request("/wait/500")).await;
    wait_until("request", || upstream_record.request_count() == 1).await;
    let mut second = CallerConnection::connect(node.callers).await;
    second.send(request_with_body(method, "/x", 5)).await;
    wait_until("queued request", || owner.driver.load().queued == 1).await;
    drop(second);
    wait_until("cancellation", || owner.driver.load().queued == 0).await;
    assert_eq!(first.receive().await.unwrap().status(), 200);
    assert_eq!(upstream_record.request_count(), 1);
}

/// Checks that a request is cancelled at its deadline and that the caller then gets a 504 response.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn cancel_at_deadline(#[values(false, true)] forwarded: bool) {
    let (address, upstream_record) = upstream::start().await;
    let (entry, owner) = start_entry_and_owner(address, 10, 10).await;
    let node = if forwarded { &entry } else { &owner };
    let response = exchange(node.callers, request_with_body("PUT", "/wait/9000", 0))
        .await
        .unwrap();
    assert_eq!(response.status(), 504, "{}", response.head);
    assert_eq!(response.header("medlar-verdict"), Some("may-have-run"));
    wait_until("cancellation", || {
        upstream_record.cancelled_requests.load(SeqCst) == 1
    })
    .await;
}

/// Checks that the node opens as many connections to the upstream as it has announced and no more,
/// reuses them, wakes a waiting request when one becomes free, and closes them when they are idle.
/// If it left that to the upstream, a request could be sent just as the upstream closes the connection.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn acquire_upstream_connection_limit() {
    let (address, upstream_record) = upstream::start().await;
    let (entry, _owner) = start_entry_and_owner(address, 20, 3).await;
    let mut caller_tasks = Vec::new();
    for _ in 0..20 {
        let callers = entry.callers;
        caller_tasks.push(tokio::spawn(async move {
            for _ in 0..40 {
                let response = exchange(callers, get_request("/wait/1")).await.unwrap();
                assert_eq!(response.status(), 200, "{}", response.head);
            }
        }));
    }
    for task in caller_tasks {
        task.await.unwrap();
    }
    assert_eq!(upstream_record.accepted_connections.load(SeqCst), 3);
    assert_eq!(upstream_record.max_open_connections.load(SeqCst), 3);
    tokio::time::sleep(Duration::from_millis(3_500)).await;
    assert_eq!(
        upstream_record.open_connections.load(SeqCst),
        0,
        "idle connections were not closed"
    );
}

/// Checks that a request is not run by another node that now has the address of its intended owner,
/// and that its verdict is then `not-run`.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn exchange_hello_other_node() {
    let (address, upstream_record) = upstream::start().await;
    let (entry, owner) = start_entry_and_owner(address, 10, 10).await;
    let mut table = MemberTable::default();
    table.merge(member(NodeId(1), owner.requests, owner.peer, 10, 10));
    entry.publish(&table, NodeStage::Serving);
    let response = exchange(entry.callers, request_with_body("POST", "/x", 0))
        .await
        .unwrap();
    assert_eq!(response.status(), 503);
    assert_eq!(response.header("medlar-verdict"), Some("not-run"));
    assert_eq!(upstream_record.request_count(), 0);
}

/// Checks that an owner keeps a stored response until the entry's next request on the connection
/// confirms its receipt, and no longer.
#[rstest]
#[case::confirmed(true, 502)]
#[case::silent(false, 200)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn fetch_stored_response(#[case] confirmed: bool, #[case] status: u16) {
    let (address, upstream_record) = upstream::start().await;
    let owner = Node::start(address, 10, 10).await;
    let mut sender = CallerConnection::connect(owner.requests).await;
    let route = ids::RouteId::from_parts("POST", "/**");
    let expires = owner.driver.now().0 + 3_000_000;
    let id = ids::RequestId(77);
    let headers = format!(
        "medlar-request-id: {id}\r\nmedlar-attempt: 1\r\nmedlar-route: {route}\r\nmedlar-owner: {}\r\nmedlar-expires-us: {expires}",
        owner.id
    );
    let request =
        format!("POST /x HTTP/1.1\r\nhost: h\r\n{headers}\r\ncontent-length: 3\r\n\r\nabc");
    assert_eq!(sender.exchange(&request).await.unwrap().status(), 200);
    if confirmed {
        sender.exchange(get_request("/medlar/hello")).await.unwrap();
    }
    let response = exchange(owner.requests, get_request(&format!("/medlar/answer/{id}")))
        .await
        .unwrap();
    assert_eq!(response.status(), status);
    let repeated_response = sender.exchange(&request).await.unwrap();
    assert_eq!(repeated_response.header("medlar-reason"), Some("duplicate"));
    assert_eq!(upstream_record.request_count(), 1);
}

/// Checks that a request is not run by the upstream of another service that has replaced the one that
/// the request was routed to.
#[rstest]
#[case::same("s", 200, 1)]
#[case::other("other", 503, 0)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn send_to_upstream_service(#[case] service: &str, #[case] status: u16, #[case] runs: usize) {
    let (address, upstream_record) = upstream::start().await;
    let owner = Node::start(address, 10, 10).await;
    let mut sender = CallerConnection::connect(owner.requests).await;
    let route = ids::RouteId::from_parts("GET", "/**");
    let expires = owner.driver.now().0 + 3_000_000;
    let (id, service) = (ids::RequestId(78), ids::ServiceId::from_name(service));
    let headers = format!(
        "medlar-request-id: {id}\r\nmedlar-attempt: 1\r\nmedlar-route: {route}\r\nmedlar-owner: {}\r\nmedlar-expires-us: {expires}\r\nmedlar-service: {service}",
        owner.id
    );
    let request = format!("GET /x HTTP/1.1\r\nhost: h\r\n{headers}\r\n\r\n");
    let response = sender.exchange(&request).await.unwrap();
    assert_eq!(response.status(), status);
    if runs == 0 {
        assert_eq!(response.header("medlar-verdict"), Some("not-run"));
    }
    assert_eq!(upstream_record.request_count(), runs);
}

/// Guards against a refusal that a faulty upstream writes once more on a kept connection, where it is taken for
/// the response to the next request: the caller is told that a request did not run although it did, or the
/// request runs again elsewhere.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn release_after_refusal(
    #[values(false, true)] forwarded: bool,
    #[values("POST", "PUT")] method: &str,
) {
    let (address, upstream_record) = upstream::start().await;
    let owner = Node::start(address, 10, 10).await;
    let entry = Node::start(free_address(), 1, 1).await;
    entry.publish_nodes(&[(&owner, 10, 10)], NodeStage::Serving);
    let callers = if forwarded {
        entry.callers
    } else {
        owner.callers
    };
    // The node retries a refused request by itself; a second request shows that of another caller.
    for _ in 0..2 {
        let before = upstream_record.run_requests.load(SeqCst);
        let request = request_with_body(method, "/refuse-once", 7);
        let response = exchange(callers, request).await.unwrap();
        let runs = upstream_record.run_requests.load(SeqCst) - before;
        assert_eq!(
            response.status() == 200,
            runs == 1,
            "{runs} {}",
            response.head
        );
        assert!(runs <= 1, "{runs} {}", response.head);
    }
    assert_eq!(upstream_record.refused_requests.load(SeqCst), 1);
}
