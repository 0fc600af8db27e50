//! Tests of the bytes that are read ahead and of their limit.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use rstest::rstest;

use crate::read_ahead::Budget;
use crate::read_ahead::Chunks;
use crate::read_ahead::MAX_SEGMENT_BYTES;

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
