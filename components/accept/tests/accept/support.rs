//! A fake store with faults, and a loop that runs a machine against it.

use std::time::Duration;

use accept::Base;
use accept::Edit;
use accept::Effect;
use accept::Entry;
use accept::Input;
use accept::Outcome;
use accept::Rejection;
use accept::StoreError;
use accept::WriteOutcome;
use config::Draft;
use config::Record;
use kernel::StateMachine;
use kernel::Time;
use kernel::random::SeededRandom;
use spread::Revision;

/// What goes wrong with one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
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

pub(crate) const ALL: [Fault; 12] = [
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
pub(crate) struct Fake {
    pub(crate) entry: Option<Entry>,
    revision: u64,
    /// Each record that was put over another, in order.
    pub(crate) history: Vec<Record>,
    late: Option<(Record, Revision)>,
    pub(crate) calls: usize,
}

pub(crate) fn text(name: &str) -> String {
    format!("services:\n  - name: {name}\n")
}

pub(crate) fn edit(name: &str, base: Base) -> Edit {
    let checked = Draft::new(&text(name)).check().expect("valid");
    Edit {
        checked,
        base,
        newest_in_fleet: None,
    }
}

impl Fake {
    pub(crate) fn with_versions(count: usize) -> Self {
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

    pub(crate) fn put_other(&mut self) {
        let base = self.entry.as_ref().map(|it| it.record.clone());
        let (version, parent) = base.map_or_else(Default::default, |it| (it.version, it.digest));
        let checked = Draft::new(&text(&format!("other{}", self.history.len())))
            .check()
            .expect("valid");
        self.put(checked.into_record(version.next(), self.history.len() as u128, parent));
    }

    pub(crate) fn swap(&mut self, record: Record, expected: Revision) -> WriteOutcome {
        if self.entry.as_ref().map_or(Revision(0), |it| it.revision) != expected {
            return WriteOutcome::Conflict(self.entry.clone());
        }
        self.put(record);
        WriteOutcome::Done
    }

    pub(crate) fn land_late(&mut self) {
        if let Some((record, expected)) = self.late.take() {
            self.swap(record, expected);
        }
    }

    /// Answers a call; `None` leaves it without answer.
    pub(crate) fn call(&mut self, effect: Effect, fault: Fault) -> Option<Input> {
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
            Fault::Down => Some(StoreError::Unreachable { message: message() }),
            Fault::Refused => Some(StoreError::Refused { message: message() }),
            Fault::LostBefore | Fault::LostAfter | Fault::LostLate => {
                Some(StoreError::Unknown { message: message() })
            }
            _ => None,
        };
        let late = self.late.is_some();
        let input = match effect {
            Effect::Read => Input::ReadDone(failure.map_or_else(|| Ok(self.entry.clone()), Err)),
            Effect::Write { record, expected } => Input::WriteDone(match failure {
                None if fault == Fault::Silent => Ok(WriteOutcome::Done),
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

pub(crate) fn run<M>(mut machine: M, fake: &mut Fake, faults: &[Fault]) -> Outcome
where
    M: StateMachine<Input = Input, Effect = Effect>,
{
    let mut random = SeededRandom::new(1);
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

pub(crate) fn limit() -> Time {
    Time(0) + Duration::from_secs(10)
}

pub(crate) fn apply(fake: &mut Fake, edit: Edit, faults: &[Fault]) -> Outcome {
    run(accept::ApplyMachine::new(edit, limit()), fake, faults)
}

pub(crate) fn kind(outcome: &Outcome) -> &'static str {
    match outcome {
        Outcome::Accepted {
            replaced_by: None, ..
        } => "accepted",
        Outcome::Accepted { .. } => "replaced",
        Outcome::Unchanged { .. } => "same",
        Outcome::NotAccepted(Rejection::ConcurrentEdit { .. }) => "race",
        Outcome::NotAccepted(Rejection::BaseTextMismatch { .. }) => "other text",
        Outcome::NotAccepted(Rejection::BaseMissing { .. }) => "base missing",
        Outcome::NotAccepted(Rejection::StoreBehind { .. }) => "behind",
        Outcome::NotAccepted(Rejection::Timeout { .. }) => "unavailable",
        Outcome::NotAccepted(Rejection::Refused { .. }) => "refused",
        Outcome::NotAccepted(Rejection::NeverWritten) => "never written",
        Outcome::NotAccepted(_) => "not accepted",
        Outcome::Unknown { .. } => "unknown",
    }
}
