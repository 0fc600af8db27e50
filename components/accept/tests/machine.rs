//! Acceptance against a fake store with each fault at each step.

use std::time::Duration;

use proptest::collection::vec;
use proptest::prelude::Strategy;
use proptest::proptest;
use proptest::sample::select;
use rstest::rstest;

use accept::Base;
use accept::Cause;
use accept::Edit;
use accept::EditId;
use accept::Effect;
use accept::Entry;
use accept::Failure;
use accept::Input;
use accept::Outcome;
use accept::Settle;
use accept::Written;
use config::Draft;
use config::Record;
use ids::Digest;
use ids::Version;
use kernel::Machine;
use kernel::Time;
use kernel::random::Seeded;
use member::Stamp;
use spread::Revision;

/// What goes wrong with one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    Down,
    Refused,
    /// No answer at all; the machine's time limit ends the wait.
    Silent,
    /// Silent, but the write takes effect.
    SilentAfter,
    LostBefore,
    LostAfter,
    /// The answer is lost and the write takes effect after the next call.
    LostLate,
    /// Another operator's edit comes first.
    Race,
    /// Two edits of others come first.
    RaceTwice,
    /// A node writes the same record again first.
    Rewritten,
    /// The store returns to the record before the present one.
    Restored,
}

const ALL: [Fault; 12] = [
    Fault::None,
    Fault::Down,
    Fault::Refused,
    Fault::Silent,
    Fault::SilentAfter,
    Fault::LostBefore,
    Fault::LostAfter,
    Fault::LostLate,
    Fault::Race,
    Fault::RaceTwice,
    Fault::Rewritten,
    Fault::Restored,
];

#[derive(Default)]
struct Fake {
    entry: Option<Entry>,
    revision: u64,
    /// Each record that was put over another, in order.
    history: Vec<Record>,
    late: Option<(Record, Revision)>,
    calls: usize,
}

fn text(name: &str) -> String {
    format!("services:\n  - name: {name}\n")
}

fn edit(name: &str, base: Base) -> Edit {
    let checked = Draft::new(&text(name)).check().expect("valid");
    Edit {
        checked,
        base,
        fleet: None,
    }
}

impl Fake {
    fn with_versions(count: usize) -> Self {
        let mut fake = Self::default();
        (0..count).for_each(|_| fake.put_other());
        fake
    }

    fn put(&mut self, record: Record) {
        self.revision += 1;
        self.history.push(record.clone());
        self.entry = Some(Entry {
            record,
            revision: Revision(self.revision),
        });
    }

    fn put_other(&mut self) {
        let base = self.entry.as_ref().map(|it| it.record.clone());
        let (version, parent) = base.map_or_else(Default::default, |it| (it.version, it.digest));
        let checked = Draft::new(&text(&format!("other{}", self.history.len())))
            .check()
            .expect("valid");
        self.put(checked.into_record(version.next(), self.history.len() as u128, parent));
    }

    fn swap(&mut self, record: Record, expected: Revision) -> Written {
        if self.entry.as_ref().map_or(Revision(0), |it| it.revision) != expected {
            return Written::Conflict(self.entry.clone());
        }
        self.put(record);
        Written::Done
    }

    fn land_late(&mut self) {
        if let Some((record, expected)) = self.late.take() {
            self.swap(record, expected);
        }
    }

    /// Answers a call; `None` leaves it without answer.
    fn call(&mut self, effect: Effect, fault: Fault) -> Option<Input> {
        self.calls += 1;
        match fault {
            Fault::Race => self.put_other(),
            Fault::RaceTwice => (0..2).for_each(|_| self.put_other()),
            Fault::Rewritten if self.entry.is_some() => {
                self.revision += 1;
                let revision = Revision(self.revision);
                self.entry.iter_mut().for_each(|it| it.revision = revision);
            }
            Fault::Restored if self.history.len() > 1 => {
                let record = self.history[self.history.len() - 2].clone();
                self.put(record);
            }
            _ => {}
        }
        let message = || "fault".to_owned();
        let failure = match fault {
            Fault::Down => Some(Failure::Unreachable { message: message() }),
            Fault::Refused => Some(Failure::Refused { message: message() }),
            Fault::LostBefore | Fault::LostAfter | Fault::LostLate => {
                Some(Failure::Unknown { message: message() })
            }
            _ => None,
        };
        let late = self.late.is_some();
        let input = match effect {
            Effect::Read => Input::Read(failure.map_or_else(|| Ok(self.entry.clone()), Err)),
            Effect::Write { record, expected } => Input::Wrote(match failure {
                None if fault == Fault::Silent => Ok(Written::Done),
                None => Ok(self.swap(record, expected)),
                Some(failure) => {
                    match fault {
                        Fault::LostAfter => drop(self.swap(record, expected)),
                        Fault::LostLate => self.late = Some((record, expected)),
                        _ => {}
                    }
                    Err(failure)
                }
            }),
            Effect::Finish(_) => unreachable!("not a call"),
        };
        if late {
            self.land_late();
        }
        (!matches!(fault, Fault::Silent | Fault::SilentAfter)).then_some(input)
    }
}

fn run<M>(mut machine: M, fake: &mut Fake, faults: &[Fault]) -> Outcome
where
    M: Machine<Input = Input, Effect = Effect>,
{
    let mut random = Seeded::new(1);
    let mut now = Time(0);
    let mut effects = Vec::new();
    let mut faults = faults.iter().copied();
    machine.step(now, Input::Start, &mut random, &mut effects);
    for _ in 0..1_000 {
        if let Some(effect) = effects.pop() {
            assert!(effects.is_empty(), "one call at a time");
            if let Effect::Finish(outcome) = effect {
                return outcome;
            }
            if let Some(input) = fake.call(effect, faults.next().unwrap_or(Fault::None)) {
                machine.step(now, input, &mut random, &mut effects);
            }
        } else {
            now = machine
                .next_wake()
                .expect("a machine that waits has a time limit")
                .max(now);
            machine.wake(now, &mut random, &mut effects);
        }
    }
    panic!("the machine does not end");
}

fn limit() -> Time {
    Time(0) + Duration::from_secs(10)
}

fn apply(fake: &mut Fake, edit: Edit, faults: &[Fault]) -> Outcome {
    run(accept::Machine::new(edit, limit()), fake, faults)
}

fn kind(outcome: &Outcome) -> &'static str {
    match outcome {
        Outcome::Accepted {
            replaced_by: None, ..
        } => "accepted",
        Outcome::Accepted { .. } => "replaced",
        Outcome::Same { .. } => "same",
        Outcome::NotAccepted(Cause::Race { .. }) => "race",
        Outcome::NotAccepted(Cause::OtherText { .. }) => "other text",
        Outcome::NotAccepted(Cause::BaseMissing { .. }) => "base missing",
        Outcome::NotAccepted(Cause::StoreBehind { .. }) => "behind",
        Outcome::NotAccepted(Cause::Unavailable { .. }) => "unavailable",
        Outcome::NotAccepted(Cause::Refused { .. }) => "refused",
        Outcome::NotAccepted(Cause::NeverWritten) => "never written",
        Outcome::NotAccepted(_) => "not accepted",
        Outcome::Unknown { .. } => "unknown",
    }
}

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
    let outcome = apply(&mut fake, edit("mine", Base::Present), faults);
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
#[case::same_without_base("other1", Base::Present, "same")]
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
        fleet,
        ..edit("mine", Base::Present)
    };
    assert_eq!(kind(&apply(&mut fake, edit, &[])), expected);
}

// Guards against a text of a format that this program cannot judge being written over.
#[test]
fn apply_newer_format() {
    let mut fake = Fake::with_versions(1);
    fake.entry.iter_mut().for_each(|it| it.record.format = 2);
    let outcome = apply(&mut fake, edit("mine", Base::Present), &[]);
    assert_eq!(
        outcome,
        Outcome::NotAccepted(Cause::NewerFormat { found: 2 })
    );
}

/// Applies with a write whose answer is lost until the time limit; the write is late or lost.
fn lose(fake: &mut Fake, fault: Fault) -> EditId {
    let mut faults = vec![N, fault];
    faults.extend([Fault::Silent]);
    match apply(fake, edit("mine", Base::Present), &faults) {
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
    let outcome = run(Settle::new(id, limit()), &mut fake, &[]);
    assert_eq!(kind(&outcome), expected, "{outcome:?}");
}

// Guards against a write that is still on its way becoming a version after "not accepted".
#[test]
fn settle_late_write() {
    let mut fake = Fake::with_versions(2);
    let id = lose(&mut fake, Fault::LostBefore);
    let checked = edit("mine", Base::Present).checked;
    let late = checked.into_record(id.version, id.edit, fake.history[1].digest);
    let outcome = run(Settle::new(id, limit()), &mut fake, &[]);
    assert_eq!(outcome, Outcome::NotAccepted(Cause::NeverWritten));
    assert!(matches!(fake.swap(late, id.expected), Written::Conflict(_)));
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
        let outcome = apply(&mut fake, edit("mine", Base::Present), &faults);
        let outcome = match outcome {
            Outcome::Unknown { edit, .. } => run(Settle::new(edit, limit()), &mut fake, &settle),
            other => other,
        };
        fake.land_late();
        let digest = Digest::from_bytes(text("mine").as_bytes());
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
        let outcome = apply(&mut fake, edit("mine", Base::Present), &faults);
        assert_ne!(kind(&outcome), "");
        assert!(fake.calls < 200, "{} calls", fake.calls);
    }
}
