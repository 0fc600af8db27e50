//! Counters of configuration problems at a node, for operators.

use ids::Version;
use member::ConfigId;

/// Maximum number of configurations remembered by one [`RecentConfigIds`].
const MAX_REMEMBERED: usize = 16;

/// A configuration record that the node refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Version of the record.
    pub version: Version,
    /// The first error found in it.
    pub message: String,
}

/// Configuration problems since the process started.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DistributionReport {
    /// Records that don't compile or have a newer format.
    pub refused: u64,
    /// Records whose text doesn't match its hash, and store values that aren't records.
    pub corrupt: u64,
    /// Configurations of other nodes with the version in force but another text.
    pub conflicts: u64,
    /// Reads in which the store held an older version than this node.
    pub store_behind: u64,
    /// Times that the store was seen to have returned from an older copy.
    pub store_restores: u64,
    /// The record that was refused last.
    pub last_refusal: Option<Refusal>,
}

/// A bounded set of versions and hashes of configurations, from which the oldest is dropped first.
#[derive(Debug, Default)]
pub(crate) struct RecentConfigIds {
    ids: Vec<ConfigId>,
}

impl RecentConfigIds {
    pub(crate) fn contains(&self, config_id: ConfigId) -> bool {
        self.ids.contains(&config_id)
    }

    /// Adds a configuration; returns whether it is new in the set.
    pub(crate) fn insert(&mut self, config_id: ConfigId) -> bool {
        if self.contains(config_id) {
            return false;
        }
        if self.ids.len() == MAX_REMEMBERED {
            self.ids.remove(0);
        }
        self.ids.push(config_id);
        true
    }
}
