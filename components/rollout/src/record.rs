//! What the store holds about rollouts.

use std::sync::Arc;

use crate::Phase;
use crate::Revision;

/// An operator's order to move a service to a version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// Revision of the order's key.
    pub revision: Revision,
    /// Version to move to.
    pub target: Arc<str>,
    /// Time for the rollout, in milliseconds.
    pub duration_ms: u64,
}

/// State of the newest order of a service, changed by compare-and-swap only.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// The order.
    pub order: Order,
    /// Version that was established when the order came.
    pub established: Arc<str>,
    /// Start of the rollout, in milliseconds of Unix time.
    pub started_ms: u64,
    /// Phase of the order.
    pub phase: Phase,
}

impl Record {
    /// Whether this is the state of `order`. Eras are not compared, because a store that has returned from an
    /// older copy shows the same order in a new era.
    pub fn is_of(&self, order: &Order) -> bool {
        is_same_order(
            (self.order.revision, &self.order.target),
            (order.revision, &order.target),
        )
    }

    /// The version that is established by this state.
    pub fn established_version(&self) -> &Arc<str> {
        if self.phase == Phase::Succeeded {
            &self.order.target
        } else {
            &self.established
        }
    }
}

/// Whether two orders, each given by revision and target, are the same.
pub(crate) fn is_same_order(left: (Revision, &str), right: (Revision, &str)) -> bool {
    (left.0.number, left.1) == (right.0.number, right.1)
}
