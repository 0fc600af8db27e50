//! Ledger of an owner: what became of each request until it expires.

use ids::RequestId;
use kernel::Time;

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
    Done {
        verdict: errors::Verdict,
        stored: bool,
    },
    /// The owner cannot tell.
    Unknown,
}

/// State of one entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// An outcome query came first; the request must not run.
    Fenced,
    /// It waits or runs under this tag.
    Open { tag: u64 },
    /// It ended.
    Done {
        verdict: errors::Verdict,
        stored: bool,
    },
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    id: RequestId,
    expires: Time,
    state: State,
}

/// Entries sorted by request id; none is dropped before it expires.
#[derive(Debug)]
pub struct Ledger {
    bound: usize,
    entries: Vec<Entry>,
}

impl Ledger {
    /// A ledger of at most `bound` entries.
    pub fn new(bound: usize) -> Self {
        Self {
            bound,
            entries: Vec::new(),
        }
    }

    /// Whether no further entry fits.
    pub fn is_full(&self) -> bool {
        self.entries.len() >= self.bound
    }

    /// State of a request.
    pub fn get(&self, id: RequestId) -> Option<State> {
        self.position(id).ok().map(|at| self.entries[at].state)
    }

    /// Adds or changes an entry; false if it is new and the ledger is full.
    pub fn set(&mut self, id: RequestId, expires: Time, state: State) -> bool {
        match self.position(id) {
            Ok(at) => self.entries[at].state = state,
            Err(_) if self.is_full() => return false,
            Err(at) => self.entries.insert(at, Entry { id, expires, state }),
        }
        true
    }

    /// Drops entries whose request has expired and has ended.
    pub fn expire(&mut self, now: Time) {
        self.entries
            .retain(|entry| entry.expires > now || matches!(entry.state, State::Open { .. }));
    }

    fn position(&self, id: RequestId) -> Result<usize, usize> {
        self.entries.binary_search_by_key(&id, |entry| entry.id)
    }
}
