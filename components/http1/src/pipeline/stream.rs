//! Stream between hyper and a caller's socket that reads requests ahead.

use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use hyper::Request;
use hyper::rt::Read;
use hyper::rt::ReadBuf;
use hyper::rt::ReadBufCursor;
use hyper::rt::Write;

use crate::pipeline::StartedQueue;
use crate::pipeline::StartedRequest;
use crate::pipeline::splitter::Splitter;

/// Number of bytes that are read from the socket at once.
const READ_BYTES: usize = 8 * 1024;

/// Starts a request, given with the number of unanswered requests before it; `None` if it has to wait
/// for its turn.
type StartRequest = Box<dyn FnMut(Request<()>, usize) -> Option<StartedRequest> + Send>;

/// A caller's stream whose next request is readable only once the one before has its response.
pub(crate) struct ReadAheadStream<S> {
    stream: S,
    splitter: Splitter,
    queue: Arc<StartedQueue>,
    /// Maximum number of requests of the connection that are processed at the same time.
    max_requests: usize,
    start_request: StartRequest,
    /// Whether the next request could not be started and waits for its turn; none behind it is started.
    blocked: bool,
}

impl<S: Read + Unpin> ReadAheadStream<S> {
    /// Wraps `stream`. With a limit of one request, all bytes are passed through.
    pub(crate) fn new(
        stream: S,
        queue: Arc<StartedQueue>,
        max_requests: usize,
        max_head_bytes: usize,
        start_request: StartRequest,
    ) -> Self {
        let splitter = if max_requests > 1 {
            Splitter::new(max_head_bytes)
        } else {
            Splitter::transparent()
        };
        Self {
            stream,
            splitter,
            queue,
            max_requests,
            start_request,
            blocked: false,
        }
    }

    /// Reads from the socket into the splitter; returns the number of bytes, 0 at the end.
    fn poll_fill(&mut self, context: &mut Context<'_>) -> Poll<io::Result<usize>> {
        let mut bytes = [const { MaybeUninit::uninit() }; READ_BYTES];
        let mut buffer = ReadBuf::uninit(&mut bytes);
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer.unfilled()))?;
        self.splitter.push(buffer.filled());
        Poll::Ready(Ok(buffer.filled().len()))
    }

    fn start_requests(&mut self) {
        while !self.blocked && self.queue.len() + 1 < self.max_requests {
            let Some((head_bytes, request)) = self.splitter.peek_concurrent() else {
                return;
            };
            match (self.start_request)(request, self.queue.len() + 1) {
                Some(started) => {
                    self.splitter.mark_read_ahead(head_bytes);
                    self.queue.push(started);
                }
                None => self.blocked = true,
            }
        }
    }
}

impl<S: Read + Unpin> Read for ReadAheadStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        mut cursor: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let this = &mut *self;
        loop {
            if this.splitter.is_transparent() {
                return Pin::new(&mut this.stream).poll_read(context, cursor);
            }
            if !this.queue.is_in_progress() && this.splitter.release_next() {
                this.queue.record_released();
                this.blocked = false;
            }
            let remaining = cursor.remaining();
            if this
                .splitter
                .read_released(remaining, |bytes| cursor.put_slice(bytes))
            {
                return Poll::Ready(Ok(()));
            }
            this.start_requests();
            if this.splitter.has_room() {
                match this.poll_fill(context) {
                    // The caller has left. hyper cancels the request in progress; if there is none,
                    // it judges the incomplete head.
                    Poll::Ready(Ok(0)) if this.queue.is_in_progress() => {
                        return Poll::Ready(Ok(()));
                    }
                    Poll::Ready(Ok(0)) => {
                        this.splitter.release_all();
                        let remaining = cursor.remaining();
                        this.splitter
                            .read_released(remaining, |bytes| cursor.put_slice(bytes));
                        return Poll::Ready(Ok(()));
                    }
                    Poll::Ready(Ok(_)) => continue,
                    Poll::Ready(Err(error)) => return Poll::Ready(Err(error)),
                    Poll::Pending => {}
                }
            }
            if this.splitter.holds_bytes() {
                this.queue.register_reader(context.waker());
            }
            return Poll::Pending;
        }
    }
}

impl<S: Write + Unpin> Write for ReadAheadStream<S> {
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
