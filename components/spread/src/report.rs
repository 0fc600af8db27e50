//! What an operator should know of the distribution at a node.

use ids::Version;
use member::ConfigId;

/// Stamps remembered of each kind.
const REMEMBERED: usize = 16;

/// A record that was refused as a whole.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Its version.
    pub version: Version,
    /// The first reason.
    pub message: String,
}

/// Counts of what went wrong since the process started.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DistributionReport {
    /// Records that do not compile or have a newer format.
    pub refused: u64,
    /// Records whose text does not match its hash, and values of the store that are no record.
    pub corrupt: u64,
    /// Texts with the version in force that differ from it.
    pub conflicts: u64,
    /// Times that the store held an older version than this node.
    pub store_behind: u64,
    /// The last refusal.
    pub last_refusal: Option<Refusal>,
}

/// A few stamps, the oldest forgotten first.
#[derive(Debug, Default)]
pub(crate) struct Stamps {
    list: Vec<ConfigId>,
}

impl Stamps {
    pub(crate) fn contains(&self, config_id: ConfigId) -> bool {
        self.list.contains(&config_id)
    }

    /// Remembers a configuration id; tells whether it is a new one.
    pub(crate) fn add(&mut self, config_id: ConfigId) -> bool {
        if self.contains(config_id) {
            return false;
        }
        if self.list.len() == REMEMBERED {
            self.list.remove(0);
        }
        self.list.push(config_id);
        true
    }
}
