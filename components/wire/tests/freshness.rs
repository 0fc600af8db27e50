//! Tests of the encoding of messages about proofs.

use std::time::Duration;

use rstest::rstest;

use fresh::Message;
use ids::Version;
use wire::crash_reports;
use wire::datagram;
use wire::freshness;

const LONGEST: Message = Message::Response {
    nonce: u64::MAX,
    version: Version(u64::MAX),
    age: Duration::from_micros(u64::MAX),
    renewal: Duration::from_millis(u32::MAX as u64),
};

/// Guards against messages that change on the way, by which a proof would come out younger than it is.
#[rstest]
#[case::request(Message::Request { nonce: u64::MAX }, 12)]
#[case::response(LONGEST, 37)]
fn encode_round_trip(#[case] message: Message, #[case] max_bytes: usize) {
    let bytes = freshness::encode(message);
    assert!(bytes.len() <= max_bytes, "{}", bytes.len());
    assert_eq!(freshness::decode(&bytes), Some(message));
}

/// Guards against datagrams that are cut off, too long or of another format and still count as a proof.
#[rstest]
fn decode_malformed() {
    let bytes = freshness::encode(LONGEST);
    assert!(datagram::decode(&bytes).is_err());
    assert_eq!(crash_reports::decode(&bytes), None);
    for end in 0..bytes.len() {
        assert_eq!(freshness::decode(&bytes[..end]), None);
    }
    assert_eq!(freshness::decode(&[&bytes[..], &[0]].concat()), None);
    assert_eq!(freshness::decode(&[&[2], &bytes[1..]].concat()), None);
}
