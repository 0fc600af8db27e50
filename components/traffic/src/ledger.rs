//! Ledger of an owner: what became of each request until it expires.
//!
//! The owner machine records each request that it takes in or fences. Entries lie in buckets, each a
//! sorted vector, so that an insertion moves about a hundred entries instead of all. Expiries lie in
//! a heap, so that nothing scans the entries.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use errors::Verdict;
use ids::RequestId;
use kernel::Time;

/// Time for which an entry outlives its request, so that a query that comes just after the expiry
/// still finds it.
pub const RETENTION: Duration = Duration::from_secs(5);
/// Buckets; with 100,000 entries each holds about a hundred.
const BUCKET_COUNT: usize = 1_024;
/// Spreads ids that differ in few bits (odd constant from the golden ratio).
const HASH_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;
/// Entries that one clean-up drops at most, which bounds the time under the lock.
const MAX_REMOVALS: usize = 512;

/// What the owner knows of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It never arrived, and will be refused if it does.
    Fenced,
    /// It was waiting and has been cancelled; it will not run.
    Cancelled,
    /// It waits or runs.
    Running,
    /// It ended; `stored` tells whether the answer can be fetched.
    Done { verdict: Verdict, stored: bool },
    /// The owner cannot tell.
    Unknown,
}

/// State of one entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordState {
    /// An outcome query came first; the request must not run.
    Fenced,
    /// It waits or runs under this tag.
    Open { tag: u64 },
    /// It ended.
    Done { verdict: Verdict, stored: bool },
}

/// One request as the ledger knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Record {
    /// The request.
    pub id: RequestId,
    /// Number of the latest attempt seen here; earlier ones never run any more.
    pub attempt: u32,
    /// When its answer is no longer of use.
    pub expires: Time,
    /// Whether it can run more than once; false if that is not known.
    pub idempotent: bool,
    /// What became of the attempt.
    pub state: RecordState,
    /// What is known of the execution over the earlier attempts; only an idempotent request is taken
    /// in again after one that may have run.
    pub earlier_verdict: Verdict,
}

impl RecordState {
    /// What is known of the execution if the attempt is not followed any further.
    fn verdict(self) -> Verdict {
        match self {
            Self::Fenced => Verdict::NotRun,
            Self::Open { .. } => Verdict::MayHaveRun,
            Self::Done { verdict, .. } => verdict,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    record: Record,
    /// Its time has passed while it was open; it goes once it has ended.
    expired: bool,
}

/// Entries by request id; none is dropped before it expires.
#[derive(Debug)]
pub struct Ledger {
    capacity: usize,
    len: usize,
    idempotent: usize,
    buckets: Vec<Vec<Entry>>,
    expiries: BinaryHeap<Reverse<(Time, RequestId)>>,
    /// Latest expiry of an idempotent request that ran without an entry.
    unrecorded_until: Time,
}

impl Ledger {
    /// A ledger of at most `bound` entries.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            len: 0,
            idempotent: 0,
            buckets: vec![Vec::new(); BUCKET_COUNT],
            expiries: BinaryHeap::new(),
            unrecorded_until: Time::default(),
        }
    }

    /// Number of entries.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether there is no entry.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Whether no further entry fits; idempotent requests may take three quarters of the room, so
    /// that a flood of them does not stop those that depend on the ledger.
    pub fn is_full(&self, idempotent: bool) -> bool {
        self.len >= self.capacity || (idempotent && self.idempotent >= self.capacity / 4 * 3)
    }

    /// The record of a request.
    pub fn get(&self, id: RequestId) -> Option<Record> {
        let bucket = &self.buckets[bucket_of(id)];
        let at = bucket.binary_search_by_key(&id, |entry| entry.record.id);
        at.ok().map(|at| bucket[at].record)
    }

    /// Adds a record or replaces the one of the same request; false if it is new and does not fit.
    pub fn upsert(&mut self, record: Record) -> bool {
        let full = self.is_full(record.idempotent);
        let bucket = &mut self.buckets[bucket_of(record.id)];
        match bucket.binary_search_by_key(&record.id, |entry| entry.record.id) {
            Ok(at) => {
                let entry = &mut bucket[at];
                let expires = entry.record.expires.max(record.expires);
                // The class stays, because it was counted when the entry was made.
                let idempotent = entry.record.idempotent;
                let id = record.id;
                let previous = entry.record;
                let earlier_verdict = if record.attempt > previous.attempt {
                    previous.earlier_verdict.max(previous.state.verdict())
                } else {
                    previous.earlier_verdict
                };
                let needs_expiry = entry.expired || expires > entry.record.expires;
                entry.expired = false;
                entry.record = Record {
                    expires,
                    idempotent,
                    earlier_verdict,
                    ..record
                };
                if needs_expiry {
                    self.expiries.push(Reverse((expires + RETENTION, id)));
                }
            }
            Err(_) if full => return false,
            Err(at) => {
                let expired = false;
                bucket.insert(at, Entry { record, expired });
                self.len += 1;
                self.idempotent += usize::from(record.idempotent);
                self.expiries
                    .push(Reverse((record.expires + RETENTION, record.id)));
            }
        }
        true
    }

    /// Ends the open request that has this tag; one that another attempt replaced is left alone.
    pub fn close(&mut self, id: RequestId, tag: u64, state: RecordState) {
        let bucket = &mut self.buckets[bucket_of(id)];
        let Ok(at) = bucket.binary_search_by_key(&id, |entry| entry.record.id) else {
            return;
        };
        if bucket[at].record.state != (RecordState::Open { tag }) {
            return;
        }
        bucket[at].record.state = state;
        if bucket[at].expired {
            self.remove_at(id, at);
        }
    }

    /// Notes that an idempotent request runs without an entry because none fits.
    pub fn note_unrecorded(&mut self, expires: Time) {
        self.unrecorded_until = self.unrecorded_until.max(expires);
    }

    /// Whether the lack of an entry proves that a request which expires then was never taken in.
    pub fn proves_absence(&self, now: Time, expires: Time) -> bool {
        now < expires + RETENTION && expires > self.unrecorded_until
    }

    /// Drops entries whose time has passed and whose request has ended, a bounded number at once.
    pub fn expire(&mut self, now: Time) {
        for _ in 0..MAX_REMOVALS {
            match self.expiries.peek() {
                Some(Reverse((due, _))) if *due <= now => {}
                _ => return,
            }
            if let Some(Reverse((due, id))) = self.expiries.pop() {
                self.expire_entry(due, id);
            }
        }
    }

    /// When [`Ledger::expire`] has something to do.
    pub fn next_expiry(&self) -> Option<Time> {
        self.expiries.peek().map(|Reverse((due, _))| *due)
    }

    fn expire_entry(&mut self, due: Time, id: RequestId) {
        let bucket = &mut self.buckets[bucket_of(id)];
        let Ok(at) = bucket.binary_search_by_key(&id, |entry| entry.record.id) else {
            return;
        };
        let entry = &mut bucket[at];
        if entry.record.expires + RETENTION > due {
            return;
        }
        match entry.record.state {
            RecordState::Open { .. } => entry.expired = true,
            RecordState::Fenced | RecordState::Done { .. } => self.remove_at(id, at),
        }
    }

    fn remove_at(&mut self, id: RequestId, at: usize) {
        let entry = self.buckets[bucket_of(id)].remove(at);
        self.len -= 1;
        self.idempotent -= usize::from(entry.record.idempotent);
    }
}

fn bucket_of(id: RequestId) -> usize {
    let folded = (id.0 as u64) ^ ((id.0 >> 64) as u64);
    (folded.wrapping_mul(HASH_MULTIPLIER) >> 54) as usize % BUCKET_COUNT
}
