//! Tests of what the answers of the store prove about the newest configuration.

use std::sync::Arc;

use rstest::rstest;

use config::NEWEST_FORMAT;
use config::Record;
use ids::Digest;
use ids::Version;
use kernel::Time;
use kernel::random::SeededRandom;
use spread::Machine;
use spread::Revision;
use spread::StoreEvent;

fn value(version: u64, revision: u64) -> StoreEvent {
    let text = "services: []\n";
    StoreEvent::Value {
        record: (version != 0).then(|| Record {
            version: Version(version),
            edit_hash: 1,
            parent_digest: Digest::default(),
            digest: Digest::of(text.as_bytes()),
            format: NEWEST_FORMAT,
            text: Arc::from(text),
        }),
        revision: Revision::from(revision),
        store_revision: Revision::from(revision),
        is_writable: false,
    }
}

fn unchanged(revision: u64) -> StoreEvent {
    let store_revision = Revision::from(revision);
    StoreEvent::Unchanged { store_revision }
}

fn unreadable(revision: u64) -> StoreEvent {
    let store_revision = Revision::from(revision);
    StoreEvent::Unreadable { store_revision }
}

/// An answer that is taken for more than it states keeps withdrawn keys accepted: a watch without a change confirms
/// the record that it started from, and none if that could not be read, was refused or belongs to a lost history.
#[rstest]
#[case::read(vec![value(5, 9)], Some(5))]
#[case::missing_key(vec![value(0, 9)], Some(0))]
#[case::unchanged(vec![value(5, 9), unchanged(9), unchanged(12)], Some(5))]
#[case::changed(vec![value(5, 9), value(6, 10), unchanged(12)], Some(6))]
#[case::unreadable(vec![value(5, 9), unreadable(10)], None)]
#[case::unchanged_after_unreadable(vec![value(5, 9), unreadable(10), unchanged(12)], None)]
#[case::other_history(vec![value(5, 9), unchanged(8)], None)]
#[case::failed(vec![value(5, 9), StoreEvent::Failed], None)]
#[case::no_watch(vec![unchanged(9)], None)]
fn proved_version_answers(#[case] events: Vec<StoreEvent>, #[case] expected: Option<u64>) {
    let (mut machine, mut random, mut out) = (Machine::default(), SeededRandom::new(1), Vec::new());
    machine.set_watcher(true, Time(0), &mut out);
    machine.wake(Time(0), &mut random, &mut out);
    for event in events {
        machine.handle_store_event(Time(0), event, &mut random, &mut out);
    }
    assert_eq!(machine.proved_version(), expected.map(Version));
}
