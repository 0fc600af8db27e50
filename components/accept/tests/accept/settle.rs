//! Settlement of edits whose outcome was unknown.

use rstest::rstest;

use crate::support::Fake;
use crate::support::Fault;
use crate::support::apply;
use crate::support::edit;
use crate::support::kind;
use crate::support::limit;
use crate::support::run;
use accept::Base;
use accept::EditId;
use accept::Outcome;
use accept::Rejection;
use accept::SettleMachine;
use accept::WriteOutcome;

const N: Fault = Fault::None;

/// Applies with a write whose answer is lost until the time limit; the write is late or lost.
fn lose(fake: &mut Fake, fault: Fault) -> EditId {
    let mut faults = vec![N, fault];
    faults.extend([Fault::Silent]);
    match apply(fake, edit("mine", Base::Current), &faults) {
        Outcome::Unknown { edit, .. } => edit,
        other => panic!("{other:?}"),
    }
}

// Guards against a settlement that a late write refutes.
#[rstest]
#[case::written(Fault::LostAfter, 0, "accepted")]
#[case::written_then_replaced(Fault::LostAfter, 1, "replaced")]
#[case::written_then_forgotten(Fault::LostAfter, 2, "unknown")]
#[case::not_written(Fault::LostBefore, 0, "never written")]
#[case::not_written_then_other(Fault::LostBefore, 1, "never written")]
#[case::not_written_then_others(Fault::LostBefore, 2, "unknown")]
fn settle_case(#[case] fault: Fault, #[case] others: usize, #[case] expected: &str) {
    let mut fake = Fake::with_versions(2);
    let id = lose(&mut fake, fault);
    assert_eq!(id.to_string().parse(), Ok(id));
    (0..others).for_each(|_| fake.put_other());
    let outcome = run(SettleMachine::new(id, limit()), &mut fake, &[]);
    assert_eq!(kind(&outcome), expected, "{outcome:?}");
}

// Guards against a write that is still on its way becoming a version after "not accepted".
#[test]
fn settle_late_write() {
    let mut fake = Fake::with_versions(2);
    let id = lose(&mut fake, Fault::LostBefore);
    let checked = edit("mine", Base::Current).checked;
    let late = checked.into_record(id.version, id.edit, fake.history[1].digest);
    let outcome = run(SettleMachine::new(id, limit()), &mut fake, &[]);
    assert_eq!(outcome, Outcome::NotAccepted(Rejection::NeverWritten));
    assert!(matches!(
        fake.swap(late, id.expected),
        WriteOutcome::Conflict(_)
    ));
}

// Guards against an id that is taken for another edit.
#[rstest]
#[case::empty("")]
#[case::short("1-2-3")]
#[case::long("1-2-3-4-5")]
#[case::sign("1-2--3-4")]
fn parse_edit_id_refused(#[case] text: &str) {
    assert!(text.parse::<EditId>().is_err());
}
