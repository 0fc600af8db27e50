//! Parameters of the membership protocol.

use std::time::Duration;

/// Parameters of the membership protocol.
#[derive(Clone, Copy, Debug)]
pub struct Parameters {
    /// Time between two probes that a node starts.
    pub probe_period: Duration,
    /// Time to wait for an ack of the probed member before relays are asked.
    pub probe_timeout: Duration,
    /// Time after which a suspected member is declared dead if no other node confirms the suspicion, in
    /// a fleet of up to ten members. In larger fleets the time grows with log10 of the member count.
    pub suspicion_timeout: Duration,
    /// Maximum number of queued updates in one message.
    pub max_updates: usize,
    /// Number of members that are asked to ping a member that did not answer.
    pub indirect_probes: usize,
    /// Mean time between two comparisons of the member table with that of a random member.
    pub sync_period: Duration,
    /// Time for which a dead member stays in the table. It is pinged at random during that time, so
    /// that the two sides of a partition find each other once it has healed.
    pub dead_retention: Duration,
    /// Time for which a member that left or was replaced stays in the table. It must be longer than
    /// updates about the member take to spread.
    pub left_retention: Duration,
}

impl Default for Parameters {
    fn default() -> Self {
        Self {
            probe_period: Duration::from_secs(1),
            probe_timeout: Duration::from_millis(400),
            suspicion_timeout: Duration::from_secs(3),
            max_updates: 8,
            indirect_probes: 3,
            sync_period: Duration::from_secs(30),
            dead_retention: Duration::from_secs(24 * 3_600),
            left_retention: Duration::from_secs(300),
        }
    }
}
