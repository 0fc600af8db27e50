//! Conversion of local times to the clock of another node.

use ids::NodeId;
use kernel::Time;

/// Identifier and clock of the node at the other end of a connection, as its hello response states
/// them.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PeerClock {
    /// Identifier of the other node.
    pub(crate) node: NodeId,
    /// Time on the other node's clock when it sent the hello response.
    pub(crate) peer_time: Time,
    /// Local time after the hello response had arrived. An earlier time here would make converted
    /// deadlines too late, so that expired requests could start.
    pub(crate) local_time: Time,
}

impl PeerClock {
    /// Converts a local time to the other node's clock. The result is never later than the same instant
    /// on that clock.
    pub(crate) fn convert_to_peer_time(&self, time: Time) -> Time {
        self.peer_time + time.since(self.local_time)
    }
}
