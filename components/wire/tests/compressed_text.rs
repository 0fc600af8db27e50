//! Guards the compressed text: what comes in is what went out, and hostile blocks are refused.

use rstest::rstest;

use config::MAX_TEXT_BYTES;
use wire::CompressedText;

/// A text of `count` routes, as the platform's adapter writes it.
fn text(count: usize) -> String {
    let route = |n| {
        format!(
            "{{\"host\": \"a.example\", \"prefix\": \"/p{n}/\", \"rank\": 1, \"deadline_ms\": 900, \"idempotent\": true}},\n"
        )
    };
    (0..count).map(route).collect()
}

// Guards against a text that is changed on the way.
#[rstest]
#[case::empty(0)]
#[case::one(1)]
#[case::many(1_500)]
fn unpack_same(#[case] count: usize) {
    let text = text(count);
    assert_eq!(CompressedText::from(text.as_str()).decompress(), Some(text));
}

// Guards against versions with many routes that take seconds to reach a fleet over slow links: 81
// nodes with 7 Mbit/s each took 5 s for 284 KB.
#[test]
fn packed_small() {
    let text = text(1_500);
    let bytes = postcard::to_allocvec(&CompressedText::from(text.as_str())).expect("encodes");
    assert!(
        bytes.len() * 5 < text.len(),
        "{} of {}",
        bytes.len(),
        text.len()
    );
}

// Guards against a message that takes memory or stops the node.
#[rstest]
#[case::long(u32::MAX, &[0])]
#[case::longer_than_a_text(MAX_TEXT_BYTES as u32 + 1, &[0])]
#[case::short_block(100, &[])]
#[case::bad_offset(8, &[0x04, 0xff, 0xff])]
#[case::not_utf8(1, &[0x10, 0xff])]
fn unpack_hostile(#[case] length: u32, #[case] block: &[u8]) {
    let bytes = postcard::to_allocvec(&(length, block)).expect("encodes");
    let packed: CompressedText = postcard::from_bytes(&bytes).expect("decodes");
    assert_eq!(packed.decompress(), None);
}
