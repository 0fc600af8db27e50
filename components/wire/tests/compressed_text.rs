//! Compressed texts: the decompressed text equals the original, and invalid blocks are rejected.

use rstest::rstest;

use config::MAX_TEXT_BYTES;
use wire::CompressedText;

/// A configuration text of `route_count` routes, one JSON object a line, as the platform's adapter writes
/// it.
fn config_text(route_count: usize) -> String {
    let route = |n| {
        format!(
            "{{\"host\": \"a.example\", \"prefix\": \"/p{n}/\", \"rank\": 1, \"deadline_ms\": 900, \"idempotent\": true}},\n"
        )
    };
    (0..route_count).map(route).collect()
}

// Checks that compression and decompression leave the text unchanged.
#[rstest]
#[case::empty(0)]
#[case::one(1)]
#[case::many(1_500)]
fn decompress_round_trip(#[case] route_count: usize) {
    let text = config_text(route_count);
    assert_eq!(CompressedText::from(text.as_str()).decompress(), Some(text));
}

// Regression test: a version with many routes took seconds to reach a fleet over slow links, because
// its text was sent uncompressed: 5 s for 284 KB to 81 nodes with 7 Mbit/s each. Checks that the text
// shrinks to less than a fifth.
#[test]
fn from_many_routes() {
    let text = config_text(1_500);
    let bytes = postcard::to_allocvec(&CompressedText::from(text.as_str())).expect("encodes");
    assert!(
        bytes.len() * 5 < text.len(),
        "{} of {}",
        bytes.len(),
        text.len()
    );
}

// Checks that an invalid block or length is rejected without a panic, and before memory is allocated
// for a text that is too long.
#[rstest]
#[case::max_length(u32::MAX, &[0])]
#[case::above_max_text(MAX_TEXT_BYTES as u32 + 1, &[0])]
#[case::empty_block(100, &[])]
#[case::bad_offset(8, &[0x04, 0xff, 0xff])]
#[case::not_utf8(1, &[0x10, 0xff])]
fn decompress_invalid(#[case] length: u32, #[case] block: &[u8]) {
    let bytes = postcard::to_allocvec(&(length, block)).expect("encodes");
    let compressed: CompressedText = postcard::from_bytes(&bytes).expect("decodes");
    assert_eq!(compressed.decompress(), None);
}
