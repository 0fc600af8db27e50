//! Ledger of an owner: the outcome of each request until the request expires.
//!
//! The owner's state machine records each request that it accepts or fences. The records are hashed
//! into buckets, each a sorted vector, so that an insertion moves about a hundred entries and not
//! all of them. A heap orders the expiry times, so that no operation scans the entries.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use errors::Verdict;
use ids::RequestId;
use kernel::Time;

/// Time for which an entry is kept after its request has expired, so that an outcome query that
/// arrives just after the expiry still finds the entry.
pub const RETENTION: Duration = Duration::from_secs(5);
/// Number of buckets; with 100,000 entries each bucket holds about a hundred.
const BUCKET_COUNT: usize = 1_024;
/// Multiplier of the hash, which spreads ids that differ in few bits (2^64 divided by the golden
/// ratio, as in Fibonacci hashing).
const HASH_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;
/// Maximum number of expiry times that one call of [`Ledger::expire`] processes, which bounds the
/// time for which the caller holds the lock.
const MAX_EXPIRIES_PER_CALL: usize = 512;

/// Answer of an owner to an outcome query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The request has not arrived, and is refused if it still does.
    Fenced,
    /// The request was queued and has been cancelled; it does not run.
    Cancelled,
    /// The request is queued or running.
    Running,
    /// The request has ended; `stored` tells whether its answer can be fetched.
    Done { verdict: Verdict, stored: bool },
    /// The owner does not know whether the request ran.
    Unknown,
}

/// State of the latest attempt of a recorded request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordState {
    /// An outcome query arrived before the request, which must not run.
    Fenced,
    /// The attempt is queued or running under this tag.
    Open { tag: u64 },
    /// The attempt has ended.
    Done { verdict: Verdict, stored: bool },
}

/// What the ledger records of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Record {
    /// Identifier of the request.
    pub id: RequestId,
    /// Number of the latest attempt that this owner has seen; earlier attempts are not started any
    /// more.
    pub attempt: u32,
    /// Time at which the sender no longer waits for the answer.
    pub expires: Time,
    /// Whether the request may run more than once; false if that is not known.
    pub idempotent: bool,
    /// State of the latest attempt.
    pub state: RecordState,
    /// Combined verdict of the earlier attempts. After an attempt that may have run, only an
    /// idempotent request is accepted again.
    pub earlier_verdict: Verdict,
}

impl RecordState {
    /// The verdict on the attempt if nothing more is learned about it.
    fn verdict(self) -> Verdict {
        match self {
            Self::Fenced => Verdict::NotRun,
            Self::Open { .. } => Verdict::MayHaveRun,
            Self::Done { verdict, .. } => verdict,
        }
    }
}

/// A record in a bucket.
#[derive(Clone, Copy, Debug)]
struct Entry {
    record: Record,
    /// Whether the retention has passed while the request was open; such an entry is removed as
    /// soon as the request ends.
    expired: bool,
}

/// A bounded number of records by request id; none is removed before its retention has passed.
#[derive(Debug)]
pub struct Ledger {
    capacity: usize,
    len: usize,
    idempotent_count: usize,
    buckets: Vec<Vec<Entry>>,
    /// Times at which entries are due for removal; some are outdated by a later expiry of the
    /// entry.
    expiries: BinaryHeap<Reverse<(Time, RequestId)>>,
    /// Latest expiry of the idempotent requests that were accepted without a record.
    unrecorded_until: Time,
}

impl Ledger {
    /// Creates a ledger of at most `capacity` entries.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            len: 0,
            idempotent_count: 0,
            buckets: vec![Vec::new(); BUCKET_COUNT],
            expiries: BinaryHeap::new(),
            unrecorded_until: Time::default(),
        }
    }

    /// Number of entries.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether the ledger has no entry.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Whether no further entry fits. Idempotent requests may use only three quarters of the
    /// capacity, so that a flood of them leaves room for the requests that may run only once.
    pub fn is_full(&self, idempotent: bool) -> bool {
        self.len >= self.capacity || (idempotent && self.idempotent_count >= self.capacity / 4 * 3)
    }

    /// The record of a request, if there is one.
    pub fn get(&self, id: RequestId) -> Option<Record> {
        let bucket = &self.buckets[bucket_index(id)];
        let index = bucket.binary_search_by_key(&id, |entry| entry.record.id);
        index.ok().map(|index| bucket[index].record)
    }

    /// Inserts a record or replaces the one of the same request. Returns false, and changes
    /// nothing, if the request is new and no entry fits.
    pub fn upsert(&mut self, record: Record) -> bool {
        let full = self.is_full(record.idempotent);
        let bucket = &mut self.buckets[bucket_index(record.id)];
        match bucket.binary_search_by_key(&record.id, |entry| entry.record.id) {
            Ok(index) => {
                let entry = &mut bucket[index];
                let expires = entry.record.expires.max(record.expires);
                // `idempotent_count` has counted the entry with the value it was inserted with.
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
            Err(index) => {
                let expired = false;
                bucket.insert(index, Entry { record, expired });
                self.len += 1;
                self.idempotent_count += usize::from(record.idempotent);
                self.expiries
                    .push(Reverse((record.expires + RETENTION, record.id)));
            }
        }
        true
    }

    /// Sets the state of the open request that has this tag. A record that a later attempt has
    /// replaced stays as it is.
    pub fn close(&mut self, id: RequestId, tag: u64, state: RecordState) {
        let bucket = &mut self.buckets[bucket_index(id)];
        let Ok(index) = bucket.binary_search_by_key(&id, |entry| entry.record.id) else {
            return;
        };
        if bucket[index].record.state != (RecordState::Open { tag }) {
            return;
        }
        bucket[index].record.state = state;
        if bucket[index].expired {
            self.remove_at(id, index);
        }
    }

    /// Records that a request was accepted without a record because no entry fits; `expires` is its
    /// expiry.
    pub fn note_unrecorded(&mut self, expires: Time) {
        self.unrecorded_until = self.unrecorded_until.max(expires);
    }

    /// Whether the absence of a record proves that a request with this expiry was never accepted.
    pub fn proves_absence(&self, now: Time, expires: Time) -> bool {
        now < expires + RETENTION && expires > self.unrecorded_until
    }

    /// Removes entries whose retention has passed and whose request has ended; one call processes a
    /// bounded number of expiry times.
    pub fn expire(&mut self, now: Time) {
        for _ in 0..MAX_EXPIRIES_PER_CALL {
            match self.expiries.peek() {
                Some(Reverse((due, _))) if *due <= now => {}
                _ => return,
            }
            if let Some(Reverse((due, id))) = self.expiries.pop() {
                self.expire_entry(due, id);
            }
        }
    }

    /// Time at which [`Ledger::expire`] has work to do.
    pub fn next_expiry(&self) -> Option<Time> {
        self.expiries.peek().map(|Reverse((due, _))| *due)
    }

    fn expire_entry(&mut self, due: Time, id: RequestId) {
        let bucket = &mut self.buckets[bucket_index(id)];
        let Ok(index) = bucket.binary_search_by_key(&id, |entry| entry.record.id) else {
            return;
        };
        let entry = &mut bucket[index];
        if entry.record.expires + RETENTION > due {
            return;
        }
        match entry.record.state {
            RecordState::Open { .. } => entry.expired = true,
            RecordState::Fenced | RecordState::Done { .. } => self.remove_at(id, index),
        }
    }

    fn remove_at(&mut self, id: RequestId, index: usize) {
        let entry = self.buckets[bucket_index(id)].remove(index);
        self.len -= 1;
        self.idempotent_count -= usize::from(entry.record.idempotent);
    }
}

fn bucket_index(id: RequestId) -> usize {
    let folded = (id.0 as u64) ^ ((id.0 >> 64) as u64);
    (folded.wrapping_mul(HASH_MULTIPLIER) >> 54) as usize % BUCKET_COUNT
}
