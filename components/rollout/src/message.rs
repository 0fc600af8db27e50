//! Messages between nodes.

use std::sync::Arc;
use std::time::Duration;

use crate::Phase;
use crate::Revision;
use crate::Tally;
use ids::NodeId;

/// A message about rollouts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// Asks for all that the receiver knows.
    Query,
    /// What the sender knows of some services.
    Notices {
        /// Whether the sender serves requests, and therefore knows the established versions.
        is_serving: bool,
        /// At most [`Notice::MAX_PER_MESSAGE`] services.
        notices: Vec<Notice>,
    },
    /// Outcomes at one entry, for the coordinator.
    Report(Report),
}

/// What a node reports about an order that runs. All numbers are totals since the order, so that a lost or repeated
/// report changes nothing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// Node that reports.
    pub node: NodeId,
    /// Name of the service.
    pub service: Arc<str>,
    /// Revision of the order in the store.
    pub order: Revision,
    /// Revision of the state by which the node routes requests.
    pub state: Revision,
    /// Number of the report among those of the node.
    pub sequence: u64,
    /// Whether the node knows that the target gets no more requests.
    pub halted: bool,
    /// At most [`crate::MAX_TALLIES`] totals.
    pub tallies: Vec<Tally>,
}

/// What a node knows of one service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Notice {
    /// Name of the service.
    pub service: Arc<str>,
    /// Established version.
    pub established: Arc<str>,
    /// Revision of the state in the store that names the established version.
    pub revision: Revision,
    /// Generation of the established version.
    pub generation: u32,
    /// Age of the established version.
    pub age: Duration,
    /// The newest order, if there was one.
    pub order: Option<OrderNotice>,
}

impl Notice {
    /// Largest number of notices in one message, so that the longest names fit into a datagram.
    pub const MAX_PER_MESSAGE: usize = 2;
    /// Largest length of a name of a service or version, in bytes.
    pub const MAX_NAME_BYTES: usize = 100;
}

/// What a node knows of an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderNotice {
    /// Revision of the state in the store.
    pub revision: Revision,
    /// Revision of the order in the store.
    pub order: Revision,
    /// Version that the service is to move to.
    pub target: Arc<str>,
    /// Phase of the state.
    pub phase: Phase,
    /// Whether the target gets no more requests.
    pub halted: bool,
    /// Node that coordinates the rollout.
    pub coordinator: NodeId,
    /// Time since the coordinator stated this.
    pub age: Duration,
}
