//! Tests of the relay of request and response bodies, at the owner and through an entry.

mod support;

use rstest::rstest;
use support::CONFIG_TEXT;
use support::Node;
use support::raw::CallerConnection;
use support::raw::exchange;
use support::raw::get_request;
use support::raw::request_with_body;
use support::start_entry_and_owner;
use support::upstream;

use control::NodeStage;
use member::MemberTable;

/// Starts an owner and, if `forwarded`, an entry that forwards to it. Returns the node that callers
/// connect to and, if that is the entry, the owner.
async fn start_nodes(upstream: std::net::SocketAddr, forwarded: bool) -> (Node, Option<Node>) {
    if forwarded {
        let (entry, owner) = start_entry_and_owner(upstream, 10, 10).await;
        (entry, Some(owner))
    } else {
        (Node::start(upstream, 10, 10).await, None)
    }
}

/// Checks that the upstream receives each request once and with its complete body.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn relay_body(
    #[values(false, true)] forwarded: bool,
    #[values("POST", "PUT")] method: &str,
    #[values(0, 1, 65_536, 65_537, 3_000_000)] length: usize,
) {
    let (address, upstream_record) = upstream::start().await;
    let (node, _owner) = start_nodes(address, forwarded).await;
    let response = exchange(node.callers, request_with_body(method, "/x", length))
        .await
        .unwrap();
    assert_eq!(response.status(), 200, "{}", response.head);
    assert_eq!(response.body, length.to_string().as_bytes());
    assert_eq!(upstream_record.request_count(), 1);
}

/// Checks that responses are relayed completely and without trailers and internal headers, and that
/// a response that the upstream breaks off never arrives as a complete one.
#[rstest]
#[case("/large", Some(1_000_000))]
#[case("/trailer", Some(5))]
#[case("/status/304", Some(0))]
#[case("/cut", None)]
#[case("/cut-chunked", None)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn relay_response(
    #[values(false, true)] forwarded: bool,
    #[case] path: &str,
    #[case] length: Option<usize>,
) {
    let (address, _) = upstream::start().await;
    let (node, _owner) = start_nodes(address, forwarded).await;
    let response = exchange(node.callers, get_request(path)).await;
    // If the upstream breaks off before the node has sent the head, the caller gets a 502 refusal.
    let response = response.filter(|response| length.is_some() || response.status() != 502);
    assert_eq!(
        response.as_ref().map(|response| response.body.len()),
        length
    );
    if let Some(response) = response {
        assert!(!response.head.contains("trailer"), "{}", response.head);
        assert!(!response.head.contains("medlar-"), "{}", response.head);
    }
}

/// Checks that a response without explicit framing becomes a 502 refusal, since a truncated one could
/// not be told from a complete one.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn relay_response_close_delimited(#[values(false, true)] forwarded: bool) {
    let (address, _) = upstream::start().await;
    let (node, _owner) = start_nodes(address, forwarded).await;
    let response = exchange(node.callers, get_request("/until-close"))
        .await
        .unwrap();
    assert_eq!(response.status(), 502);
    assert_eq!(response.header("medlar-verdict"), Some("may-have-run"));
}

/// Checks that the response to a HEAD request keeps its Content-Length, that the node does not wait
/// for a body, and that it reuses the connection to the upstream.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn relay_response_to_head(#[values(false, true)] forwarded: bool) {
    let (address, upstream_record) = upstream::start().await;
    let (node, _owner) = start_nodes(address, forwarded).await;
    for _ in 0..2 {
        let mut caller = CallerConnection::connect(node.callers).await;
        caller
            .send("HEAD /x HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n")
            .await;
        let mut text = String::new();
        tokio::io::AsyncReadExt::read_to_string(&mut caller.stream, &mut text)
            .await
            .unwrap();
        assert!(text.contains("content-length: 70"), "{text}");
        assert!(text.ends_with("\r\n\r\n"), "{text}");
    }
    assert_eq!(
        upstream_record
            .accepted_connections
            .load(std::sync::atomic::Ordering::SeqCst),
        1,
        "the connection to the upstream was not reused"
    );
}

/// Checks that a request body above the limit is refused with status 413 and not sent to the upstream
/// completely, whether its length is declared or it is chunked.
#[rstest]
#[case::declared("content-length: 99000000\r\n\r\n")]
#[case::chunked("transfer-encoding: chunked\r\n\r\n")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn relay_body_too_large(#[values(false, true)] forwarded: bool, #[case] framing: &str) {
    let (address, upstream_record) = upstream::start().await;
    let (node, _owner) = start_nodes(address, forwarded).await;
    let mut caller = CallerConnection::connect(node.callers).await;
    caller
        .send(format!("PUT /x HTTP/1.1\r\nhost: h\r\n{framing}"))
        .await;
    let (mut reader, mut writer) = caller.stream.into_split();
    let send_task = tokio::spawn(async move {
        let chunk = [b"10000\r\n".as_slice(), &[b'b'; 65_536], b"\r\n"].concat();
        for _ in 0..400 {
            // The node may close the connection before the whole body is written.
            if tokio::io::AsyncWriteExt::write_all(&mut writer, &chunk)
                .await
                .is_err()
            {
                break;
            }
        }
    });
    let mut head_start = [0; 40];
    tokio::io::AsyncReadExt::read_exact(&mut reader, &mut head_start)
        .await
        .unwrap();
    let head_start = String::from_utf8_lossy(&head_start).into_owned();
    assert!(head_start.starts_with("HTTP/1.1 413"), "{head_start}");
    assert_eq!(
        upstream_record.request_count(),
        0,
        "the upstream received the complete body"
    );
    assert_eq!(
        node.counter_value("medlar_refusals_total{reason=\"too-large\",side=\"entry\""),
        1
    );
    drop(reader);
    send_task.await.unwrap();
}

/// Guards against a response that is cut off in its body because the connection counts as idle as soon as the
/// head of the response is known, so that a body that lasts longer than the idle limit never ends.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn relay_body_beyond_idle_limit() {
    let (address, _) = upstream::start().await;
    let node = Node::start(address, 10, 10).await;
    let mut table = MemberTable::default();
    table.merge(node.member(10, 10));
    let text = format!("limits: {{ idle_ms: 200 }}\n{CONFIG_TEXT}");
    node.publish_config(&text, &table, NodeStage::Serving);
    // The node waits one second longer than the limit; the deadline of the route is 3 s.
    let response = exchange(node.callers, get_request("/slow-body/2000")).await;
    assert_eq!(response.map(|it| it.body), Some(b"12345678".to_vec()));
}
