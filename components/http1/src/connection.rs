//! HTTP/1.1 client connection that carries one request at a time.
//!
//! A connection has no task of its own: its user polls it together with the response. Dropping a
//! connection closes its socket at once, so an abandoned response cannot be read as the response to
//! another request.

use std::future::poll_fn;
use std::net::SocketAddr;
use std::pin::Pin;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use bytes::BytesMut;
use hyper::Request;
use hyper::Response;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::client::conn::TrySendError;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use tokio::net::TcpStream;
use tokio::sync::Notify;

use crate::body::Payload;
use crate::head;
use crate::head_limit::Allowance;
use crate::head_limit::HeadLimitStream;
use crate::metered_stream::LinkMeter;
use crate::metered_stream::MeteredStream;
use front::LinkPacer;

/// Limit on the bytes before a body, in heads of the largest size: interim responses may take as much as the final one.
const MAX_HEADS: usize = 2;

/// Counts open connections that share one limit.
#[derive(Debug, Default)]
pub(crate) struct ConnectionLimit {
    open: AtomicUsize,
    /// Notified when a connection is closed or becomes idle.
    pub(crate) available: Notify,
}

impl ConnectionLimit {
    /// Reserves a slot if fewer than `limit` are reserved.
    pub(crate) fn try_acquire(self: &Arc<Self>, limit: usize) -> Option<ConnectionSlot> {
        self.open
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, |open| {
                (open < limit).then_some(open + 1)
            })
            .ok()?;
        Some(ConnectionSlot(Arc::clone(self)))
    }

    /// Number of reserved slots.
    pub(crate) fn open_count(&self) -> usize {
        self.open.load(Ordering::Acquire)
    }
}

/// Slot of one open connection; dropping it releases the slot.
#[derive(Debug)]
pub(crate) struct ConnectionSlot(Arc<ConnectionLimit>);

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::AcqRel);
        self.0.available.notify_one();
    }
}

/// An open connection to a server.
pub(crate) struct ClientConnection {
    sender: SendRequest<Payload>,
    connection: Pin<Box<http1::Connection<HeadLimitStream, Payload>>>,
    closed: bool,
    /// Number of bytes that may be read before the body of each response.
    head_limit: usize,
    /// What is left of `head_limit` while a response is awaited.
    allowance: Allowance,
    // Fields are dropped in order, so the slots are released after the socket is closed.
    _slots: (ConnectionSlot, Option<ConnectionSlot>),
}

impl ClientConnection {
    /// Connects to `address`, whose responses have heads within `response_limits`; `None` if that
    /// fails. What is written to another instance is reported to `pacer`.
    pub(crate) async fn connect(
        address: SocketAddr,
        response_limits: head::Limits,
        slots: (ConnectionSlot, Option<ConnectionSlot>),
        pacer: Option<&Arc<LinkPacer>>,
    ) -> Option<Self> {
        let stream = TcpStream::connect(address).await.ok()?;
        stream.set_nodelay(true).ok()?;
        let meter = LinkMeter::for_stream(pacer, &stream);
        let metered = MeteredStream::new(stream, meter);
        let allowance = Allowance::unlimited();
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(response_limits.bytes)
            .max_headers(response_limits.headers)
            .handshake(HeadLimitStream::new(metered, allowance.clone()))
            .await
            .ok()?;
        Some(Self {
            sender,
            connection: Box::pin(connection),
            closed: false,
            head_limit: MAX_HEADS * response_limits.bytes,
            allowance,
            _slots: slots,
        })
    }

    /// Sends a request and waits for the head of its response.
    pub(crate) async fn send(
        &mut self,
        request: Request<Payload>,
    ) -> Result<Response<Incoming>, TrySendError<Request<Payload>>> {
        let Self {
            sender,
            connection,
            closed,
            head_limit,
            allowance,
            ..
        } = self;
        allowance.set(*head_limit);
        let mut response = pin!(sender.try_send_request(request));
        let response = poll_fn(|context| {
            poll_connection(connection, closed, context);
            response.as_mut().poll(context)
        })
        .await?;
        allowance.lift();
        Ok(response)
    }

    /// Whether the last request failed because the server sent too much before the head of its final response.
    pub(crate) fn exceeded_head_limit(&self) -> bool {
        self.allowance.is_used_up()
    }

    /// Polls the body of a response, and the connection if the body has no data ready.
    pub(crate) fn poll_body(
        &mut self,
        body: &mut Incoming,
        context: &mut Context<'_>,
    ) -> Poll<Option<hyper::Result<Frame<Bytes>>>> {
        if let Poll::Ready(part) = Pin::new(&mut *body).poll_frame(context) {
            return Poll::Ready(part);
        }
        poll_connection(&mut self.connection, &mut self.closed, context);
        Pin::new(body).poll_frame(context)
    }

    /// Reads a response body; `None` if the connection fails or the body exceeds `limit` bytes.
    pub(crate) async fn read_body(&mut self, mut body: Incoming, limit: usize) -> Option<Bytes> {
        let mut read = BytesMut::new();
        while !body.is_end_stream() {
            match poll_fn(|context| self.poll_body(&mut body, context)).await {
                None => break,
                Some(part) => {
                    if let Ok(bytes) = part.ok()?.into_data() {
                        read.extend_from_slice(&bytes);
                    }
                }
            }
            if read.len() > limit {
                return None;
            }
        }
        Some(read.freeze())
    }

    /// Whether the connection can carry another request. It cannot if the server has closed it or
    /// has sent data without a request.
    pub(crate) async fn is_usable(&mut self) -> bool {
        poll_fn(|context| {
            poll_connection(&mut self.connection, &mut self.closed, context);
            if self.closed {
                return Poll::Ready(false);
            }
            // A connection that is not ready after its last response was read is not waited for.
            Poll::Ready(self.sender.is_ready())
        })
        .await
    }
}

/// Polls the connection unless it has closed; records in `closed` when it does.
fn poll_connection<F: Future>(
    connection: &mut Pin<Box<F>>,
    closed: &mut bool,
    context: &mut Context<'_>,
) {
    if !*closed {
        *closed = connection.as_mut().poll(context).is_ready();
    }
}
