//! Tests of requests that crash the upstream that runs them.

mod support;

use std::time::Duration;

use rstest::rstest;
use support::Node;
use support::raw::exchange;
use support::raw::get_request;
use support::raw::request_with_body;
use support::start_entry_and_owner;
use support::upstream;

use control::Input;
use control::NodeStage;
use ids::Fingerprint;
use ids::NodeId;
use kernel::Time;
use quarantine::Crash;
use quarantine::Table;

/// Requests that the owner has reported as running when its upstream crashed, with the number of the crash.
fn crashed_requests(owner: &Node) -> Vec<(Fingerprint, u32)> {
    let mut inputs = owner
        .control_inputs
        .lock()
        .expect("the lock is not poisoned");
    let mut crashed = Vec::new();
    while let Ok(input) = inputs.try_recv() {
        if let Input::RequestCrashed { fingerprint, crash } = input {
            crashed.push((fingerprint, crash));
        }
    }
    crashed.sort_unstable();
    crashed
}

/// Sends a request that crashes the upstream of a new owner, and returns its fingerprint.
async fn fingerprint_of(request: Vec<u8>) -> Fingerprint {
    let (address, _) = upstream::start().await;
    let (entry, owner) = start_entry_and_owner(address, 10, 10).await;
    let response = exchange(entry.callers, request).await;
    assert_eq!(response.map(|it| it.status()), Some(502));
    let crashed = crashed_requests(&owner);
    assert_eq!(crashed.len(), 1, "{crashed:?}");
    crashed[0].0
}

/// Guards against a crash that no other node hears of, and against one that is attributed to a single request
/// though others ran as well.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn run_request_crash() {
    let (address, _) = upstream::start().await;
    let (entry, owner) = start_entry_and_owner(address, 10, 10).await;
    // A request that the upstream has completed before is not suspect.
    let completed = exchange(entry.callers, get_request("/wait/300")).await;
    assert_eq!(completed.unwrap().status(), 200);
    let running = ["/wait/300", "/wait/400", "/wait/500"].map(|path| {
        let callers = entry.callers;
        tokio::spawn(async move { exchange(callers, get_request(path)).await })
    });
    tokio::time::sleep(Duration::from_millis(100)).await;
    // A POST is not retried.
    let crashing = request_with_body("POST", "/crash", 1);
    let response = exchange(entry.callers, crashing).await.unwrap();
    assert_eq!(response.status(), 502);
    assert_eq!(response.header("medlar-reason"), Some("upstream-crashed"));
    for request in running {
        assert_eq!(request.await.unwrap().unwrap().status(), 502);
    }
    let crashed = crashed_requests(&owner);
    let numbers: Vec<u32> = crashed.iter().map(|(_, number)| *number).collect();
    assert_eq!(numbers, [1, 1, 1], "{crashed:?}");
}

/// Guards against an upstream that breaks one connection, or that is full, and is taken for crashed.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn run_request_connection_broken() {
    let (address, _) = upstream::start().await;
    let (entry, owner) = start_entry_and_owner(address, 10, 10).await;
    let response = exchange(entry.callers, get_request("/break")).await;
    let response = response.unwrap();
    assert_eq!(response.status(), 502);
    assert_eq!(response.header("medlar-reason"), Some("connection-broken"));
    assert_eq!(crashed_requests(&owner), []);
}

/// Guards against repetitions of a request that are not recognized, at another node or with a body, and
/// against another request that is taken for it.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn fingerprint_parts() {
    let get = |target: &str, headers: &str| {
        format!("GET {target} HTTP/1.1\r\nhost: h\r\n{headers}\r\n").into_bytes()
    };
    let first = fingerprint_of(get("/crash", "")).await;
    let repeated = fingerprint_of(get("/crash", "x-attempt: 2\r\n")).await;
    assert_eq!(repeated, first);
    let others = [
        get("/crash?page=2", ""),
        get("/crash", "authorization: other\r\n"),
        request_with_body("POST", "/crash", 0),
        request_with_body("POST", "/crash", 1),
        request_with_body("POST", "/crash", 100_000),
    ];
    let mut fingerprints = vec![first];
    for other in others {
        let fingerprint = fingerprint_of(other.clone()).await;
        assert_eq!(fingerprint_of(other).await, fingerprint);
        fingerprints.push(fingerprint);
    }
    fingerprints.sort_unstable();
    fingerprints.dedup();
    assert_eq!(fingerprints.len(), 6);
}

/// Guards against a request that reaches an upstream though it has crashed three others: from a caller of the
/// node, or from an entry that has not heard of the crashes.
#[rstest]
#[case::entry_knows(true, false)]
#[case::owner_knows(false, true)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn run_request_quarantined(#[case] entry_knows: bool, #[case] owner_knows: bool) {
    let fingerprint = fingerprint_of(get_request("/crash").into_bytes()).await;
    let (address, upstream_record) = upstream::start().await;
    let (entry, owner) = start_entry_and_owner(address, 10, 10).await;
    // Another endpoint, to which the request must not be sent either.
    let other = Node::start(address, 10, 10).await;
    let owners = [(&owner, 10, 10), (&other, 10, 10)];
    entry.publish_nodes(&owners, NodeStage::Serving);
    let mut table = Table::new(NodeId(1));
    for node in 1..=3 {
        let crash = Crash {
            node: NodeId(node),
            number: 1,
        };
        table.record_crash(Time(0), fingerprint, crash);
    }
    for (node, knows) in [
        (&entry, entry_knows),
        (&owner, owner_knows),
        (&other, owner_knows),
    ] {
        if knows {
            node.publish_suspects(table.view());
        }
    }
    let response = exchange(entry.callers, get_request("/crash")).await;
    let response = response.unwrap();
    assert_eq!(response.status(), 503);
    assert_eq!(response.header("medlar-reason"), Some("quarantined"));
    assert_eq!(response.header("medlar-verdict"), Some("not-run"));
    assert_eq!(upstream_record.request_count(), 0);
    let innocent = exchange(entry.callers, get_request("/x")).await;
    assert_eq!(innocent.unwrap().status(), 200);
}

/// Guards against an innocent request that stays suspect though it has been served, because its node does not
/// tell the others; and against a suspect request that is cleared by a response that reports a failure, such as
/// one at the deadline, before which it did no harm.
#[rstest]
#[case::served("/wait/300", 200, true)]
#[case::failed("/fail/300", 500, false)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn run_request_completed(#[case] path: &str, #[case] status: u16, #[case] expected: bool) {
    let request = request_with_body("PUT", path, 1);
    let (address, _) = upstream::start().await;
    let (entry, owner) = start_entry_and_owner(address, 10, 10).await;
    let (callers, running) = (entry.callers, request.clone());
    let running = tokio::spawn(async move { exchange(callers, running).await });
    tokio::time::sleep(Duration::from_millis(100)).await;
    exchange(entry.callers, get_request("/crash"))
        .await
        .unwrap();
    running.await.unwrap().unwrap();
    let mut table = Table::new(NodeId(1));
    for (fingerprint, number) in crashed_requests(&owner) {
        let node = NodeId(1);
        table.record_crash(Time(0), fingerprint, Crash { node, number });
    }
    let (address, _) = upstream::start().await;
    let owner = Node::start(address, 10, 10).await;
    owner.publish_suspects(table.view());
    // The backoff after the first crash.
    tokio::time::sleep(Duration::from_millis(400)).await;
    let response = exchange(owner.callers, request).await;
    assert_eq!(response.unwrap().status(), status);
    let reported = owner.control_inputs.lock().unwrap().try_recv();
    let is_completion = matches!(reported, Ok(Input::RequestCompleted { .. }));
    assert_eq!(is_completion, expected, "{reported:?}");
}
