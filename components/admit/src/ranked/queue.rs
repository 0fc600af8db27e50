//! One rank: its waiting requests and what is known of its load.

use std::time::Duration;

use crate::ranked::lanes::Lanes;
use kernel::Time;

/// Time over which the demand of a rank is averaged.
const DEMAND_TIME: Duration = Duration::from_secs(2);
/// Time after the first request in which the demand is still a guess.
const FIRST_DEMAND: Duration = Duration::from_millis(200);
/// Weight of a request in the mean cost and of a decision in the share of refused requests.
const COST_GAIN: f64 = 1.0 / 32.0;
const REFUSED_GAIN: f64 = 1.0 / 128.0;
/// Share of refused requests from which a rank counts as flooded.
const FLOODED: f64 = 0.1;

/// One rank.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    pub(crate) lanes: Lanes,
    /// Share of the slot time that goes to the rank.
    pub(crate) busy: f64,
    /// Mean cost of its requests, in microseconds of slot time.
    pub(crate) cost: f64,
    /// Slots that all of its requests, refused ones included, would take.
    demand: f64,
    demand_at: Time,
    /// When the first request arrived.
    demand_since: Option<Time>,
    /// Share of its requests that are refused for lack of room or time.
    refused: f64,
    /// While the rank refuses: its waiting requests at the first refusal.
    closed_at: Option<usize>,
}

impl Queue {
    pub(crate) fn is_empty(&self) -> bool {
        self.lanes.len() == 0
    }

    /// Takes in that a request arrives.
    pub(crate) fn note_offer(&mut self, now: Time, cost: f64) {
        self.demand_since.get_or_insert(now);
        self.demand = self.decayed(now) + cost / DEMAND_TIME.as_micros() as f64;
        self.demand_at = now;
        self.cost += (cost - self.cost) * COST_GAIN;
    }

    /// Slots that its requests would take at the present rate.
    pub(crate) fn demand(&self, now: Time) -> f64 {
        let Some(since) = self.demand_since else {
            return 0.0;
        };
        // Soon after the start the average covers only part of its time.
        let age = now.since(since).max(FIRST_DEMAND).as_secs_f64() / DEMAND_TIME.as_secs_f64();
        self.decayed(now) / (1.0 - (-age).exp())
    }

    fn decayed(&self, now: Time) -> f64 {
        let time = now.since(self.demand_at).as_secs_f64() / DEMAND_TIME.as_secs_f64();
        self.demand * (-time).exp()
    }

    pub(crate) fn note_accepted(&mut self) {
        self.refused -= self.refused * REFUSED_GAIN;
    }

    pub(crate) fn note_refused(&mut self) {
        self.refused += (1.0 - self.refused) * REFUSED_GAIN;
        if self.closed_at.is_none() && !self.is_empty() {
            self.closed_at = Some(self.lanes.len());
        }
    }

    /// Whether much of the rank's work is refused.
    pub(crate) fn is_flooded(&self) -> bool {
        self.refused >= FLOODED
    }

    /// Whether the rank has refused requests and its queue has not fallen to half since.
    pub(crate) fn is_closed(&self) -> bool {
        self.closed_at.is_some()
    }

    /// Accepts again if the queue has fallen to half of what it was when the rank was closed.
    pub(crate) fn reopen(&mut self) {
        if self.closed_at.is_some_and(|at| self.lanes.len() * 2 <= at) {
            self.closed_at = None;
        }
    }
}
