//! Acceptance of one edit.

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
use crate::retry::Pace;
use config::FORMAT;
use config::Record;
use ids::Version;
use kernel::Random;
use kernel::Time;
use spread::Revision;

/// The write that was decided on; it stays the same until it is settled.
#[derive(Clone, Debug)]
struct Plan {
    base: Option<Record>,
    record: Record,
    expected: Revision,
}

/// Makes one edit the next version: read, write, and read back where the answer to the write is
/// lost. The base is fixed with the first read; a record that is accepted later is never written
/// over.
#[derive(Debug)]
pub struct ApplyMachine {
    edit: Edit,
    pace: Pace,
    plan: Option<Plan>,
    /// A write is on its way.
    writing: bool,
    /// A write was sent whose effect is not known.
    unsettled: bool,
    /// The last failure, for the operator.
    message: String,
    done: bool,
}

impl ApplyMachine {
    /// A machine that gives up at `deadline`.
    pub fn new(edit: Edit, deadline: Time) -> Self {
        Self {
            edit,
            pace: Pace::new(deadline),
            plan: None,
            writing: false,
            unsettled: false,
            message: "no answer".into(),
            done: false,
        }
    }

    fn finish(&mut self, outcome: Outcome, effects: &mut Vec<Effect>) {
        self.done = true;
        effects.push(Effect::Finish(outcome));
    }

    fn refuse(&mut self, cause: Rejection, effects: &mut Vec<Effect>) {
        // While a write is unsettled, nothing that was read can prove that it has no effect.
        let outcome = match &self.plan {
            Some(plan) if self.unsettled || self.writing => Outcome::Unknown {
                edit: EditId::new(&plan.record, plan.expected),
                message: cause.to_string(),
            },
            _ => Outcome::NotAccepted(cause),
        };
        self.finish(outcome, effects);
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
            StoreError::Refused { message } => self.refuse(Rejection::Refused { message }, effects),
            StoreError::Unreadable => self.refuse(Rejection::Unreadable, effects),
        }
    }

    /// First decision: whether to write at all.
    fn decide(&mut self, found: Option<Entry>, effects: &mut Vec<Effect>) {
        let current = found.as_ref().map(|entry| &entry.record);
        if let Some(cause) = self.check_fleet(current) {
            return self.refuse(cause, effects);
        }
        if let Some(newer) = current.filter(|it| it.format > FORMAT) {
            let found = newer.format;
            return self.refuse(Rejection::NewerFormat { found }, effects);
        }
        if let Some(same) = current.filter(|it| self.edit.is_text_of(it)) {
            let version = same.version;
            return self.finish(Outcome::Unchanged { version }, effects);
        }
        if let Some(outcome) = self.check_base(current) {
            return self.finish(outcome, effects);
        }
        let expected = found.as_ref().map(|it| it.revision).unwrap_or_default();
        self.plan = Some(Plan {
            base: current.cloned(),
            record: self.edit.to_record(current),
            expected,
        });
        self.write(effects);
    }

    /// Why nothing may be written as long as nodes have what the store lacks.
    fn check_fleet(&self, current: Option<&Record>) -> Option<Rejection> {
        let fleet = self.edit.newest_in_fleet?;
        let store = current.map_or(Version::NONE, |it| it.version);
        if fleet.version > store {
            let fleet = fleet.version;
            return Some(Rejection::StoreBehind { fleet, store });
        }
        let other = fleet.version == store && current.is_some_and(|it| it.digest != fleet.digest);
        other.then_some(Rejection::FleetTextMismatch { version: store })
    }

    /// What the edit ends with if `present` is not what the operator edited.
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
            let other = digest.is_some_and(|digest| digest != current.digest);
            return other.then_some(Outcome::NotAccepted(Rejection::BaseTextMismatch {
                version,
            }));
        }
        let accepted = version.next();
        if current.version > accepted && current.parent == self.edit.digest() {
            return Some(Outcome::Accepted {
                version: accepted,
                replaced_by: Some(current.version),
            });
        }
        Some(Outcome::NotAccepted(Rejection::ConcurrentEdit {
            current: Box::new(current.clone()),
            base: None,
        }))
    }

    fn write(&mut self, effects: &mut Vec<Effect>) {
        if let Some(plan) = &self.plan {
            self.writing = true;
            effects.push(Effect::Write {
                record: plan.record.clone(),
                expected: plan.expected,
            });
        }
    }

    /// Decides by what the store holds after a write was planned.
    fn judge(&mut self, found: Option<Entry>, effects: &mut Vec<Effect>) {
        let Some(plan) = &mut self.plan else {
            return self.decide(found, effects);
        };
        let current = match (found, &plan.base) {
            (None, None) => return self.write(effects),
            (None, Some(base)) => {
                let (base, store) = (base.version, Version::NONE);
                return self.refuse(Rejection::BaseMissing { base, store }, effects);
            }
            (Some(entry), base) => {
                let edited = |it: &Record| (it.version, it.edit);
                if base.as_ref().map(edited) == Some(edited(&entry.record)) {
                    // The same record can be written again, by a node or by `settle`. An earlier
                    // write of ours cannot take effect then, because the revision moved.
                    if plan.expected != entry.revision {
                        plan.expected = entry.revision;
                        self.unsettled = false;
                    }
                    return self.write(effects);
                }
                entry.record
            }
        };
        let ours = &plan.record;
        let outcome = if current.edit == ours.edit || current.text == ours.text {
            Outcome::Accepted {
                version: current.version,
                replaced_by: None,
            }
        } else if self.unsettled && current.version > ours.version && current.parent == ours.digest
        {
            Outcome::Accepted {
                version: ours.version,
                replaced_by: Some(current.version),
            }
        } else {
            // A record under the same version proves that ours was not written: each write expects
            // the revision of the base, and only one can find it.
            self.unsettled &= current.version != ours.version;
            let base = plan.base.clone().map(Box::new);
            let current = Box::new(current);
            return self.refuse(Rejection::ConcurrentEdit { current, base }, effects);
        };
        self.finish(outcome, effects);
    }

    fn receive_write(
        &mut self,
        now: Time,
        written: Result<WriteOutcome, StoreError>,
        random: &mut dyn Random,
        effects: &mut Vec<Effect>,
    ) {
        self.writing = false;
        match written {
            Ok(WriteOutcome::Done) => {
                let version = self
                    .plan
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
                // An answer that contradicts itself would otherwise be followed by the same write
                // at once, without a pause.
                let revision = found.as_ref().map_or(Revision(0), |it| it.revision);
                if self.plan.as_ref().is_some_and(|it| it.expected == revision) {
                    return self.pace.plan_retry(now, random);
                }
                self.judge(found, effects);
            }
            Err(failure) => {
                self.unsettled |=
                    matches!(failure, StoreError::Unknown { .. } | StoreError::Unreadable);
                self.fail(now, failure, random, effects);
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
        if self.done {
            return;
        }
        match input {
            Input::Start => effects.push(Effect::Read),
            Input::ReadDone(Ok(found)) => self.judge(found, effects),
            Input::ReadDone(Err(failure)) => self.fail(now, failure, random, effects),
            Input::WriteDone(written) => self.receive_write(now, written, random, effects),
        }
    }

    fn wake(&mut self, now: Time, _: &mut dyn Random, effects: &mut Vec<Effect>) {
        if self.done {
            return;
        }
        if self.pace.is_over(now) {
            let message = self.message.clone();
            self.refuse(Rejection::Timeout { message }, effects);
        } else if self.pace.take_due(now) {
            effects.push(Effect::Read);
        }
    }

    fn next_wake(&self) -> Option<Time> {
        (!self.done).then(|| self.pace.next_wake())
    }
}
