//! Limit on what a server sends before the head of its final response.
//!
//! hyper limits a single head. Interim responses and empty lines before it are discarded one after the other, so a server
//! could keep a connection reading until the deadline of the request.

use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use hyper::rt::Read;
use hyper::rt::ReadBuf;
use hyper::rt::ReadBufCursor;
use hyper::rt::Write;

use crate::metered_stream::MeteredStream;

/// Number of bytes that are read at once while a head is awaited.
const READ_BYTES: usize = 8 * 1024;

/// Number of bytes that may be read before the head of a response is complete.
#[derive(Clone, Debug)]
pub(crate) struct Allowance(Arc<AtomicUsize>);

impl Allowance {
    /// Allows any number of bytes.
    pub(crate) fn unlimited() -> Self {
        Self(Arc::new(AtomicUsize::new(usize::MAX)))
    }

    /// Allows `bytes` from now on.
    pub(crate) fn set(&self, bytes: usize) {
        self.0.store(bytes, Ordering::Relaxed);
    }

    /// Allows any number of bytes from now on.
    pub(crate) fn lift(&self) {
        self.set(usize::MAX);
    }

    /// Whether nothing more may be read.
    pub(crate) fn is_used_up(&self) -> bool {
        self.0.load(Ordering::Relaxed) == 0
    }

    fn is_unlimited(&self) -> bool {
        self.0.load(Ordering::Relaxed) == usize::MAX
    }

    fn record_read(&self, bytes: usize) {
        // One task uses the connection, so the allowance does not change between the two operations.
        let left = self.0.load(Ordering::Relaxed);
        self.set(left.saturating_sub(bytes));
    }
}

/// TCP stream whose reads fail once an [`Allowance`] is used up.
pub(crate) struct HeadLimitStream {
    stream: MeteredStream,
    allowance: Allowance,
}

impl HeadLimitStream {
    pub(crate) fn new(stream: MeteredStream, allowance: Allowance) -> Self {
        Self { stream, allowance }
    }
}

impl Read for HeadLimitStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        mut cursor: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        if self.allowance.is_unlimited() {
            return Pin::new(&mut self.stream).poll_read(context, cursor);
        }
        if self.allowance.is_used_up() {
            return Poll::Ready(Err(io::ErrorKind::InvalidData.into()));
        }
        // hyper's buffer does not tell how much was read into it.
        let mut bytes = [const { MaybeUninit::uninit() }; READ_BYTES];
        let size = cursor.remaining().min(READ_BYTES);
        let mut buffer = ReadBuf::uninit(&mut bytes[..size]);
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer.unfilled()))?;
        cursor.put_slice(buffer.filled());
        self.allowance.record_read(buffer.filled().len());
        Poll::Ready(Ok(()))
    }
}

impl Write for HeadLimitStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
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
        Pin::new(&mut self.stream).poll_write_vectored(context, parts)
    }
}
