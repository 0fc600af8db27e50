//! Test of the refusal of requests with keys while nodes cannot know whether these were withdrawn.

mod support;

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use support::Node;
use support::raw::Message;
use support::raw::TIMEOUT;
use support::raw::exchange;
use support::raw::get_request;
use support::start_store_with;

use ids::KeyDigest;

/// A configuration with a route for requests with keys below `/keyed/`; all others are public.
fn config_text() -> String {
    let route = "rank: 0, deadline_ms: 3000, idempotent: true, targets: [{ service: s }]";
    let digest = KeyDigest::of(b"k");
    format!(
        "services:\n  - name: s\nroutes:\n  - {{ host: h, prefix: /keyed/, {route} }}\n  \
         - {{ host: h, prefix: /, public: true, {route} }}\n\
         organisations:\n  - {{ name: orchard, keys: ['{digest}'] }}\n"
    )
}

async fn request_with_key(node: &Node, key: &str) -> Message {
    let request = format!("GET /keyed/x HTTP/1.1\r\nhost: h\r\nmedlar-key: {key}\r\n\r\n");
    let response = exchange(node.settings.listen.callers, request).await;
    response.expect("a response")
}

async fn wait_until_verified(nodes: &[Node]) {
    let verified = async {
        for node in nodes {
            while request_with_key(node, "k").await.status() != 200 {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
    };
    tokio::time::timeout(TIMEOUT, verified).await.expect("200");
}

/// Without the store, a withdrawn key was accepted for as long as a node held its old configuration. Nodes that refuse
/// sooner than needed, public requests too, or still after the store's return harm callers.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn serve_store_away() {
    let is_away = Arc::new(AtomicBool::default());
    let store = start_store_with(&config_text(), Arc::clone(&is_away)).await;
    let mut nodes: Vec<Node> = Vec::new();
    // The third and the fourth node of the failure domain are no watchers.
    for _ in 0..4 {
        let contacts: Vec<_> = nodes.iter().map(|it| it.settings.listen.peer).collect();
        let fresh = |it: &mut settings::Settings| it.key_freshness_s = Some(5.0);
        let node = Node::spawn_with(store, &contacts, 1_000, fresh).await;
        node.wait_until_serving().await;
        nodes.push(node);
    }
    wait_until_verified(&nodes).await;
    let calm_end = Instant::now() + Duration::from_secs(4);
    while Instant::now() < calm_end {
        for node in &nodes {
            assert_eq!(request_with_key(node, "k").await.status(), 200);
            assert_eq!(request_with_key(node, "other").await.status(), 401);
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    is_away.store(true, Ordering::SeqCst);
    let lost = Instant::now();
    while lost.elapsed() < Duration::from_millis(1_200) {
        for node in &nodes {
            assert_eq!(request_with_key(node, "k").await.status(), 200);
        }
    }
    // The proofs of calls that the store answered just before are valid for 4.5 s.
    tokio::time::sleep(Duration::from_millis(4_700).saturating_sub(lost.elapsed())).await;
    for node in &nodes {
        for key in ["k", "other"] {
            let refusal = request_with_key(node, key).await;
            assert_eq!(refusal.status(), 503);
            assert_eq!(refusal.header("medlar-reason"), Some("keys-unverified"));
            assert_eq!(refusal.header("medlar-verdict"), Some("not-run"));
            assert_eq!(refusal.header("retry-after"), Some("1"));
        }
        let public = exchange(node.settings.listen.callers, get_request("/x")).await;
        assert_eq!(public.map(|it| it.status()), Some(200));
        let status = exchange(node.settings.listen.admin, get_request("/status")).await;
        let status = String::from_utf8(status.expect("a status").body).expect("text");
        assert!(status.contains(r#""keys":"unverified""#), "{status}");
    }
    is_away.store(false, Ordering::SeqCst);
    wait_until_verified(&nodes).await;
    for node in nodes {
        node.stops.send(()).await.expect("the node runs");
        node.wait_for_exit().await.expect("drains");
    }
}
