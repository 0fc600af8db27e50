//! Tests of what becomes of the token of a request that is refused before it is forwarded.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rstest::rstest;
use support::CONFIG_TEXT;
use support::Node;
use support::raw::TIMEOUT;
use support::raw::exchange;
use support::upstream;

use control::NodeStage;
use ids::KeyDigest;
use kernel::Time;
use member::MemberTable;
use transport::Datagram;
use transport::Sender;

/// Transport of a node without others.
struct NoPeers;

impl Sender for NoPeers {
    fn send(&self, _: SocketAddr, _: &Datagram) {}
}

/// Guards against a limit that is used up by requests which certainly have not run: while keys could not be verified,
/// or in the last moments of a process, each refusal cost its organisation a token.
#[rstest]
#[case::keys_unverified(false, "keys-unverified")]
#[case::calls_abandoned(true, "draining")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn refused_after_token(#[case] abandons: bool, #[case] reason: &str) {
    let (address, record) = upstream::start().await;
    let node = Node::start(address, 10, 10).await;
    let mut table = MemberTable::default();
    table.merge(node.member(10, 10));
    let digest = KeyDigest::of(b"k");
    let text = format!(
        "{CONFIG_TEXT}organisations:\n  - {{ name: orchard, keys: ['{digest}'], per_second: 100, burst: 100 }}\n"
    );
    node.publish_config(&text, &table, NodeStage::Serving);
    node.driver.set_transport(Arc::new(NoPeers), true);
    node.driver.refresh_rate_limits();
    let request = "GET /x HTTP/1.1\r\nhost: large.example\r\nmedlar-key: k\r\n\r\n";
    let first_served = async {
        // A holder without tokens refuses while it has not heard from the granter.
        while exchange(node.callers, request).await.map(|it| it.status()) != Some(200) {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(TIMEOUT, first_served)
        .await
        .expect("200");
    let tokens =
        |state| node.counter_value(&format!("medlar_limit_tokens_total{{state=\"{state}\""));
    let (spent, count) = (tokens("spent"), record.request_count());
    assert_eq!(tokens("returned"), 0);
    if abandons {
        node.driver.abandon_calls();
    } else {
        node.key_validity.cell().set_valid_until(Time(0));
    }
    let refusal = exchange(node.callers, request).await.expect("a refusal");
    assert_eq!(refusal.header("medlar-reason"), Some(reason));
    assert_eq!(refusal.header("medlar-verdict"), Some("not-run"));
    assert_eq!(record.request_count(), count);
    assert_eq!((tokens("spent"), tokens("returned")), (spent + 1, 1));
}
