//! One priority level: its waiting requests and statistics of its load.

use std::time::Duration;

use crate::ranked::fair_queue::FairQueue;
use kernel::Time;

/// Time constant of the exponential average of the demand.
const DEMAND_TIME_CONSTANT: Duration = Duration::from_secs(2);
/// Minimum time that is assumed to have passed since the first request, so that the first requests
/// are not taken for a high demand.
const MIN_DEMAND_AGE: Duration = Duration::from_millis(200);
/// Weight of a request in the moving averages of the cost and the slack.
const COST_GAIN: f64 = 1.0 / 32.0;
/// Weight of an accepted or refused request in the moving average of the share of refused requests.
const REFUSED_GAIN: f64 = 1.0 / 128.0;
/// Share of refused requests from which a level is considered overloaded.
const OVERLOADED_REFUSED_SHARE: f64 = 0.1;

/// Waiting requests of one priority level, and its load.
///
/// Requests that miss their objective wait in a separate level, but are included in the demand,
/// mean cost and refusals of the level for their rank's requests that can meet it.
#[derive(Debug, Default)]
pub(crate) struct LevelQueue {
    pub(crate) requests: FairQueue,
    /// Moving average of the share of the slot time that the level uses.
    pub(crate) slot_share: f64,
    /// Moving average of the cost of the level's requests, in microseconds of slot time.
    pub(crate) mean_cost: f64,
    /// Moving average of the time for which the level's requests can wait on arrival and still meet
    /// their objective, or their deadline if they have none, in microseconds. `None` before the
    /// first request.
    pub(crate) mean_slack: Option<f64>,
    /// Number of slots that all requests of the level, including refused ones, would use, at the
    /// time `demand_updated`.
    demand: f64,
    demand_updated: Time,
    /// Arrival of the first request.
    first_offer: Option<Time>,
    /// Moving average of the share of the level's requests that are refused.
    refused_share: f64,
    /// Number of waiting requests at the first refusal, while the level is reported as refusing.
    len_at_first_refusal: Option<usize>,
}

impl LevelQueue {
    pub(crate) fn is_empty(&self) -> bool {
        self.requests.len() == 0
    }

    /// Records the arrival of a request of this cost, in microseconds of slot time, that has to end
    /// by `due` to be in time.
    pub(crate) fn record_offer(&mut self, now: Time, cost: f64, due: Time) {
        let slack = (now.until(due).as_micros() as f64 - cost).max(0.0);
        let mean_slack = self.mean_slack.get_or_insert(slack);
        *mean_slack += (slack - *mean_slack) * COST_GAIN;
        self.first_offer.get_or_insert(now);
        self.demand = self.decayed_demand(now) + cost / DEMAND_TIME_CONSTANT.as_micros() as f64;
        self.demand_updated = now;
        self.mean_cost += (cost - self.mean_cost) * COST_GAIN;
    }

    /// Number of slots that the requests of the level would use at the current arrival rate.
    pub(crate) fn demand(&self, now: Time) -> f64 {
        let Some(first_offer) = self.first_offer else {
            return 0.0;
        };
        // Corrects the average for the time soon after the first request, when less time than the
        // time constant has been averaged.
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

    /// Records that a request was accepted.
    pub(crate) fn record_accepted(&mut self) {
        self.refused_share -= self.refused_share * REFUSED_GAIN;
    }

    /// Records that a request was refused.
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
