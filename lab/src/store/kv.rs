//! Keys, leases and history of the fake store. Pure: time is an input.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

/// Maximum size of a value, as in the platform's store.
pub const MAX_VALUE_BYTES: usize = 1_000_000;
const MAX_KEYS: usize = 10_000;
const MAX_LEASES: usize = 10_000;
/// Maximum number of past events that are kept for watches that start at an earlier revision.
const MAX_HISTORY: usize = 1_000;

/// Value of a key with its metadata; a lease of 0 means that the key has no lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    pub key: Vec<u8>,
    pub value: Vec<u8>,
    pub create_revision: u64,
    pub mod_revision: u64,
    pub version: u64,
    pub lease: u64,
}

/// Change of a key; the value of the entry is empty if the key was deleted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    pub entry: Entry,
    pub deleted: bool,
}

/// Keys from `first` (inclusive) to `end` (exclusive).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyRange {
    pub first: Vec<u8>,
    /// Empty for the single key `first`; one zero byte for a range without end.
    pub end: Vec<u8>,
}

impl KeyRange {
    fn contains(&self, key: &[u8]) -> bool {
        match self.end.as_slice() {
            [] => key == self.first,
            [0] => key >= self.first.as_slice(),
            end => key >= self.first.as_slice() && key < end,
        }
    }
}

/// One operation of a transaction.
#[derive(Clone, Debug)]
pub enum Operation {
    Range(KeyRange),
    Put {
        key: Vec<u8>,
        value: Vec<u8>,
        lease: u64,
    },
    Delete(KeyRange),
}

/// Result of one operation of a transaction.
#[derive(Debug, PartialEq, Eq)]
pub enum OperationResult {
    Range(Vec<Entry>),
    Put,
    Deleted(usize),
}

#[derive(Clone, Debug)]
struct Lease {
    id: u64,
    ttl: Duration,
    expires_at: Instant,
}

/// Keys, history and leases of the store; a clone of this state serves as backup.
#[derive(Clone, Debug)]
pub struct KvState {
    revision: u64,
    /// Current entries, sorted by key.
    entries: Vec<Entry>,
    history: VecDeque<Event>,
    /// Leases that have not ended, sorted by id; ids are assigned in ascending order.
    leases: Vec<Lease>,
    next_lease: u64,
}

impl Default for KvState {
    fn default() -> Self {
        Self {
            revision: 1,
            entries: Vec::new(),
            history: VecDeque::new(),
            leases: Vec::new(),
            next_lease: 1,
        }
    }
}

impl KvState {
    /// Returns the revision of the last change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the entries of `range` in order of keys.
    pub fn range(&self, range: &KeyRange) -> Vec<Entry> {
        let from = self.entries.partition_point(|it| it.key < range.first);
        let tail = self.entries[from..].iter();
        tail.take_while(|it| range.contains(&it.key))
            .cloned()
            .collect()
    }

    /// Returns the entry of a key.
    pub fn get(&self, key: &[u8]) -> Option<&Entry> {
        let index = self
            .entries
            .binary_search_by(|it| it.key.as_slice().cmp(key));
        index.ok().map(|index| &self.entries[index])
    }

    /// Applies all operations in one revision, or none; an error says which operation is invalid or
    /// which limit is exceeded.
    pub fn apply(
        &mut self,
        operations: &[Operation],
    ) -> Result<Vec<OperationResult>, &'static str> {
        self.validate(operations)?;
        let next = self.revision + 1;
        let mut changed = false;
        let mut results = Vec::with_capacity(operations.len());
        for operation in operations {
            results.push(match operation {
                Operation::Range(range) => OperationResult::Range(self.range(range)),
                Operation::Put { key, value, lease } => {
                    changed = true;
                    self.put(next, key, value, *lease);
                    OperationResult::Put
                }
                Operation::Delete(range) => {
                    let removed = self.delete(next, |entry| range.contains(&entry.key));
                    changed |= removed > 0;
                    OperationResult::Deleted(removed)
                }
            });
        }
        if changed {
            self.revision = next;
        }
        Ok(results)
    }

    /// Checks the limits and leases of all puts before any operation is applied.
    fn validate(&self, operations: &[Operation]) -> Result<(), &'static str> {
        for operation in operations {
            if let Operation::Put { key, value, lease } = operation {
                if value.len() > MAX_VALUE_BYTES {
                    return Err("etcdserver: request is too large");
                }
                if self.entries.len() >= MAX_KEYS && self.get(key).is_none() {
                    return Err("etcdserver: mvcc: database space exceeded");
                }
                if *lease != 0 && self.lease_index(*lease).is_err() {
                    return Err("etcdserver: requested lease not found");
                }
            }
        }
        Ok(())
    }

    fn put(&mut self, mod_revision: u64, key: &[u8], value: &[u8], lease: u64) {
        let position = self
            .entries
            .binary_search_by(|it| it.key.as_slice().cmp(key));
        let (create_revision, version) = match position {
            Ok(index) => (
                self.entries[index].create_revision,
                self.entries[index].version + 1,
            ),
            Err(_) => (mod_revision, 1),
        };
        let entry = Entry {
            key: key.to_vec(),
            value: value.to_vec(),
            create_revision,
            mod_revision,
            version,
            lease,
        };
        match position {
            Ok(index) => self.entries[index] = entry.clone(),
            Err(index) => self.entries.insert(index, entry.clone()),
        }
        self.record_event(Event {
            entry,
            deleted: false,
        });
    }

    fn delete(&mut self, mod_revision: u64, should_delete: impl Fn(&Entry) -> bool) -> usize {
        let deleted_entries: Vec<Entry> = self
            .entries
            .extract_if(.., |it| should_delete(it))
            .collect();
        let count = deleted_entries.len();
        for entry in deleted_entries {
            let entry = Entry {
                value: Vec::new(),
                mod_revision,
                ..entry
            };
            self.record_event(Event {
                entry,
                deleted: true,
            });
        }
        count
    }

    fn record_event(&mut self, event: Event) {
        if self.history.len() >= MAX_HISTORY {
            self.history.pop_front();
        }
        self.history.push_back(event);
    }

    /// Returns the events of `range` from the revision `start` on. The error is the oldest revision in
    /// the history, if `start` is older.
    pub fn events(&self, range: &KeyRange, start: u64) -> Result<Vec<Event>, u64> {
        if let Some(oldest) = self.history.front()
            && self.history.len() >= MAX_HISTORY
            && start < oldest.entry.mod_revision
        {
            return Err(oldest.entry.mod_revision);
        }
        let events = self.history.iter();
        Ok(events
            .filter(|it| it.entry.mod_revision >= start && range.contains(&it.entry.key))
            .cloned()
            .collect())
    }

    /// Returns the index of a lease in `leases`.
    fn lease_index(&self, id: u64) -> Result<usize, usize> {
        self.leases.binary_search_by_key(&id, |it| it.id)
    }

    /// Grants a lease and returns its id.
    pub fn grant(&mut self, now: Instant, ttl: Duration) -> Result<u64, &'static str> {
        if self.leases.len() >= MAX_LEASES {
            return Err("etcdserver: too many leases");
        }
        let id = self.next_lease;
        self.next_lease += 1;
        self.leases.push(Lease {
            id,
            ttl,
            expires_at: now + ttl,
        });
        Ok(id)
    }

    /// Renews a lease and returns its time to live, or `None` if there is no such lease.
    pub fn keep_alive(&mut self, now: Instant, id: u64) -> Option<Duration> {
        let index = self.lease_index(id).ok()?;
        let lease = &mut self.leases[index];
        lease.expires_at = now + lease.ttl;
        Some(lease.ttl)
    }

    /// Ends a lease and deletes its keys; returns false if there is no such lease.
    pub fn revoke(&mut self, id: u64) -> bool {
        let Ok(index) = self.lease_index(id) else {
            return false;
        };
        self.leases.remove(index);
        let next = self.revision + 1;
        if self.delete(next, |entry| entry.lease == id) > 0 {
            self.revision = next;
        }
        true
    }

    /// Ends the leases that have expired; returns true if a key was deleted.
    pub fn expire_leases(&mut self, now: Instant) -> bool {
        let before = self.revision;
        let expired: Vec<u64> = self
            .leases
            .iter()
            .filter(|it| it.expires_at <= now)
            .map(|it| it.id)
            .collect();
        for id in expired {
            self.revoke(id);
        }
        self.revision > before
    }
}
