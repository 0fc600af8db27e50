//! A fake store that injects faults, and a loop that runs a state machine against it.

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
use config::DraftConfig;
use config::Record;
use kernel::StateMachine;
use kernel::Time;
use kernel::random::SeededRandom;
use spread::Revision;

/// Fault injected into one store call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    None,
    /// The call fails and has no effect.
    Unreachable,
    /// The store refuses the call, which has no effect.
    Refused,
    /// The call has no effect and no answer arrives; the machine's deadline ends the wait.
    NoAnswer,
    /// A write takes effect, but no answer arrives.
    NoAnswerAfterWrite,
    /// The call is lost and reported as of unknown effect; a write takes no effect.
    CallLost,
    /// The answer is lost, so that the effect is reported as unknown; a write takes effect.
    AnswerLost,
    /// The answer is lost, and the write takes effect only after the next call.
    WriteDelayed,
    /// Another operator's edit is accepted just before the call.
    ConcurrentEdit,
    /// Two edits of other operators are accepted just before the call.
    TwoConcurrentEdits,
    /// A node writes the stored record again just before the call, which changes the revision.
    Rewritten,
    /// The store returns, just before the call, to a copy from before the last write of the same record,
    /// whose revision is given out again.
    RevisionRestored,
    /// The store is restored to the previous record just before the call.
    Restored,
}

pub(crate) const ALL_FAULTS: [Fault; 12] = [
    Fault::None,
    Fault::Unreachable,
    Fault::Refused,
    Fault::NoAnswer,
    Fault::NoAnswerAfterWrite,
    Fault::CallLost,
    Fault::AnswerLost,
    Fault::WriteDelayed,
    Fault::ConcurrentEdit,
    Fault::TwoConcurrentEdits,
    Fault::Rewritten,
    Fault::Restored,
];

/// An in-memory store that holds only the configuration key.
#[derive(Default)]
pub(crate) struct FakeStore {
    pub(crate) entry: Option<Entry>,
    revision: u64,
    /// Every record that was written, in order.
    pub(crate) history: Vec<Record>,
    /// A write that takes effect after the next call.
    delayed_write: Option<(Record, Revision)>,
    pub(crate) calls: usize,
}

pub(crate) fn config_text(name: &str) -> String {
    format!("services:\n  - name: {name}\n")
}

pub(crate) fn edit(name: &str, base: Base) -> Edit {
    let checked = DraftConfig::new(&config_text(name)).check().expect("valid");
    Edit {
        checked,
        base,
        newest_in_fleet: None,
    }
}

impl FakeStore {
    pub(crate) fn with_versions(count: usize) -> Self {
        let mut store = Self::default();
        (0..count).for_each(|_| store.put_other_edit());
        store
    }

    fn put(&mut self, record: Record) {
        self.revision += 1;
        self.history.push(record.clone());
        self.entry = Some(Entry {
            record,
            revision: Revision::from(self.revision),
        });
    }

    /// Writes the stored record again.
    pub(crate) fn rewrite(&mut self) {
        self.revision += 1;
        let revision = Revision::from(self.revision);
        self.entry.iter_mut().for_each(|it| it.revision = revision);
    }

    /// Returns to a copy from before the stored record was written again.
    pub(crate) fn restore_revision(&mut self) {
        self.revision -= 1;
        let revision = Revision::from(self.revision);
        self.entry.iter_mut().for_each(|it| it.revision = revision);
    }

    /// Accepts an edit of another operator.
    pub(crate) fn put_other_edit(&mut self) {
        let base = self.entry.as_ref().map(|it| it.record.clone());
        let (version, parent) = base.map_or_else(Default::default, |it| (it.version, it.digest));
        let checked = DraftConfig::new(&config_text(&format!("other{}", self.history.len())))
            .check()
            .expect("valid");
        self.put(checked.into_record(version.next(), self.history.len() as u128, parent));
    }

    pub(crate) fn compare_and_swap(&mut self, record: Record, expected: Revision) -> WriteOutcome {
        if self
            .entry
            .as_ref()
            .map_or(Revision::from(0), |it| it.revision)
            != expected
        {
            return WriteOutcome::Conflict(self.entry.clone());
        }
        self.put(record);
        WriteOutcome::Done
    }

    pub(crate) fn apply_delayed_write(&mut self) {
        if let Some((record, expected)) = self.delayed_write.take() {
            self.compare_and_swap(record, expected);
        }
    }

    /// Executes the call with the fault; `None` means that no answer arrives.
    pub(crate) fn answer_call(&mut self, effect: Effect, fault: Fault) -> Option<Input> {
        self.calls += 1;
        match fault {
            Fault::ConcurrentEdit => self.put_other_edit(),
            Fault::TwoConcurrentEdits => (0..2).for_each(|_| self.put_other_edit()),
            Fault::Rewritten if self.entry.is_some() => self.rewrite(),
            Fault::RevisionRestored => self.restore_revision(),
            Fault::Restored if self.history.len() > 1 => {
                let record = self.history[self.history.len() - 2].clone();
                self.put(record);
            }
            _ => {}
        }
        let message = || "fault".to_owned();
        let failure = match fault {
            Fault::Unreachable => Some(StoreError::Unreachable { message: message() }),
            Fault::Refused => Some(StoreError::Refused { message: message() }),
            Fault::CallLost | Fault::AnswerLost | Fault::WriteDelayed => {
                Some(StoreError::OutcomeUnknown { message: message() })
            }
            _ => None,
        };
        let has_delayed_write = self.delayed_write.is_some();
        let input = match effect {
            Effect::Read => Input::ReadDone(failure.map_or_else(|| Ok(self.entry.clone()), Err)),
            Effect::Write { record, expected } => Input::WriteDone(match failure {
                None if fault == Fault::NoAnswer => Ok(WriteOutcome::Done),
                None => Ok(self.compare_and_swap(record, expected)),
                Some(failure) => {
                    match fault {
                        Fault::AnswerLost => drop(self.compare_and_swap(record, expected)),
                        Fault::WriteDelayed => self.delayed_write = Some((record, expected)),
                        _ => {}
                    }
                    Err(failure)
                }
            }),
            Effect::Finish(_) => unreachable!("not a call"),
        };
        if has_delayed_write {
            self.apply_delayed_write();
        }
        (!matches!(fault, Fault::NoAnswer | Fault::NoAnswerAfterWrite)).then_some(input)
    }
}

/// Runs a machine to its end. Each call gets the next of `faults`, and none after the last.
pub(crate) fn run<M>(mut machine: M, store: &mut FakeStore, faults: &[Fault]) -> Outcome
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
            assert!(effects.is_empty(), "more than one call at a time");
            if let Effect::Finish(outcome) = effect {
                return outcome;
            }
            if let Some(input) = store.answer_call(effect, faults.next().unwrap_or(Fault::None)) {
                machine.step(now, input, &mut random, &mut effects);
            }
        } else {
            now = machine
                .next_wake()
                .expect("a machine that waits must have a deadline")
                .max(now);
            machine.wake(now, &mut random, &mut effects);
        }
    }
    panic!("the machine does not terminate");
}

pub(crate) fn deadline() -> Time {
    Time(0) + Duration::from_secs(10)
}

pub(crate) fn apply(store: &mut FakeStore, edit: Edit, faults: &[Fault]) -> Outcome {
    run(accept::ApplyMachine::new(edit, deadline()), store, faults)
}

pub(crate) fn outcome_name(outcome: &Outcome) -> &'static str {
    match outcome {
        Outcome::Accepted {
            replaced_by: None, ..
        } => "accepted",
        Outcome::Accepted { .. } => "replaced",
        Outcome::Unchanged { .. } => "unchanged",
        Outcome::NotAccepted(Rejection::ConcurrentEdit { .. }) => "concurrent edit",
        Outcome::NotAccepted(Rejection::BaseTextMismatch { .. }) => "base text mismatch",
        Outcome::NotAccepted(Rejection::BaseMissing { .. }) => "base missing",
        Outcome::NotAccepted(Rejection::StoreBehind { .. }) => "store behind",
        Outcome::NotAccepted(Rejection::Timeout { .. }) => "timeout",
        Outcome::NotAccepted(Rejection::Refused { .. }) => "refused",
        Outcome::NotAccepted(Rejection::NeverWritten) => "never written",
        Outcome::NotAccepted(_) => "not accepted",
        Outcome::Unknown { .. } => "unknown",
    }
}
