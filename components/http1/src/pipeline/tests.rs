//! Tests of the splitting of a connection's bytes into requests, and of the queue of started requests.

use std::future::pending;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::task::Waker;

use hyper::Request;
use hyper::Uri;
use rstest::rstest;
use tokio::sync::Semaphore;
use tokio_util::task::AbortOnDropHandle;

use crate::pipeline::StartedQueue;
use crate::pipeline::StartedRequest;
use crate::pipeline::splitter::Splitter;

/// Longest head of all tests, in bytes.
const MAX_HEAD_BYTES: usize = 200;

fn get(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: h\r\n\r\n")
}

fn poll_once(future: Pin<&mut impl Future<Output = ()>>) -> Poll<()> {
    future.poll(&mut Context::from_waker(Waker::noop()))
}

/// Reads the released bytes as text.
fn read(splitter: &mut Splitter) -> String {
    let mut text = String::new();
    while splitter.read_released(7, |bytes| text.push_str(&String::from_utf8_lossy(bytes))) {}
    text
}

/// Reads ahead as far as possible; returns the paths of the requests.
fn read_ahead(splitter: &mut Splitter) -> Vec<String> {
    let mut paths = Vec::new();
    while let Some((head_bytes, request)) = splitter.peek_concurrent() {
        splitter.mark_read_ahead(head_bytes);
        paths.push(request.uri().path().to_owned());
    }
    paths
}

/// Guards against requests that are released together, so that hyper would hold those behind the first
/// back, and against bytes that are lost, repeated or read twice.
#[rstest]
#[case::whole(usize::MAX)]
#[case::pieces(9)]
fn release_next_each(#[case] size: usize) {
    let post = "POST /b HTTP/1.1\r\nhost: h\r\ncontent-length: 5\r\n\r\nhello";
    let requests = [get("/a"), post.to_owned(), get("/c"), get("/d")];
    let mut splitter = Splitter::new(MAX_HEAD_BYTES);
    let bytes = requests.concat();
    let mut pieces = bytes.as_bytes().chunks(size.min(bytes.len()));
    for request in requests {
        let mut text = String::new();
        while text.len() < request.len() {
            splitter.release_next();
            let released = read(&mut splitter);
            if released.is_empty() {
                splitter.push(pieces.next().expect("more bytes"));
            }
            text.push_str(&released);
        }
        assert_eq!(text, request);
    }
    assert!(!splitter.holds_bytes());
}

/// Guards against a request that is started next to one that it must not overtake, and against bytes of
/// a body that are taken for a request. Requests are given by target and additional header line.
#[rstest]
#[case::all(&[("GET /a", ""), ("GET /b", ""), ("HEAD /c", "")], &["/b", "/c"])]
#[case::after_post(&[("POST /a", ""), ("GET /b", "")], &[])]
#[case::before_post(&[("GET /a", ""), ("POST /b", ""), ("GET /c", "")], &[])]
#[case::body(&[("GET /a", "content-length: 300"), ("GET /smuggled", "")], &[])]
#[case::chunked(&[("GET /a", "transfer-encoding: chunked"), ("GET /b", "")], &[])]
#[case::closing(&[("GET /a", ""), ("GET /b", "connection: close"), ("GET /c", "")], &[])]
#[case::expecting(&[("GET /a", ""), ("GET /b", "expect: 100-continue")], &[])]
#[case::malformed(&[("GET /a", ""), ("GET /b", "x : y"), ("GET /c", "")], &[])]
#[case::folded(&[("GET /a", ""), ("GET /b", ""), ("GET /c", "x: y\r\n\tz")], &["/b"])]
fn peek_concurrent_behind(#[case] requests: &[(&str, &str)], #[case] paths: &[&str]) {
    let mut splitter = Splitter::new(MAX_HEAD_BYTES);
    for (target, line) in requests {
        let line = if line.is_empty() { "x: y" } else { line };
        splitter.push(format!("{target} HTTP/1.1\r\nhost: h\r\n{line}\r\n\r\n").as_bytes());
    }
    assert!(splitter.release_next());
    assert_eq!(read_ahead(&mut splitter), paths);
    assert!(read(&mut splitter).starts_with(requests[0].0));
}

/// Guards against a request that is started twice because the requests before it were released.
#[test]
fn peek_concurrent_once() {
    let mut splitter = Splitter::new(MAX_HEAD_BYTES);
    splitter.push((get("/a") + get("/b").as_str() + get("/c").as_str()).as_bytes());
    assert!(splitter.release_next());
    assert_eq!(read_ahead(&mut splitter), ["/b", "/c"]);
    read(&mut splitter);
    splitter.push(get("/d").as_bytes());
    assert!(splitter.release_next());
    assert_eq!(read(&mut splitter), get("/b"));
    assert_eq!(read_ahead(&mut splitter), ["/d"]);
}

/// Guards against a caller that fills the memory of a node with a head or requests without end: the
/// bytes of an endless head go to hyper, which refuses it, and no more requests are received than fit.
#[rstest]
#[case::endless_head("GET /a HTTP/1.1\r\nx: ", "v", 500)]
#[case::endless_requests("GET /a HTTP/1.1\r\n\r\n", "GET /b HTTP/1.1\r\n\r\n", 50)]
fn push_bounded(#[case] first: &str, #[case] next: &str, #[case] count: usize) {
    let mut splitter = Splitter::new(MAX_HEAD_BYTES);
    splitter.push(first.as_bytes());
    splitter.release_next();
    let mut pushed = 0;
    while pushed < count && splitter.has_room() && !splitter.is_transparent() {
        splitter.push(next.as_bytes());
        splitter.release_next();
        pushed += 1;
        assert!(first.len() + pushed * next.len() <= MAX_HEAD_BYTES + next.len() + 1);
    }
    assert!(pushed < count);
}

/// Guards against bytes that stay behind after a message that cannot be framed: hyper has to see all of
/// them to refuse the message and to close the connection.
#[rstest]
#[case::two_lengths(
    "POST /a HTTP/1.1\r\nhost: h\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\nab"
)]
#[case::signed_length("POST /a HTTP/1.1\r\nhost: h\r\ncontent-length: +1\r\n\r\na")]
#[case::length_and_coding(
    "POST /a HTTP/1.1\r\nhost: h\r\ncontent-length: 1\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n"
)]
#[case::no_request("\u{16}\u{3}\u{1}\r\n\r\n")]
fn release_next_unframed(#[case] message: &str) {
    let mut splitter = Splitter::new(MAX_HEAD_BYTES);
    let bytes = message.to_owned() + get("/b").as_str();
    splitter.push(bytes.as_bytes());
    assert!(splitter.release_next());
    assert!(splitter.peek_concurrent().is_none());
    assert_eq!(read(&mut splitter), bytes);
    assert!(splitter.is_transparent());
}

/// Guards against a stop that waits for started requests which were cancelled, because hyper read a
/// request differently than it was read ahead.
#[tokio::test]
async fn take_mismatch() {
    let queue = StartedQueue::default();
    let permits = Arc::new(Semaphore::new(2));
    queue.record_released();
    for path in ["/a", "/b"] {
        let mut request = Request::new(());
        *request.uri_mut() = Uri::from_static(path);
        queue.push(StartedRequest {
            request,
            task: AbortOnDropHandle::new(tokio::spawn(pending())),
            _permit: Arc::clone(&permits).try_acquire_owned().expect("free"),
        });
    }
    let first = Request::new(());
    assert!(queue.take(&first).is_none());
    let emptied = queue.wait_until_empty();
    tokio::pin!(emptied);
    assert!(poll_once(emptied.as_mut()).is_pending());
    assert!(queue.take(&first).is_none(), "the heads differ");
    assert!(poll_once(emptied.as_mut()).is_ready());
    assert_eq!(permits.available_permits(), 2);
}
