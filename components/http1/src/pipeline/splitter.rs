//! Splitting of a connection's bytes into requests.
//!
//! The bytes of one request after the other are released to hyper. What follows them stays here, where
//! the heads of further requests can be read. A message that cannot be framed with certainty ends the
//! splitting: it and all bytes after it are released, so that hyper alone judges them.

use bytes::Buf;
use bytes::BytesMut;
use httparse::EMPTY_HEADER;
use httparse::Status;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper::Uri;
use hyper::header::CONNECTION;
use hyper::header::CONTENT_LENGTH;
use hyper::header::EXPECT;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use hyper::header::TRANSFER_ENCODING;
use hyper::header::UPGRADE;

use crate::headers::validate_request_head;

/// Number of headers of a request that can be read ahead; a head with more ends the splitting.
const MAX_HEADERS: usize = 100;

/// Where the bytes after the released ones belong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Framing {
    /// A request head begins.
    Head,
    /// This many bytes of the last released request's body have not arrived yet.
    Body(u64),
    /// The splitter cannot tell; everything is released as it arrives.
    Opaque,
}

/// How a request begins and how many bytes it has.
struct Frame {
    head_bytes: usize,
    body_bytes: u64,
    /// Whether the request is valid and has no body, a safe method and no header that concerns its
    /// connection, so that it can be processed next to others.
    concurrent: bool,
    request: Request<()>,
}

/// Bytes of one connection that were received and not yet passed to hyper.
#[derive(Debug)]
pub(crate) struct Splitter {
    buffer: BytesMut,
    framing: Framing,
    /// Number of bytes at the front of the buffer that hyper may read.
    released: usize,
    /// Number of bytes after the released ones whose requests were started.
    read_ahead: usize,
    /// Whether the last released request can be processed next to those behind it.
    front_concurrent: bool,
    /// Longest head, in bytes.
    max_head_bytes: usize,
}

impl Splitter {
    /// Creates a splitter for heads of at most `max_head_bytes`.
    pub(crate) fn new(max_head_bytes: usize) -> Self {
        Self {
            buffer: BytesMut::new(),
            framing: Framing::Head,
            released: 0,
            read_ahead: 0,
            front_concurrent: false,
            max_head_bytes,
        }
    }

    /// Creates a splitter that releases all bytes.
    pub(crate) fn transparent() -> Self {
        Self {
            framing: Framing::Opaque,
            ..Self::new(0)
        }
    }

    /// Whether nothing is held back, now or later.
    pub(crate) fn is_transparent(&self) -> bool {
        self.framing == Framing::Opaque && self.buffer.is_empty()
    }

    /// Whether more bytes may be received before some are released.
    pub(crate) fn has_room(&self) -> bool {
        self.buffer.len() <= self.max_head_bytes
    }

    /// Adds received bytes; those of a request body whose head was released are released at once.
    pub(crate) fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
        match self.framing {
            Framing::Head => {}
            Framing::Body(_) => self.release_body(),
            Framing::Opaque => self.released = self.buffer.len(),
        }
    }

    /// Releases the next request if its head is complete; returns whether it did.
    pub(crate) fn release_next(&mut self) -> bool {
        if self.framing != Framing::Head || self.released > 0 || self.buffer.is_empty() {
            return false;
        }
        match parse(&self.buffer) {
            Ok(Some(frame)) => {
                self.released = frame.head_bytes;
                self.read_ahead = self.read_ahead.saturating_sub(frame.head_bytes);
                self.front_concurrent = frame.concurrent;
                self.framing = Framing::Body(frame.body_bytes);
                self.release_body();
                true
            }
            Ok(None) if self.buffer.len() <= self.max_head_bytes => false,
            Ok(None) | Err(Unframed) => {
                self.release_all();
                true
            }
        }
    }

    /// Releases all bytes, now and later.
    pub(crate) fn release_all(&mut self) {
        self.framing = Framing::Opaque;
        self.front_concurrent = false;
        self.released = self.buffer.len();
        self.read_ahead = 0;
    }

    /// Whether bytes are held back from hyper.
    pub(crate) fn holds_bytes(&self) -> bool {
        self.buffer.len() > self.released
    }

    /// Returns the next request behind the released one and those read ahead, with the length of its
    /// head, if it can be processed next to all of them.
    pub(crate) fn peek_concurrent(&self) -> Option<(usize, Request<()>)> {
        if !self.front_concurrent || self.framing != Framing::Head {
            return None;
        }
        let offset = self.released + self.read_ahead;
        let bytes = self.buffer.get(offset..).filter(|it| !it.is_empty())?;
        let frame = parse(bytes).ok()??;
        frame
            .concurrent
            .then_some((frame.head_bytes, frame.request))
    }

    /// Records that the request that [`Splitter::peek_concurrent`] returned was started.
    pub(crate) fn mark_read_ahead(&mut self, head_bytes: usize) {
        self.read_ahead += head_bytes;
    }

    /// Passes up to `max_bytes` released bytes to `read`; returns whether there were any.
    pub(crate) fn read_released(&mut self, max_bytes: usize, read: impl FnOnce(&[u8])) -> bool {
        let count = self.released.min(max_bytes);
        if count == 0 {
            return false;
        }
        read(&self.buffer[..count]);
        self.buffer.advance(count);
        self.released -= count;
        if self.buffer.is_empty() {
            // An idle connection holds no memory.
            self.buffer = BytesMut::new();
        }
        true
    }

    fn release_body(&mut self) {
        if let Framing::Body(missing) = self.framing {
            let received = self.buffer.len() - self.released;
            let count = usize::try_from(missing).map_or(received, |it| it.min(received));
            self.released += count;
            let missing = missing - count as u64;
            self.framing = if missing == 0 {
                Framing::Head
            } else {
                Framing::Body(missing)
            };
        }
    }
}

/// A message whose length cannot be told.
struct Unframed;

/// Reads the request at the beginning of `bytes`; `None` if its head is incomplete.
fn parse(bytes: &[u8]) -> Result<Option<Frame>, Unframed> {
    let mut headers = [EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut headers);
    let Status::Complete(head_bytes) = parsed.parse(bytes).map_err(|_| Unframed)? else {
        return Ok(None);
    };
    let mut request = Request::new(());
    let method = parsed.method.unwrap_or_default();
    *request.method_mut() = Method::from_bytes(method.as_bytes()).map_err(|_| Unframed)?;
    *request.uri_mut() = Uri::try_from(parsed.path.unwrap_or_default()).map_err(|_| Unframed)?;
    for header in &*parsed.headers {
        let name = HeaderName::from_bytes(header.name.as_bytes()).map_err(|_| Unframed)?;
        let value = HeaderValue::from_bytes(header.value).map_err(|_| Unframed)?;
        request.headers_mut().append(name, value);
    }
    let body_bytes = content_length(request.headers())?;
    let is_safe = [Method::GET, Method::HEAD].contains(request.method());
    let headers = request.headers();
    let concerns_connection = [CONTENT_LENGTH, CONNECTION, EXPECT, UPGRADE]
        .iter()
        .any(|name| headers.contains_key(name));
    // The validation leaves the head of a valid request without authority as it is.
    let concurrent = parsed.version == Some(1)
        && is_safe
        && !concerns_connection
        && request.uri().authority().is_none()
        && validate_request_head(&mut request).is_ok();
    Ok(Some(Frame {
        head_bytes,
        body_bytes,
        concurrent,
        request,
    }))
}

/// Length of a request's body in bytes, 0 if the head states none.
fn content_length(headers: &HeaderMap) -> Result<u64, Unframed> {
    if headers.contains_key(TRANSFER_ENCODING) {
        return Err(Unframed);
    }
    let mut lengths = headers.get_all(CONTENT_LENGTH).iter();
    let Some(length) = lengths.next() else {
        return Ok(0);
    };
    let text = length.to_str().map_err(|_| Unframed)?;
    if lengths.next().is_some() || !text.bytes().all(|byte| byte.is_ascii_digit()) {
        return Err(Unframed);
    }
    text.parse().map_err(|_| Unframed)
}
