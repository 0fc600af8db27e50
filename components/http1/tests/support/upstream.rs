//! A stand-in upstream that answers by path and records what it sees.

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

use super::raw::Message;
use super::raw::ask;
use super::raw::free_address;
use super::raw::read_message;

/// What the upstream has seen.
#[derive(Default)]
pub(crate) struct Seen {
    /// Heads of the requests that arrived whole.
    pub(crate) heads: Mutex<Vec<String>>,
    /// Connections that are open, that were open at most, and that were opened.
    pub(crate) open: AtomicUsize,
    pub(crate) most: AtomicUsize,
    pub(crate) opened: AtomicUsize,
    /// Requests whose connection was closed before they were answered.
    pub(crate) cancelled: AtomicUsize,
}

impl Seen {
    /// Requests that arrived.
    pub(crate) fn count(&self) -> usize {
        self.heads.lock().unwrap().len()
    }

    /// Head of the newest request.
    pub(crate) fn last(&self) -> String {
        self.heads
            .lock()
            .unwrap()
            .last()
            .cloned()
            .unwrap_or_default()
    }
}

/// Starts an upstream. `/wait/<ms>` answers late, `/cut` and `/cut-chunked` break off, `/until-close`
/// has no length, `/large` has 1 MB, `/trailer` has a trailer, `/shed` means not run, `/status/304`
/// has a length and no body, `/onward` calls on; other paths answer with the length of the request's body.
pub(crate) async fn start() -> (SocketAddr, Arc<Seen>) {
    let address = free_address();
    let listener = TcpListener::bind(address).await.unwrap();
    let seen = Arc::new(Seen::default());
    let kept = Arc::clone(&seen);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            stream.set_nodelay(true).unwrap();
            let seen = Arc::clone(&kept);
            seen.opened.fetch_add(1, Ordering::SeqCst);
            let open = seen.open.fetch_add(1, Ordering::SeqCst) + 1;
            seen.most.fetch_max(open, Ordering::SeqCst);
            tokio::spawn(async move {
                serve(stream, &seen).await;
                seen.open.fetch_sub(1, Ordering::SeqCst);
            });
        }
    });
    (address, seen)
}

async fn serve(mut stream: TcpStream, seen: &Seen) {
    let mut buffer = Vec::new();
    while let Some(message) = read_message(&mut stream, &mut buffer).await {
        seen.heads.lock().unwrap().push(message.head.clone());
        let path = message.path();
        if let Some(millis) = path.strip_prefix("/wait/") {
            let wait = Duration::from_millis(millis.parse().unwrap());
            let mut rest = [0; 1];
            tokio::select! {
                _ = stream.read(&mut rest) => {
                    seen.cancelled.fetch_add(1, Ordering::SeqCst);
                    return;
                }
                () = tokio::time::sleep(wait) => {}
            }
        }
        let answer = if path == "/onward" {
            call_onward(&message).await
        } else {
            answer(&message)
        };
        if stream.write_all(&answer).await.is_err() || path.starts_with("/cut") {
            return;
        }
        if path == "/until-close" {
            return;
        }
    }
}

/// Calls the address in `x-via` after 300 ms, and answers with the status of its answer.
async fn call_onward(message: &Message) -> Vec<u8> {
    tokio::time::sleep(Duration::from_millis(300)).await;
    let via = message.header("x-via").unwrap().parse().unwrap();
    let id = message.header("medlar-request-id").unwrap();
    let request = format!("GET /x HTTP/1.1\r\nhost: h\r\nmedlar-request-id: {id}\r\n\r\n");
    let status = ask(via, request).await.map_or(0, |it| it.status());
    format!("HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\n{status:03}").into_bytes()
}

fn answer(message: &Message) -> Vec<u8> {
    let head = "HTTP/1.1 200 OK\r\n";
    match message.path().as_str() {
        "/cut" => format!("{head}content-length: 100\r\n\r\nshort").into_bytes(),
        "/cut-chunked" => format!("{head}transfer-encoding: chunked\r\n\r\n5\r\nshort\r\n").into_bytes(),
        "/until-close" => format!("{head}connection: close\r\n\r\nshort").into_bytes(),
        "/trailer" => format!(
            "{head}transfer-encoding: chunked\r\ntrailer: x-sum\r\n\r\n5\r\nwhole\r\n0\r\nx-sum: 1\r\n\r\n"
        )
        .into_bytes(),
        "/large" => {
            let mut bytes = format!("{head}content-length: 1000000\r\n\r\n").into_bytes();
            bytes.resize(bytes.len() + 1_000_000, b'x');
            bytes
        }
        "/shed" => b"HTTP/1.1 503 Busy\r\ncontent-length: 0\r\n\r\n".to_vec(),
        "/status/304" => b"HTTP/1.1 304 Not Modified\r\ncontent-length: 70\r\n\r\n".to_vec(),
        _ if message.head.starts_with("HEAD ") => {
            format!("{head}content-length: 70\r\n\r\n").into_bytes()
        }
        _ => {
            let body = format!("{}", message.body.len());
            format!("{head}content-length: {}\r\n\r\n{body}", body.len()).into_bytes()
        }
    }
}
