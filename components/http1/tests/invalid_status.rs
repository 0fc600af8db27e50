//! Tests of upstreams in trouble that send a status line without a valid status.

mod support;

use std::net::SocketAddr;

use rstest::rstest;
use support::Node;
use support::free_address;
use support::raw::exchange;
use support::raw::listen;
use support::raw::read_message;
use support::raw::request_with_body;
use tokio::io::AsyncWriteExt;

use control::NodeStage;

/// Starts an upstream that answers each request with the status line `HTTP/1.1 <last segment of the path> Odd`.
async fn start_upstream() -> SocketAddr {
    listen(|mut stream| async move {
        let mut buffer = Vec::new();
        while let Some(message) = read_message(&mut stream, &mut buffer).await {
            let path = message.path();
            let status = path.rsplit('/').next().unwrap_or_default();
            let head = format!("HTTP/1.1 {status} Odd\r\ncontent-length: 2\r\n\r\nok");
            if stream.write_all(head.as_bytes()).await.is_err() {
                return;
            }
        }
    })
    .await
}

/// Guards against a caller that gets bytes which are no response in the protocol as the response of the upstream:
/// a status outside 100 to 599 has no meaning (RFC 9110, 15). The last case shows that the upstream works.
#[rstest]
#[case::zero("000", 502)]
#[case::below_range("099", 502)]
#[case::above_range("600", 502)]
#[case::far_above_range("999", 502)]
#[case::switching_protocols("101", 502)]
#[case::two_digits("20", 502)]
#[case::valid("599", 599)]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn relay_status(
    #[case] status: &str,
    #[case] expected: u16,
    #[values("GET", "POST")] method: &str,
    #[values(false, true)] forwarded: bool,
) {
    let owner = Node::start(start_upstream().await, 10, 10).await;
    let entry = Node::start(free_address(), 1, 1).await;
    entry.publish_nodes(&[(&owner, 10, 10)], NodeStage::Serving);
    let callers = if forwarded {
        entry.callers
    } else {
        owner.callers
    };
    let request = request_with_body(method, &format!("/status/{status}"), 1);
    let response = exchange(callers, request).await.unwrap();
    assert_eq!(response.status(), expected, "{}", response.head);
}
