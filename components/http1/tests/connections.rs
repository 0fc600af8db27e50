//! Connections between nodes and to the upstream: silence, cancellation, bounds.

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
use support::raw::Caller;
use support::raw::ask;
use support::raw::get;
use support::raw::send_body;
use support::raw::wait_until;
use support::start_pair;
use support::upstream;
use support::upstream::Seen;

use control::NodeStage;
use ids::NodeId;
use member::MemberTable;

/// An entry that reaches its owner through a proxy.
async fn start_proxied() -> (Node, Node, Proxy, Arc<Seen>) {
    let (address, seen) = upstream::start().await;
    let owner = Node::start(address, 10, 10).await;
    let entry = Node::start(free_address(), 1, 1).await;
    let proxy = Proxy::start(owner.requests).await;
    let mut table = MemberTable::default();
    table.merge(member(owner.id, proxy.address, owner.peer, 10, 10));
    entry.publish(&table, NodeStage::Serving);
    (entry, owner, proxy, seen)
}

/// Guards against a caller that waits for a silent connection, a request that runs twice, and a
/// late answer that reaches another caller.
#[rstest]
#[case::answer_of_booking("POST", false, 1)]
#[case::request_of_booking("POST", true, 1)]
#[case::answer_of_view("GET", false, 2)]
#[case::request_of_view("GET", true, 1)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn ask_owner_silent(#[case] method: &str, #[case] requests: bool, #[case] runs: usize) {
    let (entry, _owner, proxy, seen) = start_proxied().await;
    ask(entry.callers, get("/x")).await.unwrap();
    proxy.silence(requests, !requests);
    let started = Instant::now();
    let answer = ask(entry.callers, send_body(method, "/x", 7))
        .await
        .unwrap();
    assert_eq!((answer.status(), answer.body), (200, b"7".to_vec()));
    assert!(
        started.elapsed() < Duration::from_millis(2_500),
        "{:?}",
        started.elapsed()
    );
    assert_eq!(seen.count() - 1, runs);
    proxy.resume();
    for length in [8, 9] {
        let answer = ask(entry.callers, send_body("POST", "/x", length))
            .await
            .unwrap();
        assert_eq!(answer.body, length.to_string().as_bytes());
    }
    assert_eq!(seen.count() - 3, runs, "what was held back ran later");
}

/// Guards against a heartbeat that is not sent, and against one whose silence is not noticed.
#[rstest]
#[case::healthy(false, 1)]
#[case::silent(true, 2)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn sweep_idle_connection(#[case] silent: bool, #[case] opened: usize) {
    let (entry, _owner, proxy, _) = start_proxied().await;
    ask(entry.callers, get("/x")).await.unwrap();
    proxy.silence(false, silent);
    tokio::time::sleep(Duration::from_millis(2_300)).await;
    let started = Instant::now();
    assert_eq!(ask(entry.callers, get("/x")).await.unwrap().status(), 200);
    assert!(
        started.elapsed() < Duration::from_millis(240),
        "{:?}",
        started.elapsed()
    );
    assert_eq!(proxy.opened.load(SeqCst), opened);
}

/// Guards against work that runs for callers that have left, and against bookings that are cut.
#[rstest]
#[case::view("GET", true)]
#[case::booking("POST", false)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn cancel_running(
    #[values(false, true)] forwarded: bool,
    #[case] method: &str,
    #[case] cancelled: bool,
) {
    let (address, seen) = upstream::start().await;
    let (entry, owner) = start_pair(address, 10, 10).await;
    let node = if forwarded { &entry } else { &owner };
    let mut caller = Caller::connect(node.callers).await;
    caller.send(send_body(method, "/wait/700", 0)).await;
    wait_until("request", || seen.count() == 1).await;
    drop(caller);
    wait_until("end", || owner.driver.load().running == 0).await;
    assert_eq!(seen.cancelled.load(SeqCst), usize::from(cancelled));
}

/// Guards against queued work that runs after its caller has left.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn cancel_queued(
    #[values(false, true)] forwarded: bool,
    #[values("GET", "POST")] method: &str,
) {
    let (address, seen) = upstream::start().await;
    let (entry, owner) = start_pair(address, 1, 10).await;
    let node = if forwarded { &entry } else { &owner };
    let mut first = Caller::connect(node.callers).await;
    first.send(get("/wait/500")).await;
    wait_until("request", || seen.count() == 1).await;
    let mut second = Caller::connect(node.callers).await;
    second.send(send_body(method, "/x", 5)).await;
    wait_until("queue", || owner.driver.load().queued == 1).await;
    drop(second);
    wait_until("cancellation", || owner.driver.load().queued == 0).await;
    assert_eq!(first.receive().await.unwrap().status(), 200);
    assert_eq!(seen.count(), 1);
}

/// Guards against work that goes on after its deadline, and an answer that comes later than that.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn cancel_at_deadline(#[values(false, true)] forwarded: bool) {
    let (address, seen) = upstream::start().await;
    let (entry, owner) = start_pair(address, 10, 10).await;
    let node = if forwarded { &entry } else { &owner };
    let answer = ask(node.callers, send_body("PUT", "/wait/9000", 0))
        .await
        .unwrap();
    assert_eq!(answer.status(), 504, "{}", answer.head);
    assert_eq!(answer.header("medlar-verdict"), Some("may-have-run"));
    wait_until("cancellation", || seen.cancelled.load(SeqCst) == 1).await;
}

/// Guards against more connections to the upstream than it declared, one for each request, a request
/// that is not woken when one is free, and idle ones that the upstream closes while a request is on
/// its way.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn connect_upstream_bounded() {
    let (address, seen) = upstream::start().await;
    let (entry, _owner) = start_pair(address, 20, 3).await;
    let mut asking = Vec::new();
    for _ in 0..20 {
        let callers = entry.callers;
        asking.push(tokio::spawn(async move {
            for _ in 0..40 {
                let answer = ask(callers, get("/wait/1")).await.unwrap();
                assert_eq!(answer.status(), 200, "{}", answer.head);
            }
        }));
    }
    for task in asking {
        task.await.unwrap();
    }
    assert_eq!(seen.opened.load(SeqCst), 3);
    assert_eq!(seen.most.load(SeqCst), 3);
    tokio::time::sleep(Duration::from_millis(3_500)).await;
    assert_eq!(seen.open.load(SeqCst), 0, "idle connections stay open");
}

/// Guards against a request that reaches another process at the address of the one it was meant
/// for, and against an ungrounded "may have run".
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn take_connection_other_node() {
    let (address, seen) = upstream::start().await;
    let (entry, owner) = start_pair(address, 10, 10).await;
    let mut table = MemberTable::default();
    table.merge(member(NodeId(1), owner.requests, owner.peer, 10, 10));
    entry.publish(&table, NodeStage::Serving);
    let answer = ask(entry.callers, send_body("POST", "/x", 0))
        .await
        .unwrap();
    assert_eq!(answer.status(), 503);
    assert_eq!(answer.header("medlar-verdict"), Some("not-run"));
    assert_eq!(seen.count(), 0);
}

/// Guards against stored answers that are kept after the entry got them, or lost before.
#[rstest]
#[case::confirmed(true, 502)]
#[case::silent(false, 200)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn fetch_stored(#[case] confirmed: bool, #[case] status: u16) {
    let (address, seen) = upstream::start().await;
    let owner = Node::start(address, 10, 10).await;
    let mut sender = Caller::connect(owner.requests).await;
    let route = ids::RouteId::from_parts("POST", "/**");
    let expires = owner.driver.now().0 + 3_000_000;
    let id = ids::RequestId(77);
    let headers = format!(
        "medlar-request-id: {id}\r\nmedlar-attempt: 1\r\nmedlar-route: {route}\r\nmedlar-owner: {}\r\nmedlar-expires-us: {expires}",
        owner.id
    );
    let request =
        format!("POST /x HTTP/1.1\r\nhost: h\r\n{headers}\r\ncontent-length: 3\r\n\r\nabc");
    assert_eq!(sender.ask(&request).await.unwrap().status(), 200);
    if confirmed {
        sender.ask(get("/medlar/hello")).await.unwrap();
    }
    let answer = ask(owner.requests, get(&format!("/medlar/answer/{id}")))
        .await
        .unwrap();
    assert_eq!(answer.status(), status);
    let again = sender.ask(&request).await.unwrap();
    assert_eq!(again.header("medlar-reason"), Some("duplicate"));
    assert_eq!(seen.count(), 1);
}

/// Guards against a request that runs at another service, whose upstream has taken the place of the one
/// that the request was sent to.
#[rstest]
#[case::same("s", 200, 1)]
#[case::other("other", 503, 0)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn send_service(#[case] service: &str, #[case] status: u16, #[case] runs: usize) {
    let (address, seen) = upstream::start().await;
    let owner = Node::start(address, 10, 10).await;
    let mut sender = Caller::connect(owner.requests).await;
    let route = ids::RouteId::from_parts("GET", "/**");
    let expires = owner.driver.now().0 + 3_000_000;
    let (id, service) = (ids::RequestId(78), ids::ServiceId::from_name(service));
    let headers = format!(
        "medlar-request-id: {id}\r\nmedlar-attempt: 1\r\nmedlar-route: {route}\r\nmedlar-owner: {}\r\nmedlar-expires-us: {expires}\r\nmedlar-service: {service}",
        owner.id
    );
    let request = format!("GET /x HTTP/1.1\r\nhost: h\r\n{headers}\r\n\r\n");
    let answer = sender.ask(&request).await.unwrap();
    assert_eq!(answer.status(), status);
    if runs == 0 {
        assert_eq!(answer.header("medlar-verdict"), Some("not-run"));
    }
    assert_eq!(seen.count(), runs);
}
