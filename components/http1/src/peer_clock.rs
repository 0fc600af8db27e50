//! Clock of another node, as its hello told it.

use ids::NodeId;
use kernel::Time;

/// What a connection knows of the node at its other end.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PeerClock {
    /// Identity of the node.
    pub(crate) node: NodeId,
    /// Its time when it answered.
    pub(crate) peer_time: Time,
    /// Our time when the answer had arrived; an earlier one would let a late request start.
    pub(crate) local_time: Time,
}

impl PeerClock {
    /// Our `time` on the clock of the other node; never later than that clock shows.
    pub(crate) fn convert_to_peer_time(&self, time: Time) -> Time {
        self.peer_time + time.since(self.local_time)
    }
}
