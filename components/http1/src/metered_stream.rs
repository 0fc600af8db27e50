//! TCP stream that counts what it writes to other instances.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;

use hyper::rt::Read;
use hyper::rt::ReadBufCursor;
use hyper::rt::Write;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use front::LinkPacer;

/// Reports the bytes that one connection writes to another instance.
pub(crate) struct LinkMeter {
    pub(crate) pacer: Arc<LinkPacer>,
    /// Bytes that the pacer has granted to bodies on this connection and that were not written yet.
    granted: AtomicU64,
}

impl LinkMeter {
    /// Creates a meter for a stream; `None` if there is no pacer or the peer is on the same instance.
    pub(crate) fn for_stream(
        pacer: Option<&Arc<LinkPacer>>,
        stream: &TcpStream,
    ) -> Option<Arc<Self>> {
        let pacer = pacer.filter(|_| !is_local(stream))?;
        Some(Arc::new(Self {
            pacer: Arc::clone(pacer),
            granted: AtomicU64::new(0),
        }))
    }

    /// Announces bytes that count as written already.
    pub(crate) fn add_granted(&self, bytes: u64) {
        self.granted.fetch_add(bytes, Ordering::Relaxed);
    }

    fn record_written(&self, bytes: usize) {
        let bytes = bytes as u64;
        // One task uses the connection, so no other write comes between the two operations.
        let paced = self.granted.load(Ordering::Relaxed).min(bytes);
        self.granted.fetch_sub(paced, Ordering::Relaxed);
        self.pacer.record_written(bytes, paced);
    }
}

/// Whether the peer of a connection is on this node's own instance.
pub(crate) fn is_local(stream: &TcpStream) -> bool {
    let addresses = stream.peer_addr().ok().zip(stream.local_addr().ok());
    addresses.is_some_and(|(peer, own)| peer.ip() == own.ip())
}

/// Whether a stream is reset when it is dropped, so that the peer gets nothing more of what the kernel holds.
pub(crate) type ResetFlag = Arc<AtomicBool>;

/// TCP stream whose writes are reported to a [`LinkMeter`].
pub(crate) struct MeteredStream {
    stream: TokioIo<TcpStream>,
    meter: Option<Arc<LinkMeter>>,
    reset: Option<ResetFlag>,
}

impl MeteredStream {
    pub(crate) fn new(stream: TcpStream, meter: Option<Arc<LinkMeter>>) -> Self {
        Self {
            stream: TokioIo::new(stream),
            meter,
            reset: None,
        }
    }

    /// Resets the stream when it is dropped while `reset` is set.
    pub(crate) fn with_reset(mut self, reset: &ResetFlag) -> Self {
        self.reset = Some(Arc::clone(reset));
        self
    }

    fn record(&self, written: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if let (Some(meter), Poll::Ready(Ok(bytes))) = (&self.meter, &written) {
            meter.record_written(*bytes);
        }
        written
    }
}

impl Drop for MeteredStream {
    fn drop(&mut self) {
        let reset = self.reset.as_ref();
        if reset.is_some_and(|it| it.load(Ordering::Relaxed)) {
            // If it fails, the peer gets what the kernel holds before the end.
            let _ = self.stream.inner().set_zero_linger();
        }
    }
}

impl Read for MeteredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl Write for MeteredStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.record(written)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, parts);
        self.record(written)
    }
}
