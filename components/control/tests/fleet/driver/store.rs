//! Stand-in for the store: compare-and-swap, watches, outages and lost answers.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::driver::SECOND;
use config::Record;
use control::Effect;
use control::Input;
use kernel::Random;
use kernel::random::SeededRandom;
use spread::ContactsEvent;
use spread::Revision;
use spread::StoreEvent;

/// Time of a call that has an answer, and of one that has none.
const WAY: u64 = 2_000;
const TIMEOUT: u64 = 2 * SECOND;

type Answers = Vec<(usize, u64, Input)>;

#[derive(Default)]
pub(crate) struct Store {
    record: Option<Record>,
    record_revision: u64,
    revision: u64,
    contacts: BTreeMap<String, (Vec<SocketAddr>, u64)>,
    /// Sorted by node.
    watches: BTreeMap<usize, u64>,
    pub(crate) down: bool,
    /// Calls whose answer is lost after they took effect, per mille.
    pub(crate) lost: usize,
    pub(crate) reads: u64,
    pub(crate) writes: u64,
}

impl Store {
    pub(crate) fn watchers(&self) -> Vec<usize> {
        self.watches.keys().copied().collect()
    }

    /// An operator, or a restore from a backup, puts a record.
    pub(crate) fn put(&mut self, record: Option<Record>) -> Answers {
        self.record = record;
        self.revision += 1;
        self.record_revision = self.revision;
        let event = StoreEvent::Value {
            record: self.record.clone(),
            revision: Revision(self.revision),
        };
        let watches = std::mem::take(&mut self.watches);
        let told = watches.into_keys().filter(|_| !self.down);
        told.map(|at| (at, WAY, Input::Store(event.clone())))
            .collect()
    }

    pub(crate) fn forget(&mut self, at: usize) {
        self.watches.remove(&at);
    }

    /// Ends all watches and fails calls from now on.
    pub(crate) fn cut(&mut self) -> Answers {
        self.down = true;
        let watches = std::mem::take(&mut self.watches);
        let failed = |at| (at, WAY, Input::Store(StoreEvent::Failed));
        watches.into_keys().map(failed).collect()
    }

    pub(crate) fn call(&mut self, at: usize, call: Effect, random: &mut SeededRandom) -> Answers {
        let contacts = matches!(
            call,
            Effect::ReadContacts { .. } | Effect::WriteContacts { .. }
        );
        if !contacts {
            self.watches.remove(&at);
        }
        let failed = match contacts {
            true => Input::Contacts(ContactsEvent::Failed),
            false => Input::Store(StoreEvent::Failed),
        };
        if self.down && !matches!(call, Effect::CancelConfigCall) {
            let slow = random.below(2) as u64 * TIMEOUT;
            return vec![(at, WAY + slow, failed)];
        }
        let mut answers = self.carry_out(at, call);
        if random.below(1_000) < self.lost {
            for (_, delay, answer) in answers.iter_mut().filter(|it| it.0 == at) {
                (*delay, *answer) = (TIMEOUT, failed.clone());
            }
        }
        answers
    }

    fn carry_out(&mut self, at: usize, call: Effect) -> Answers {
        let event = match call {
            Effect::ReadConfig => Input::Store(self.value()),
            Effect::WatchConfig { after } if after.0 < self.record_revision => {
                Input::Store(self.value())
            }
            Effect::WatchConfig { after } => {
                self.watches.insert(at, after.0);
                return Vec::new();
            }
            Effect::WriteConfig { expected, record } => {
                self.writes += 1;
                let mut answers = Vec::new();
                if expected.0 == self.record.as_ref().map_or(0, |_| self.record_revision) {
                    answers = self.put(Some(record));
                }
                answers.push((at, WAY, Input::Store(StoreEvent::Written)));
                return answers;
            }
            Effect::ReadContacts { domain, .. } => {
                self.reads += 1;
                let known = self.contacts.get(domain.as_str());
                let (addresses, revision) = known.cloned().unwrap_or_default();
                Input::Contacts(ContactsEvent::Value {
                    addresses,
                    revision: Revision(revision),
                })
            }
            Effect::WriteContacts {
                domain,
                expected,
                addresses,
            } => {
                self.writes += 1;
                let known = self.contacts.entry(domain.as_str().to_owned());
                let known = known.or_default();
                if known.1 == expected.0 {
                    self.revision += 1;
                    *known = (addresses, self.revision);
                }
                Input::Contacts(ContactsEvent::Written)
            }
            _ => return Vec::new(),
        };
        vec![(at, WAY, event)]
    }

    fn value(&mut self) -> StoreEvent {
        self.reads += 1;
        StoreEvent::Value {
            record: self.record.clone(),
            revision: Revision(self.record.as_ref().map_or(0, |_| self.record_revision)),
        }
    }
}
