//! What became of an edit whose outcome was unknown.

use crate::EditId;
use crate::Effect;
use crate::Entry;
use crate::Input;
use crate::Outcome;
use crate::Rejection;
use crate::StoreError;
use crate::WriteOutcome;
use crate::retry::Pace;
use ids::Version;
use kernel::Random;
use kernel::Time;

/// Settles an edit. Where the record that was edited is still there, the lost write can still take
/// effect; writing that same record again moves the revision, after which it cannot.
#[derive(Debug)]
pub struct SettleMachine {
    edit: EditId,
    pace: Pace,
    message: String,
    done: bool,
}

impl SettleMachine {
    /// A machine that gives up at `deadline`.
    pub fn new(edit: EditId, deadline: Time) -> Self {
        Self {
            edit,
            pace: Pace::new(deadline),
            message: "no answer".into(),
            done: false,
        }
    }

    fn finish(&mut self, outcome: Outcome, effects: &mut Vec<Effect>) {
        self.done = true;
        effects.push(Effect::Finish(outcome));
    }

    fn give_up(&mut self, message: String, effects: &mut Vec<Effect>) {
        let edit = self.edit;
        self.finish(Outcome::Unknown { edit, message }, effects);
    }

    fn judge(&mut self, found: Option<Entry>, effects: &mut Vec<Effect>) {
        let Some(Entry { record, revision }) = found else {
            let message = "the store holds no configuration; applying the text again is safe";
            return self.give_up(message.into(), effects);
        };
        let ours = self.edit;
        if record.edit == ours.edit || record.digest == ours.digest {
            let (version, replaced_by) = (record.version, None);
            return self.finish(
                Outcome::Accepted {
                    version,
                    replaced_by,
                },
                effects,
            );
        }
        if record.version > ours.version && record.parent == ours.digest {
            let replaced_by = Some(record.version);
            let version = ours.version;
            return self.finish(
                Outcome::Accepted {
                    version,
                    replaced_by,
                },
                effects,
            );
        }
        if revision == ours.expected {
            let expected = revision;
            return effects.push(Effect::Write { record, expected });
        }
        // The version that was edited is there under another revision, or another record took the
        // version that the edit would have been.
        if record.version.next() == ours.version || record.version == ours.version {
            return self.finish(Outcome::NotAccepted(Rejection::NeverWritten), effects);
        }
        let message = format!(
            "the store holds {}, which does not tell whether version {} was this edit",
            describe(record.version),
            ours.version,
        );
        self.give_up(message, effects);
    }

    fn fail(
        &mut self,
        now: Time,
        failure: StoreError,
        random: &mut dyn Random,
        effects: &mut Vec<Effect>,
    ) {
        match failure {
            StoreError::Unreachable { message } | StoreError::Unknown { message } => {
                self.message = message;
                self.pace.plan_retry(now, random);
            }
            StoreError::Refused { message } => self.give_up(message, effects),
            StoreError::Unreadable => self.give_up(failure.to_string(), effects),
        }
    }
}

fn describe(version: Version) -> String {
    format!("version {version}")
}

impl kernel::StateMachine for SettleMachine {
    type Input = Input;
    type Effect = Effect;

    fn step(
        &mut self,
        now: Time,
        input: Input,
        random: &mut dyn Random,
        effects: &mut Vec<Effect>,
    ) {
        if self.done {
            return;
        }
        match input {
            Input::Start => effects.push(Effect::Read),
            Input::ReadDone(Ok(found)) => self.judge(found, effects),
            // Reads again: the revision must be seen to have moved.
            Input::WriteDone(Ok(WriteOutcome::Done | WriteOutcome::Conflict(_))) => {
                self.pace.plan_retry(now, random);
            }
            Input::ReadDone(Err(failure)) | Input::WriteDone(Err(failure)) => {
                self.fail(now, failure, random, effects);
            }
        }
    }

    fn wake(&mut self, now: Time, _: &mut dyn Random, effects: &mut Vec<Effect>) {
        if self.done {
            return;
        }
        if self.pace.is_over(now) {
            self.give_up(self.message.clone(), effects);
        } else if self.pace.take_due(now) {
            effects.push(Effect::Read);
        }
    }

    fn next_wake(&self) -> Option<Time> {
        (!self.done).then(|| self.pace.next_wake())
    }
}
