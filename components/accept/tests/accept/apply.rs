//! Acceptance against a fake store with each fault at each step.

use proptest::collection::vec;
use proptest::prelude::Strategy;
use proptest::proptest;
use proptest::sample::select;
use rstest::rstest;

use crate::support::ALL;
use crate::support::Fake;
use crate::support::Fault;
use crate::support::apply;
use crate::support::edit;
use crate::support::kind;
use crate::support::limit;
use crate::support::run;
use crate::support::text;
use accept::Base;
use accept::Edit;
use accept::Outcome;
use accept::Rejection;
use accept::SettleMachine;
use ids::Digest;
use ids::Version;
use member::Stamp;

const N: Fault = Fault::None;

// Guards against a wrong conclusion from one fault at one step: calls are read, write, read back.
#[rstest]
#[case::no_fault(&[], "accepted")]
#[case::read_down(&[Fault::Down], "accepted")]
#[case::read_always_down(&[Fault::Down; 900], "unavailable")]
#[case::read_refused(&[Fault::Refused], "refused")]
#[case::read_silent(&[Fault::Silent], "unavailable")]
#[case::write_down(&[N, Fault::Down], "accepted")]
#[case::write_refused(&[N, Fault::Refused], "refused")]
#[case::write_silent(&[N, Fault::Silent], "unknown")]
#[case::write_silent_after(&[N, Fault::SilentAfter], "unknown")]
#[case::write_lost_before(&[N, Fault::LostBefore], "accepted")]
#[case::write_lost_after(&[N, Fault::LostAfter], "accepted")]
#[case::write_lost_late(&[N, Fault::LostLate], "accepted")]
#[case::write_race(&[N, Fault::Race], "race")]
#[case::write_rewritten(&[N, Fault::Rewritten], "accepted")]
#[case::write_restored(&[N, Fault::Restored], "race")]
#[case::back_down(&[N, Fault::LostAfter, Fault::Down], "accepted")]
#[case::back_refused(&[N, Fault::LostAfter, Fault::Refused], "unknown")]
#[case::back_silent(&[N, Fault::LostAfter, Fault::Silent], "unknown")]
#[case::back_race_after(&[N, Fault::LostAfter, Fault::Race], "replaced")]
#[case::back_race_twice_after(&[N, Fault::LostAfter, Fault::RaceTwice], "unknown")]
#[case::back_race_before(&[N, Fault::LostBefore, Fault::Race], "race")]
#[case::back_race_twice_before(&[N, Fault::LostBefore, Fault::RaceTwice], "unknown")]
#[case::down_then_race(&[N, Fault::Down, Fault::Race], "race")]
fn apply_fault(#[case] faults: &[Fault], #[case] expected: &str) {
    let mut fake = Fake::with_versions(2);
    let outcome = apply(&mut fake, edit("mine", Base::Current), faults);
    assert_eq!(kind(&outcome), expected, "{outcome:?}");
}

fn version(number: u64) -> Base {
    Base::Version {
        version: Version(number),
        digest: None,
    }
}

// Guards against an edit of an old version written over a newer one, and against a second version
// for a repeated edit.
#[rstest]
#[case::present("mine", version(2), "accepted")]
#[case::older("mine", version(1), "race")]
#[case::first("mine", version(0), "race")]
#[case::newer("mine", version(3), "base missing")]
#[case::same("other1", version(2), "same")]
#[case::same_without_base("other1", Base::Current, "same")]
#[case::earlier("other0", version(0), "replaced")]
#[case::other_text("mine", Base::Version { version: Version(2), digest: Some(Digest(1)) }, "other text")]
fn apply_base(#[case] name: &str, #[case] base: Base, #[case] expected: &str) {
    let mut fake = Fake::with_versions(2);
    let outcome = apply(&mut fake, edit(name, base), &[]);
    assert_eq!(kind(&outcome), expected, "{outcome:?}");
    if expected == "accepted" {
        let again = apply(&mut fake, edit(name, base), &[]);
        assert_eq!((kind(&again), fake.history.len()), ("same", 3), "{again:?}");
    }
}

// Guards against a version below the fleet's, or another text under it, after a restore of the store.
#[rstest]
#[case::behind(Some(3), false, "behind")]
#[case::level(Some(2), true, "accepted")]
#[case::other_text(Some(2), false, "not accepted")]
#[case::lower(Some(1), false, "accepted")]
#[case::not_asked(None, false, "accepted")]
fn apply_fleet(#[case] version: Option<u64>, #[case] same: bool, #[case] expected: &str) {
    let mut fake = Fake::with_versions(2);
    let digest = if same {
        fake.history[1].digest
    } else {
        Digest(1)
    };
    let fleet = version.map(|version| Stamp {
        version: Version(version),
        digest,
    });
    let edit = Edit {
        newest_in_fleet: fleet,
        ..edit("mine", Base::Current)
    };
    assert_eq!(kind(&apply(&mut fake, edit, &[])), expected);
}

// Guards against a text of a format that this program cannot judge being written over.
#[test]
fn apply_newer_format() {
    let mut fake = Fake::with_versions(1);
    fake.entry.iter_mut().for_each(|it| it.record.format = 2);
    let outcome = apply(&mut fake, edit("mine", Base::Current), &[]);
    assert_eq!(
        outcome,
        Outcome::NotAccepted(Rejection::NewerFormat { found: 2 })
    );
}

fn fault() -> impl Strategy<Value = Fault> {
    // Without restores: these are the store's own loss of an accepted edit.
    select(ALL[..ALL.len() - 1].to_vec())
}

proptest! {
    // Guards against any mix of faults that loses an edit silently, accepts one twice or reports
    // what is not so.
    #[test]
    fn apply_any_faults(faults in vec(fault(), 0..12), settle in vec(fault(), 0..6), present in 0_usize..3) {
        let mut fake = Fake::with_versions(present);
        let outcome = apply(&mut fake, edit("mine", Base::Current), &faults);
        let outcome = match outcome {
            Outcome::Unknown { edit, .. } => run(SettleMachine::new(edit, limit()), &mut fake, &settle),
            other => other,
        };
        fake.land_late();
        let digest = Digest::of(text("mine").as_bytes());
        let mine = fake.history.iter().filter(|it| it.digest == digest).count();
        match kind(&outcome) {
            "accepted" | "replaced" => assert_eq!(mine, 1, "{outcome:?}"),
            "unknown" => assert!(mine <= 1, "{outcome:?}"),
            _ => assert_eq!(mine, 0, "{outcome:?}"),
        }
        for pair in fake.history.windows(2) {
            let same = pair[0] == pair[1];
            assert!(same || pair[1].parent == pair[0].digest, "an edit was lost");
            assert!(same || pair[1].version > pair[0].version, "a version went back");
        }
    }

    // Guards against a machine that does not end, whatever the store does.
    #[test]
    fn apply_ends(faults in vec(select(ALL.to_vec()), 0..40)) {
        let mut fake = Fake::with_versions(2);
        let outcome = apply(&mut fake, edit("mine", Base::Current), &faults);
        assert_ne!(kind(&outcome), "");
        assert!(fake.calls < 200, "{} calls", fake.calls);
    }
}
