//! Tests of the settle machine on edits whose outcome is unknown.

use rstest::rstest;

use crate::support::FakeStore;
use crate::support::Fault;
use crate::support::apply;
use crate::support::deadline;
use crate::support::edit;
use crate::support::outcome_name;
use crate::support::run;
use accept::Base;
use accept::EditId;
use accept::Outcome;
use accept::Rejection;
use accept::SettleMachine;
use accept::WriteOutcome;

const NO_FAULT: Fault = Fault::None;

/// Applies an edit whose write fails with `fault` and gets no answer until the deadline. The
/// outcome must be unknown; returns the edit id to settle.
fn apply_without_answer(store: &mut FakeStore, fault: Fault) -> EditId {
    let mut faults = vec![NO_FAULT, fault];
    faults.extend([Fault::NoAnswer]);
    match apply(store, edit("mine", Base::Current), &faults) {
        Outcome::Unknown { edit_id, .. } => edit_id,
        other => panic!("{other:?}"),
    }
}

// Checks the outcome after the write did or didn't take effect and other edits followed.
#[rstest]
#[case::written(Fault::AnswerLost, 0, "accepted")]
#[case::written_then_replaced(Fault::AnswerLost, 1, "replaced")]
#[case::written_then_replaced_twice(Fault::AnswerLost, 2, "unknown")]
#[case::not_written(Fault::CallLost, 0, "never written")]
#[case::not_written_then_concurrent_edit(Fault::CallLost, 1, "never written")]
#[case::not_written_then_two_concurrent_edits(Fault::CallLost, 2, "unknown")]
fn settle_outcome(#[case] fault: Fault, #[case] others: usize, #[case] expected: &str) {
    let mut store = FakeStore::with_versions(2);
    let id = apply_without_answer(&mut store, fault);
    assert_eq!(id.to_string().parse(), Ok(id));
    (0..others).for_each(|_| store.put_other_edit());
    let outcome = run(SettleMachine::new(id, deadline()), &mut store, &[]);
    assert_eq!(outcome_name(&outcome), expected, "{outcome:?}");
}

// Checks that a delayed write can't take effect any more once its edit was reported as not
// accepted.
#[test]
fn settle_delayed_write() {
    let mut store = FakeStore::with_versions(2);
    let id = apply_without_answer(&mut store, Fault::CallLost);
    let checked = edit("mine", Base::Current).checked;
    let delayed_write = checked.into_record(id.version, id.edit_hash, store.history[1].digest);
    let outcome = run(SettleMachine::new(id, deadline()), &mut store, &[]);
    assert_eq!(outcome, Outcome::NotAccepted(Rejection::NeverWritten));
    assert!(matches!(
        store.compare_and_swap(delayed_write, id.expected),
        WriteOutcome::Conflict(_)
    ));
}

// Checks that no edit is reported as never written after the store has returned to an older copy. The
// revision that its write expects is given out again, so that a delayed write can still take effect.
#[test]
fn settle_restored() {
    let mut store = FakeStore::with_versions(2);
    store.rewrite();
    let id = apply_without_answer(&mut store, Fault::CallLost);
    store.restore_revision();
    let outcome = run(SettleMachine::new(id, deadline()), &mut store, &[]);
    assert_eq!(outcome_name(&outcome), "unknown", "{outcome:?}");
    // Later writes pass the expected revision, which proves that the write can't take effect.
    store.rewrite();
    store.rewrite();
    let outcome = run(SettleMachine::new(id, deadline()), &mut store, &[]);
    assert_eq!(outcome_name(&outcome), "never written", "{outcome:?}");
}

// Checks that malformed edit ids are rejected, so that none is read as the id of another edit.
#[rstest]
#[case::empty("")]
#[case::short("1-2-3")]
#[case::long("1-2-3-4-5")]
#[case::minus_sign("1-2--3-4")]
fn parse_edit_id_invalid(#[case] text: &str) {
    assert!(text.parse::<EditId>().is_err());
}
