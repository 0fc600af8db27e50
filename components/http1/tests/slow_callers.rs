//! Tests of the deadline of a response whose caller reads it more slowly than it arrives, or not at all.

mod support;

use std::net::SocketAddr;
use std::sync::atomic::Ordering::SeqCst;
use std::time::Duration;
use std::time::Instant;

use rstest::rstest;
use support::Node;
use support::endless::CHUNKED;
use support::endless::LARGE_BYTES;
use support::endless::LONG_CHUNK;
use support::endless::start_endless;
use support::raw::CallerConnection;
use support::raw::free_address;
use support::raw::get_request;
use support::raw::listen;
use support::raw::read_message;
use support::raw::wait_until;
use support::start_entry_and_owner;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::time::timeout;

use control::NodeStage;

/// Deadlines of the PUT and GET routes in the support configuration.
const DEADLINE: Duration = Duration::from_millis(700);
const GET_DEADLINE: Duration = Duration::from_secs(3);
/// Time after its deadline by which a request has to end.
const MAX_LATENESS: Duration = Duration::from_millis(500);
/// Receive buffer of the callers, in bytes, so that little of a response is on its way when the node ends it.
const RECEIVE_BUFFER_BYTES: u32 = 65_536;
const ENDLESS_REQUEST: &str = "PUT /endless HTTP/1.1\r\nhost: h\r\ncontent-length: 0\r\n\r\n";

/// Link of the nodes, in Mbit/s, if their responses are paced.
type LinkMbps = Option<f64>;

/// Starts an owner of `upstream` and, if `forwarded`, an entry. Returns the node that callers connect to and the owner, if
/// that is another node.
async fn start_nodes(
    upstream: SocketAddr,
    forwarded: bool,
    link: LinkMbps,
) -> (Node, Option<Node>) {
    match (forwarded, link) {
        (false, None) => (Node::start(upstream, 10, 10).await, None),
        (false, Some(mbps)) => (Node::start_with_link(upstream, 10, mbps).await, None),
        (true, None) => {
            let (entry, owner) = start_entry_and_owner(upstream, 10, 10).await;
            (entry, Some(owner))
        }
        (true, Some(mbps)) => {
            let owner = Node::start_with_link(upstream, 10, mbps).await;
            let entry = Node::start_with_link(free_address(), 1, mbps).await;
            entry.publish_nodes(&[(&owner, 10, 10)], NodeStage::Serving);
            (entry, Some(owner))
        }
    }
}

/// Connects with a small receive buffer.
async fn connect(address: SocketAddr) -> TcpStream {
    let socket = TcpSocket::new_v4().expect("a free descriptor");
    let limited = socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES);
    limited.expect("a valid size");
    socket.connect(address).await.expect("the node listens")
}

/// How a caller reads its response: this many bytes at once, with this pause in milliseconds.
type ReadPace = (usize, u64);

/// Reads at `pace` for `time` or until the connection ends, then without pauses for as long again. Returns the number of
/// bytes that the last part got, or `None` if the connection has not ended.
async fn read_until_end(
    mut stream: TcpStream,
    (bytes, pause_ms): ReadPace,
    time: Duration,
) -> Option<usize> {
    let mut buffer = vec![0; bytes];
    let slowly = async {
        while stream.read(&mut buffer).await.is_ok_and(|read| read > 0) {
            tokio::time::sleep(Duration::from_millis(pause_ms)).await;
        }
    };
    if timeout(time, slowly).await.is_ok() {
        return Some(0);
    }
    let mut rest = 0;
    let draining = async {
        while let Ok(read @ 1..) = stream.read(&mut buffer).await {
            rest += read;
        }
    };
    timeout(time, draining).await.ok()?;
    Some(rest)
}

/// Guards against a response that is relayed beyond its deadline because its bytes arrive faster than the caller reads
/// them: the deadline was looked at only while the source of the body had nothing ready.
#[rstest]
#[case::fast((1 << 20, 0))]
#[case::slow((65_536, 4))]
#[case::trickle((100, 50))]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn end_endless_read(
    #[values(false, true)] forwarded: bool,
    #[values(None, Some(100.0))] link: LinkMbps,
    #[case] pace: ReadPace,
) {
    let (address, record) = start_endless(CHUNKED, LONG_CHUNK, Duration::ZERO).await;
    let (node, owner) = start_nodes(address, forwarded, link).await;
    let mut stream = connect(node.callers).await;
    stream.write_all(ENDLESS_REQUEST.as_bytes()).await.unwrap();
    let started = Instant::now();
    let reading = tokio::spawn(read_until_end(stream, pace, DEADLINE + MAX_LATENESS));
    wait_until("end at both nodes", || {
        let running = owner.as_ref().unwrap_or(&node).driver.load().running;
        running == 0 && node.driver.open_calls() == 0 && record.closed.load(SeqCst) == 1
    })
    .await;
    assert!(started.elapsed() < DEADLINE + MAX_LATENESS);
    // What the caller's own buffer holds is left to it.
    let rest = reading.await.unwrap().expect("the connection ends");
    assert!(rest <= 2 * RECEIVE_BUFFER_BYTES as usize, "{rest} bytes");
}

/// Guards against a response that holds its upstream's slot and its connections beyond the deadline because the caller reads
/// nothing, so that hyper does not poll the body: with responses of its own, or behind another one on its connection.
#[rstest]
#[case::alone(&[ENDLESS_REQUEST])]
#[case::pipelined(&[ENDLESS_REQUEST, ENDLESS_REQUEST, ENDLESS_REQUEST])]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn end_endless_unread(
    #[values(false, true)] forwarded: bool,
    #[values(None, Some(100.0))] link: LinkMbps,
    #[case] requests: &[&str],
) {
    let (address, record) = start_endless(CHUNKED, LONG_CHUNK, Duration::ZERO).await;
    let (node, owner) = start_nodes(address, forwarded, link).await;
    let mut stream = connect(node.callers).await;
    let started = Instant::now();
    stream
        .write_all(requests.concat().as_bytes())
        .await
        .unwrap();
    wait_until("requests at the upstream", || {
        owner.as_ref().unwrap_or(&node).driver.load().running > 0
    })
    .await;
    wait_until("end at both nodes", || {
        let running = owner.as_ref().unwrap_or(&node).driver.load().running;
        running == 0 && node.driver.open_calls() == 0 && record.closed.load(SeqCst) >= 1
    })
    .await;
    assert!(
        started.elapsed() < DEADLINE + MAX_LATENESS,
        "{:?}",
        started.elapsed()
    );
}

/// Guards against started requests whose long responses nobody reads before their turn, so that they hold slots of the
/// upstream beyond their deadline.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn end_endless_started_early() {
    let (address, record) = start_endless(CHUNKED, LONG_CHUNK, Duration::ZERO).await;
    let node = Node::start(address, 10, 10).await;
    let mut stream = connect(node.callers).await;
    let started = Instant::now();
    let requests = get_request("/endless").repeat(4);
    stream.write_all(requests.as_bytes()).await.unwrap();
    wait_until("started requests", || node.driver.load().running == 4).await;
    wait_until("end of all", || {
        node.driver.load().running == 0 && record.closed.load(SeqCst) == 4
    })
    .await;
    assert!(started.elapsed() < GET_DEADLINE + MAX_LATENESS);
}

/// Starts an upstream that sends `bytes` at once as the body of each response.
async fn start_finite(bytes: usize, chunked: bool) -> SocketAddr {
    listen(move |mut stream| async move {
        let mut buffer = Vec::new();
        while read_message(&mut stream, &mut buffer).await.is_some() {
            let body = vec![b'a'; bytes];
            let response = if chunked {
                let parts = body.chunks(16_384).map(|part| {
                    [format!("{:x}\r\n", part.len()).as_bytes(), part, b"\r\n"].concat()
                });
                let parts = parts.collect::<Vec<_>>().concat();
                [CHUNKED.as_bytes(), &parts, b"0\r\n\r\n"].concat()
            } else {
                let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {bytes}\r\n\r\n");
                [head.as_bytes(), &body].concat()
            };
            if stream.write_all(&response).await.is_err() {
                return;
            }
        }
    })
    .await
}

/// Guards against a deadline that cuts a response which was complete before it and whose caller reads slowly.
#[rstest]
#[case::short(200_000)]
#[case::long(6_000_000)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn deliver_complete(
    #[values(false, true)] forwarded: bool,
    #[values(false, true)] chunked: bool,
    #[case] bytes: usize,
) {
    let address = start_finite(bytes, chunked).await;
    let (node, _owner) = start_nodes(address, forwarded, None).await;
    let mut caller = CallerConnection::from_stream(connect(node.callers).await);
    caller.send(ENDLESS_REQUEST).await;
    tokio::time::sleep(DEADLINE + MAX_LATENESS).await;
    let response = caller.receive().await.expect("a complete response");
    assert_eq!(response.body.len(), bytes);
    assert!(response.body.iter().all(|byte| *byte == b'a'));
    // The connection serves the next request.
    let response = caller.exchange(ENDLESS_REQUEST).await;
    assert_eq!(response.map(|it| it.body.len()), Some(bytes));
}

/// Guards against responses without end that fill the memory for read-ahead, so that the response to another slow caller
/// stays at its upstream and takes its slot.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn read_ahead_beside_endless() {
    let (address, record) = start_endless(CHUNKED, LONG_CHUNK, Duration::ZERO).await;
    let node = Node::start_with_link(address, 10, 1.0).await;
    let mut endless = Vec::new();
    for _ in 0..4 {
        let mut stream = connect(node.callers).await;
        let request = get_request("/endless");
        stream.write_all(request.as_bytes()).await.unwrap();
        endless.push(stream);
    }
    // Nothing more is read once the memory is full.
    let mut sent = 0;
    while sent == 0 || sent < record.sent_bytes.load(SeqCst) {
        sent = record.sent_bytes.load(SeqCst);
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let mut slow = connect(node.callers).await;
    let request = get_request("/large");
    slow.write_all(request.as_bytes()).await.unwrap();
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert_eq!(record.closed.load(SeqCst), 0, "the memory is free again");
    assert_eq!(node.driver.open_calls(), 5);
    assert_eq!(node.driver.load().running, 4);
}

/// Guards against complete responses that are lost because a later one on their connection fails at its deadline before the
/// caller has read them.
#[rstest]
#[case::large("/large", LARGE_BYTES)]
#[case::small("/x", 2)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn deliver_before_endless(
    #[case] path: &str,
    #[case] bytes: usize,
    #[values(false, true)] forwarded: bool,
) {
    let (address, _) = start_endless(CHUNKED, LONG_CHUNK, Duration::ZERO).await;
    let (node, _owner) = start_nodes(address, forwarded, None).await;
    let mut stream = connect(node.callers).await;
    let requests = get_request(path).repeat(5) + &get_request("/endless");
    stream.write_all(requests.as_bytes()).await.unwrap();
    tokio::time::sleep(GET_DEADLINE + MAX_LATENESS).await;
    let (mut buffer, mut received) = (vec![0; 16_384], Vec::new());
    while let Ok(read @ 1..) = stream.read(&mut buffer).await {
        received.extend_from_slice(&buffer[..read]);
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    let text = String::from_utf8_lossy(&received);
    let lengths = text
        .matches(&format!("content-length: {bytes}\r\n"))
        .count();
    let letters = text.matches('l').count();
    assert_eq!(lengths, 5, "complete responses");
    if bytes == LARGE_BYTES {
        assert!(letters >= 5 * bytes, "{letters} bytes of bodies");
    }
}
