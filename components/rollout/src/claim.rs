//! Which version of a service is established, as one node knows it.

use std::sync::Arc;
use std::time::Duration;

use crate::Revision;
use kernel::Time;

/// Difference in age below which neither of two claims counts as the older one. Ages grow too little by the
/// time that each message is under way.
const AGE_MARGIN: Duration = Duration::from_secs(1);

/// Statement that a version of a service is the established one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claim {
    /// The version.
    pub version: Arc<str>,
    /// Revision of the state in the store that names the version; the default where none does.
    pub revision: Revision,
    /// How often the version was determined anew because no endpoint of the one before was left.
    pub generation: u32,
    /// Age of the claim at `known_at`.
    pub age: Duration,
    /// When this node made the claim or learned of it.
    pub known_at: Time,
}

impl Claim {
    /// Age of the claim.
    pub fn age_at(&self, now: Time) -> Duration {
        self.age.saturating_add(now.since(self.known_at))
    }

    /// Whether this claim replaces `other`. The store counts more than what nodes have seen, and the older of two
    /// claims more than the later one, which a node can have made in the middle of a rollout.
    pub fn overrides(&self, other: &Self, now: Time) -> bool {
        let order = |it: &Self| (it.revision, it.generation);
        if order(self) != order(other) {
            return order(self) > order(other);
        }
        if self.version == other.version {
            return false;
        }
        let (age, other_age) = (self.age_at(now), other.age_at(now));
        if age.abs_diff(other_age) > AGE_MARGIN {
            return age > other_age;
        }
        self.version < other.version
    }
}
