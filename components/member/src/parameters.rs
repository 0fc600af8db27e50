//! Times and sizes of the membership.

use std::time::Duration;

/// Times and sizes of the membership.
#[derive(Clone, Copy, Debug)]
pub struct Parameters {
    /// Time between two probes.
    pub probe_period: Duration,
    /// Longest wait for a direct answer.
    pub probe_timeout: Duration,
    /// Time from an unconfirmed suspicion to death for up to ten members; grows with log10 of the
    /// member count.
    pub suspicion_timeout: Duration,
    /// Statements on one message.
    pub max_updates: usize,
    /// Members asked to probe a member that did not answer.
    pub indirect_probes: usize,
    /// Mean time between two comparisons with a random member.
    pub sync_period: Duration,
    /// How long a member that is dead is kept, and probed now and then.
    pub dead_retention: Duration,
    /// How long a member that left or was replaced is kept. Longer than statements about it travel.
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
