//! State machine behind `medlarctl apply`: writes one edit to the store.

use crate::Base;
use crate::Edit;
use crate::EditId;
use crate::Effect;
use crate::Entry;
use crate::Input;
use crate::Outcome;
use crate::Rejection;
use crate::StoreError;
use crate::WriteOutcome;
use crate::retry::RetrySchedule;
use config::NEWEST_FORMAT;
use config::Record;
use ids::Version;
use kernel::Random;
use kernel::Time;
use spread::Revision;

/// The write of the edit. It is planned once, and its record stays the same in every attempt.
#[derive(Clone, Debug)]
struct PlannedWrite {
    /// The record that the edit replaces; `None` if the store held none.
    base: Option<Record>,
    record: Record,
    /// Revision that the key must have for the write to succeed.
    expected: Revision,
    /// Newest revision that any attempt has expected.
    newest_expected: Revision,
}

/// Makes one edit the next version: reads the key, writes the edit by compare-and-swap, and reads
/// the key back if the answer to the write is lost. The first read fixes the base; a record that is
/// accepted after it is never overwritten.
#[derive(Debug)]
pub struct ApplyMachine {
    edit: Edit,
    retry: RetrySchedule,
    /// Set after the first read, if the edit can be written.
    planned_write: Option<PlannedWrite>,
    /// Whether a write was requested and has not been answered.
    write_in_flight: bool,
    /// Whether an earlier write may have taken effect or may still do so.
    write_unresolved: bool,
    /// Message of the last store error, shown to the operator if the deadline passes.
    last_error: String,
    finished: bool,
}

impl ApplyMachine {
    /// Creates a machine that gives up at `deadline`.
    pub fn new(edit: Edit, deadline: Time) -> Self {
        Self {
            edit,
            retry: RetrySchedule::new(deadline),
            planned_write: None,
            write_in_flight: false,
            write_unresolved: false,
            last_error: "no answer".into(),
            finished: false,
        }
    }

    fn finish(&mut self, outcome: Outcome, effects: &mut Vec<Effect>) {
        self.finished = true;
        effects.push(Effect::Finish(outcome));
    }

    /// Ends with `rejection`, or as unknown if a write may have taken effect.
    fn reject(&mut self, rejection: Rejection, effects: &mut Vec<Effect>) {
        // While a write is unresolved, no value read from the store proves that it has no effect.
        let outcome = match &self.planned_write {
            Some(planned_write) if self.write_unresolved || self.write_in_flight => {
                Outcome::Unknown {
                    edit_id: EditId::new(&planned_write.record, planned_write.newest_expected),
                    message: rejection.to_string(),
                }
            }
            _ => Outcome::NotAccepted(rejection),
        };
        self.finish(outcome, effects);
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
            StoreError::Refused { message } => self.reject(Rejection::Refused { message }, effects),
            StoreError::Unreadable => self.reject(Rejection::Unreadable, effects),
        }
    }

    /// Decides on the first read whether to write at all, and plans the write.
    fn plan_write(&mut self, found: Option<Entry>, effects: &mut Vec<Effect>) {
        let current = found.as_ref().map(|entry| &entry.record);
        if let Some(rejection) = self.check_fleet(current) {
            return self.reject(rejection, effects);
        }
        if let Some(newer) = current.filter(|it| it.format > NEWEST_FORMAT) {
            let found = newer.format;
            return self.reject(Rejection::NewerFormat { found }, effects);
        }
        if let Some(same) = current.filter(|it| self.edit.has_same_text(it)) {
            let version = same.version;
            return self.finish(Outcome::Unchanged { version }, effects);
        }
        if let Some(outcome) = self.check_base(current) {
            return self.finish(outcome, effects);
        }
        let expected = found.as_ref().map(|it| it.revision).unwrap_or_default();
        self.planned_write = Some(PlannedWrite {
            base: current.cloned(),
            record: self.edit.to_record(current),
            expected,
            newest_expected: expected,
        });
        self.request_write(effects);
    }

    /// Rejects the edit if nodes have a configuration that the store lacks.
    fn check_fleet(&self, current: Option<&Record>) -> Option<Rejection> {
        let fleet = self.edit.newest_in_fleet?;
        let store = current.map_or(Version::NONE, |it| it.version);
        if fleet.version > store {
            let fleet = fleet.version;
            return Some(Rejection::StoreBehind { fleet, store });
        }
        let differs = fleet.version == store && current.is_some_and(|it| it.digest != fleet.digest);
        differs.then_some(Rejection::FleetTextMismatch { version: store })
    }

    /// The final outcome if `current` is not the record that the operator edited; `None` if it is.
    fn check_base(&self, current: Option<&Record>) -> Option<Outcome> {
        let Base::Version { version, digest } = self.edit.base else {
            return None;
        };
        let store = current.map_or(Version::NONE, |it| it.version);
        let current = match current {
            Some(current) if current.version >= version => current,
            _ if store == version => return None,
            _ => {
                let base = version;
                return Some(Outcome::NotAccepted(Rejection::BaseMissing { base, store }));
            }
        };
        if current.version == version {
            let differs = digest.is_some_and(|digest| digest != current.digest);
            return differs.then_some(Outcome::NotAccepted(Rejection::BaseTextMismatch {
                version,
            }));
        }
        let next_version = version.next();
        if current.version > next_version && current.parent_digest == self.edit.digest() {
            return Some(Outcome::Accepted {
                version: next_version,
                replaced_by: Some(current.version),
            });
        }
        Some(Outcome::NotAccepted(Rejection::ConcurrentEdit {
            current: Box::new(current.clone()),
            base: None,
        }))
    }

    fn request_write(&mut self, effects: &mut Vec<Effect>) {
        if let Some(planned_write) = &self.planned_write {
            self.write_in_flight = true;
            effects.push(Effect::Write {
                record: planned_write.record.clone(),
                expected: planned_write.expected,
            });
        }
    }

    /// Handles the content of the key, from a read or from a write that met another revision.
    fn handle_entry(&mut self, found: Option<Entry>, effects: &mut Vec<Effect>) {
        let Some(planned_write) = &mut self.planned_write else {
            return self.plan_write(found, effects);
        };
        let current = match (found, &planned_write.base) {
            (None, None) => return self.request_write(effects),
            (None, Some(base)) => {
                let (base, store) = (base.version, Version::NONE);
                return self.reject(Rejection::BaseMissing { base, store }, effects);
            }
            (Some(entry), base) => {
                let version_and_edit = |it: &Record| (it.version, it.edit_hash);
                if base.as_ref().map(version_and_edit) == Some(version_and_edit(&entry.record)) {
                    // A node or `settle` may have written the base record again, which raises the
                    // revision. An earlier write of the edit can then no longer take effect. It still
                    // can if the revision has fallen, as in a store that was restored.
                    if planned_write.expected != entry.revision {
                        planned_write.expected = entry.revision;
                        if entry.revision.includes(planned_write.newest_expected) {
                            planned_write.newest_expected = entry.revision;
                            self.write_unresolved = false;
                        }
                    }
                    return self.request_write(effects);
                }
                entry.record
            }
        };
        let planned_record = &planned_write.record;
        let outcome = if current.edit_hash == planned_record.edit_hash
            || current.text == planned_record.text
        {
            Outcome::Accepted {
                version: current.version,
                replaced_by: None,
            }
        } else if self.write_unresolved
            && current.version > planned_record.version
            && current.parent_digest == planned_record.digest
        {
            Outcome::Accepted {
                version: planned_record.version,
                replaced_by: Some(current.version),
            }
        } else {
            // Another record under the planned version proves that the edit was not written: each
            // write expects the revision of the base, so only one of them can succeed.
            self.write_unresolved &= current.version != planned_record.version;
            let base = planned_write.base.clone().map(Box::new);
            let current = Box::new(current);
            return self.reject(Rejection::ConcurrentEdit { current, base }, effects);
        };
        self.finish(outcome, effects);
    }

    fn handle_write(
        &mut self,
        now: Time,
        result: Result<WriteOutcome, StoreError>,
        random: &mut dyn Random,
        effects: &mut Vec<Effect>,
    ) {
        self.write_in_flight = false;
        match result {
            Ok(WriteOutcome::Done) => {
                let version = self
                    .planned_write
                    .as_ref()
                    .map_or(Version::NONE, |it| it.record.version);
                let replaced_by = None;
                self.finish(
                    Outcome::Accepted {
                        version,
                        replaced_by,
                    },
                    effects,
                );
            }
            Ok(WriteOutcome::Conflict(found)) => {
                // A conflict that reports the expected revision contradicts itself. Without the
                // delay, the same write would be repeated in a busy loop.
                let revision = found.as_ref().map_or(Revision::default(), |it| it.revision);
                if self
                    .planned_write
                    .as_ref()
                    .is_some_and(|it| it.expected == revision)
                {
                    return self.retry.schedule_retry(now, random);
                }
                self.handle_entry(found, effects);
            }
            Err(error) => {
                self.write_unresolved |= matches!(
                    error,
                    StoreError::OutcomeUnknown { .. } | StoreError::Unreadable
                );
                self.handle_error(now, error, random, effects);
            }
        }
    }
}

impl kernel::StateMachine for ApplyMachine {
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
            Input::ReadDone(Err(error)) => self.handle_error(now, error, random, effects),
            Input::WriteDone(result) => self.handle_write(now, result, random, effects),
        }
    }

    fn wake(&mut self, now: Time, _: &mut dyn Random, effects: &mut Vec<Effect>) {
        if self.finished {
            return;
        }
        if self.retry.is_expired(now) {
            let message = self.last_error.clone();
            self.reject(Rejection::Timeout { message }, effects);
        } else if self.retry.take_due(now) {
            effects.push(Effect::Read);
        }
    }

    fn next_wake(&self) -> Option<Time> {
        (!self.finished).then(|| self.retry.next_wake())
    }
}
