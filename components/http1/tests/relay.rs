//! Relay of requests and answers, over raw sockets.

mod support;

use rstest::rstest;
use support::Node;
use support::raw::Caller;
use support::raw::ask;
use support::raw::get;
use support::raw::send_body;
use support::start_pair;
use support::upstream;

/// The node that callers talk to: the owner itself, or an entry in front of it.
async fn start(upstream: std::net::SocketAddr, forwarded: bool) -> (Node, Option<Node>) {
    if forwarded {
        let (entry, owner) = start_pair(upstream, 10, 10).await;
        (entry, Some(owner))
    } else {
        (Node::start(upstream, 10, 10).await, None)
    }
}

/// Guards against bodies that are lost, cut or sent twice.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn relay_body(
    #[values(false, true)] forwarded: bool,
    #[values("POST", "PUT")] method: &str,
    #[values(0, 1, 65_536, 65_537, 3_000_000)] length: usize,
) {
    let (address, seen) = upstream::start().await;
    let (node, _owner) = start(address, forwarded).await;
    let answer = ask(node.callers, send_body(method, "/x", length))
        .await
        .unwrap();
    assert_eq!(answer.status(), 200, "{}", answer.head);
    assert_eq!(answer.body, length.to_string().as_bytes());
    assert_eq!(seen.count(), 1);
}

/// Guards against answers that are cut, and against a short answer that looks whole.
#[rstest]
#[case("/large", Some(1_000_000))]
#[case("/trailer", Some(5))]
#[case("/status/304", Some(0))]
#[case("/cut", None)]
#[case("/cut-chunked", None)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn relay_answer(
    #[values(false, true)] forwarded: bool,
    #[case] path: &str,
    #[case] length: Option<usize>,
) {
    let (address, _) = upstream::start().await;
    let (node, _owner) = start(address, forwarded).await;
    let answer = ask(node.callers, get(path)).await;
    // An answer that broke off before its head was passed on becomes a refusal.
    let answer = answer.filter(|it| length.is_some() || it.status() != 502);
    assert_eq!(answer.as_ref().map(|it| it.body.len()), length);
    if let Some(answer) = answer {
        assert!(!answer.head.contains("trailer"), "{}", answer.head);
        assert!(!answer.head.contains("medlar-"), "{}", answer.head);
    }
}

/// Guards against an answer without length that broke off and passes for a whole one.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn relay_unframed_answer(#[values(false, true)] forwarded: bool) {
    let (address, _) = upstream::start().await;
    let (node, _owner) = start(address, forwarded).await;
    let answer = ask(node.callers, get("/until-close")).await.unwrap();
    assert_eq!(answer.status(), 502);
    assert_eq!(answer.header("medlar-verdict"), Some("may-have-run"));
}

/// Guards against a HEAD answer that loses its length or waits for a body.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn relay_head(#[values(false, true)] forwarded: bool) {
    let (address, seen) = upstream::start().await;
    let (node, _owner) = start(address, forwarded).await;
    for _ in 0..2 {
        let mut caller = Caller::connect(node.callers).await;
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
        seen.opened.load(std::sync::atomic::Ordering::SeqCst),
        1,
        "not reused"
    );
}

/// Guards against a request body past the bound that is held in memory or passed on whole.
#[rstest]
#[case::declared("content-length: 99000000\r\n\r\n")]
#[case::chunked("transfer-encoding: chunked\r\n\r\n")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn relay_too_large(#[values(false, true)] forwarded: bool, #[case] framing: &str) {
    let (address, seen) = upstream::start().await;
    let (node, _owner) = start(address, forwarded).await;
    let mut caller = Caller::connect(node.callers).await;
    caller
        .send(format!("PUT /x HTTP/1.1\r\nhost: h\r\n{framing}"))
        .await;
    let (mut reader, mut writer) = caller.stream.into_split();
    let sending = tokio::spawn(async move {
        let chunk = [b"10000\r\n".as_slice(), &[b'b'; 65_536], b"\r\n"].concat();
        for _ in 0..400 {
            // The node closes the connection at some point.
            if tokio::io::AsyncWriteExt::write_all(&mut writer, &chunk)
                .await
                .is_err()
            {
                break;
            }
        }
    });
    let mut start = [0; 40];
    tokio::io::AsyncReadExt::read_exact(&mut reader, &mut start)
        .await
        .unwrap();
    let start = String::from_utf8_lossy(&start).into_owned();
    assert!(start.starts_with("HTTP/1.1 413"), "{start}");
    assert_eq!(seen.count(), 0, "the body never arrived whole");
    assert_eq!(
        node.counter("medlar_refusals_total{reason=\"too-large\",side=\"entry\""),
        1
    );
    drop(reader);
    sending.await.unwrap();
}
