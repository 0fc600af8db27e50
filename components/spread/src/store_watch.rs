//! Reading, watching and writing back the configuration key of the store.

use crate::Output;
use crate::store_call::Backoff;
use crate::store_call::Budget;
use crate::store_call::Call;
use config::Record;
use kernel::Random;
use kernel::Time;

/// Revision of a key in the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Revision(pub u64);

/// What the store said of the configuration key.
#[derive(Clone, Debug)]
pub enum StoreEvent {
    /// The key holds this record, or does not exist.
    Value {
        record: Option<Record>,
        revision: Revision,
    },
    /// The key holds something that is no record.
    Unreadable { revision: Revision },
    /// The watch ended without a change.
    Unchanged,
    /// The write has ended, with or without effect.
    Written,
    /// The call or the watch failed.
    Failed,
}

/// Calls for the configuration key.
#[derive(Debug)]
pub(crate) struct Feed {
    call: Call,
    /// What is due instead of a read, because the budget was spent.
    delayed: Option<Output>,
    backoff: Backoff,
    /// Revision after which the last watch began.
    watched: Revision,
}

impl Default for Feed {
    fn default() -> Self {
        Self {
            call: Call::Off,
            delayed: None,
            backoff: Backoff::for_store(),
            watched: Revision::default(),
        }
    }
}

impl Feed {
    pub(crate) fn next_wake(&self) -> Option<Time> {
        self.call.next_wake()
    }

    pub(crate) fn set_watcher(&mut self, on: bool, now: Time, out: &mut Vec<Output>) {
        match (on, self.call) {
            (true, Call::Off) => self.call = Call::Due(now),
            (false, Call::Due(_) | Call::Busy { .. }) => {
                self.call = Call::Off;
                self.delayed = None;
                out.push(Output::CancelConfigCall);
            }
            _ => {}
        }
    }

    pub(crate) fn wake(
        &mut self,
        now: Time,
        budget: &mut Budget,
        random: &mut dyn Random,
        out: &mut Vec<Output>,
    ) {
        if self.call.is_lost(now) {
            out.push(Output::CancelConfigCall);
            self.call = Call::Due(now + self.backoff.wait(random));
        }
        if matches!(self.call, Call::Due(due) if due <= now) {
            let call = self.delayed.take().unwrap_or(Output::ReadConfig);
            self.start(now, budget, call, out);
        }
    }

    fn start(&mut self, now: Time, budget: &mut Budget, call: Output, out: &mut Vec<Output>) {
        self.call = Call::start(now, budget, call, &mut self.delayed, out);
    }

    /// Goes on after an answer of the store. `newer` is the record in force if the store has an
    /// older one.
    pub(crate) fn go_on(
        &mut self,
        now: Time,
        event: &StoreEvent,
        newer: Option<Record>,
        (budget, random): (&mut Budget, &mut dyn Random),
        out: &mut Vec<Output>,
    ) {
        // An answer that was given up may still arrive.
        let Call::Busy { watching, .. } = self.call else {
            return;
        };
        let (missing, revision) = match event {
            StoreEvent::Value { record, revision } => (record.is_none(), *revision),
            StoreEvent::Unreadable { revision } => (false, *revision),
            StoreEvent::Unchanged => {
                let call = Output::WatchConfig {
                    after: self.watched,
                };
                return self.start(now, budget, call, out);
            }
            StoreEvent::Written => {
                self.call = Call::Due(now);
                return;
            }
            StoreEvent::Failed => {
                self.call = Call::Due(now + self.backoff.wait(random));
                return;
            }
        };
        self.backoff.reset();
        let call = match newer {
            Some(record) => Output::WriteBack {
                expected: revision,
                record,
            },
            // The event of a deletion tells no revision to go on from.
            None if missing && watching => {
                self.call = Call::Due(now);
                return;
            }
            None => {
                self.watched = revision;
                Output::WatchConfig { after: revision }
            }
        };
        self.start(now, budget, call, out);
    }
}
