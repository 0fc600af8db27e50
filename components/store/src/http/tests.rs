//! Options of the connections to the store.

use rstest::rstest;
use socket2::SockRef;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use super::LOST_PROBES;
use super::PROBE_PERIOD;
use super::set_probes;

/// Guards against a watch on a connection that has gone silent for good: versions of the
/// configuration that were accepted meanwhile were not in force 2 s later.
#[rstest]
#[tokio::test]
async fn set_probes_connection() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("it listens");
    let address = listener.local_addr().expect("it has an address");
    let stream = TcpStream::connect(address).await.expect("it connects");
    set_probes(&stream).expect("the system knows probes");
    let socket = SockRef::from(&stream);
    assert!(socket.keepalive().expect("it can be read"));
    let idle = socket.tcp_keepalive_time().expect("it can be read");
    let pause = socket.tcp_keepalive_interval().expect("it can be read");
    assert_eq!((idle, pause), (PROBE_PERIOD, PROBE_PERIOD));
    assert!(idle + pause * LOST_PROBES <= std::time::Duration::from_secs(2));
}
