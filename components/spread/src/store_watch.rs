//! Reads, watches and writes back the configuration key of the store.

use crate::Era;
use crate::Output;
use crate::Revision;
use crate::store_call::Backoff;
use crate::store_call::CallBudget;
use crate::store_call::CallState;
use config::Record;
use ids::Version;
use kernel::Random;
use kernel::Time;

/// Answer of the store to a call for the configuration key.
#[derive(Clone, Debug)]
pub enum StoreEvent {
    /// The key holds this record, or doesn't exist.
    Value {
        record: Option<Record>,
        revision: Revision,
        /// Revision of the store up to which this is the newest record.
        store_revision: Revision,
        /// Whether nodes may write the key.
        is_writable: bool,
    },
    /// The key holds a value that isn't a record.
    Unreadable { store_revision: Revision },
    /// The watch ended without a change up to this revision of the store.
    Unchanged { store_revision: Revision },
    /// The write has been answered in this era; another write may have come first.
    Written { era: Era },
    /// The call or the watch failed.
    Failed,
    /// The store cannot continue the watch from its revision.
    HistoryUnavailable,
}

impl StoreEvent {
    /// Revision of the store that the answer shows, with the number 0 if only the era is known;
    /// `None` if there was no answer.
    pub(crate) fn store_revision(&self) -> Option<Revision> {
        match self {
            Self::Value { store_revision, .. }
            | Self::Unreadable { store_revision }
            | Self::Unchanged { store_revision } => Some(*store_revision),
            Self::Written { era } => Some(Revision::new(*era, 0)),
            Self::Failed | Self::HistoryUnavailable => None,
        }
    }
}

/// State of the calls for the configuration key, which only watchers make.
#[derive(Debug)]
pub(crate) struct StoreWatch {
    call: CallState,
    /// Call to make instead of a read, delayed because the budget was spent.
    delayed_call: Option<Output>,
    backoff: Backoff,
    /// Revision after which the last watch waits for a change.
    watched_revision: Revision,
    /// Version of the record at that revision, `Version::NONE` if there is none; `None` if it is not known.
    watched_version: Option<Version>,
    /// How the next failure of the running call is handled.
    recovery: Recovery,
}

/// Call that follows a failed one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Recovery {
    /// Read the key, whose value may be large.
    #[default]
    Read,
    /// Read what has changed since the revision of the watch, which is mostly nothing.
    ReadChanges,
}

impl Default for StoreWatch {
    fn default() -> Self {
        Self {
            call: CallState::Disabled,
            delayed_call: None,
            backoff: Backoff::for_store_calls(),
            watched_revision: Revision::default(),
            watched_version: None,
            recovery: Recovery::default(),
        }
    }
}

impl StoreWatch {
    pub(crate) fn next_wake(&self) -> Option<Time> {
        self.call.next_wake()
    }

    pub(crate) fn set_watcher(&mut self, enabled: bool, now: Time, out: &mut Vec<Output>) {
        match (enabled, self.call) {
            (true, CallState::Disabled) => self.call = CallState::Due(now),
            (false, CallState::Due(_) | CallState::InFlight { .. }) => {
                self.call = CallState::Disabled;
                self.delayed_call = None;
                out.push(Output::CancelConfigCall);
            }
            _ => {}
        }
    }

    pub(crate) fn wake(
        &mut self,
        now: Time,
        budget: &mut CallBudget,
        random: &mut dyn Random,
        out: &mut Vec<Output>,
    ) {
        if self.call.has_timed_out(now) {
            out.push(Output::CancelConfigCall);
            self.call = CallState::Due(now + self.backoff.next_delay(random));
        }
        if matches!(self.call, CallState::Due(due) if due <= now) {
            let call = self.delayed_call.take().unwrap_or_else(|| {
                self.recovery = Recovery::Read;
                Output::ReadConfig
            });
            self.start_call(now, budget, call, out);
        }
    }

    /// Replaces the running call by a read, because the store has returned from an older copy.
    pub(crate) fn read_again(&mut self, now: Time, out: &mut Vec<Output>) {
        if self.call != CallState::Disabled {
            self.call = CallState::Due(now);
            self.delayed_call = None;
            out.push(Output::CancelConfigCall);
        }
    }

    /// Version of the newest record in the store at the time when the call of this answer was sent; `None` if the
    /// answer doesn't show that.
    pub(crate) fn proved_version(&self, event: &StoreEvent) -> Option<Version> {
        match event {
            StoreEvent::Value { record, .. } => {
                Some(record.as_ref().map_or(Version::NONE, |it| it.version))
            }
            StoreEvent::Unchanged { store_revision } => {
                let is_running = matches!(self.call, CallState::InFlight { .. });
                let is_continued = store_revision.includes(self.watched_revision);
                self.watched_version.filter(|_| is_running && is_continued)
            }
            StoreEvent::Unreadable { .. }
            | StoreEvent::Written { .. }
            | StoreEvent::Failed
            | StoreEvent::HistoryUnavailable => None,
        }
    }

    fn start_call(
        &mut self,
        now: Time,
        budget: &mut CallBudget,
        call: Output,
        out: &mut Vec<Output>,
    ) {
        self.call = CallState::start(now, budget, call, &mut self.delayed_call, out);
    }

    /// Makes the next call after an answer of the store. `newer_record` is the record to write
    /// back, if the store has an older one.
    pub(crate) fn continue_after(
        &mut self,
        now: Time,
        event: &StoreEvent,
        newer_record: Option<Record>,
        (budget, random): (&mut CallBudget, &mut dyn Random),
        out: &mut Vec<Output>,
    ) {
        // The answer to a call that timed out or was cancelled may still arrive.
        if !matches!(self.call, CallState::InFlight { .. }) {
            return;
        }
        let (revision, store_revision) = match event {
            StoreEvent::Value {
                revision,
                store_revision,
                ..
            } => (*revision, *store_revision),
            StoreEvent::Unreadable { store_revision } => (Revision::default(), *store_revision),
            // The watch has waited at a revision of a history that the store no longer has.
            StoreEvent::Unchanged { store_revision }
                if !store_revision.includes(self.watched_revision) =>
            {
                self.call = CallState::Due(now);
                return;
            }
            StoreEvent::Unchanged { store_revision } => {
                self.backoff.reset();
                let call = self.watch_after(*store_revision);
                return self.start_call(now, budget, call, out);
            }
            StoreEvent::Written { .. } => {
                self.call = CallState::Due(now);
                return;
            }
            StoreEvent::Failed | StoreEvent::HistoryUnavailable => {
                let recovery = std::mem::take(&mut self.recovery);
                if recovery == Recovery::ReadChanges && matches!(event, StoreEvent::Failed) {
                    let after = self.watched_revision;
                    self.delayed_call = Some(Output::ReadConfigChanges { after });
                }
                self.call = CallState::Due(now + self.backoff.next_delay(random));
                return;
            }
        };
        self.watched_version = self.proved_version(event);
        self.backoff.reset();
        let call = match newer_record {
            Some(record) => {
                self.recovery = Recovery::Read;
                Output::WriteBack {
                    expected: revision,
                    record,
                }
            }
            None => self.watch_after(store_revision),
        };
        self.start_call(now, budget, call, out);
    }

    /// The watch that follows an answer which was complete up to `revision`.
    fn watch_after(&mut self, revision: Revision) -> Output {
        self.watched_revision = revision;
        self.recovery = Recovery::ReadChanges;
        Output::WatchConfig { after: revision }
    }
}
