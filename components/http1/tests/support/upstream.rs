//! A fake upstream whose response depends on the path of the request. It records the requests and
//! connections that it receives.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;

use super::raw::Message;
use super::raw::exchange;
use super::raw::free_address;
use super::raw::read_message;

/// Requests and connections that a fake upstream has received.
#[derive(Default)]
pub(crate) struct UpstreamRecord {
    /// Heads of the requests that were received completely, in the order of their arrival.
    pub(crate) request_heads: Mutex<Vec<String>>,
    /// Connections that are open at present.
    pub(crate) open_connections: AtomicUsize,
    /// Maximum number of connections that were open at the same time.
    pub(crate) max_open_connections: AtomicUsize,
    /// Connections accepted since the start.
    pub(crate) accepted_connections: AtomicUsize,
    /// Requests to `/wait/` whose connection was closed before the response was sent.
    pub(crate) cancelled_requests: AtomicUsize,
    /// Requests to `/refuse-once` that were refused, and those that ran.
    pub(crate) refused_requests: AtomicUsize,
    pub(crate) run_requests: AtomicUsize,
}

impl UpstreamRecord {
    /// Returns how many requests were received completely.
    pub(crate) fn request_count(&self) -> usize {
        self.request_heads.lock().unwrap().len()
    }

    /// Returns the head of the latest request, or an empty string if there is none.
    pub(crate) fn last_head(&self) -> String {
        self.request_heads
            .lock()
            .unwrap()
            .last()
            .cloned()
            .unwrap_or_default()
    }
}

/// Starts a fake upstream. Its response depends on the path:
///
/// - `/wait/<ms>`: sent after this many milliseconds;
/// - `/until-deadline`: status 504, sent at the deadline of the request, or at `/until-deadline/<ms>` this
///   many milliseconds later;
/// - `/never`: no response;
/// - `/cut` and `/cut-chunked`: the connection is closed before the end of the body;
/// - `/cut-large`: the connection is closed after half of a body of 200 KB;
/// - `/until-close`: neither length nor transfer coding, ended by closing the connection;
/// - `/slow-body/<ms>`: a body of 8 bytes whose second half is sent after this many milliseconds;
/// - `/large`: a body of 1 MB;
/// - `/trailer`: a trailer after the body;
/// - `/shed`: status 503, by which the upstream states that it did not run the request;
/// - `/break`: the connection is closed without a response;
/// - `/crash`: the upstream closes all connections without a response and listens no longer;
/// - `/refuse-once`: the first request to the upstream is refused with status 503. The refusal is written once
///   more when the next request arrives on the connection, before the response to that one;
/// - `/fail/<ms>`: status 500, sent after this many milliseconds;
/// - `/leaving`: states that the upstream is leaving;
/// - `/limited/<rate>`: names a limit of this many requests a second;
/// - `/status/304`: a length without a body;
/// - `/status/431`: the upstream refuses the head of the request;
/// - `/headers/<count>/<length>`: this many headers, with values of this many bytes;
/// - `/onward`: the status that a request to the address in `x-via` received;
/// - any other path: the length of the request's body, in decimal.
pub(crate) async fn start() -> (SocketAddr, Arc<UpstreamRecord>) {
    let address = free_address();
    let listener = TcpListener::bind(address).await.unwrap();
    let upstream_record = Arc::new(UpstreamRecord::default());
    let listener_record = Arc::clone(&upstream_record);
    let (crashed, stopped) = (CancellationToken::new(), CancellationToken::new());
    tokio::spawn(async move {
        while let Some(Ok((stream, _))) = crashed.run_until_cancelled(listener.accept()).await {
            let (crashed, stopped) = (crashed.clone(), stopped.clone());
            stream.set_nodelay(true).unwrap();
            let upstream_record = Arc::clone(&listener_record);
            upstream_record
                .accepted_connections
                .fetch_add(1, Ordering::SeqCst);
            let open = upstream_record
                .open_connections
                .fetch_add(1, Ordering::SeqCst)
                + 1;
            upstream_record
                .max_open_connections
                .fetch_max(open, Ordering::SeqCst);
            tokio::spawn(async move {
                let serving = serve(stream, &upstream_record, &crashed);
                stopped.run_until_cancelled(serving).await;
                upstream_record
                    .open_connections
                    .fetch_sub(1, Ordering::SeqCst);
            });
        }
        drop(listener);
        stopped.cancel();
    });
    (address, upstream_record)
}

async fn serve(
    mut stream: TcpStream,
    upstream_record: &UpstreamRecord,
    crashed: &CancellationToken,
) {
    let mut buffer = Vec::new();
    let mut has_refused = false;
    while let Some(message) = read_message(&mut stream, &mut buffer).await {
        upstream_record
            .request_heads
            .lock()
            .unwrap()
            .push(message.head.clone());
        let path = message.path();
        if path == "/break" {
            return;
        }
        if path.starts_with("/crash") {
            // A process that ends closes its listener with its connections.
            crashed.cancel();
            std::future::pending::<()>().await;
        }
        if path == "/refuse-once" {
            let refusal = b"HTTP/1.1 503 Busy\r\ncontent-length: 0\r\n\r\n";
            if upstream_record.refused_requests.load(Ordering::SeqCst) == 0 {
                upstream_record
                    .refused_requests
                    .fetch_add(1, Ordering::SeqCst);
                has_refused = true;
                if stream.write_all(refusal).await.is_err() {
                    return;
                }
                continue;
            }
            upstream_record.run_requests.fetch_add(1, Ordering::SeqCst);
            if has_refused && stream.write_all(refusal).await.is_err() {
                return;
            }
        }
        if let Some(delay) = response_delay(&message) {
            let mut next_byte = [0; 1];
            tokio::select! {
                _ = stream.read(&mut next_byte) => {
                    upstream_record.cancelled_requests.fetch_add(1, Ordering::SeqCst);
                    return;
                }
                () = tokio::time::sleep(delay) => {}
            }
        }
        if let Some(millis) = path.strip_prefix("/slow-body/") {
            let head = "HTTP/1.1 200 OK\r\ncontent-length: 8\r\n\r\n1234";
            if stream.write_all(head.as_bytes()).await.is_err() {
                return;
            }
            tokio::time::sleep(Duration::from_millis(millis.parse().unwrap())).await;
            if stream.write_all(b"5678").await.is_err() {
                return;
            }
            continue;
        }
        let response = if path == "/onward" {
            forward_request(&message).await
        } else {
            build_response(&message)
        };
        if stream.write_all(&response).await.is_err() || path.starts_with("/cut") {
            return;
        }
        if path == "/until-close" {
            return;
        }
    }
}

/// Time for which the upstream works on a request; `None` if it responds at once.
fn response_delay(message: &Message) -> Option<Duration> {
    let path = message.path();
    if let Some(rest) = path.strip_prefix("/until-deadline") {
        let micros = message.header("medlar-deadline-us").unwrap();
        let millis = rest.trim_start_matches('/').parse().unwrap_or(0);
        return Some(
            Duration::from_micros(micros.parse().unwrap()) + Duration::from_millis(millis),
        );
    }
    match path.as_str() {
        "/never" => Some(Duration::MAX),
        _ => {
            let millis = path
                .strip_prefix("/wait/")
                .or(path.strip_prefix("/fail/"))?;
            Some(Duration::from_millis(millis.parse().unwrap()))
        }
    }
}

/// Waits 300 ms, sends a request to the address in `x-via` and returns a response whose body is the
/// status that it received, or 000 if the connection ended before that.
async fn forward_request(message: &Message) -> Vec<u8> {
    tokio::time::sleep(Duration::from_millis(300)).await;
    let via = message.header("x-via").unwrap().parse().unwrap();
    let id = message.header("medlar-request-id").unwrap();
    let request = format!("GET /x HTTP/1.1\r\nhost: h\r\nmedlar-request-id: {id}\r\n\r\n");
    let status = exchange(via, request)
        .await
        .map_or(0, |response| response.status());
    format!("HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\n{status:03}").into_bytes()
}

fn build_response(message: &Message) -> Vec<u8> {
    let head = "HTTP/1.1 200 OK\r\n";
    match message.path().as_str() {
        "/cut" => format!("{head}content-length: 100\r\n\r\nshort").into_bytes(),
        "/cut-chunked" => format!("{head}transfer-encoding: chunked\r\n\r\n5\r\nshort\r\n").into_bytes(),
        "/until-close" => format!("{head}connection: close\r\n\r\nshort").into_bytes(),
        "/trailer" => format!(
            "{head}transfer-encoding: chunked\r\ntrailer: x-sum\r\n\r\n5\r\nwhole\r\n0\r\nx-sum: 1\r\n\r\n"
        )
        .into_bytes(),
        "/cut-large" => {
            let mut bytes = format!("{head}content-length: 200000\r\n\r\n").into_bytes();
            bytes.resize(bytes.len() + 100_000, b'x');
            bytes
        }
        "/large" => {
            let mut bytes = format!("{head}content-length: 1000000\r\n\r\n").into_bytes();
            bytes.resize(bytes.len() + 1_000_000, b'x');
            bytes
        }
        _ if message.path().starts_with("/until-deadline") => {
            b"HTTP/1.1 504 Gateway Timeout\r\ncontent-length: 8\r\n\r\ndeadline".to_vec()
        }
        path if path.starts_with("/limited/") => {
            let rate = path.trim_start_matches("/limited/");
            format!("{head}medlar-rate-limit: {rate}\r\ncontent-length: 0\r\n\r\n").into_bytes()
        }
        "/leaving" => format!("{head}medlar-leaving: 1\r\ncontent-length: 0\r\n\r\n").into_bytes(),
        path if path.starts_with("/fail/") => {
            b"HTTP/1.1 500 Failed\r\ncontent-length: 0\r\n\r\n".to_vec()
        }
        "/shed" => b"HTTP/1.1 503 Busy\r\ncontent-length: 0\r\n\r\n".to_vec(),
        "/status/304" => b"HTTP/1.1 304 Not Modified\r\ncontent-length: 70\r\n\r\n".to_vec(),
        "/status/431" => {
            b"HTTP/1.1 431 Too Large\r\ncontent-length: 8\r\n\r\nupstream".to_vec()
        }
        path if path.starts_with("/headers/") => {
            let mut parts = path.trim_start_matches("/headers/").split('/');
            let mut next = || parts.next().unwrap().parse().unwrap();
            let (count, length): (usize, usize) = (next(), next());
            let line = format!("x:{}\r\n", "v".repeat(length));
            format!("{head}{}content-length: 0\r\n\r\n", line.repeat(count)).into_bytes()
        }
        _ if message.head.starts_with("HEAD ") => {
            format!("{head}content-length: 70\r\n\r\n").into_bytes()
        }
        _ => {
            let body = format!("{}", message.body.len());
            format!("{head}content-length: {}\r\n\r\n{body}", body.len()).into_bytes()
        }
    }
}
