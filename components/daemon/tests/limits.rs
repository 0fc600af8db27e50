//! Comparison of limits that lie one behind the other on the way of the configuration to a node.
//!
//! A step whose limit is below what the step before it has accepted breaks off what could never pass. The
//! table in `docs/design.md` names all steps.

use std::time::Duration;

use rstest::rstest;

use config::MAX_RECORD_BYTES;
use config::MAX_TEXT_BYTES;
use transport::calls::PULL_TIMEOUT;
use wire::control::MAX_FRAME_BYTES;

/// Payload of a link of 7 Mbit/s, the slowest of the deployments, in bytes per second.
const SLOW_LINK: usize = 875_000;
/// Number of pulls that share a node's link.
const PULLS: usize = 4;

/// Checks that the largest text fits into a message between two nodes, even if it cannot be compressed. LZ4 then adds
/// a byte for each 255.
#[rstest]
fn frame_holds_largest_text() {
    let other_fields = 1_000;
    assert!(MAX_TEXT_BYTES + MAX_TEXT_BYTES / 255 + other_fields <= MAX_FRAME_BYTES);
    const { assert!(MAX_TEXT_BYTES <= MAX_RECORD_BYTES) }
}

/// Checks that a pull may take as long as its largest message needs over a slow link that it shares with others. It was
/// broken off after 2 s, in which such a link carries 440 KB for each of four.
#[rstest]
fn pull_carries_largest_frame() {
    let transfer = Duration::from_millis((PULLS * MAX_FRAME_BYTES * 1_000 / SLOW_LINK) as u64);
    assert!(transfer <= PULL_TIMEOUT);
}
