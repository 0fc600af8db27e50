//! The stand-in store keeps to the protocol where clients depend on it.

use std::time::Duration;
use std::time::Instant;

use rstest::rstest;
use serde_json::json;

use medlar_lab::store::fault::Faults;
use medlar_lab::store::fault::Outage;
use medlar_lab::store::fault::Rate;
use medlar_lab::store::kv::Done;
use medlar_lab::store::kv::Kv;
use medlar_lab::store::kv::MAX_VALUE_BYTES;
use medlar_lab::store::kv::Operation;
use medlar_lab::store::kv::Span;

fn put(key: &str, value: &[u8], lease: u64) -> Operation {
    Operation::Put {
        key: key.into(),
        value: value.to_vec(),
        lease,
    }
}

fn span(first: &str, end: &str) -> Span {
    Span {
        first: first.into(),
        end: end.into(),
    }
}

/// Guards against ranges that miss or add keys at their bounds.
#[rstest]
#[case::one_key("b", "", &["b"])]
#[case::prefix("a/", "a0", &["a/1", "a/2"])]
#[case::to_the_end("b", "\0", &["b", "c"])]
#[case::nothing("x", "", &[])]
fn range_bounds(#[case] first: &str, #[case] end: &str, #[case] expected: &[&str]) {
    let mut kv = Kv::default();
    for key in ["c", "a/2", "b", "a/1"] {
        kv.apply(&[put(key, b"v", 0)]).unwrap();
    }
    let found = kv.range(&span(first, end));
    let keys: Vec<&[u8]> = found.iter().map(|it| it.key.as_slice()).collect();
    let expected: Vec<&[u8]> = expected.iter().map(|it| it.as_bytes()).collect();
    assert_eq!(keys, expected);
}

/// Guards against a refused transaction that takes effect in part.
#[test]
fn apply_too_large_value() {
    let mut kv = Kv::default();
    let large = vec![0; MAX_VALUE_BYTES + 1];
    let done = kv.apply(&[put("a", b"v", 0), put("b", &large, 0)]);
    assert!(done.is_err());
    assert_eq!((kv.revision(), kv.find(b"a")), (1, None));
}

/// Guards against a key that outlives its lease, and against a lease that renewal does not keep.
#[test]
fn expire_unrenewed_lease() {
    let start = Instant::now();
    let at = |seconds| start + Duration::from_secs(seconds);
    let mut kv = Kv::default();
    let short = kv.grant(start, Duration::from_secs(5)).unwrap();
    let kept = kv.grant(start, Duration::from_secs(5)).unwrap();
    kv.apply(&[put("short", b"v", short), put("kept", b"v", kept)])
        .unwrap();
    assert!(kv.keep_alive(at(4), kept).is_some());
    assert!(kv.expire(at(6)));
    assert!(kv.find(b"short").is_none() && kv.find(b"kept").is_some());
    assert!(kv.keep_alive(at(6), short).is_none());
    let events = kv.events(&span("short", ""), 0).unwrap();
    assert!(events.last().unwrap().deleted);
}

/// Guards against an operation on an unknown lease being accepted.
#[test]
fn apply_unknown_lease() {
    assert!(Kv::default().apply(&[put("a", b"v", 7)]).is_err());
}

/// Guards against watches that silently skip changes which are no longer known.
#[test]
fn events_compacted() {
    let mut kv = Kv::default();
    for _ in 0..2_000 {
        kv.apply(&[put("a", b"v", 0)]).unwrap();
    }
    assert!(kv.events(&span("a", ""), 2).is_err());
    let recent = kv.events(&span("a", ""), kv.revision()).unwrap();
    assert_eq!(recent.len(), 1);
}

/// Guards against revisions that rise without a change, which would wake watchers for nothing.
#[test]
fn delete_missing_key() {
    let mut kv = Kv::default();
    let done = kv.apply(&[Operation::Delete(span("a", ""))]).unwrap();
    assert_eq!((done, kv.revision()), (vec![Done::Deleted(0)], 1));
}

/// Guards against a rate that lets more calls through than it says.
#[test]
fn take_above_rate() {
    let start = Instant::now();
    let mut rate = Rate::new(10, start);
    let allowed = (0..20).filter(|_| rate.take(start)).count();
    assert_eq!(allowed, 10);
    assert!(rate.take(start + Duration::from_millis(110)));
    assert!(!rate.take(start + Duration::from_millis(110)));
}

/// Guards against a mistyped fault that is taken for success and tests nothing.
#[rstest]
#[case::unknown_field(json!({ "outtage": "hang" }))]
#[case::unknown_outage(json!({ "outage": "maybe" }))]
#[case::no_object(json!(3))]
fn change_malformed_fault(#[case] body: serde_json::Value) {
    assert!(Faults::default().changed_by(&body).is_err());
}

/// Guards against a fault that resets the others.
#[test]
fn change_one_fault() {
    let faults = Faults::default()
        .changed_by(&json!({ "outage": "hang", "lose_answers": 1 }))
        .unwrap();
    let mut faults = faults.changed_by(&json!({ "delay_ms": 5 })).unwrap();
    assert_eq!(faults.outage, Outage::Hang);
    assert!(faults.lose_answer() && !faults.lose_answer());
}
