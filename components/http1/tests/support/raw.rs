//! A minimal HTTP/1.1 client and message reader on plain TCP streams, which can also send malformed
//! messages.

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

/// Timeout of each read and of each wait for a condition.
pub(crate) const TIMEOUT: Duration = Duration::from_secs(20);

static NEXT_HOST: AtomicU8 = AtomicU8::new(1);

/// Returns a loopback address with a free port. The host part differs for each call and, almost
/// always, for each test process, so that parallel tests do not get the same address.
pub(crate) fn free_address() -> SocketAddr {
    let process = u8::try_from(std::process::id() % 250).unwrap() + 1;
    let host = NEXT_HOST.fetch_add(1, Ordering::Relaxed);
    let listener = TcpListener::bind((Ipv4Addr::new(127, 34, process, host), 0)).unwrap();
    listener.local_addr().unwrap()
}

/// Starts a server that handles each connection by `serve`, and returns its address.
pub(crate) async fn listen<F>(serve: impl Fn(TcpStream) -> F + Send + 'static) -> SocketAddr
where
    F: Future<Output: Send> + Send + 'static,
{
    let address = free_address();
    let listener = tokio::net::TcpListener::bind(address)
        .await
        .expect("the address is free");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream));
        }
    });
    address
}

/// A request or response. `head` holds the lines up to and including the empty line; `body` is
/// without transfer coding.
#[derive(Clone, Debug)]
pub(crate) struct Message {
    pub(crate) head: String,
    pub(crate) body: Vec<u8>,
}

impl Message {
    /// Returns the target of a request.
    pub(crate) fn path(&self) -> String {
        self.head.split(' ').nth(1).unwrap().to_owned()
    }

    /// Returns the status code of a response.
    pub(crate) fn status(&self) -> u16 {
        self.head.split(' ').nth(1).unwrap().parse().unwrap()
    }

    /// Returns the value of the first header with this name, ignoring case.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.head.lines().skip(1).find_map(|line| {
            let (line_name, value) = line.split_once(':')?;
            line_name.eq_ignore_ascii_case(name).then_some(value.trim())
        })
    }
}

/// Appends the bytes of one read to `buffer`. `None` if the connection has ended.
async fn fill_buffer(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<()> {
    // Allocated on the heap to keep the nested futures small.
    let mut chunk = vec![0; 65_536];
    match timeout(TIMEOUT, stream.read(&mut chunk)).await.unwrap() {
        Ok(0) | Err(_) => None,
        Ok(read) => {
            buffer.extend_from_slice(&chunk[..read]);
            Some(())
        }
    }
}

/// Removes `count` bytes from `buffer`, after reading as many as are missing.
async fn take(stream: &mut TcpStream, buffer: &mut Vec<u8>, count: usize) -> Option<Vec<u8>> {
    while buffer.len() < count {
        fill_buffer(stream, buffer).await?;
    }
    Some(buffer.drain(..count).collect())
}

/// Removes the text up to and including `end` from `buffer`, after reading as much as is missing.
async fn take_until(stream: &mut TcpStream, buffer: &mut Vec<u8>, end: &str) -> Option<String> {
    loop {
        let position = buffer
            .windows(end.len())
            .position(|window| window == end.as_bytes());
        if let Some(at) = position {
            let taken = buffer.drain(..at + end.len()).collect();
            return String::from_utf8(taken).ok();
        }
        fill_buffer(stream, buffer).await?;
    }
}

/// Reads a complete message. `None` if the connection ends before that or a chunk size is malformed.
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
            let chunk = take(stream, buffer, size).await?;
            message.body.extend_from_slice(&chunk);
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

/// A client connection with the bytes that were received and not yet parsed.
pub(crate) struct CallerConnection {
    pub(crate) stream: TcpStream,
    buffer: Vec<u8>,
}

impl CallerConnection {
    pub(crate) async fn connect(address: SocketAddr) -> Self {
        Self::try_connect(address).await.unwrap()
    }

    /// Connects. `None` if that fails, as when nothing listens at `address`.
    pub(crate) async fn try_connect(address: SocketAddr) -> Option<Self> {
        let stream = TcpStream::connect(address).await.ok()?;
        Some(Self::from_stream(stream))
    }

    /// Uses an open connection.
    pub(crate) fn from_stream(stream: TcpStream) -> Self {
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    /// Sends `bytes` as they are.
    pub(crate) async fn send(&mut self, bytes: impl AsRef<[u8]>) {
        self.stream.write_all(bytes.as_ref()).await.unwrap();
    }

    /// Reads a response. `None` if the connection ends before the response is complete.
    pub(crate) async fn receive(&mut self) -> Option<Message> {
        read_message(&mut self.stream, &mut self.buffer).await
    }

    /// Sends `bytes` and reads the response.
    pub(crate) async fn exchange(&mut self, bytes: impl AsRef<[u8]>) -> Option<Message> {
        self.send(bytes).await;
        self.receive().await
    }

    /// Waits for more bytes and returns whether the peer closed the connection instead of sending any.
    pub(crate) async fn is_closed(&mut self) -> bool {
        self.buffer.is_empty()
            && fill_buffer(&mut self.stream, &mut self.buffer)
                .await
                .is_none()
    }
}

/// Sends `bytes` on a new connection and reads the response.
pub(crate) async fn exchange(address: SocketAddr, bytes: impl AsRef<[u8]>) -> Option<Message> {
    CallerConnection::connect(address)
        .await
        .exchange(bytes)
        .await
}

/// Builds a GET request.
pub(crate) fn get_request(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: h\r\n\r\n")
}

/// Builds a request with a body of `length` bytes.
pub(crate) fn request_with_body(method: &str, path: &str, length: usize) -> Vec<u8> {
    let head = format!("{method} {path} HTTP/1.1\r\nhost: h\r\ncontent-length: {length}\r\n\r\n");
    let mut bytes = head.into_bytes();
    bytes.resize(bytes.len() + length, b'b');
    bytes
}

/// Waits until `condition` holds. Panics with the name `what` after [`TIMEOUT`].
pub(crate) async fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let polling = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(TIMEOUT, polling)
        .await
        .unwrap_or_else(|_| panic!("{what}: the condition did not hold within {TIMEOUT:?}"));
}
