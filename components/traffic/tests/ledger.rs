//! Tests of the ledger: retention of records, bounded size and bounded work per call.

use proptest::collection::vec;
use proptest::prelude::ProptestConfig;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::proptest;
use rstest::rstest;

use errors::Verdict;
use ids::RequestId;
use kernel::Random;
use kernel::Time;
use kernel::random::SeededRandom;
use traffic::ledger::Ledger;
use traffic::ledger::RETENTION;
use traffic::ledger::Record;
use traffic::ledger::RecordState;

const DONE: RecordState = RecordState::Done {
    verdict: Verdict::Ran,
    stored: false,
};

fn record(id: u128, expires: u64, idempotent: bool, state: RecordState) -> Record {
    Record {
        id: RequestId(id),
        attempt: 1,
        expires: Time(expires),
        idempotent,
        state,
        earlier_verdict: Verdict::NotRun,
    }
}

/// Guards against idempotent requests that fill the ledger and leave no room for the requests that
/// may run only once.
#[rstest]
fn upsert_full() {
    let mut ledger = Ledger::new(8);
    let inserted = (0..8).filter(|id| ledger.upsert(record(*id, 10, true, DONE)));
    assert_eq!(inserted.count(), 6);
    assert!(ledger.upsert(record(10, 10, false, DONE)));
    assert!(ledger.upsert(record(11, 10, false, DONE)));
    assert!(!ledger.upsert(record(12, 10, false, DONE)));
    assert!(ledger.upsert(record(11, 20, false, DONE)));
}

/// Guards against removing the entry of a running request at its expiry, and against keeping the
/// entry after that request has ended.
#[rstest]
fn expire_open() {
    let mut ledger = Ledger::new(8);
    let open = RecordState::Open { tag: 3 };
    ledger.upsert(record(1, 10, false, open));
    ledger.expire(Time(11) + RETENTION);
    assert_eq!(ledger.get(RequestId(1)).map(|it| it.state), Some(open));
    ledger.close(RequestId(1), 3, DONE);
    assert!(ledger.is_empty());
}

/// Guards against a false proof of absence for an idempotent request that was accepted without a
/// record because no entry fitted.
#[rstest]
fn note_unrecorded_absence() {
    let mut ledger = Ledger::new(4);
    ledger.note_unrecorded(Time(100));
    assert!(!ledger.proves_absence(Time(50), Time(100)));
    assert!(ledger.proves_absence(Time(50), Time(101)));
}

/// Guards against one call of `expire` that removes all entries and so holds the caller's lock too
/// long.
#[rstest]
fn expire_many() {
    const COUNT: usize = 100_000;
    let mut random = SeededRandom::new(5);
    let mut ledger = Ledger::new(COUNT);
    for _ in 0..COUNT {
        let id = u128::from(random.next_u64()) << 64 | u128::from(random.next_u64());
        assert!(ledger.upsert(record(id, 1_000, false, DONE)));
    }
    let before = ledger.len();
    ledger.expire(Time(1_000_000) + RETENTION);
    assert_eq!(before - ledger.len(), 512);
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(128) })]

    /// Guards against entries that are removed before they expire or are never removed; compares
    /// the ledger with a plain list.
    #[rstest]
    fn expire_any(steps in vec((0_u128..24, 0_u64..400, 0_u8..4), 1..200)) {
        let mut ledger = Ledger::new(16);
        let mut model: Vec<Record> = Vec::new();
        let keep = u64::try_from(RETENTION.as_micros()).unwrap();
        let mut now = 0;
        for (id, span, kind) in steps {
            now += span * keep / 400;
            let state = if kind == 0 { RecordState::Open { tag: 1 } } else { DONE };
            let added = record(id, now + span, false, state);
            let known = model.iter().position(|it| it.id == added.id);
            if kind == 3 {
                ledger.close(added.id, 1, DONE);
                if let Some(at) = known {
                    model[at].state = DONE;
                }
            } else if ledger.upsert(added) {
                match known {
                    Some(at) => {
                        let expires = model[at].expires.max(added.expires);
                        model[at] = Record { expires, ..added };
                    }
                    None => model.push(added),
                }
            } else {
                prop_assert!(known.is_none() && model.len() >= 16);
            }
            ledger.expire(Time(now));
            model.retain(|it| it.state != DONE || it.expires + RETENTION > Time(now));
            prop_assert_eq!(ledger.len(), model.len());
            for it in &model {
                prop_assert_eq!(ledger.get(it.id), Some(*it));
            }
        }
    }
}
