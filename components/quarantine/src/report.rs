//! What nodes tell each other about one suspect request.

use std::time::Duration;

use ids::Fingerprint;
use ids::NodeId;

/// Identifies one crash of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Crash {
    /// Process of the node that owned the upstream.
    pub node: NodeId,
    /// Number of the crash among those that this process has seen.
    pub number: u32,
}

/// State of a suspect request as one node knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// The request.
    pub fingerprint: Fingerprint,
    /// How often the request was cleared; crashes from before a later clearance do not count.
    pub clearances: u32,
    /// Crashes since the last clearance, sorted; those beyond [`Report::MAX_CRASHES`] are left out.
    pub crashes: Vec<Crash>,
    /// Time since the latest of the crashes, or since the clearance if there is none.
    pub age: Duration,
}

impl Report {
    /// Maximum number of crashes in a report. From this number on the backoff is the longest one.
    pub const MAX_CRASHES: usize = 3;
    /// Maximum number of reports in one message.
    pub const MAX_PER_MESSAGE: usize = 15;
}
