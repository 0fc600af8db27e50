//! Leaving of a node under load and its bounds.

mod support;

use std::sync::atomic::Ordering::SeqCst;
use std::time::Duration;
use std::time::Instant;

use rstest::rstest;
use support::Node;
use support::raw::Caller;
use support::raw::LIMIT;
use support::raw::ask;
use support::raw::get;
use support::raw::send_body;
use support::raw::wait_until;
use support::start_store;
use support::wait_until_shared;
use tokio::task::JoinHandle;

use daemon::Error;

/// Longest drain of these tests, in milliseconds.
const LIMIT_MS: u64 = 10_000;

/// What callers saw.
#[derive(Debug, Default, PartialEq, Eq)]
struct Tally {
    served: usize,
    not_run: usize,
    cut: usize,
}

/// Asks on kept connections until the node no longer listens, or 100 requests are answered.
fn spawn_caller(callers: std::net::SocketAddr, method: &'static str) -> JoinHandle<Tally> {
    tokio::spawn(async move {
        let mut tally = Tally::default();
        for _ in 0..100 {
            let Some(mut caller) = Caller::try_connect(callers).await else {
                break;
            };
            for _ in 0..10 {
                let answer = caller.ask(send_body(method, "/wait/20", 9)).await;
                match &answer {
                    Some(it) if it.status() == 200 => tally.served += 1,
                    Some(it) if it.header("medlar-verdict") == Some("not-run") => {
                        tally.not_run += 1
                    }
                    _ => tally.cut += 1,
                }
                let closes = answer.is_none_or(|it| it.header("connection") == Some("close"));
                if closes {
                    break;
                }
            }
            if tally.served + tally.not_run + tally.cut >= 100 {
                break;
            }
        }
        tally
    })
}

/// Guards against a graceful shutdown that cuts a request, at the node or behind another entry.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn drain_under_load(#[values(false, true)] operator: bool) {
    let store = start_store().await;
    let entry = Node::start(store, &[], LIMIT_MS).await;
    let leaver = Node::start(store, &[entry.settings.listen.peer], LIMIT_MS).await;
    wait_until_shared(&entry, &leaver).await;
    let before = entry.seen.count() + leaver.seen.count();
    let mut tallies = Vec::new();
    for (node, method) in [
        (&entry, "GET"),
        (&entry, "POST"),
        (&leaver, "GET"),
        (&leaver, "POST"),
    ] {
        for _ in 0..3 {
            tallies.push(spawn_caller(node.settings.listen.callers, method));
        }
    }
    tokio::time::sleep(Duration::from_millis(300)).await;
    leaver.drain(operator).await;
    let mut sum = Tally::default();
    for tally in tallies {
        let tally = tally.await.unwrap();
        sum.served += tally.served;
        sum.not_run += tally.not_run;
        sum.cut += tally.cut;
    }
    let seen = std::sync::Arc::clone(&leaver.seen);
    leaver.end().await.unwrap();
    assert_eq!(sum.cut, 0, "{sum:?}");
    assert!(sum.served > 600, "{sum:?}");
    assert_eq!(seen.cancelled.load(SeqCst), 0);
    assert_eq!(entry.seen.count() + seen.count() - before, sum.served);
}

/// Guards against a drain that ends before its last request, one that waits for ever, and a second
/// signal that is ignored.
#[rstest]
#[case::finishes("/wait/2500", 10_000, false, None)]
#[case::limit(
    "/wait/2900",
    600,
    false,
    Some("the drain limit passed; cut off: 1 running and 1 forwarded")
)]
#[case::second(
    "/wait/2900",
    10_000,
    true,
    Some("a second signal came; cut off: 1 running and 1 forwarded")
)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn drain_bounds(
    #[case] path: &str,
    #[case] limit_ms: u64,
    #[case] second: bool,
    #[case] error: Option<&str>,
) {
    let store = start_store().await;
    let node = Node::start(store, &[], limit_ms).await;
    let before = node.seen.count();
    let mut caller = Caller::connect(node.settings.listen.callers).await;
    caller.send(send_body("POST", path, 1)).await;
    wait_until("request", || node.seen.count() > before).await;
    let started = Instant::now();
    node.drain(false).await;
    if second {
        tokio::time::sleep(Duration::from_millis(200)).await;
        node.drain(false).await;
    }
    let ended = node.end().await;
    match error {
        None => {
            ended.unwrap();
            assert_eq!(caller.receive().await.unwrap().status(), 200);
        }
        Some(message) => {
            let found = ended.unwrap_err().to_string();
            assert!(found.starts_with(message), "{found}");
            assert!(started.elapsed() < Duration::from_secs(2));
        }
    }
}

/// Guards against a drain that refuses the onward calls of a request that it lets finish.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn drain_onward() {
    let store = start_store().await;
    let leaver = Node::start(store, &[], LIMIT_MS).await;
    let other = Node::start(store, &[leaver.settings.listen.peer], LIMIT_MS).await;
    wait_until_shared(&leaver, &other).await;
    let callers = leaver.settings.listen.callers;
    let mut waiting = Vec::new();
    // Enough that one of them runs at the node that leaves.
    for _ in 0..16 {
        let mut caller = Caller::connect(callers).await;
        let head = format!("GET /onward HTTP/1.1\r\nhost: h\r\nx-via: {callers}\r\n\r\n");
        caller.send(head).await;
        waiting.push(caller);
    }
    let count = leaver.seen.count();
    wait_until("request", || leaver.seen.count() > count).await;
    leaver.drain(false).await;
    let ran = leaver.seen.count();
    assert!(ran > count);
    let mut answered = 0;
    for mut caller in waiting {
        let answer = caller.receive().await.unwrap();
        if answer.status() == 200 {
            answered += usize::from(answer.body == b"200");
        }
    }
    leaver.end().await.unwrap();
    assert!(answered > 0);
}

/// Guards against a drain without an upstream that waits for its limit.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn drain_without_upstream() {
    let store = start_store().await;
    let node = Node::launch(store, &[], LIMIT_MS).await;
    node.wait_for_listeners().await;
    let started = Instant::now();
    node.drain(true).await;
    assert!(matches!(node.end().await, Ok::<(), Error>(())));
    assert!(started.elapsed() < Duration::from_secs(4));
}

/// Guards against a request that waits at another node and whose caller gets no answer when the drain
/// limit of its own node passes.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn drain_waiting_elsewhere() {
    let store = start_store().await;
    let owner = Node::start(store, &[], LIMIT_MS).await;
    // Without an upstream of its own, so that all requests go to the owner.
    let leaver = Node::launch(store, &[owner.settings.listen.peer], 1_200).await;
    leaver.wait_for_listeners().await;
    let callers = leaver.settings.listen.callers;
    let served = async { while ask(callers, get("/x")).await.unwrap().status() != 200 {} };
    tokio::time::timeout(LIMIT, served).await.unwrap();
    let count = owner.seen.count();
    let mut waiting = Vec::new();
    for _ in 0..40 {
        let mut caller = Caller::connect(callers).await;
        caller.send(send_body("POST", "/wait/2900", 1)).await;
        waiting.push(caller);
    }
    // The upstream runs 10 at once at most, and none ends before the drain limit.
    wait_until("request", || owner.seen.count() > count).await;
    leaver.drain(false).await;
    let mut not_run = 0;
    for mut caller in waiting {
        if let Some(answer) = caller.receive().await {
            assert_eq!(answer.status(), 503);
            assert_eq!(answer.header("medlar-verdict"), Some("not-run"));
            assert_eq!(answer.header("medlar-reason"), Some("draining"));
            not_run += 1;
        }
    }
    assert!(leaver.end().await.is_err());
    assert!(not_run >= 20, "{not_run} of 30 that waited got an answer");
}

/// Guards against a drain that waits for its limit because of a connection on which no request was
/// ever sent.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn drain_unused_connection() {
    let store = start_store().await;
    let node = Node::start(store, &[], LIMIT_MS).await;
    let _unused = Caller::connect(node.settings.listen.callers).await;
    let started = Instant::now();
    node.drain(false).await;
    assert!(matches!(node.end().await, Ok::<(), Error>(())));
    assert!(started.elapsed() < Duration::from_secs(4));
}
