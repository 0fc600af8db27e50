//! Tests that the fake store follows the etcd protocol where clients depend on it.

use std::time::Duration;
use std::time::Instant;

use rstest::rstest;
use serde_json::json;

use medlar_lab::store::fault::Faults;
use medlar_lab::store::fault::Outage;
use medlar_lab::store::fault::RateLimiter;
use medlar_lab::store::kv::KeyRange;
use medlar_lab::store::kv::KvState;
use medlar_lab::store::kv::MAX_VALUE_BYTES;
use medlar_lab::store::kv::Operation;
use medlar_lab::store::kv::OperationResult;

fn put(key: &str, value: &[u8], lease: u64) -> Operation {
    Operation::Put {
        key: key.into(),
        value: value.to_vec(),
        lease,
    }
}

fn key_range(first: &str, end: &str) -> KeyRange {
    KeyRange {
        first: first.into(),
        end: end.into(),
    }
}

/// Checks that a range contains its first key and excludes its end.
#[rstest]
#[case::one_key("b", "", &["b"])]
#[case::prefix("a/", "a0", &["a/1", "a/2"])]
#[case::unbounded("b", "\0", &["b", "c"])]
#[case::no_match("x", "", &[])]
fn range_bounds(#[case] first: &str, #[case] end: &str, #[case] expected: &[&str]) {
    let mut kv = KvState::default();
    for key in ["c", "a/2", "b", "a/1"] {
        kv.apply(&[put(key, b"v", 0)]).unwrap();
    }
    let found = kv.range(&key_range(first, end));
    let keys: Vec<&[u8]> = found.iter().map(|it| it.key.as_slice()).collect();
    let expected: Vec<&[u8]> = expected.iter().map(|it| it.as_bytes()).collect();
    assert_eq!(keys, expected);
}

/// Checks that a refused transaction changes nothing, even if an earlier operation was valid.
#[test]
fn apply_oversized_value() {
    let mut kv = KvState::default();
    let large = vec![0; MAX_VALUE_BYTES + 1];
    let done = kv.apply(&[put("a", b"v", 0), put("b", &large, 0)]);
    assert!(done.is_err());
    assert_eq!((kv.revision(), kv.get(b"a")), (1, None));
}

/// Checks that a key is deleted with its expired lease, and that a renewed lease is kept.
#[test]
fn expire_leases_unrenewed() {
    let start = Instant::now();
    let at = |seconds| start + Duration::from_secs(seconds);
    let mut kv = KvState::default();
    let short = kv.grant(start, Duration::from_secs(5)).unwrap();
    let kept = kv.grant(start, Duration::from_secs(5)).unwrap();
    kv.apply(&[put("short", b"v", short), put("kept", b"v", kept)])
        .unwrap();
    assert!(kv.keep_alive(at(4), kept).is_some());
    assert!(kv.expire_leases(at(6)));
    assert!(kv.get(b"short").is_none() && kv.get(b"kept").is_some());
    assert!(kv.keep_alive(at(6), short).is_none());
    let events = kv.events(&key_range("short", ""), 0).unwrap();
    assert!(events.last().unwrap().deleted);
}

/// Checks that a put with an unknown lease is refused.
#[test]
fn apply_unknown_lease() {
    assert!(KvState::default().apply(&[put("a", b"v", 7)]).is_err());
}

/// Checks that events older than the history are an error, so that a watch doesn't skip them
/// silently.
#[test]
fn events_compacted() {
    let mut kv = KvState::default();
    for _ in 0..2_000 {
        kv.apply(&[put("a", b"v", 0)]).unwrap();
    }
    assert!(kv.events(&key_range("a", ""), 2).is_err());
    let recent = kv.events(&key_range("a", ""), kv.revision()).unwrap();
    assert_eq!(recent.len(), 1);
}

/// Checks that the deletion of a missing key keeps the revision, since a new one would wake watches
/// without a change.
#[test]
fn delete_missing_key() {
    let mut kv = KvState::default();
    let done = kv.apply(&[Operation::Delete(key_range("a", ""))]).unwrap();
    assert_eq!(
        (done, kv.revision()),
        (vec![OperationResult::Deleted(0)], 1)
    );
}

/// Checks that the rate limiter admits no more calls than its rate allows, and refills over time.
#[test]
fn try_take_above_rate() {
    let start = Instant::now();
    let mut limiter = RateLimiter::new(10, start);
    let allowed = (0..20).filter(|_| limiter.try_take(start)).count();
    assert_eq!(allowed, 10);
    assert!(limiter.try_take(start + Duration::from_millis(110)));
    assert!(!limiter.try_take(start + Duration::from_millis(110)));
}

/// Checks that a mistyped fault is refused; a test would otherwise run without its fault.
#[rstest]
#[case::unknown_field(json!({ "outtage": "hang" }))]
#[case::unknown_outage(json!({ "outage": "maybe" }))]
#[case::not_an_object(json!(3))]
fn with_changes_malformed(#[case] body: serde_json::Value) {
    assert!(Faults::default().with_changes(&body).is_err());
}

/// Checks that setting one fault leaves the others unchanged.
#[test]
fn with_changes_one_fault() {
    let faults = Faults::default()
        .with_changes(&json!({ "outage": "hang", "lose_answers": 1 }))
        .unwrap();
    let mut faults = faults.with_changes(&json!({ "delay_ms": 5 })).unwrap();
    assert_eq!(faults.outage, Outage::Hang);
    assert!(faults.take_lost_response() && !faults.take_lost_response());
}
