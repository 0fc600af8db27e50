//! Tests of a start with unusable settings and of a start without a reachable store.

mod support;

use std::net::TcpListener;
use std::net::UdpSocket;
use std::time::Duration;

use rstest::rstest;
use support::Node;
use support::make_settings;
use support::raw::exchange;
use support::raw::free_address;
use support::raw::get_request;

/// Checks that an address in use or an unknown plug-in ends the start with an error that names it.
#[rstest]
#[case::callers("callers")]
#[case::requests("requests")]
#[case::peer("peer")]
#[case::admin("admin")]
#[case::plugin("plugin")]
fn run_refused(#[case] key: &str) {
    let (store, upstream) = (free_address(), free_address());
    let mut settings = make_settings(store, upstream, &[], 1_000);
    let taken = free_address();
    let _tcp = TcpListener::bind(taken).unwrap();
    let _udp = UdpSocket::bind(taken).unwrap();
    match key {
        "callers" => settings.listen.callers = taken,
        "requests" => settings.listen.requests = taken,
        "peer" => settings.listen.peer = taken,
        "admin" => settings.listen.admin = taken,
        _ => settings.balance.plugin = "none".into(),
    }
    let (_stops, receiver) = tokio::sync::mpsc::channel(1);
    let message = daemon::run_until(&settings, Some(receiver))
        .unwrap_err()
        .to_string();
    let expected = if key == "plugin" {
        "balance: no balance plug-in is named \"none\"; registered: p2c, p2c-speed, round-robin"
            .to_owned()
    } else {
        format!("listen.{key}: {taken}: ")
    };
    assert!(message.starts_with(&expected), "{message}");
    assert!(!message.contains('\n'));
}

/// Checks that a node whose store is unreachable keeps running, responds to requests and can be stopped.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn run_without_store() {
    let node = Node::spawn(free_address(), &[], 1_000).await;
    node.wait_for_listeners().await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    let status = exchange(node.settings.listen.admin, get_request("/status"))
        .await
        .unwrap();
    assert_eq!(status.status(), 200);
    assert!(String::from_utf8_lossy(&status.body).contains("joining"));
    let response = exchange(node.settings.listen.callers, get_request("/x"))
        .await
        .unwrap();
    assert_eq!(response.header("medlar-reason"), Some("no-configuration"));
    assert_eq!(response.header("medlar-verdict"), Some("not-run"));
    node.drain(false).await;
    node.wait_for_exit().await.unwrap();
}
