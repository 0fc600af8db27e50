//! Suspicions and their timeouts, as in Lifeguard, an extension of the SWIM protocol.

use std::time::Duration;

use ids::NodeId;
use kernel::Time;

/// Number of independent confirmations of a suspicion that shorten it to the minimum timeout.
const MAX_CONFIRMATIONS: usize = 3;
/// Ratio of the maximum timeout of a suspicion to its minimum timeout.
const MAX_TO_MIN_RATIO: u32 = 3;
/// Highest local health score. A score of n multiplies the probe period and timeout by n + 1.
const MAX_HEALTH_SCORE: u32 = 8;
/// Highest local health score by which the timeouts of suspicions are multiplied.
const MAX_SUSPICION_SCORE: u32 = 3;

/// A member that is suspected.
#[derive(Clone, Debug)]
pub(crate) struct Suspicion {
    pub(crate) id: NodeId,
    pub(crate) since: Time,
    /// Nodes that suspect the member.
    sources: Vec<NodeId>,
}

impl Suspicion {
    pub(crate) fn new(id: NodeId, since: Time, source: NodeId) -> Self {
        Self {
            id,
            since,
            sources: vec![source],
        }
    }

    /// Adds a node that confirms the suspicion. Returns whether the confirmation shortens the timeout.
    pub(crate) fn confirm(&mut self, source: NodeId) -> bool {
        let counts = self.sources.len() <= MAX_CONFIRMATIONS && !self.sources.contains(&source);
        if counts {
            self.sources.push(source);
        }
        counts
    }

    /// When the suspected member is declared dead unless it has refuted the suspicion. `max_timeout` is
    /// the maximum timeout in a fleet of up to ten members, and `live` the number of live members.
    pub(crate) fn deadline(
        &self,
        max_timeout: Duration,
        live: usize,
        local_health: LocalHealth,
    ) -> Time {
        let min_timeout = min_suspicion_timeout(max_timeout, live);
        let max_timeout = min_timeout * MAX_TO_MIN_RATIO;
        // In a small fleet, fewer members can confirm the suspicion.
        let needed = MAX_CONFIRMATIONS.min(live.saturating_sub(2));
        let confirmations = (self.sources.len() - 1).min(needed);
        let timeout = if needed == 0 {
            max_timeout
        } else {
            let fraction = ((confirmations + 1) as f64).ln() / ((needed + 1) as f64).ln();
            max_timeout - (max_timeout - min_timeout).mul_f64(fraction)
        };
        self.since + timeout * (local_health.0.min(MAX_SUSPICION_SCORE) + 1)
    }
}

/// Minimum timeout of a suspicion in a fleet of `live` members, where `max_timeout` is the maximum
/// timeout in a fleet of up to ten members.
pub(crate) fn min_suspicion_timeout(max_timeout: Duration, live: usize) -> Duration {
    let decades = (live.max(10) as f64).log10();
    max_timeout.mul_f64(decades) / MAX_TO_MIN_RATIO
}

/// Local health score of Lifeguard: 0 if this node processes messages in time, higher if the results of
/// its own probes indicate that this node is slow or cut off.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct LocalHealth(u32);

impl LocalHealth {
    pub(crate) fn worsen(&mut self) {
        self.0 = (self.0 + 1).min(MAX_HEALTH_SCORE);
    }

    pub(crate) fn improve(&mut self) {
        self.0 = self.0.saturating_sub(1);
    }

    /// Scales the period or timeout of a probe by the score.
    pub(crate) fn scale(self, time: Duration) -> Duration {
        time * (self.0 + 1)
    }
}
