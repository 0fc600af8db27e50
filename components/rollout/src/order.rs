//! An operator's order to move a service to a version, as one node knows it.

use std::sync::Arc;

use crate::Revision;
use ids::NodeId;
use kernel::Time;

/// Phase of an order. A verdict, one of the last two, never changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// The target gets a small share of the requests.
    Running,
    /// The target was judged good, and gets all requests while its confirmation by all nodes is awaited.
    Promoting,
    /// The target is the established version.
    Succeeded,
    /// The target gets no requests.
    RolledBack,
}

impl Phase {
    /// Whether the phase is a verdict.
    pub fn is_verdict(self) -> bool {
        matches!(self, Self::Succeeded | Self::RolledBack)
    }
}

/// An order and its state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KnownOrder {
    /// Revision of the state in the store.
    pub revision: Revision,
    /// Revision of the order in the store, which identifies it.
    pub order: Revision,
    /// Version that the service is to move to.
    pub target: Arc<str>,
    /// Phase of the state.
    pub phase: Phase,
    /// Whether the target gets no more requests, because it was seen to be bad. This holds for the order for good,
    /// whether or not the verdict is in the store yet.
    pub halted: bool,
    /// Node that coordinates the rollout, to which reports are sent.
    pub coordinator: NodeId,
    /// Time from which the state is too old to send requests to the target.
    pub fresh_until: Time,
    /// Whether nothing was heard of the order for so long that it is given up.
    pub is_abandoned: bool,
}
