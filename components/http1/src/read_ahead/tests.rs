//! Tests of the bytes that are read ahead and of their limit.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::task::Waker;

use bytes::Bytes;
use hyper::body::Body;
use rstest::rstest;

use crate::body::BodyError;
use crate::body::Payload;
use crate::read_ahead::Budget;
use crate::read_ahead::Chunks;
use crate::read_ahead::MAX_SEGMENT_BYTES;
use crate::read_ahead::MAX_TOTAL_BYTES;
use crate::read_ahead::read_ahead;
use errors::Reason;

/// Guards against bytes that are lost, repeated or reordered between the segments, and against a budget that bodies do not
/// give back.
#[rstest]
#[case::single_bytes(1, 40_000)]
#[case::odd(999, 100)]
#[case::segment(MAX_SEGMENT_BYTES, 3)]
#[case::long(100_000, 3)]
fn push_and_pop(#[case] length: usize, #[case] count: usize) {
    let budget = Arc::new(Budget::default());
    let mut chunks = Chunks::new(Arc::clone(&budget));
    let bytes: Vec<u8> = (0..length * count).map(|it| (it % 251) as u8).collect();
    for chunk in bytes.chunks(length) {
        chunks.push(chunk);
    }
    assert_eq!(chunks.len(), bytes.len() as u64);
    assert!(budget.used.load(Ordering::Relaxed) >= bytes.len());
    let mut read = Vec::new();
    while let Some(segment) = chunks.pop() {
        read.extend_from_slice(&segment);
    }
    assert!(read == bytes);
    assert!(chunks.is_empty());
    assert_eq!(budget.used.load(Ordering::Relaxed), 0);
    chunks.push(&bytes);
    drop(chunks);
    assert_eq!(budget.used.load(Ordering::Relaxed), 0);
}

/// Guards against bodies without end that take all of the memory for read-ahead, so that nothing is read ahead of others.
#[rstest]
#[case::one(1, 2_000_000)]
#[case::some(4, 1_000_000)]
#[case::many(15, 100_000)]
fn has_room_beside_greedy(#[case] greedy: usize, #[case] min_bytes: u64) {
    let budget = Arc::new(Budget::default());
    let part = [0; MAX_SEGMENT_BYTES];
    let mut bodies = Vec::new();
    for _ in 0..greedy {
        let mut chunks = Chunks::new(Arc::clone(&budget));
        while chunks.has_room() {
            chunks.push(&part);
        }
        bodies.push(chunks);
    }
    let mut other = Chunks::new(Arc::clone(&budget));
    while other.has_room() {
        other.push(&part);
    }
    assert!(other.len() >= min_bytes, "{} bytes", other.len());
    assert!(budget.used.load(Ordering::Relaxed) < MAX_TOTAL_BYTES);
}

/// Guards against a slow receiver that goes on getting bytes of a response which has failed meanwhile.
#[tokio::test]
async fn poll_next_frame_failed() {
    let budget = Arc::new(Budget::default());
    let error = BodyError::LimitExceeded(Reason::DeadlinePassed);
    let failed = Box::new(Payload::Failed(Some(error)));
    let source = Payload::Continued(Some(Bytes::from_static(b"part")), failed);
    let mut body = read_ahead(source, 0, &budget);
    // Lets the task that reads run to its end.
    tokio::task::yield_now().await;
    let mut context = Context::from_waker(Waker::noop());
    let polled = Pin::new(&mut body).poll_frame(&mut context);
    assert!(matches!(polled, Poll::Ready(Some(Err(_)))));
    assert_eq!(budget.used.load(Ordering::Relaxed), 0);
}
