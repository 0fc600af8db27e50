//! Simulated store with compare-and-swap, watches, outages and lost responses.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::driver::SECOND;
use config::Record;
use control::Effect;
use control::Input;
use kernel::Random;
use kernel::random::SeededRandom;
use spread::ContactsEvent;
use spread::Era;
use spread::Revision;
use spread::StoreEvent;

/// Duration of a store call that has a response, in microseconds.
const LATENCY: u64 = 2_000;
/// Duration of a store call that has no response, in microseconds.
const TIMEOUT: u64 = 2 * SECOND;

/// Inputs to be delivered, each with the index of the node and a delay in microseconds.
type Deliveries = Vec<(usize, u64, Input)>;

/// Keys and revisions of the store.
#[derive(Clone, Default)]
pub(crate) struct Data {
    record: Option<Record>,
    record_revision: u64,
    revision: u64,
    /// Addresses and revision of the contacts of each failure domain.
    contacts: BTreeMap<String, (Vec<SocketAddr>, u64)>,
}

impl Data {
    pub(crate) fn clear_contacts(&mut self) {
        self.contacts.clear();
    }
}

#[derive(Default)]
pub(crate) struct Store {
    data: Data,
    /// Rises with each restore.
    era: u64,
    /// Whether nodes may write the configuration.
    pub(crate) read_only_config: bool,
    /// Revision after which each watching node, by index, waits for a change.
    watches: BTreeMap<usize, u64>,
    pub(crate) down: bool,
    /// Share of calls whose response is lost after they took effect, per mille.
    pub(crate) lost_responses: usize,
    pub(crate) reads: u64,
    pub(crate) writes: u64,
}

impl Store {
    pub(crate) fn watchers(&self) -> Vec<usize> {
        self.watches.keys().copied().collect()
    }

    /// Writes a record without a check of the revision, and ends the watches that wait for it.
    pub(crate) fn put(&mut self, record: Option<Record>) -> Deliveries {
        self.data.record = record;
        self.data.revision += 1;
        self.data.record_revision = self.data.revision;
        let event = StoreEvent::Value {
            record: self.data.record.clone(),
            revision: self.revision(self.data.revision),
            store_revision: self.revision(self.data.revision),
            is_writable: !self.read_only_config,
        };
        let revision = self.data.revision;
        let (notified, waiting) = std::mem::take(&mut self.watches)
            .into_iter()
            .partition(|(_, after)| *after < revision);
        self.watches = waiting;
        let notified: BTreeMap<usize, u64> = notified;
        notified
            .into_keys()
            .filter(|_| !self.down)
            .map(|index| (index, LATENCY, Input::Store(event.clone())))
            .collect()
    }

    fn revision(&self, number: u64) -> Revision {
        Revision::new(Era(self.era), number)
    }

    pub(crate) fn copy(&self) -> Data {
        self.data.clone()
    }

    /// Version of the configuration; 0 if there is none.
    pub(crate) fn version(&self) -> u64 {
        self.data.record.as_ref().map_or(0, |it| it.version.0)
    }

    /// Number of failure domains that have contacts.
    pub(crate) fn contacts_domains(&self) -> usize {
        let lists = self.data.contacts.values();
        lists.filter(|(addresses, _)| !addresses.is_empty()).count()
    }

    /// Returns to a copy of the data. Watches stay open.
    pub(crate) fn restore(&mut self, copy: Data) {
        self.data = copy;
        self.era += 1;
    }

    /// Ends all watches without a change, as after the time limit of a watch.
    pub(crate) fn expire_watches(&mut self) -> Deliveries {
        let store_revision = self.revision(self.data.revision);
        let unchanged = Input::Store(StoreEvent::Unchanged { store_revision });
        let watches = std::mem::take(&mut self.watches);
        watches
            .into_keys()
            .map(|index| (index, LATENCY, unchanged.clone()))
            .collect()
    }

    /// Ends the watch of a node.
    pub(crate) fn cancel_watch(&mut self, index: usize) {
        self.watches.remove(&index);
    }

    /// Starts an outage: ends all watches and fails calls from now on.
    pub(crate) fn start_outage(&mut self) -> Deliveries {
        self.down = true;
        let watches = std::mem::take(&mut self.watches);
        let failed = |index| (index, LATENCY, Input::Store(StoreEvent::Failed));
        watches.into_keys().map(failed).collect()
    }

    /// Handles a call of a node for the configuration or for contacts.
    pub(crate) fn call(
        &mut self,
        index: usize,
        call: Effect,
        random: &mut SeededRandom,
    ) -> Deliveries {
        let contacts = matches!(
            call,
            Effect::ReadContacts { .. } | Effect::WriteContacts { .. }
        );
        if !contacts {
            self.watches.remove(&index);
        }
        let failed = match contacts {
            true => Input::Contacts(ContactsEvent::Failed),
            false => Input::Store(StoreEvent::Failed),
        };
        if self.down && !matches!(call, Effect::CancelConfigCall) {
            let extra_delay = random.below(2) as u64 * TIMEOUT;
            return vec![(index, LATENCY + extra_delay, failed)];
        }
        let mut deliveries = self.execute(index, call);
        if random.below(1_000) < self.lost_responses {
            for (_, delay, response) in deliveries.iter_mut().filter(|it| it.0 == index) {
                (*delay, *response) = (TIMEOUT, failed.clone());
            }
        }
        deliveries
    }

    fn execute(&mut self, index: usize, call: Effect) -> Deliveries {
        let event = match call {
            Effect::ReadConfig => Input::Store(self.read_value()),
            Effect::WatchConfig { after } | Effect::ReadConfigChanges { after }
                if after.number < self.data.record_revision =>
            {
                Input::Store(self.read_value())
            }
            Effect::ReadConfigChanges { .. } => Input::Store(StoreEvent::Unchanged {
                store_revision: self.revision(self.data.revision),
            }),
            Effect::WatchConfig { after } if after.number > self.data.revision => {
                Input::Store(StoreEvent::Failed)
            }
            Effect::WatchConfig { after } => {
                self.watches.insert(index, after.number);
                return Vec::new();
            }
            Effect::WriteConfig { expected, record } => {
                self.writes += 1;
                let mut deliveries = Vec::new();
                if expected.number
                    == self
                        .data
                        .record
                        .as_ref()
                        .map_or(0, |_| self.data.record_revision)
                {
                    deliveries = self.put(Some(record));
                }
                deliveries.push((
                    index,
                    LATENCY,
                    Input::Store(StoreEvent::Written { era: Era(self.era) }),
                ));
                return deliveries;
            }
            Effect::ReadContacts { domain, .. } => {
                self.reads += 1;
                let known = self.data.contacts.get(domain.as_str());
                let (addresses, revision) = known.cloned().unwrap_or_default();
                Input::Contacts(ContactsEvent::Value {
                    addresses,
                    revision: self.revision(revision),
                })
            }
            Effect::WriteContacts {
                domain,
                expected,
                addresses,
            } => {
                self.writes += 1;
                let known = self.data.contacts.entry(domain.as_str().to_owned());
                let known = known.or_default();
                if known.1 == expected.number {
                    self.data.revision += 1;
                    *known = (addresses, self.data.revision);
                }
                Input::Contacts(ContactsEvent::Written { era: Era(self.era) })
            }
            _ => return Vec::new(),
        };
        vec![(index, LATENCY, event)]
    }

    fn read_value(&mut self) -> StoreEvent {
        self.reads += 1;
        StoreEvent::Value {
            record: self.data.record.clone(),
            revision: self.revision(
                self.data
                    .record
                    .as_ref()
                    .map_or(0, |_| self.data.record_revision),
            ),
            store_revision: self.revision(self.data.revision),
            is_writable: !self.read_only_config,
        }
    }
}
