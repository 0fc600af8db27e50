//! Rate limit of an organisation over several complete nodes.

mod support;

use std::time::Duration;

use rstest::rstest;
use support::Node;
use support::raw::exchange;
use support::raw::get_request;
use support::start_store_with;
use support::wait_until_forwarding;

use ids::KeyDigest;

const KEY: &str = "orchard-key";
/// Burst and requests a second of the organisation.
const LIMIT: usize = 30;

fn text() -> String {
    let digest = KeyDigest::of(KEY.as_bytes());
    format!(
        "services:\n  - name: s\nroutes:\n  - {{ host: h, prefix: /, rank: 0, deadline_ms: 3000, idempotent: true, \
         public: true, targets: [{{ service: s }}] }}\n  - {{ host: h, prefix: /limited/, rank: 0, deadline_ms: 3000, \
         idempotent: true, targets: [{{ service: s }}] }}\norganisations:\n  - {{ name: orchard, keys: ['{digest}'], \
         per_second: {LIMIT}, burst: {LIMIT} }}\n"
    )
}

/// Sends `count` requests with the key to the nodes in turn and returns how many were answered with 200 and with 429.
async fn send_requests(nodes: &[Node], count: usize) -> (usize, usize) {
    let request =
        get_request("/limited/").replace("\r\n\r\n", &format!("\r\nmedlar-key: {KEY}\r\n\r\n"));
    let (mut served, mut limited) = (0, 0);
    for number in 0..count {
        let node = &nodes[number % nodes.len()];
        let response = exchange(node.settings.listen.callers, &request)
            .await
            .expect("a response");
        match response.status() {
            200 => served += 1,
            429 => {
                assert!(response.header("retry-after").is_some());
                limited += 1;
            }
            other => panic!("status {other}"),
        }
    }
    (served, limited)
}

/// Nodes that do not count together would serve the burst once at each node; nodes whose messages do not arrive would
/// serve nothing. A granter that leaves without its shares being taken over would refuse everything afterwards.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn limit_over_nodes() {
    let store = start_store_with(&text(), std::sync::Arc::default()).await;
    let first = Node::start(store, &[], 3_000).await;
    let contacts = [first.settings.listen.peer];
    let second = Node::start(store, &contacts, 3_000).await;
    let third = Node::start(store, &contacts, 3_000).await;
    wait_until_forwarding(&second, &third).await;
    let mut nodes = vec![first, second, third];
    tokio::time::sleep(Duration::from_secs(5)).await;

    let started = std::time::Instant::now();
    let (served, limited) = send_requests(&nodes, 5 * LIMIT).await;
    let income = started.elapsed().as_secs_f64() * LIMIT as f64;
    let most = (LIMIT as f64 + income) * 1.1 + 5.0;
    assert!(
        served >= LIMIT * 8 / 10,
        "{served} served, {limited} limited"
    );
    assert!((served as f64) <= most, "{served} served of {most}");

    let left = nodes.remove(0);
    left.drain(false).await;
    left.wait_for_exit().await.unwrap();
    tokio::time::sleep(Duration::from_secs(3)).await;
    let (served, limited) = send_requests(&nodes, LIMIT / 2).await;
    assert!(
        served >= LIMIT / 3,
        "{served} served, {limited} limited after a node left"
    );
}
