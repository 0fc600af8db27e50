//! Tests of the drain of a node: under load, at its limits and without traffic.

mod support;

use std::net::SocketAddr;
use std::sync::atomic::Ordering::SeqCst;
use std::time::Duration;
use std::time::Instant;

use rstest::rstest;
use support::Node;
use support::raw::CallerConnection;
use support::raw::TIMEOUT;
use support::raw::exchange;
use support::raw::get_request;
use support::raw::request_with_body;
use support::raw::wait_until;
use support::start_store;
use support::wait_until_forwarding;
use tokio::task::JoinHandle;

use daemon::Error;

/// Drain limit of nodes whose drain is expected to end long before it.
const DRAIN_LIMIT_MS: u64 = 10_000;

/// Number of requests by the outcome that their caller observed.
#[derive(Debug, Default, PartialEq, Eq)]
struct OutcomeCounts {
    served: usize,
    not_run: usize,
    cut_off: usize,
}

/// Sends requests, up to 10 on each connection, until the node no longer listens or 100 have ended.
fn spawn_caller(callers: SocketAddr, method: &'static str) -> JoinHandle<OutcomeCounts> {
    tokio::spawn(async move {
        let mut counts = OutcomeCounts::default();
        for _ in 0..100 {
            let Some(mut caller) = CallerConnection::try_connect(callers).await else {
                break;
            };
            for _ in 0..10 {
                let response = caller
                    .exchange(request_with_body(method, "/wait/20", 9))
                    .await;
                match &response {
                    Some(it) if it.status() == 200 => counts.served += 1,
                    Some(it) if it.header("medlar-verdict") == Some("not-run") => {
                        counts.not_run += 1
                    }
                    _ => counts.cut_off += 1,
                }
                let closes = response.is_none_or(|it| it.header("connection") == Some("close"));
                if closes {
                    break;
                }
            }
            if counts.served + counts.not_run + counts.cut_off >= 100 {
                break;
            }
        }
        counts
    })
}

/// Sends a request to a node at `callers` and returns once the upstream of `owner` runs it.
async fn send_running(
    callers: SocketAddr,
    owner: &Node,
    request: impl AsRef<[u8]>,
) -> CallerConnection {
    let count_before = owner.upstream_record.request_count();
    let mut caller = CallerConnection::connect(callers).await;
    caller.send(request).await;
    wait_until("request", || {
        owner.upstream_record.request_count() > count_before
    })
    .await;
    caller
}

/// Starts a node that serves, with other times of its drain than the default.
async fn start_lingering(
    store: SocketAddr,
    drain_limit_ms: u64,
    (linger_ms, notice_ms): (u64, u64),
) -> Node {
    let node = Node::spawn_with(store, &[], drain_limit_ms, |settings| {
        settings.drain_linger_ms = linger_ms;
        settings.drain_notice_ms = notice_ms;
    })
    .await;
    node.wait_until_serving().await;
    node
}

/// Checks that a drain cuts off no request, whether it arrived at the leaving node or was forwarded to it
/// by another node.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn drain_under_load(#[values(false, true)] operator: bool) {
    let store = start_store().await;
    let entry = Node::start(store, &[], DRAIN_LIMIT_MS).await;
    let leaving_node = Node::start(store, &[entry.settings.listen.peer], DRAIN_LIMIT_MS).await;
    wait_until_forwarding(&entry, &leaving_node).await;
    let count_before =
        entry.upstream_record.request_count() + leaving_node.upstream_record.request_count();
    let mut caller_tasks = Vec::new();
    for (node, method) in [
        (&entry, "GET"),
        (&entry, "POST"),
        (&leaving_node, "GET"),
        (&leaving_node, "POST"),
    ] {
        for _ in 0..3 {
            caller_tasks.push(spawn_caller(node.settings.listen.callers, method));
        }
    }
    tokio::time::sleep(Duration::from_millis(300)).await;
    leaving_node.drain(operator).await;
    let mut total = OutcomeCounts::default();
    for counts in caller_tasks {
        let counts = counts.await.unwrap();
        total.served += counts.served;
        total.not_run += counts.not_run;
        total.cut_off += counts.cut_off;
    }
    let leaving_record = std::sync::Arc::clone(&leaving_node.upstream_record);
    leaving_node.wait_for_exit().await.unwrap();
    assert_eq!(total.cut_off, 0, "{total:?}");
    assert!(total.served > 600, "{total:?}");
    assert_eq!(leaving_record.cancelled_requests.load(SeqCst), 0);
    assert_eq!(
        entry.upstream_record.request_count() + leaving_record.request_count() - count_before,
        total.served
    );
}

/// Checks that a drain waits for the last request, but no longer than the drain limit or until a second
/// signal.
#[rstest]
#[case::finishes("/wait/2500", 10_000, false, None)]
#[case::finishes_at_limit("/wait/1000", 1_150, false, None)]
#[case::limit(
    "/wait/2900",
    600,
    false,
    Some("the drain limit passed; cut off: 1 running and 1 forwarded")
)]
#[case::second_stop(
    "/wait/2900",
    10_000,
    true,
    Some("a second signal came; cut off: 1 running and 1 forwarded")
)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn drain_bounds(
    #[case] path: &str,
    #[case] drain_limit_ms: u64,
    #[case] second_stop: bool,
    #[case] expected_error: Option<&str>,
) {
    let store = start_store().await;
    let node = Node::start(store, &[], drain_limit_ms).await;
    let mut caller = send_running(
        node.settings.listen.callers,
        &node,
        request_with_body("POST", path, 1),
    )
    .await;
    let started = Instant::now();
    node.drain(false).await;
    if second_stop {
        tokio::time::sleep(Duration::from_millis(200)).await;
        node.drain(false).await;
    }
    let exit_result = node.wait_for_exit().await;
    match expected_error {
        None => {
            exit_result.unwrap();
            assert_eq!(caller.receive().await.unwrap().status(), 200);
        }
        Some(message) => {
            let actual_message = exit_result.unwrap_err().to_string();
            assert!(actual_message.starts_with(message), "{actual_message}");
            assert!(started.elapsed() < Duration::from_secs(2));
        }
    }
}

/// Guards against a drain by an operator that is cut short by the stop signal which follows it in a planned
/// replacement: only a second signal ends the node without waiting for its requests.
#[rstest]
#[case::one_signal(1, true)]
#[case::two_signals(2, false)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn drain_signal_after_operator(#[case] signals: u32, #[case] finishes: bool) {
    let store = start_store().await;
    let node = Node::start(store, &[], DRAIN_LIMIT_MS).await;
    let mut caller = send_running(
        node.settings.listen.callers,
        &node,
        request_with_body("POST", "/wait/1500", 1),
    )
    .await;
    node.drain(true).await;
    for _ in 0..signals {
        tokio::time::sleep(Duration::from_millis(200)).await;
        node.drain(false).await;
    }
    let status = caller.receive().await.expect("an answer").status();
    assert_eq!(status == 200, finishes);
    assert_eq!(node.wait_for_exit().await.is_ok(), finishes);
}

/// Checks that a leaving node still forwards the calls that its upstream makes for a running request.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn drain_upstream_calls() {
    let store = start_store().await;
    let leaving_node = Node::start(store, &[], DRAIN_LIMIT_MS).await;
    let other = Node::start(store, &[leaving_node.settings.listen.peer], DRAIN_LIMIT_MS).await;
    wait_until_forwarding(&leaving_node, &other).await;
    let callers = leaving_node.settings.listen.callers;
    let mut open_callers = Vec::new();
    // Enough requests that at least one of them runs at the leaving node.
    for _ in 0..16 {
        let mut caller = CallerConnection::connect(callers).await;
        let head = format!("GET /onward HTTP/1.1\r\nhost: h\r\nx-via: {callers}\r\n\r\n");
        caller.send(head).await;
        open_callers.push(caller);
    }
    let count_before = leaving_node.upstream_record.request_count();
    wait_until("request", || {
        leaving_node.upstream_record.request_count() > count_before
    })
    .await;
    leaving_node.drain(false).await;
    let started_requests = leaving_node.upstream_record.request_count();
    assert!(started_requests > count_before);
    let mut succeeded = 0;
    for mut caller in open_callers {
        let response = caller.receive().await.unwrap();
        if response.status() == 200 {
            succeeded += usize::from(response.body == b"200");
        }
    }
    leaving_node.wait_for_exit().await.unwrap();
    assert!(succeeded > 0);
}

/// Checks that a drain of a node without an upstream ends before the drain limit.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn drain_without_upstream() {
    let store = start_store().await;
    let node = Node::spawn(store, &[], DRAIN_LIMIT_MS).await;
    node.wait_for_listeners().await;
    let started = Instant::now();
    node.drain(true).await;
    assert!(matches!(node.wait_for_exit().await, Ok::<(), Error>(())));
    assert!(started.elapsed() < Duration::from_secs(4));
}

/// Checks that requests which the leaving node has forwarded and which are queued at another node get a
/// response before the drain limit ends the leaving node.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn drain_queued_at_other_node() {
    let store = start_store().await;
    let owner = Node::start(store, &[], DRAIN_LIMIT_MS).await;
    // This node has no upstream of its own, so that it forwards all requests to the owner.
    let leaving_node = Node::spawn(store, &[owner.settings.listen.peer], 1_200).await;
    leaving_node.wait_for_listeners().await;
    let callers = leaving_node.settings.listen.callers;
    let served =
        async { while exchange(callers, get_request("/x")).await.unwrap().status() != 200 {} };
    tokio::time::timeout(TIMEOUT, served).await.unwrap();
    let count_before = owner.upstream_record.request_count();
    let mut open_callers = Vec::new();
    for _ in 0..40 {
        let mut caller = CallerConnection::connect(callers).await;
        caller
            .send(request_with_body("POST", "/wait/2900", 1))
            .await;
        open_callers.push(caller);
    }
    // The upstream runs at most 10 requests at once, and none ends before the drain limit.
    wait_until("request", || {
        owner.upstream_record.request_count() > count_before
    })
    .await;
    leaving_node.drain(false).await;
    let (mut not_run, mut may_have_run) = (0, 0);
    for mut caller in open_callers {
        let response = caller.receive().await.expect("the request is answered");
        if response.header("medlar-verdict") == Some("not-run") {
            assert_eq!(response.status(), 503);
            assert_eq!(response.header("medlar-reason"), Some("draining"));
            not_run += 1;
        } else {
            // Was running: its upstream had to be done before the end of the node, or the node gave it up.
            assert!([502, 504].contains(&response.status()));
            assert_eq!(response.header("medlar-verdict"), Some("may-have-run"));
            may_have_run += 1;
        }
    }
    assert!(may_have_run <= 10, "{may_have_run} of 10 running requests");
    assert!(leaving_node.wait_for_exit().await.is_err());
    assert!(
        not_run >= 20,
        "{not_run} of 30 waiting requests got a response"
    );
}

/// Checks that an open connection on which no request was sent does not delay the drain to its limit.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn drain_unused_connection() {
    let store = start_store().await;
    let node = Node::start(store, &[], DRAIN_LIMIT_MS).await;
    let _unused = CallerConnection::connect(node.settings.listen.callers).await;
    let started = Instant::now();
    node.drain(false).await;
    assert!(matches!(node.wait_for_exit().await, Ok::<(), Error>(())));
    assert!(started.elapsed() < Duration::from_secs(4));
}

/// Guards against a request that a leaving node accepts for longer than it exists, so that the node's exit
/// cuts it off: its upstream is told to end in time, and the upstream's response reaches the caller. The node
/// leaves as the entry of the request, as its owner, or as both.
#[rstest]
#[case::entry_and_owner(true, true)]
#[case::entry(true, false)]
#[case::owner(false, true)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn drain_deadline_beyond_end(
    #[case] leaves_as_entry: bool,
    #[case] leaves_as_owner: bool,
    #[values("GET", "POST")] method: &str,
) {
    // Shorter than the deadline of the routes, which is 3 s.
    let (drain_limit_ms, linger_ms, notice_ms) = (2_000, 900, 100);
    let store = start_store().await;
    let leaving_node = Node::spawn_with(store, &[], drain_limit_ms, |settings| {
        settings.drain_linger_ms = linger_ms;
        settings.drain_notice_ms = notice_ms;
    })
    .await;
    // The other node lacks an upstream, so that it forwards, or is the only one that has one.
    let other = Node::spawn(store, &[leaving_node.settings.listen.peer], DRAIN_LIMIT_MS).await;
    if leaves_as_owner {
        leaving_node.wait_until_serving().await;
    } else {
        leaving_node.wait_for_listeners().await;
        other.wait_until_serving().await;
    }
    let entry = if leaves_as_entry {
        &leaving_node
    } else {
        &other
    };
    entry.wait_for_listeners().await;
    let callers = entry.settings.listen.callers;
    let served =
        async { while exchange(callers, get_request("/x")).await.unwrap().status() != 200 {} };
    tokio::time::timeout(TIMEOUT, served).await.unwrap();
    leaving_node.drain(false).await;
    tokio::time::sleep(Duration::from_millis(200)).await;
    let mut caller = CallerConnection::connect(callers).await;
    let started = Instant::now();
    caller
        .send(request_with_body(method, "/until-deadline", 1))
        .await;
    let response = caller.receive().await.expect("the request is answered");
    assert_eq!(
        (response.status(), &*response.body),
        (504, &b"deadline"[..])
    );
    assert!(started.elapsed() < Duration::from_millis(drain_limit_ms));
    leaving_node.wait_for_exit().await.unwrap();
}

/// Guards against a call that ends with a closed connection, and no answer, because its upstream is silent
/// when the drain limit or a second signal ends the node. The caller learns that its request may have run.
#[rstest]
#[case::limit(1_200, false, "the drain limit passed")]
#[case::second_stop(DRAIN_LIMIT_MS, true, "a second signal came")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn drain_silent_upstream(
    #[case] drain_limit_ms: u64,
    #[case] second_stop: bool,
    #[case] reason: &str,
    #[values(true, false)] leaves_as_owner: bool,
    #[values("GET", "POST")] method: &str,
) {
    let store = start_store().await;
    let leaving_node = Node::spawn(store, &[], drain_limit_ms).await;
    let other = Node::spawn(store, &[leaving_node.settings.listen.peer], DRAIN_LIMIT_MS).await;
    let owner = if leaves_as_owner {
        &leaving_node
    } else {
        &other
    };
    leaving_node.wait_for_listeners().await;
    owner.wait_until_serving().await;
    let callers = leaving_node.settings.listen.callers;
    let served =
        async { while exchange(callers, get_request("/x")).await.unwrap().status() != 200 {} };
    tokio::time::timeout(TIMEOUT, served).await.unwrap();
    let mut caller = send_running(callers, owner, request_with_body(method, "/never", 1)).await;
    leaving_node.drain(false).await;
    if second_stop {
        leaving_node.drain(false).await;
    }
    let response = caller.receive().await.expect("the request is answered");
    assert!([502, 504].contains(&response.status()));
    assert_eq!(response.header("medlar-verdict"), Some("may-have-run"));
    let error = leaving_node.wait_for_exit().await.unwrap_err().to_string();
    assert!(error.starts_with(reason), "{error}");
}

/// Guards against a request that arrives after the node has given up its open calls: it is not passed on.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn drain_arrival_after_abandonment() {
    let store = start_store().await;
    let node = Node::start(store, &[], DRAIN_LIMIT_MS).await;
    let callers = node.settings.listen.callers;
    let mut caller = CallerConnection::connect(callers).await;
    let response = caller.exchange(get_request("/x")).await;
    assert_eq!(response.unwrap().status(), 200);
    let count_before = node.upstream_record.request_count();
    node.drain(false).await;
    node.drain(false).await;
    tokio::time::sleep(Duration::from_millis(50)).await;
    caller
        .send(request_with_body("POST", "/wait/1000", 1))
        .await;
    let response = caller.receive().await.expect("the request is answered");
    assert_eq!(response.status(), 503);
    assert_eq!(response.header("medlar-verdict"), Some("not-run"));
    assert_eq!(node.upstream_record.request_count(), count_before);
    assert!(node.wait_for_exit().await.is_err());
}

/// Guards against requests of other nodes that still wait at an owner when a second signal ends it: they are
/// refused as not run, so that no caller is told that they may have run.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn drain_queued_second_stop() {
    let store = start_store().await;
    let leaving_node = Node::start(store, &[], DRAIN_LIMIT_MS).await;
    // This node has no upstream of its own, so that it forwards all requests to the leaving node.
    let entry = Node::spawn(store, &[leaving_node.settings.listen.peer], DRAIN_LIMIT_MS).await;
    entry.wait_for_listeners().await;
    let callers = entry.settings.listen.callers;
    let served =
        async { while exchange(callers, get_request("/x")).await.unwrap().status() != 200 {} };
    tokio::time::timeout(TIMEOUT, served).await.unwrap();
    let count_before = leaving_node.upstream_record.request_count();
    let mut open_callers = Vec::new();
    for _ in 0..30 {
        let mut caller = CallerConnection::connect(callers).await;
        caller
            .send(request_with_body("POST", "/wait/2900", 1))
            .await;
        open_callers.push(caller);
    }
    wait_until("requests", || {
        leaving_node.upstream_record.request_count() >= count_before + 3
    })
    .await;
    tokio::time::sleep(Duration::from_millis(200)).await;
    let running = leaving_node.upstream_record.request_count() - count_before;
    leaving_node.drain(false).await;
    leaving_node.drain(false).await;
    let mut may_have_run = 0;
    for mut caller in open_callers {
        let response = caller.receive().await.expect("the request is answered");
        may_have_run += usize::from(response.header("medlar-verdict") != Some("not-run"));
    }
    assert_eq!(may_have_run, running);
    assert!(leaving_node.wait_for_exit().await.is_err());
}

/// Guards against an upstream's response at the end of a leaving node that the owner replaces by a refusal of
/// its own, because a busy processor delays the response by some milliseconds. The node keeps 500 ms for it.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn drain_deadline_late_response(
    #[values(0, 20, 120)] late_ms: u64,
    #[values("GET", "POST")] method: &str,
) {
    let store = start_store().await;
    let node = start_lingering(store, 2_000, (900, 100)).await;
    node.drain(false).await;
    tokio::time::sleep(Duration::from_millis(200)).await;
    let mut caller = CallerConnection::connect(node.settings.listen.callers).await;
    let path = format!("/until-deadline/{late_ms}");
    caller.send(request_with_body(method, &path, 1)).await;
    let response = caller.receive().await.expect("the request is answered");
    assert_eq!(
        (response.status(), &*response.body),
        (504, &b"deadline"[..])
    );
    node.wait_for_exit().await.unwrap();
}

/// Guards against a connection that a leaving node neither serves nor refuses: its listener no longer accepts,
/// but stays open until the last request of the others has ended.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn drain_connection_after_listeners() {
    let store = start_store().await;
    let node = start_lingering(store, DRAIN_LIMIT_MS, (100, 100)).await;
    let callers = node.settings.listen.callers;
    let mut running =
        send_running(callers, &node, request_with_body("POST", "/wait/2500", 1)).await;
    node.drain(false).await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    let started = Instant::now();
    if let Some(mut late) = CallerConnection::try_connect(callers).await {
        late.send(get_request("/x")).await;
        let _ = late.receive().await;
    }
    let elapsed = started.elapsed();
    assert!(elapsed < Duration::from_millis(200), "{elapsed:?}");
    assert_eq!(running.receive().await.unwrap().status(), 200);
    node.wait_for_exit().await.unwrap();
}

/// Guards against an onward call of a running request that the leaving node does not take any more, because
/// the run lasts longer than the node's listeners.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn drain_upstream_call_after_listeners() {
    let store = start_store().await;
    let node = start_lingering(store, DRAIN_LIMIT_MS, (100, 100)).await;
    let callers = node.settings.listen.callers;
    let head = format!("GET /onward HTTP/1.1\r\nhost: h\r\nx-via: {callers}\r\n\r\n");
    let mut caller = send_running(callers, &node, head).await;
    node.drain(false).await;
    let response = caller.receive().await.expect("the request is answered");
    assert_eq!(response.status(), 200);
    // The only upstream is that of the leaving node, so that a refusal is allowed, but no closed connection.
    assert!([&b"200"[..], b"503"].contains(&&*response.body));
    node.wait_for_exit().await.unwrap();
}
