//! Reading of response bodies into memory before the link has carried them.
//!
//! A task reads the body as fast as its source sends it, so that the upstream is free again as soon as it has sent
//! the last byte, however slowly the response is sent on.

use std::collections::VecDeque;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::task::Waker;
use std::task::ready;

use bytes::Bytes;
use bytes::BytesMut;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;
use tokio::time::Instant;
use tokio_util::task::AbortOnDropHandle;

use crate::body::BodyError;
use crate::body::Payload;
use crate::body::Timer;

#[cfg(test)]
mod tests;

/// Limit on the bytes that all bodies of the process together hold. Beyond it a body is read on only when all
/// of it that was read has been passed on.
const MAX_TOTAL_BYTES: usize = 16 * 1024 * 1024;
/// Reciprocal of the share of the free bytes that one body may hold. Bodies that are never passed on thus leave room for
/// others.
const FREE_SHARE: usize = 4;
/// Longest body that is not read ahead: the socket's buffer takes it whole, however slow its reader is.
const SHORT_BYTES: u64 = 16 * 1024;
/// Capacity of a segment, in bytes; less for short chunks.
const MAX_SEGMENT_BYTES: usize = 16 * 1024;
const MIN_SEGMENT_BYTES: usize = 1024;
/// Bytes by which a segment counts in addition to its capacity, for its bookkeeping.
const SEGMENT_OVERHEAD_BYTES: usize = 64;

/// Counts the bytes that all bodies of the process hold.
#[derive(Debug, Default)]
pub(crate) struct Budget {
    used: AtomicUsize,
}

impl Budget {
    /// Whether a body that holds `held` bytes may hold more.
    fn has_room(&self, held: usize) -> bool {
        let free = MAX_TOTAL_BYTES.saturating_sub(self.used.load(Ordering::Relaxed));
        held < free / FREE_SHARE
    }
}

/// Bytes of a body that were read and not passed on yet. They are copied, because a chunk as hyper returns it keeps the
/// whole buffer that it was read into, which may be a thousand times as large.
pub(crate) struct Chunks {
    budget: Arc<Budget>,
    segments: VecDeque<BytesMut>,
    /// Number of bytes in `segments`.
    length: u64,
    /// Part of the budget that `segments` use, in bytes.
    cost: usize,
}

/// What was read of a body and not passed on yet.
struct Buffer {
    chunks: Chunks,
    /// Set once the source has ended, with its error if it failed.
    end: Option<Option<BodyError>>,
    /// Task that reads, while it waits for room.
    reader: Option<Waker>,
    /// Task that passes the body on, while it waits for bytes.
    receiver: Option<Waker>,
}

fn cost(segment: &BytesMut) -> usize {
    segment.capacity() + SEGMENT_OVERHEAD_BYTES
}

impl Chunks {
    pub(crate) fn new(budget: Arc<Budget>) -> Self {
        Self {
            budget,
            segments: VecDeque::new(),
            length: 0,
            cost: 0,
        }
    }

    pub(crate) fn push(&mut self, mut chunk: &[u8]) {
        self.length += chunk.len() as u64;
        while !chunk.is_empty() {
            let last = self.segments.back_mut();
            let Some(segment) = last.filter(|it| it.len() < it.capacity()) else {
                self.add_segment(chunk.len());
                continue;
            };
            let room = segment.capacity() - segment.len();
            let (fitting, rest) = chunk.split_at(chunk.len().min(room));
            segment.extend_from_slice(fitting);
            chunk = rest;
        }
    }

    fn add_segment(&mut self, bytes: usize) {
        let capacity = bytes.clamp(MIN_SEGMENT_BYTES, MAX_SEGMENT_BYTES);
        let segment = BytesMut::with_capacity(capacity);
        let cost = cost(&segment);
        self.budget.used.fetch_add(cost, Ordering::Relaxed);
        self.cost += cost;
        self.segments.push_back(segment);
    }

    pub(crate) fn pop(&mut self) -> Option<Bytes> {
        let segment = self.segments.pop_front()?;
        let cost = cost(&segment);
        self.budget.used.fetch_sub(cost, Ordering::Relaxed);
        self.cost -= cost;
        self.length -= segment.len() as u64;
        Some(segment.freeze())
    }

    pub(crate) fn clear(&mut self) {
        while self.pop().is_some() {}
    }

    /// Number of bytes.
    pub(crate) fn len(&self) -> u64 {
        self.length
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.segments.is_empty()
    }

    /// Whether another chunk may be read.
    pub(crate) fn has_room(&self) -> bool {
        self.is_empty() || self.budget.has_room(self.cost)
    }
}

impl Drop for Chunks {
    fn drop(&mut self) {
        self.clear();
    }
}

type SharedBuffer = Arc<Mutex<Buffer>>;

fn lock(buffer: &SharedBuffer) -> MutexGuard<'_, Buffer> {
    buffer.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Task that reads a body into its buffer.
struct Reader {
    source: Payload,
    buffer: SharedBuffer,
    deadline: Option<Timer>,
}

impl Future for Reader {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        loop {
            if !self.has_room(context) {
                // At its deadline the source ends, also if there is no room for what it has ready.
                let deadline = self.deadline.as_mut();
                ready!(deadline.map_or(Poll::Pending, |it| it.poll(context)));
            }
            match ready!(Pin::new(&mut self.source).poll_frame(context)) {
                None => return self.end(None),
                Some(Err(error)) => return self.end(Some(error)),
                Some(Ok(frame)) => self.push(frame),
            }
            // Read before the buffer is locked, because the end of the source runs other code.
            if self.source.is_end_stream() {
                return self.end(None);
            }
        }
    }
}

impl Reader {
    /// Whether another chunk may be read; if not, registers the task to be woken.
    fn has_room(&self, context: &Context<'_>) -> bool {
        let mut buffer = lock(&self.buffer);
        let has_room = buffer.chunks.has_room();
        buffer.reader = (!has_room).then(|| context.waker().clone());
        has_room
    }

    fn push(&self, frame: Frame<Bytes>) {
        let chunk = frame.into_data().unwrap_or_default();
        if !chunk.is_empty() {
            let mut buffer = lock(&self.buffer);
            buffer.chunks.push(&chunk);
            wake(buffer.receiver.take());
        }
    }

    fn end(&self, error: Option<BodyError>) -> Poll<()> {
        let mut buffer = lock(&self.buffer);
        if error.is_some() {
            buffer.chunks.clear();
        }
        buffer.end = Some(error);
        wake(buffer.receiver.take());
        Poll::Ready(())
    }
}

fn wake(waker: Option<Waker>) {
    if let Some(waker) = waker {
        waker.wake();
    }
}

/// A body that is read into memory. Dropping it ends the reading.
pub(crate) struct ReadAheadBody {
    buffer: SharedBuffer,
    deadline: Option<Instant>,
    /// Bytes that were not passed on yet; `None` if the length is unknown.
    remaining: Option<u64>,
    _reader: AbortOnDropHandle<()>,
}

/// Starts to read `source` into memory, unless it is known to be short.
pub(crate) fn read_ahead(source: Payload, paced_above: u64, budget: &Arc<Budget>) -> Payload {
    let remaining = source.size_hint().exact();
    if source.is_end_stream() || remaining.is_some_and(|it| it <= paced_above.min(SHORT_BYTES)) {
        return source;
    }
    let buffer = Arc::new(Mutex::new(Buffer {
        chunks: Chunks::new(Arc::clone(budget)),
        end: None,
        reader: None,
        receiver: None,
    }));
    let deadline = source.deadline();
    let reader = Reader {
        source,
        buffer: Arc::clone(&buffer),
        deadline: deadline.map(Timer::at),
    };
    Payload::ReadAhead(Box::new(ReadAheadBody {
        buffer,
        deadline,
        remaining,
        _reader: AbortOnDropHandle::new(tokio::spawn(reader)),
    }))
}

impl ReadAheadBody {
    pub(crate) fn poll_next_frame(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let mut buffer = lock(&self.buffer);
        if let Some(chunk) = buffer.chunks.pop() {
            wake(buffer.reader.take());
            self.remaining = self
                .remaining
                .map(|it| it.saturating_sub(chunk.len() as u64));
            return Poll::Ready(Some(Ok(Frame::data(chunk))));
        }
        match &mut buffer.end {
            Some(error) => Poll::Ready(error.take().map(Err)),
            None => {
                buffer.receiver = Some(context.waker().clone());
                Poll::Pending
            }
        }
    }

    /// Time at which the body ends if its source has not; `None` if the source has sent all of it.
    pub(crate) fn deadline(&self) -> Option<Instant> {
        let is_complete = matches!(lock(&self.buffer).end, Some(None));
        self.deadline.filter(|_| !is_complete)
    }

    pub(crate) fn is_end_stream(&self) -> bool {
        // The reader can still be about to report the end after the last byte of a known length.
        if self.remaining == Some(0) {
            return true;
        }
        let buffer = lock(&self.buffer);
        buffer.chunks.is_empty() && matches!(buffer.end, Some(None)) && self.remaining.is_none()
    }

    pub(crate) fn size_hint(&self) -> SizeHint {
        self.remaining
            .map_or_else(SizeHint::new, SizeHint::with_exact)
    }
}
