//! State machine behind `medlarctl settle`: resolves an edit whose outcome is unknown.

use crate::EditId;
use crate::Effect;
use crate::Entry;
use crate::Input;
use crate::Outcome;
use crate::Rejection;
use crate::StoreError;
use crate::WriteOutcome;
use crate::retry::RetrySchedule;
use ids::Version;
use kernel::Random;
use kernel::Time;

/// Determines whether an edit was accepted. While the key has the revision that the edit's write
/// expects, a delayed write can still take effect. The machine then writes the stored record again,
/// unchanged: that changes the revision, so that the delayed write can only fail.
#[derive(Debug)]
pub struct SettleMachine {
    edit_id: EditId,
    retry: RetrySchedule,
    last_error: String,
    finished: bool,
}

impl SettleMachine {
    /// Creates a machine that gives up at `deadline`.
    pub fn new(edit_id: EditId, deadline: Time) -> Self {
        Self {
            edit_id,
            retry: RetrySchedule::new(deadline),
            last_error: "no answer".into(),
            finished: false,
        }
    }

    fn finish(&mut self, outcome: Outcome, effects: &mut Vec<Effect>) {
        self.finished = true;
        effects.push(Effect::Finish(outcome));
    }

    fn finish_unknown(&mut self, message: String, effects: &mut Vec<Effect>) {
        let edit_id = self.edit_id;
        self.finish(Outcome::Unknown { edit_id, message }, effects);
    }

    fn handle_entry(&mut self, found: Option<Entry>, effects: &mut Vec<Effect>) {
        let Some(Entry { record, revision }) = found else {
            let message = "the store holds no configuration; applying the text again is safe";
            return self.finish_unknown(message.into(), effects);
        };
        let edit_id = self.edit_id;
        if record.edit_hash == edit_id.edit_hash || record.digest == edit_id.digest {
            let (version, replaced_by) = (record.version, None);
            return self.finish(
                Outcome::Accepted {
                    version,
                    replaced_by,
                },
                effects,
            );
        }
        if record.version > edit_id.version && record.parent_digest == edit_id.digest {
            let replaced_by = Some(record.version);
            let version = edit_id.version;
            return self.finish(
                Outcome::Accepted {
                    version,
                    replaced_by,
                },
                effects,
            );
        }
        if revision == edit_id.expected {
            let expected = revision;
            return effects.push(Effect::Write { record, expected });
        }
        if !revision.includes(edit_id.expected) {
            let message = "the store has returned to an older revision, so that a delayed write can still take \
                effect; applying the text again is safe";
            return self.finish_unknown(message.into(), effects);
        }
        // The base version is stored under another revision, or another record has the version that
        // the edit would have got.
        if record.version.next() == edit_id.version || record.version == edit_id.version {
            return self.finish(Outcome::NotAccepted(Rejection::NeverWritten), effects);
        }
        let message = format!(
            "the store holds {}, which does not show whether version {} was this edit",
            describe_version(record.version),
            edit_id.version,
        );
        self.finish_unknown(message, effects);
    }

    fn handle_error(
        &mut self,
        now: Time,
        error: StoreError,
        random: &mut dyn Random,
        effects: &mut Vec<Effect>,
    ) {
        match error {
            StoreError::Unreachable { message } | StoreError::OutcomeUnknown { message } => {
                self.last_error = message;
                self.retry.schedule_retry(now, random);
            }
            StoreError::Refused { message } => self.finish_unknown(message, effects),
            StoreError::Unreadable => self.finish_unknown(error.to_string(), effects),
        }
    }
}

fn describe_version(version: Version) -> String {
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
        if self.finished {
            return;
        }
        match input {
            Input::Start => effects.push(Effect::Read),
            Input::ReadDone(Ok(found)) => self.handle_entry(found, effects),
            // Reads the key again to verify that the revision has changed.
            Input::WriteDone(Ok(WriteOutcome::Done | WriteOutcome::Conflict(_))) => {
                self.retry.schedule_retry(now, random);
            }
            Input::ReadDone(Err(error)) | Input::WriteDone(Err(error)) => {
                self.handle_error(now, error, random, effects);
            }
        }
    }

    fn wake(&mut self, now: Time, _: &mut dyn Random, effects: &mut Vec<Effect>) {
        if self.finished {
            return;
        }
        if self.retry.is_expired(now) {
            self.finish_unknown(self.last_error.clone(), effects);
        } else if self.retry.take_due(now) {
            effects.push(Effect::Read);
        }
    }

    fn next_wake(&self) -> Option<Time> {
        (!self.finished).then(|| self.retry.next_wake())
    }
}
