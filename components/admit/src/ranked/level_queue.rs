//! One priority level: its waiting requests and statistics of its load.

use std::time::Duration;

use crate::ranked::fair_queue::FairQueue;
use kernel::Time;

/// Time constant of the exponential average of the demand.
const DEMAND_TIME_CONSTANT: Duration = Duration::from_secs(2);
/// Time that is assumed to have passed at least since the first request, so that the first few
/// requests do not look like a high demand.
const MIN_DEMAND_AGE: Duration = Duration::from_millis(200);
/// Weight of a request in the mean cost.
const COST_GAIN: f64 = 1.0 / 32.0;
/// Weight of a decision in the share of refused requests.
const REFUSED_GAIN: f64 = 1.0 / 128.0;
/// Share of refused requests from which a level counts as overloaded.
const OVERLOADED_REFUSED_SHARE: f64 = 0.1;

/// Waiting requests of one priority level, and its load.
///
/// Requests that miss their objective wait in a level of their own, but count in the demand, the
/// mean cost and the refusals of the level of their rank.
#[derive(Debug, Default)]
pub(crate) struct LevelQueue {
    pub(crate) requests: FairQueue,
    /// Moving average of the share of the slot time that the level uses.
    pub(crate) slot_share: f64,
    /// Moving average of the cost of its requests, in microseconds of slot time.
    pub(crate) mean_cost: f64,
    /// Slots that all of its requests, including refused ones, would use; as of `demand_updated`.
    demand: f64,
    demand_updated: Time,
    /// Arrival of the first request.
    first_offer: Option<Time>,
    /// Moving average of the share of its requests that are refused.
    refused_share: f64,
    /// Number of waiting requests at the first refusal, while the level counts as refusing.
    len_at_first_refusal: Option<usize>,
}

impl LevelQueue {
    pub(crate) fn is_empty(&self) -> bool {
        self.requests.len() == 0
    }

    /// Counts the arrival of a request of this cost, in microseconds of slot time.
    pub(crate) fn record_offer(&mut self, now: Time, cost: f64) {
        self.first_offer.get_or_insert(now);
        self.demand = self.decayed_demand(now) + cost / DEMAND_TIME_CONSTANT.as_micros() as f64;
        self.demand_updated = now;
        self.mean_cost += (cost - self.mean_cost) * COST_GAIN;
    }

    /// Slots that the requests of the level would use at the present rate of arrival.
    pub(crate) fn demand(&self, now: Time) -> f64 {
        let Some(first_offer) = self.first_offer else {
            return 0.0;
        };
        // Corrects the average soon after the first request, when it covers only part of its
        // window.
        let age = now.since(first_offer).max(MIN_DEMAND_AGE).as_secs_f64()
            / DEMAND_TIME_CONSTANT.as_secs_f64();
        self.decayed_demand(now) / (1.0 - (-age).exp())
    }

    /// The stored demand, decayed to `now`.
    fn decayed_demand(&self, now: Time) -> f64 {
        let elapsed =
            now.since(self.demand_updated).as_secs_f64() / DEMAND_TIME_CONSTANT.as_secs_f64();
        self.demand * (-elapsed).exp()
    }

    /// Counts an accepted request.
    pub(crate) fn record_accepted(&mut self) {
        self.refused_share -= self.refused_share * REFUSED_GAIN;
    }

    /// Counts a refused request.
    pub(crate) fn record_refused(&mut self) {
        self.refused_share += (1.0 - self.refused_share) * REFUSED_GAIN;
        if self.len_at_first_refusal.is_none() && !self.is_empty() {
            self.len_at_first_refusal = Some(self.requests.len());
        }
    }

    /// Whether the level refuses a considerable share of its requests.
    pub(crate) fn is_overloaded(&self) -> bool {
        self.refused_share >= OVERLOADED_REFUSED_SHARE
    }

    /// Whether the level has refused a request, and its queue has not drained to half since then.
    pub(crate) fn is_refusing(&self) -> bool {
        self.len_at_first_refusal.is_some()
    }

    /// Ends the refusing state if the queue has drained to half of its length at the first refusal.
    /// This hysteresis keeps the reported state from alternating with each request.
    pub(crate) fn accept_when_drained(&mut self) {
        if self
            .len_at_first_refusal
            .is_some_and(|len| self.requests.len() * 2 <= len)
        {
            self.len_at_first_refusal = None;
        }
    }
}
