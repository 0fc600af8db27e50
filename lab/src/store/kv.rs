//! Keys, leases and history of the stand-in store. Pure: time is an input.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

/// Longest value, as on the platform.
pub const MAX_VALUE_BYTES: usize = 1_000_000;
const MAX_KEYS: usize = 10_000;
const MAX_LEASES: usize = 10_000;
/// Events kept for watches that start in the past.
const MAX_HISTORY: usize = 1_000;

/// Value of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    pub key: Vec<u8>,
    pub value: Vec<u8>,
    pub created: u64,
    pub revision: u64,
    pub version: u64,
    pub lease: u64,
}

/// A change; the entry has no value if the key was deleted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    pub entry: Entry,
    pub deleted: bool,
}

/// Keys from `first` up to, not including, `end`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Span {
    pub first: Vec<u8>,
    /// Empty for the one key `first`; one zero byte for no end.
    pub end: Vec<u8>,
}

impl Span {
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
    Range(Span),
    Put {
        key: Vec<u8>,
        value: Vec<u8>,
        lease: u64,
    },
    Delete(Span),
}

/// Result of one operation.
#[derive(Debug, PartialEq, Eq)]
pub enum Done {
    Range(Vec<Entry>),
    Put,
    Deleted(usize),
}

#[derive(Clone, Debug)]
struct Lease {
    id: u64,
    ttl: Duration,
    expires: Instant,
}

/// The whole state; a copy of it serves as backup.
#[derive(Clone, Debug)]
pub struct Kv {
    revision: u64,
    /// Sorted by key.
    entries: Vec<Entry>,
    history: VecDeque<Event>,
    /// Sorted by id, which rises.
    leases: Vec<Lease>,
    next_lease: u64,
}

impl Default for Kv {
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

impl Kv {
    /// Revision of the last change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The entries of `span` in order of keys.
    pub fn range(&self, span: &Span) -> Vec<Entry> {
        let from = self.entries.partition_point(|it| it.key < span.first);
        let tail = self.entries[from..].iter();
        tail.take_while(|it| span.contains(&it.key))
            .cloned()
            .collect()
    }

    /// The entry of a key.
    pub fn find(&self, key: &[u8]) -> Option<&Entry> {
        let at = self
            .entries
            .binary_search_by(|it| it.key.as_slice().cmp(key));
        at.ok().map(|at| &self.entries[at])
    }

    /// Does all operations in one revision, or none; an error says which bound is exceeded.
    pub fn apply(&mut self, operations: &[Operation]) -> Result<Vec<Done>, &'static str> {
        self.check(operations)?;
        let next = self.revision + 1;
        let mut changed = false;
        let mut done = Vec::with_capacity(operations.len());
        for operation in operations {
            done.push(match operation {
                Operation::Range(span) => Done::Range(self.range(span)),
                Operation::Put { key, value, lease } => {
                    changed = true;
                    self.put(next, key, value, *lease);
                    Done::Put
                }
                Operation::Delete(span) => {
                    let removed = self.delete(next, |entry| span.contains(&entry.key));
                    changed |= removed > 0;
                    Done::Deleted(removed)
                }
            });
        }
        if changed {
            self.revision = next;
        }
        Ok(done)
    }

    fn check(&self, operations: &[Operation]) -> Result<(), &'static str> {
        for operation in operations {
            if let Operation::Put { key, value, lease } = operation {
                if value.len() > MAX_VALUE_BYTES {
                    return Err("etcdserver: request is too large");
                }
                if self.entries.len() >= MAX_KEYS && self.find(key).is_none() {
                    return Err("etcdserver: mvcc: database space exceeded");
                }
                if *lease != 0 && self.lease(*lease).is_err() {
                    return Err("etcdserver: requested lease not found");
                }
            }
        }
        Ok(())
    }

    fn put(&mut self, revision: u64, key: &[u8], value: &[u8], lease: u64) {
        let place = self
            .entries
            .binary_search_by(|it| it.key.as_slice().cmp(key));
        let (created, version) = match place {
            Ok(at) => (self.entries[at].created, self.entries[at].version + 1),
            Err(_) => (revision, 1),
        };
        let entry = Entry {
            key: key.to_vec(),
            value: value.to_vec(),
            created,
            revision,
            version,
            lease,
        };
        match place {
            Ok(at) => self.entries[at] = entry.clone(),
            Err(at) => self.entries.insert(at, entry.clone()),
        }
        self.remember(Event {
            entry,
            deleted: false,
        });
    }

    fn delete(&mut self, revision: u64, condemned: impl Fn(&Entry) -> bool) -> usize {
        let gone: Vec<Entry> = self.entries.extract_if(.., |it| condemned(it)).collect();
        let count = gone.len();
        for entry in gone {
            let entry = Entry {
                value: Vec::new(),
                revision,
                ..entry
            };
            self.remember(Event {
                entry,
                deleted: true,
            });
        }
        count
    }

    fn remember(&mut self, event: Event) {
        if self.history.len() >= MAX_HISTORY {
            self.history.pop_front();
        }
        self.history.push_back(event);
    }

    /// Events of `span` from a revision on; an error is the oldest revision that is still known.
    pub fn events(&self, span: &Span, start: u64) -> Result<Vec<Event>, u64> {
        if let Some(oldest) = self.history.front()
            && self.history.len() >= MAX_HISTORY
            && start < oldest.entry.revision
        {
            return Err(oldest.entry.revision);
        }
        let events = self.history.iter();
        Ok(events
            .filter(|it| it.entry.revision >= start && span.contains(&it.entry.key))
            .cloned()
            .collect())
    }

    fn lease(&self, id: u64) -> Result<usize, usize> {
        self.leases.binary_search_by_key(&id, |it| it.id)
    }

    /// Grants a lease and gives its id.
    pub fn grant(&mut self, now: Instant, ttl: Duration) -> Result<u64, &'static str> {
        if self.leases.len() >= MAX_LEASES {
            return Err("etcdserver: too many leases");
        }
        let id = self.next_lease;
        self.next_lease += 1;
        self.leases.push(Lease {
            id,
            ttl,
            expires: now + ttl,
        });
        Ok(id)
    }

    /// Renews a lease; `None` if it has expired or was never granted.
    pub fn keep_alive(&mut self, now: Instant, id: u64) -> Option<Duration> {
        let at = self.lease(id).ok()?;
        let lease = &mut self.leases[at];
        lease.expires = now + lease.ttl;
        Some(lease.ttl)
    }

    /// Ends a lease and deletes its keys; false if there is none.
    pub fn revoke(&mut self, id: u64) -> bool {
        let Ok(at) = self.lease(id) else {
            return false;
        };
        self.leases.remove(at);
        let next = self.revision + 1;
        if self.delete(next, |entry| entry.lease == id) > 0 {
            self.revision = next;
        }
        true
    }

    /// Ends the leases that have expired; true if a key went with them.
    pub fn expire(&mut self, now: Instant) -> bool {
        let before = self.revision;
        let expired: Vec<u64> = self
            .leases
            .iter()
            .filter(|it| it.expires <= now)
            .map(|it| it.id)
            .collect();
        for id in expired {
            self.revoke(id);
        }
        self.revision > before
    }
}
