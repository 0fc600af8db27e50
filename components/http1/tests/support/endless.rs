//! A fake upstream whose responses have no end.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering::SeqCst;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use super::raw::free_address;

pub(crate) const CHUNKED: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
pub(crate) const LONG_CHUNK: &str = "400\r\n\
    0123456701234567012345670123456701234567012345670123456701234567\
    0123456701234567012345670123456701234567012345670123456701234567\
    0123456701234567012345670123456701234567012345670123456701234567\
    0123456701234567012345670123456701234567012345670123456701234567\
    0123456701234567012345670123456701234567012345670123456701234567\
    0123456701234567012345670123456701234567012345670123456701234567\
    0123456701234567012345670123456701234567012345670123456701234567\
    0123456701234567012345670123456701234567012345670123456701234567\
    0123456701234567012345670123456701234567012345670123456701234567\
    0123456701234567012345670123456701234567012345670123456701234567\
    0123456701234567012345670123456701234567012345670123456701234567\
    0123456701234567012345670123456701234567012345670123456701234567\
    0123456701234567012345670123456701234567012345670123456701234567\
    0123456701234567012345670123456701234567012345670123456701234567\
    0123456701234567012345670123456701234567012345670123456701234567\
    0123456701234567012345670123456701234567012345670123456701234567\r\n";

/// Length of the large response, in bytes.
pub(crate) const LARGE_BYTES: usize = 1_000_000;

/// What the endless upstream has seen.
#[derive(Default)]
pub(crate) struct Record {
    /// Bytes of the endless parts that were passed to the sockets.
    pub(crate) sent_bytes: AtomicUsize,
    /// Endless responses whose connection the node has closed.
    pub(crate) closed: AtomicUsize,
}

/// Starts an upstream that responds to `/x` with 2 bytes, to `/large` with [`LARGE_BYTES`] and to any other path with `start` and then `part`
/// without end, pausing `pause` between the parts.
pub(crate) async fn start_endless(
    start: &'static str,
    part: &'static str,
    pause: Duration,
) -> (SocketAddr, Arc<Record>) {
    let address = free_address();
    let listener = TcpListener::bind(address).await.expect("a free address");
    let record = Arc::new(Record::default());
    let listener_record = Arc::clone(&record);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(
                stream,
                (start, part, pause),
                Arc::clone(&listener_record),
            ));
        }
    });
    (address, record)
}

async fn serve(
    mut stream: TcpStream,
    (start, part, pause): (&'static str, &'static str, Duration),
    record: Arc<Record>,
) {
    stream.set_nodelay(true).expect("an open stream");
    let mut request = vec![0; 8_192];
    while let Ok(read) = stream.read(&mut request).await {
        if read == 0 {
            return;
        }
        if request.starts_with(b"GET /x ") || request.starts_with(b"GET /large ") {
            let body = if request.starts_with(b"GET /x ") {
                "ok".to_owned()
            } else {
                "l".repeat(LARGE_BYTES)
            };
            let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
            let sent = stream.write_all((head + &body).as_bytes()).await;
            sent.expect("the node reads the response");
            continue;
        }
        let mut sent = stream.write_all(start.as_bytes()).await;
        while sent.is_ok() {
            record.sent_bytes.fetch_add(part.len(), SeqCst);
            sent = stream.write_all(part.as_bytes()).await;
            if !pause.is_zero() {
                tokio::time::sleep(pause).await;
            }
        }
        record.closed.fetch_add(1, SeqCst);
        return;
    }
}
