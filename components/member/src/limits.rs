//! Times and sizes of the membership.

use std::time::Duration;

/// Times and sizes of the membership.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Time between two probes.
    pub period: Duration,
    /// Longest wait for a direct answer.
    pub timeout: Duration,
    /// Time from an unconfirmed suspicion to death for up to ten members; grows with log10 of the
    /// member count.
    pub suspicion: Duration,
    /// Statements on one message.
    pub updates: usize,
    /// Members asked to probe a member that did not answer.
    pub helpers: usize,
    /// Mean time between two comparisons with a random member.
    pub sync_period: Duration,
    /// How long a member that is dead is kept, and probed now and then.
    pub keep_dead: Duration,
    /// How long a member that left or was replaced is kept. Longer than statements about it travel.
    pub keep_left: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            period: Duration::from_secs(1),
            timeout: Duration::from_millis(400),
            suspicion: Duration::from_secs(3),
            updates: 8,
            helpers: 3,
            sync_period: Duration::from_secs(30),
            keep_dead: Duration::from_secs(24 * 3_600),
            keep_left: Duration::from_secs(300),
        }
    }
}
