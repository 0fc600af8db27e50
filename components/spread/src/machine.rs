//! The distribution machine of one node.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::History;
use crate::Offer;
use config::Accepted;
use config::MAX_TEXT_BYTES;
use config::Record;
use kernel::Random;
use kernel::Time;
use member::Stamp;

/// First wait before the store is asked again; doubles to [`LONGEST_BACKOFF`].
const FIRST_BACKOFF: Duration = Duration::from_millis(500);
const LONGEST_BACKOFF: Duration = Duration::from_secs(30);
/// Longest wait for a node to answer a pull.
const PULL_TIMEOUT: Duration = Duration::from_secs(2);

/// Revision of a key in the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Revision(pub u64);

/// What the store said.
#[derive(Clone, Debug)]
pub enum StoreEvent {
    /// The key holds this record, or nothing.
    Value {
        record: Option<Record>,
        revision: Revision,
    },
    /// The call or the watch failed.
    Failed,
}

/// What the distribution asks for.
#[derive(Clone, Debug)]
pub enum Output {
    /// Read the key, then report a [`StoreEvent`].
    Read,
    /// Report the first change after the revision.
    Watch { after: Revision },
    /// End the watch.
    StopWatch,
    /// Ask a node for its record.
    Pull { from: SocketAddr, have: Stamp },
    /// A newer record is in force: tell other nodes.
    Changed,
    /// A record was refused.
    Refused {
        version: ids::Version,
        message: String,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Watch {
    Off,
    Due(Time),
    On,
}

/// Distribution of the configuration at one node.
#[derive(Debug)]
pub struct Machine {
    history: History,
    watch: Watch,
    backoff: Duration,
    pull: Option<Time>,
}

impl Default for Machine {
    fn default() -> Self {
        Self {
            history: History::default(),
            watch: Watch::Off,
            backoff: FIRST_BACKOFF,
            pull: None,
        }
    }
}

impl Machine {
    /// The configuration in force and the texts before it.
    pub fn history(&self) -> &History {
        &self.history
    }

    /// When `wake` is due next.
    pub fn next_wake(&self) -> Option<Time> {
        match self.watch {
            Watch::Due(time) => Some(time),
            Watch::Off | Watch::On => None,
        }
    }

    /// Reads the store if that is due.
    pub fn wake(&mut self, now: Time, out: &mut Vec<Output>) {
        if let Watch::Due(time) = self.watch
            && time <= now
        {
            self.watch = Watch::On;
            out.push(Output::Read);
        }
    }

    /// Starts or ends watching.
    pub fn set_watcher(&mut self, on: bool, now: Time, out: &mut Vec<Output>) {
        match (on, self.watch) {
            (true, Watch::Off) => self.watch = Watch::Due(now),
            (false, Watch::Due(_) | Watch::On) => {
                self.watch = Watch::Off;
                out.push(Output::StopWatch);
            }
            _ => {}
        }
    }

    /// Takes an answer of the store in.
    pub fn receive_store(
        &mut self,
        now: Time,
        event: StoreEvent,
        random: &mut dyn Random,
        out: &mut Vec<Output>,
    ) {
        if self.watch == Watch::Off {
            return;
        }
        match event {
            StoreEvent::Value { record, revision } => {
                self.backoff = FIRST_BACKOFF;
                record.into_iter().for_each(|record| self.take(record, out));
                out.push(Output::Watch { after: revision });
            }
            StoreEvent::Failed => {
                let micros = usize::try_from(self.backoff.as_micros()).unwrap_or(usize::MAX);
                let wait = Duration::from_micros(random.below(micros) as u64);
                self.watch = Watch::Due(now + wait);
                self.backoff = (self.backoff * 2).min(LONGEST_BACKOFF);
            }
        }
    }

    /// Another node has `stamp`: pulls if that is newer.
    pub fn hear(&mut self, now: Time, from: SocketAddr, stamp: Stamp, out: &mut Vec<Output>) {
        let have = self.history.stamp();
        let pulling = self
            .pull
            .is_some_and(|since| now.since(since) < PULL_TIMEOUT);
        if stamp.version > have.version && !pulling {
            self.pull = Some(now);
            out.push(Output::Pull { from, have });
        }
    }

    /// Takes the answer to a pull in; `None` if there was none.
    pub fn receive_offer(&mut self, offer: Option<Offer>, out: &mut Vec<Output>) {
        self.pull = None;
        match offer {
            None | Some(Offer::Same) => {}
            Some(Offer::Whole(record)) => self.take(record, out),
            Some(Offer::Changes { record, delta }) => {
                let text = self
                    .history
                    .current()
                    .and_then(|current| delta.apply(&current.record().text, MAX_TEXT_BYTES));
                if let Some(text) = text {
                    self.take(
                        Record {
                            text: Arc::from(text),
                            ..record
                        },
                        out,
                    );
                }
            }
        }
    }

    fn take(&mut self, record: Record, out: &mut Vec<Output>) {
        let version = record.version;
        if version <= self.history.stamp().version {
            return;
        }
        match Accepted::from_record(record) {
            Ok(accepted) => {
                self.history.advance(accepted);
                out.push(Output::Changed);
            }
            Err(faults) => {
                let message = faults.first().map(ToString::to_string).unwrap_or_default();
                out.push(Output::Refused { version, message });
            }
        }
    }
}
