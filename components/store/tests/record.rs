//! Tests of the record encoding: its size bound, and values that are not a record.

use std::sync::Arc;

use proptest::prelude::any;
use proptest::proptest;
use rstest::rstest;

use config::Record;
use config::record_size_bound;
use ids::Digest;
use ids::Version;
use store::decode_record;
use store::encode_record;

fn record(text: &str) -> Record {
    Record {
        version: Version(u64::MAX),
        edit_hash: u128::MAX,
        parent_digest: Digest(u64::MAX),
        digest: Digest::of(text.as_bytes()),
        format: u32::MAX,
        text: Arc::from(text),
    }
}

// Checks that a foreign value is not decoded as a record; it would be overwritten.
#[rstest]
#[case::empty("")]
#[case::not_json("hello")]
#[case::missing_fields(r#"{"version": 1}"#)]
#[case::invalid_hash(r#"{"version":1,"edit":"x","parent":"0","digest":"0","format":1,"text":""}"#)]
fn decode_record_refused(#[case] value: &str) {
    assert_eq!(decode_record(value.as_bytes()), None);
}

proptest! {
    // Checks the size bound: the record of a text that passes its check must not be refused by the
    // store as too large.
    #[test]
    fn encode_record_bounded(text in any::<String>()) {
        let record = record(&text);
        let value = encode_record(&record);
        assert!(value.len() <= record_size_bound(&text), "{} bytes", value.len());
        assert_eq!(decode_record(&value), Some(record));
    }
}
