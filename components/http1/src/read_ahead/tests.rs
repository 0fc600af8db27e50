//! Tests of the bytes that are read ahead and of their limit.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use rstest::rstest;

use crate::read_ahead::Budget;
use crate::read_ahead::Chunks;
use crate::read_ahead::MAX_SEGMENT_BYTES;
use crate::read_ahead::MAX_TOTAL_BYTES;

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
