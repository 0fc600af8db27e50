//! Tests of the decoding of contacts, which several writers put into the store.

use std::net::SocketAddr;

use proptest::collection::vec;
use proptest::prelude::any;
use proptest::proptest;
use rstest::rstest;

use store::decode_contacts;
use store::encode_contacts;

const GOOD: &str = "10.1.0.9:7660";

fn deeply_nested() -> String {
    format!("{}{}", "[".repeat(50_000), "]".repeat(50_000))
}

/// Checks that one odd entry costs that entry alone. A list with one address that could not be parsed counted as
/// empty, without a log line, so that a node which started then found nobody.
#[rstest]
#[case::deeply_nested(&deeply_nested())]
#[case::nested_objects("{\"a\":{\"a\":{}}}")]
#[case::port_too_large("\"10.1.0.8:70000\"")]
#[case::port_zero("\"10.1.0.8:0\"")]
#[case::no_port("\"10.1.0.8\"")]
#[case::host_name("\"node-1:7660\"")]
#[case::huge_number("1e999999")]
#[case::beyond_64_bits("340282366920938463463374607431768211456")]
#[case::fraction("0.5")]
#[case::null("null")]
#[case::empty("\"\"")]
#[case::odd_escape("\"\\ud800\"")]
fn decode_contacts_odd_entry(#[case] entry: &str) {
    let value = format!("{{\"addresses\":[{entry},\"{GOOD}\"]}}");
    let decoded = decode_contacts(value.as_bytes());
    let good: SocketAddr = GOOD.parse().expect("the address is valid");
    assert_eq!((decoded.addresses, decoded.malformed), (vec![good], 1));
}

/// Checks that bytes which are not UTF-8 cost the entry in which they stand.
#[rstest]
fn decode_contacts_not_utf8() {
    let value = [b"{\"addresses\":[\"\xff\xfe\",\"", GOOD.as_bytes(), b"\"]}"].concat();
    let decoded = decode_contacts(&value);
    assert_eq!((decoded.addresses.len(), decoded.malformed), (1, 1));
}

/// Checks that unknown keys, also deeply nested ones, and a list that appears twice do not end the reading.
#[rstest]
#[case::unknown_key(&format!("{{\"x\":{},\"addresses\":[\"{GOOD}\"]}}", deeply_nested()), 1)]
#[case::list_twice(&format!("{{\"addresses\":[\"{GOOD}\"],\"addresses\":[\"{GOOD}\"]}}"), 2)]
fn decode_contacts_odd_keys(#[case] value: &str, #[case] expected: usize) {
    let decoded = decode_contacts(value.as_bytes());
    assert_eq!((decoded.addresses.len(), decoded.malformed), (expected, 0));
}

/// Checks that a value which is no list counts as one malformed entry, so that it is logged.
#[rstest]
#[case::empty("")]
#[case::not_json("hello")]
#[case::no_list("{\"addresses\":7}")]
#[case::no_key("{}")]
#[case::deeply_nested(&deeply_nested())]
fn decode_contacts_no_list(#[case] value: &str) {
    let decoded = decode_contacts(value.as_bytes());
    assert_eq!((decoded.addresses.len(), decoded.malformed), (0, 1));
}

/// Checks that what a node has written is read whole.
#[rstest]
fn decode_contacts_round_trip() {
    let addresses: Vec<SocketAddr> = (1..=8)
        .map(|host| SocketAddr::from(([10, 1, 0, host], 7_660)))
        .collect();
    let decoded = decode_contacts(&encode_contacts(&addresses));
    assert_eq!((decoded.addresses, decoded.malformed), (addresses, 0));
}

proptest! {
    /// Checks that no value ends the process.
    #[test]
    fn decode_contacts_any(bytes in vec(any::<u8>(), 0..200)) {
        let _ = decode_contacts(&bytes);
    }
}
