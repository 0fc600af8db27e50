//! Tests of the apply machine against a fake store that fails at any step.

use proptest::collection::vec;
use proptest::prelude::Strategy;
use proptest::proptest;
use proptest::sample::select;
use rstest::rstest;

use crate::support::ALL_FAULTS;
use crate::support::FakeStore;
use crate::support::Fault;
use crate::support::apply;
use crate::support::config_text;
use crate::support::deadline;
use crate::support::edit;
use crate::support::outcome_name;
use crate::support::run;
use accept::Base;
use accept::Edit;
use accept::Outcome;
use accept::Rejection;
use accept::SettleMachine;
use ids::Digest;
use ids::Version;
use member::ConfigId;

const NO_FAULT: Fault = Fault::None;

// Checks the outcome for each fault at each step. The calls are a read, a write and, if the answer
// to the write is lost, a read back.
#[rstest]
#[case::no_fault(&[], "accepted")]
#[case::read_unreachable(&[Fault::Unreachable], "accepted")]
#[case::read_always_unreachable(&[Fault::Unreachable; 900], "timeout")]
#[case::read_refused(&[Fault::Refused], "refused")]
#[case::read_no_answer(&[Fault::NoAnswer], "timeout")]
#[case::write_unreachable(&[NO_FAULT, Fault::Unreachable], "accepted")]
#[case::write_refused(&[NO_FAULT, Fault::Refused], "refused")]
#[case::write_no_answer(&[NO_FAULT, Fault::NoAnswer], "unknown")]
#[case::write_no_answer_but_written(&[NO_FAULT, Fault::NoAnswerAfterWrite], "unknown")]
#[case::write_answer_lost_not_written(&[NO_FAULT, Fault::CallLost], "accepted")]
#[case::write_answer_lost_but_written(&[NO_FAULT, Fault::AnswerLost], "accepted")]
#[case::write_delayed(&[NO_FAULT, Fault::WriteDelayed], "accepted")]
#[case::write_concurrent_edit(&[NO_FAULT, Fault::ConcurrentEdit], "concurrent edit")]
#[case::write_rewritten(&[NO_FAULT, Fault::Rewritten], "accepted")]
#[case::write_restored(&[NO_FAULT, Fault::Restored], "concurrent edit")]
#[case::read_back_unreachable(&[NO_FAULT, Fault::AnswerLost, Fault::Unreachable], "accepted")]
#[case::read_back_refused(&[NO_FAULT, Fault::AnswerLost, Fault::Refused], "unknown")]
#[case::read_back_no_answer(&[NO_FAULT, Fault::AnswerLost, Fault::NoAnswer], "unknown")]
#[case::read_back_written_then_replaced(&[NO_FAULT, Fault::AnswerLost, Fault::ConcurrentEdit], "replaced")]
#[case::read_back_written_then_replaced_twice(&[NO_FAULT, Fault::AnswerLost, Fault::TwoConcurrentEdits], "unknown")]
#[case::read_back_not_written_concurrent_edit(&[NO_FAULT, Fault::CallLost, Fault::ConcurrentEdit], "concurrent edit")]
#[case::read_back_not_written_two_concurrent_edits(&[NO_FAULT, Fault::CallLost, Fault::TwoConcurrentEdits], "unknown")]
#[case::write_unreachable_then_concurrent_edit(&[NO_FAULT, Fault::Unreachable, Fault::ConcurrentEdit], "concurrent edit")]
#[case::write_delayed_then_restored(&[Fault::Rewritten, Fault::WriteDelayed, Fault::RevisionRestored, Fault::Refused], "unknown")]
fn apply_fault(#[case] faults: &[Fault], #[case] expected: &str) {
    let mut store = FakeStore::with_versions(2);
    let outcome = apply(&mut store, edit("mine", Base::Current), faults);
    assert_eq!(outcome_name(&outcome), expected, "{outcome:?}");
}

fn base_version(number: u64) -> Base {
    Base::Version {
        version: Version(number),
        digest: None,
    }
}

// Checks that an edit of an old version doesn't overwrite a newer one, and that a repeated edit
// makes no second version.
#[rstest]
#[case::current("mine", base_version(2), "accepted")]
#[case::older("mine", base_version(1), "concurrent edit")]
#[case::first_text("mine", base_version(0), "concurrent edit")]
#[case::newer("mine", base_version(3), "base missing")]
#[case::same("other1", base_version(2), "unchanged")]
#[case::same_without_base("other1", Base::Current, "unchanged")]
#[case::replaced_before("other0", base_version(0), "replaced")]
#[case::other_text("mine", Base::Version { version: Version(2), digest: Some(Digest(1)) }, "base text mismatch")]
fn apply_base(#[case] name: &str, #[case] base: Base, #[case] expected: &str) {
    let mut store = FakeStore::with_versions(2);
    let outcome = apply(&mut store, edit(name, base), &[]);
    assert_eq!(outcome_name(&outcome), expected, "{outcome:?}");
    if expected == "accepted" {
        let again = apply(&mut store, edit(name, base), &[]);
        assert_eq!(
            (outcome_name(&again), store.history.len()),
            ("unchanged", 3),
            "{again:?}"
        );
    }
}

// Checks that nothing is written to a store that was restored from a backup and holds an older
// version than the nodes, or another text under the same version.
#[rstest]
#[case::store_behind(Some(3), false, "store behind")]
#[case::same_version_same_text(Some(2), true, "accepted")]
#[case::same_version_other_text(Some(2), false, "not accepted")]
#[case::fleet_behind(Some(1), false, "accepted")]
#[case::not_asked(None, false, "accepted")]
fn apply_newest_in_fleet(
    #[case] version: Option<u64>,
    #[case] same_text: bool,
    #[case] expected: &str,
) {
    let mut store = FakeStore::with_versions(2);
    let digest = if same_text {
        store.history[1].digest
    } else {
        Digest(1)
    };
    let newest_in_fleet = version.map(|version| ConfigId {
        version: Version(version),
        digest,
    });
    let edit = Edit {
        newest_in_fleet,
        ..edit("mine", Base::Current)
    };
    assert_eq!(outcome_name(&apply(&mut store, edit, &[])), expected);
}

// Checks that a record of a newer format, which this program can't check, isn't overwritten.
#[test]
fn apply_newer_format() {
    let mut store = FakeStore::with_versions(1);
    store.entry.iter_mut().for_each(|it| it.record.format = 2);
    let outcome = apply(&mut store, edit("mine", Base::Current), &[]);
    assert_eq!(
        outcome,
        Outcome::NotAccepted(Rejection::NewerFormat { found: 2 })
    );
}

fn any_fault_but_restore() -> impl Strategy<Value = Fault> {
    // Without `Restored`, the last one: a store that is restored loses accepted edits by itself.
    select(ALL_FAULTS[..ALL_FAULTS.len() - 1].to_vec())
}

proptest! {
    // Checks that no mix of faults loses an accepted edit, writes one twice or makes the machines
    // report a false outcome.
    #[test]
    fn apply_any_faults(faults in vec(any_fault_but_restore(), 0..12), settle_faults in vec(any_fault_but_restore(), 0..6), initial_versions in 0_usize..3) {
        let mut store = FakeStore::with_versions(initial_versions);
        let outcome = apply(&mut store, edit("mine", Base::Current), &faults);
        let outcome = match outcome {
            Outcome::Unknown { edit_id, .. } => run(SettleMachine::new(edit_id, deadline()), &mut store, &settle_faults),
            other => other,
        };
        store.apply_delayed_write();
        let digest = Digest::of(config_text("mine").as_bytes());
        let written = store.history.iter().filter(|it| it.digest == digest).count();
        match outcome_name(&outcome) {
            "accepted" | "replaced" => assert_eq!(written, 1, "{outcome:?}"),
            "unknown" => assert!(written <= 1, "{outcome:?}"),
            _ => assert_eq!(written, 0, "{outcome:?}"),
        }
        for pair in store.history.windows(2) {
            let is_rewrite = pair[0] == pair[1];
            assert!(is_rewrite || pair[1].parent_digest == pair[0].digest, "an edit was lost");
            assert!(is_rewrite || pair[1].version > pair[0].version, "a version went back");
        }
    }

    // Checks that the machine terminates after a bounded number of calls, whatever the store does.
    #[test]
    fn apply_terminates(faults in vec(select(ALL_FAULTS.to_vec()), 0..40)) {
        let mut store = FakeStore::with_versions(2);
        let outcome = apply(&mut store, edit("mine", Base::Current), &faults);
        assert_ne!(outcome_name(&outcome), "");
        assert!(store.calls < 200, "{} calls", store.calls);
    }
}
