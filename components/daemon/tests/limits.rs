//! Comparison of limits that lie one behind the other on the way of the configuration to a node.
//!
//! A step whose limit is below what the step before it has accepted breaks off what could never pass. The
//! table in `docs/design.md` names all steps.

use std::time::Duration;

use rstest::rstest;

use config::MAX_RECORD_BYTES;
use config::MAX_TEXT_BYTES;
use wire::control::MAX_FRAME_BYTES;

/// Rate of the slowest transfer that has to succeed, in bytes per second.
const SLOWEST_TRANSFER: usize = 64_000;
/// Time for connecting and for the response itself.
const CALL_TIME: Duration = Duration::from_secs(2);

/// Checks that the largest text fits into a message between two nodes, even if it cannot be compressed. LZ4 then adds
/// a byte for each 255.
#[rstest]
fn frame_holds_largest_text() {
    let other_fields = 1_000;
    assert!(MAX_TEXT_BYTES + MAX_TEXT_BYTES / 255 + other_fields <= MAX_FRAME_BYTES);
    const { assert!(MAX_TEXT_BYTES <= MAX_RECORD_BYTES) }
}

/// Checks that a pull may take as long as its largest message needs over a slow link. It was broken off after 2 s, in
/// which a link of 7 Mbit/s that is shared with three other pulls carries 440 KB.
#[rstest]
fn pull_carries_largest_frame() {
    let transfer = Duration::from_secs((MAX_FRAME_BYTES / SLOWEST_TRANSFER) as u64);
    assert!(transfer + CALL_TIME <= spread::PULL_TIMEOUT);
}
