//! HTTP over raw sockets.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Longest wait for anything.
pub(crate) const LIMIT: Duration = Duration::from_secs(20);

static NEXT_HOST: AtomicU8 = AtomicU8::new(1);

/// An address that nothing else uses.
pub(crate) fn free_address() -> SocketAddr {
    let process = u8::try_from(std::process::id() % 250).unwrap() + 1;
    let host = NEXT_HOST.fetch_add(1, Ordering::Relaxed);
    let listener = TcpListener::bind((Ipv4Addr::new(127, 34, process, host), 0)).unwrap();
    listener.local_addr().unwrap()
}

/// A message with its body decoded.
#[derive(Clone, Debug)]
pub(crate) struct Message {
    pub(crate) head: String,
    pub(crate) body: Vec<u8>,
}

impl Message {
    /// Path of a request.
    pub(crate) fn path(&self) -> String {
        self.head.split(' ').nth(1).unwrap().to_owned()
    }

    /// Status of an answer.
    pub(crate) fn status(&self) -> u16 {
        self.head.split(' ').nth(1).unwrap().parse().unwrap()
    }

    /// Value of a header.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.head.lines().skip(1).find_map(|line| {
            let (known, value) = line.split_once(':')?;
            known.eq_ignore_ascii_case(name).then_some(value.trim())
        })
    }
}

async fn fill(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<()> {
    // On the heap, since the futures that hold it are nested.
    let mut part = vec![0; 65_536];
    match timeout(LIMIT, stream.read(&mut part)).await.unwrap() {
        Ok(0) | Err(_) => None,
        Ok(read) => {
            buffer.extend_from_slice(&part[..read]);
            Some(())
        }
    }
}

async fn take(stream: &mut TcpStream, buffer: &mut Vec<u8>, count: usize) -> Option<Vec<u8>> {
    while buffer.len() < count {
        fill(stream, buffer).await?;
    }
    Some(buffer.drain(..count).collect())
}

async fn take_until(stream: &mut TcpStream, buffer: &mut Vec<u8>, end: &str) -> Option<String> {
    loop {
        let found = buffer
            .windows(end.len())
            .position(|it| it == end.as_bytes());
        if let Some(at) = found {
            let taken = buffer.drain(..at + end.len()).collect();
            return String::from_utf8(taken).ok();
        }
        fill(stream, buffer).await?;
    }
}

/// Reads a whole message; `None` if the connection ends before that.
pub(crate) async fn read_message(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Message> {
    let head = take_until(stream, buffer, "\r\n\r\n").await?;
    let mut message = Message {
        head,
        body: Vec::new(),
    };
    if message.header("transfer-encoding").is_some() {
        loop {
            let size = take_until(stream, buffer, "\r\n").await?;
            let size = usize::from_str_radix(size.trim(), 16).ok()?;
            let part = take(stream, buffer, size).await?;
            message.body.extend_from_slice(&part);
            take_until(stream, buffer, "\r\n").await?;
            if size == 0 {
                return Some(message);
            }
        }
    }
    let length = message.header("content-length").unwrap_or("0");
    let length = if message.head.starts_with("HTTP/1.1 304") {
        0
    } else {
        length.parse().unwrap()
    };
    message.body = take(stream, buffer, length).await?;
    Some(message)
}

/// A caller's connection.
pub(crate) struct Caller {
    pub(crate) stream: TcpStream,
    buffer: Vec<u8>,
}

impl Caller {
    pub(crate) async fn connect(address: SocketAddr) -> Self {
        Self::try_connect(address).await.unwrap()
    }

    /// Connects; `None` if nothing listens.
    pub(crate) async fn try_connect(address: SocketAddr) -> Option<Self> {
        let stream = TcpStream::connect(address).await.ok()?;
        Some(Self {
            stream,
            buffer: Vec::new(),
        })
    }

    /// Sends these bytes.
    pub(crate) async fn send(&mut self, bytes: impl AsRef<[u8]>) {
        self.stream.write_all(bytes.as_ref()).await.unwrap();
    }

    /// Reads an answer; `None` if the connection ends before its end.
    pub(crate) async fn receive(&mut self) -> Option<Message> {
        read_message(&mut self.stream, &mut self.buffer).await
    }

    /// Sends these bytes and reads the answer.
    pub(crate) async fn ask(&mut self, bytes: impl AsRef<[u8]>) -> Option<Message> {
        self.send(bytes).await;
        self.receive().await
    }

    /// Whether the other end closes the connection without sending anything more.
    pub(crate) async fn is_closed(&mut self) -> bool {
        self.buffer.is_empty() && fill(&mut self.stream, &mut self.buffer).await.is_none()
    }
}

/// Sends these bytes on a new connection and reads the answer.
pub(crate) async fn ask(address: SocketAddr, bytes: impl AsRef<[u8]>) -> Option<Message> {
    Caller::connect(address).await.ask(bytes).await
}

/// A request without body.
pub(crate) fn get(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: h\r\n\r\n")
}

/// A request with a body of `length` bytes.
pub(crate) fn send_body(method: &str, path: &str, length: usize) -> Vec<u8> {
    let head = format!("{method} {path} HTTP/1.1\r\nhost: h\r\ncontent-length: {length}\r\n\r\n");
    let mut bytes = head.into_bytes();
    bytes.resize(bytes.len() + length, b'b');
    bytes
}

/// Waits until `done` holds.
pub(crate) async fn wait_until(what: &str, done: impl Fn() -> bool) {
    let waiting = async {
        while !done() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(LIMIT, waiting)
        .await
        .unwrap_or_else(|_| panic!("no {what} in time"));
}
