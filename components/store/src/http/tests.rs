//! Tests of the socket options of connections to the store.

use rstest::rstest;
use socket2::SockRef;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use super::KEEPALIVE_INTERVAL;
use super::MAX_UNANSWERED_PROBES;
use super::enable_keepalive;

/// Regression test: a watch on a dead connection did not end, so configurations accepted meanwhile
/// were not in force 2 s later.
#[rstest]
#[tokio::test]
async fn enable_keepalive_options() {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("listener binds");
    let address = listener.local_addr().expect("listener has an address");
    let stream = TcpStream::connect(address).await.expect("stream connects");
    enable_keepalive(&stream).expect("keep-alive is supported");
    let socket = SockRef::from(&stream);
    assert!(socket.keepalive().expect("option is readable"));
    let idle = socket.tcp_keepalive_time().expect("option is readable");
    let interval = socket.tcp_keepalive_interval().expect("option is readable");
    assert_eq!((idle, interval), (KEEPALIVE_INTERVAL, KEEPALIVE_INTERVAL));
    assert!(idle + interval * MAX_UNANSWERED_PROBES <= std::time::Duration::from_secs(2));
}
