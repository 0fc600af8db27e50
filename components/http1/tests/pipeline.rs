//! Tests of callers that send further requests before the first one has been answered.

mod support;

use std::sync::atomic::Ordering::SeqCst;
use std::time::Duration;
use std::time::Instant;

use rstest::rstest;
use support::Node;
use support::raw::CallerConnection;
use support::raw::get_request;
use support::raw::request_with_body;
use support::raw::wait_until;
use support::start_entry_and_owner;
use support::upstream;

/// Requests of one pipeline, each of which takes this long at the upstream.
const WAIT: &str = "/wait/200";
const WAIT_TIME: Duration = Duration::from_millis(200);

/// Guards against requests that wait for those before them on the same connection: four requests of
/// 200 ms each would take 800 ms, and the last ones would miss their latency objective.
#[rstest]
#[case::own_upstream(false, "GET")]
#[case::other_node(true, "GET")]
#[case::head(true, "HEAD")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn read_ahead_concurrent(#[case] remote: bool, #[case] method: &str) {
    let (address, upstream_record) = upstream::start().await;
    let (entry, owner) = start_entry_and_owner(address, 10, 10).await;
    let node = if remote { &entry } else { &owner };
    let mut caller = CallerConnection::connect(node.callers).await;
    let started = Instant::now();
    let request = format!("{method} {WAIT} HTTP/1.1\r\nhost: h\r\n\r\n");
    caller.send(request.repeat(4)).await;
    if method == "HEAD" {
        // The message reader would wait for the body that a HEAD response only announces.
        wait_until("all responses", || {
            upstream_record.request_count() == 4 && started.elapsed() > WAIT_TIME
        })
        .await;
    } else {
        for _ in 0..4 {
            assert_eq!(caller.receive().await.unwrap().status(), 200);
        }
    }
    assert!(started.elapsed() < 3 * WAIT_TIME, "{:?}", started.elapsed());
    assert_eq!(upstream_record.request_count(), 4);
}

/// Guards against responses in the order in which they became ready, which would give each caller the
/// response to another request, and against bodies that are mixed up or truncated.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn read_ahead_in_order() {
    let (address, _) = upstream::start().await;
    let (entry, _owner) = start_entry_and_owner(address, 10, 10).await;
    let mut caller = CallerConnection::connect(entry.callers).await;
    let paths = [
        "/wait/300",
        "/large",
        "/wait/1",
        "/status/304",
        "/trailer",
        "/x",
    ];
    let requests: String = paths.iter().map(|path| get_request(path)).collect();
    caller.send(requests).await;
    let mut received = Vec::new();
    for _ in paths {
        let response = caller.receive().await.unwrap();
        received.push((response.status(), response.body.len()));
    }
    let expected = [
        (200, 1),
        (200, 1_000_000),
        (200, 1),
        (304, 0),
        (200, 5),
        (200, 1),
    ];
    assert_eq!(received, expected);
}

/// Guards against a request that may not be repeated being started before the requests ahead of it
/// are answered, or the requests behind it before it has been answered.
#[rstest]
#[case::first(&[("POST", 1), ("GET", 2), ("GET", 2)])]
#[case::between(&[("GET", 1), ("POST", 2), ("GET", 3)])]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn read_ahead_non_idempotent(#[case] requests: &[(&str, usize)]) {
    let (address, upstream_record) = upstream::start().await;
    let (entry, _owner) = start_entry_and_owner(address, 10, 10).await;
    let mut caller = CallerConnection::connect(entry.callers).await;
    let mut bytes = Vec::new();
    for (method, _) in requests {
        bytes.extend(match *method {
            "POST" => request_with_body("POST", WAIT, 3),
            _ => get_request(WAIT).into_bytes(),
        });
    }
    caller.send(bytes).await;
    let started = Instant::now();
    for (_, steps) in requests {
        assert_eq!(caller.receive().await.unwrap().status(), 200);
        let steps = u32::try_from(*steps).unwrap();
        let elapsed = started.elapsed();
        assert!(
            elapsed >= steps * WAIT_TIME - Duration::from_millis(50),
            "{elapsed:?}"
        );
    }
    let heads = upstream_record.request_heads.lock().unwrap().clone();
    let posts = heads.iter().filter(|head| head.starts_with("POST"));
    assert_eq!((heads.len(), posts.count()), (requests.len(), 1));
}

/// Guards against accepted requests that are lost when a request behind them is malformed: their
/// responses come first, then status 400 and the end of the connection.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn read_ahead_malformed() {
    let (address, upstream_record) = upstream::start().await;
    let (entry, _owner) = start_entry_and_owner(address, 10, 10).await;
    let mut caller = CallerConnection::connect(entry.callers).await;
    let malformed = "GET /x HTTP/1.1\r\nhost: a\r\nhost: b\r\n\r\n";
    caller
        .send(get_request(WAIT).repeat(2) + malformed + &get_request("/never"))
        .await;
    for status in [200, 200, 400] {
        assert_eq!(caller.receive().await.unwrap().status(), status);
    }
    assert!(caller.is_closed().await);
    assert_eq!(upstream_record.request_count(), 2);
}

/// Guards against work for a caller that has left: all requests of the connection are cancelled, those
/// that were started ahead of their turn included.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn read_ahead_caller_left() {
    let (address, upstream_record) = upstream::start().await;
    let (entry, _owner) = start_entry_and_owner(address, 10, 10).await;
    let mut caller = CallerConnection::connect(entry.callers).await;
    caller.send(get_request("/wait/2000").repeat(3)).await;
    wait_until("three requests", || upstream_record.request_count() == 3).await;
    drop(caller);
    wait_until("three cancelled requests", || {
        upstream_record.cancelled_requests.load(SeqCst) == 3
    })
    .await;
    assert_eq!(entry.driver.open_calls(), 0);
}

/// Guards against one caller that takes all slots of a service with a long pipeline.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn read_ahead_limit() {
    let (address, upstream_record) = upstream::start().await;
    let (entry, _owner) = start_entry_and_owner(address, 100, 100).await;
    let mut caller = CallerConnection::connect(entry.callers).await;
    caller.send(get_request("/wait/500").repeat(40)).await;
    tokio::time::sleep(Duration::from_millis(250)).await;
    let count = upstream_record.request_count();
    assert!((2..=8).contains(&count), "{count}");
    for _ in 0..40 {
        assert_eq!(caller.receive().await.unwrap().status(), 200);
    }
    assert_eq!(upstream_record.request_count(), 40);
}

/// Guards against started requests whose connection is closed by a planned stop: all of them are
/// answered, the last response announces the close, and what was not started is not run.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn read_ahead_drain() {
    let (address, upstream_record) = upstream::start().await;
    let (entry, _owner) = start_entry_and_owner(address, 10, 10).await;
    let mut caller = CallerConnection::connect(entry.callers).await;
    caller.send(get_request("/wait/400").repeat(3)).await;
    wait_until("three requests", || upstream_record.request_count() == 3).await;
    entry.driver.drain();
    entry.front_end_stop.cancel();
    caller.send(get_request("/late")).await;
    let mut closing = Vec::new();
    for _ in 0..3 {
        let response = caller.receive().await.unwrap();
        assert_eq!(response.status(), 200);
        closing.push(response.header("connection") == Some("close"));
    }
    assert_eq!(closing, [false, false, true]);
    assert!(caller.is_closed().await);
    assert_eq!(upstream_record.request_count(), 3);
    tokio::time::timeout(Duration::from_secs(5), entry.front_end_task)
        .await
        .expect("the listener ends once its connections have ended")
        .unwrap();
}

/// Guards against a slow caller that holds the slots of an upstream: the responses to requests that
/// were started ahead are read from the upstream before it is their turn.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn read_ahead_slot_release() {
    let (address, upstream_record) = upstream::start().await;
    let node = Node::start(address, 3, 3).await;
    let mut caller = CallerConnection::connect(node.callers).await;
    caller
        .send(get_request("/wait/600") + &get_request("/x").repeat(2))
        .await;
    wait_until("three requests", || upstream_record.request_count() == 3).await;
    let mut other = CallerConnection::connect(node.callers).await;
    let started = Instant::now();
    assert_eq!(
        other.exchange(get_request("/y")).await.unwrap().status(),
        200
    );
    assert!(started.elapsed() < Duration::from_millis(400));
    for _ in 0..3 {
        assert_eq!(caller.receive().await.unwrap().status(), 200);
    }
}

/// Guards against heads that are read in pieces, or together with the bytes of a body, being framed
/// wrongly.
#[rstest]
#[case::bytes(1)]
#[case::words(7)]
#[case::segments(60)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn read_ahead_fragments(#[case] size: usize) {
    let (address, upstream_record) = upstream::start().await;
    let (entry, _owner) = start_entry_and_owner(address, 10, 10).await;
    let mut caller = CallerConnection::connect(entry.callers).await;
    let mut bytes = get_request("/a").into_bytes();
    bytes.extend(request_with_body("POST", "/b", 30));
    bytes.extend(get_request("/c").into_bytes());
    bytes.extend(request_with_body("PUT", "/d", 9));
    bytes.extend(get_request("/e").into_bytes());
    for piece in bytes.chunks(size) {
        caller.send(piece).await;
        tokio::task::yield_now().await;
    }
    let mut bodies = Vec::new();
    for _ in 0..5 {
        bodies.push(String::from_utf8(caller.receive().await.unwrap().body).unwrap());
    }
    assert_eq!(bodies, ["0", "30", "0", "9", "0"]);
    assert_eq!(upstream_record.request_count(), 5);
}

/// Guards against a stop that waits for a caller which has sent half a request head: nothing of it can
/// have run, so its connection is closed.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn read_ahead_stop_half_head() {
    let (address, upstream_record) = upstream::start().await;
    let node = Node::start(address, 10, 10).await;
    let mut caller = CallerConnection::connect(node.callers).await;
    caller.send("GET /x HTTP/1.1\r\nhost: h\r\n").await;
    tokio::time::sleep(Duration::from_millis(100)).await;
    node.driver.drain();
    node.front_end_stop.cancel();
    tokio::time::timeout(Duration::from_secs(1), node.front_end_task)
        .await
        .expect("the listener ends")
        .unwrap();
    assert!(caller.is_closed().await);
    assert_eq!(upstream_record.request_count(), 0);
}
