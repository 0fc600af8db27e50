//! Suspicions and how long they last (Lifeguard).

use std::time::Duration;

use ids::NodeId;
use kernel::Time;

/// Sources beyond the first that shorten a suspicion to its least time.
const CONFIRMATIONS: usize = 3;
/// The least time is this part of the longest.
const SHORTEST_PART: u32 = 3;
/// Highest local health score; a score of n multiplies probe times by n + 1.
const WORST_HEALTH: u32 = 8;
/// Highest score that lengthens suspicions.
const WORST_SUSPICION: u32 = 3;

/// A member that is suspected.
#[derive(Clone, Debug)]
pub(crate) struct Suspicion {
    pub(crate) id: NodeId,
    pub(crate) since: Time,
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

    /// Takes a further source in; tells whether it counts.
    pub(crate) fn confirm(&mut self, source: NodeId) -> bool {
        let counts = self.sources.len() <= CONFIRMATIONS && !self.sources.contains(&source);
        if counts {
            self.sources.push(source);
        }
        counts
    }

    /// When the suspected member is dead unless it refutes.
    pub(crate) fn due(&self, longest: Duration, live: usize, health: Health) -> Time {
        let shortest = shortest_suspicion(longest, live);
        let longest = shortest * SHORTEST_PART;
        // Small fleets have fewer members that could confirm.
        let needed = CONFIRMATIONS.min(live.saturating_sub(2));
        let had = (self.sources.len() - 1).min(needed);
        let wait = if needed == 0 {
            longest
        } else {
            let part = ((had + 1) as f64).ln() / ((needed + 1) as f64).ln();
            longest - (longest - shortest).mul_f64(part)
        };
        self.since + wait * (health.0.min(WORST_SUSPICION) + 1)
    }
}

/// Least time of a suspicion in a fleet of `live` members, where `longest` is the longest in one of
/// up to ten.
pub(crate) fn shortest_suspicion(longest: Duration, live: usize) -> Duration {
    let decades = (live.max(10) as f64).log10();
    longest.mul_f64(decades) / SHORTEST_PART
}

/// Score of how badly this node itself keeps up; 0 is well.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Health(u32);

impl Health {
    pub(crate) fn worsen(&mut self) {
        self.0 = (self.0 + 1).min(WORST_HEALTH);
    }

    pub(crate) fn improve(&mut self) {
        self.0 = self.0.saturating_sub(1);
    }

    /// A probe time at this score.
    pub(crate) fn stretch(self, time: Duration) -> Duration {
        time * (self.0 + 1)
    }
}
