//! Snapshot of the suspect requests for the traffic threads.

use std::time::Duration;

use ids::Fingerprint;
use kernel::Time;

/// A suspect request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The request.
    pub fingerprint: Fingerprint,
    /// Number of crashes since the request last completed.
    pub crashes: usize,
    /// Time until which no node runs the request again.
    pub held_until: Time,
}

/// The suspect requests that a node knows.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct View {
    /// Sorted by fingerprint.
    entries: Vec<Entry>,
}

impl View {
    pub(crate) fn new(entries: Vec<Entry>) -> Self {
        Self { entries }
    }

    /// Time for which the request must not run; `None` if it may run now. The retry of a request that
    /// crashed `seen_crashes` upstreams is not held for these.
    pub fn hold(&self, now: Time, fingerprint: Fingerprint, seen_crashes: u32) -> Option<Duration> {
        let entry = self.get(fingerprint)?;
        let is_known = entry.crashes <= usize::try_from(seen_crashes).unwrap_or(usize::MAX);
        (entry.held_until > now && !is_known).then(|| now.until(entry.held_until))
    }

    /// Whether the request is suspect.
    pub fn contains(&self, fingerprint: Fingerprint) -> bool {
        self.get(fingerprint).is_some()
    }

    fn get(&self, fingerprint: Fingerprint) -> Option<&Entry> {
        let position = self
            .entries
            .binary_search_by_key(&fingerprint, |it| it.fingerprint);
        position.ok().map(|index| &self.entries[index])
    }
}
