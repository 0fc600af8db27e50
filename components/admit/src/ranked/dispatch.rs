//! Selection of the waiting request that runs in a free slot.

use crate::ranked::RankedAdmission;
use crate::ranked::RunningRequest;
use crate::ranked::deadline_reason;
use crate::ranked::fair_queue::WaitingRequest;
use kernel::Time;
use policy::Decision;

/// Weight of a request of mean cost in the moving average of each level's share of the slot time.
const SLOT_SHARE_GAIN: f64 = 1.0 / 64.0;
/// Ratio of the cost of a request to the mean cost of more urgent requests from which the request
/// is considered long: the slot that it occupies does not become free in time for more urgent
/// requests.
const LONG_REQUEST_FACTOR: f64 = 4.0;
/// Number of slots that long requests leave free beyond the mean demand of more urgent ranks, in
/// multiples of the square root of that demand, because random demand varies with its square root.
const HEADROOM_FACTOR: f64 = 0.5;
/// Share of the slack of urgent requests for which they can wait for a slot. The rest is for waiting
/// behind other urgent requests.
const USABLE_SLACK: f64 = 0.75;

/// Cost bound that every request satisfies.
const NO_COST_BOUND: f64 = f64::INFINITY;

impl RankedAdmission {
    /// Upper bound (exclusive), in microseconds of slot time, of the worst-case cost of the
    /// requests of `level` that may start now. Long requests, and requests of routes that have not
    /// been measured, may only use slots beyond the mean demand of more urgent ranks and its
    /// headroom ([`HEADROOM_FACTOR`]); one slot at least. The slot of a long request counts only by
    /// the share of its time that urgent requests cannot wait for it: of long requests that take
    /// twice the time for which urgent ones can wait, half end soon enough.
    pub(super) fn cost_bound(&self, now: Time, level: usize) -> f64 {
        // The two levels of a rank, with requests that meet or miss their objective, have the same
        // bound.
        let rank = level % self.rank_count();
        let urgent = &self.queues[..rank];
        let demand: f64 = urgent.iter().map(|it| it.demand(now)).sum();
        let urgent_cost = urgent.iter().map(|it| it.mean_cost).fold(0.0, f64::max);
        let long_cost = urgent_cost * LONG_REQUEST_FACTOR;
        if urgent_cost == 0.0 {
            return NO_COST_BOUND;
        }
        let available_slots =
            f64::from(self.limit.get()) - demand - HEADROOM_FACTOR * demand.sqrt();
        let long_running = self
            .running
            .iter()
            .filter(|it| it.rank >= rank && it.worst_case_cost >= long_cost);
        let slack = urgent.iter().filter_map(|it| it.mean_slack);
        let patience = slack.reduce(f64::min).unwrap_or_default() * USABLE_SLACK;
        let blocked_share = |cost: f64| (1.0 - patience / cost).max(0.0);
        let blocked_slots: f64 = long_running
            .map(|it| blocked_share(it.worst_case_cost))
            .sum();
        let free_slots = available_slots.max(1.0) - blocked_slots;
        if free_slots >= 1.0 {
            NO_COST_BOUND
        } else {
            // The cost of a request that blocks as many slots as are free.
            long_cost.max(patience / (1.0 - free_slots))
        }
    }

    /// Level whose request runs next, and whether that request uses the share of the slot time that
    /// is reserved for lower levels; `None` if no request may start.
    fn next_level(&self, now: Time) -> Option<(usize, bool)> {
        let next_cost = |level: usize| {
            if self.queues[level].is_empty() {
                return None;
            }
            let cost_bound = self.cost_bound(now, level);
            self.queues[level].requests.next_cost(cost_bound)
        };
        let urgent = (0..self.queues.len()).find(|level| next_cost(*level).is_some())?;
        let contended = self.is_contended(&self.queues[urgent]);
        let lower_levels = self.queues.len() - urgent - 1;
        let mut round_robin =
            (0..lower_levels).map(|step| urgent + 1 + (self.share_cursor + step) % lower_levels);
        let low_rank_level = round_robin.find(|level| {
            let cost = next_cost(*level);
            cost.is_some_and(|cost| {
                self.low_rank_share
                    .can_afford(cost, self.service_times.mean(), contended)
            })
        });
        Some(low_rank_level.map_or((urgent, false), |level| (level, true)))
    }

    /// Starts waiting requests while slots are free.
    pub(super) fn dispatch(&mut self, now: Time, decisions: &mut Vec<Decision>) {
        self.demote(now, decisions);
        self.next_start = None;
        while self.has_free_slot() {
            let opens_at = self.rate_limit.opens_at(now);
            if opens_at.is_some() {
                self.next_start = opens_at.filter(|_| self.queued_count() > 0);
                break;
            }
            let Some((level, from_low_rank_share)) = self.next_level(now) else {
                break;
            };
            let cost_bound = self.cost_bound(now, level);
            let Some(waiting) = self.queues[level].requests.pop(cost_bound) else {
                break;
            };
            if waiting.latest_start < now {
                let reason = deadline_reason(now, &waiting.job);
                self.refuse(&waiting.job, reason, decisions);
                continue;
            }
            self.rate_limit.record_start(now);
            self.start(level, from_low_rank_share, &waiting, decisions);
        }
        for queue in &mut self.queues {
            queue.accept_when_drained();
        }
    }

    /// Starts a request, charges its cost to its flow, and updates the credit of lower levels and
    /// each level's share of the slot time.
    fn start(
        &mut self,
        level: usize,
        from_low_rank_share: bool,
        waiting: &WaitingRequest,
        decisions: &mut Vec<Decision>,
    ) {
        let WaitingRequest {
            job,
            cost,
            worst_case_cost,
            ..
        } = *waiting;
        self.queues[level].requests.charge(waiting);
        if from_low_rank_share {
            self.low_rank_share.spend(cost);
            self.share_cursor = self.share_cursor.wrapping_add(1) % self.queues.len();
        } else if self.queues[level + 1..].iter().any(|it| !it.is_empty()) {
            self.low_rank_share.earn(cost, self.service_times.mean());
        }
        let gain = (cost / self.service_times.mean().max(1.0)).clamp(0.1, 10.0) * SLOT_SHARE_GAIN;
        for (index, queue) in self.queues.iter_mut().enumerate() {
            let target = if index == level { 1.0 } else { 0.0 };
            queue.slot_share += (target - queue.slot_share) * gain;
        }
        let index = self.running.partition_point(|it| it.ticket < job.ticket);
        let running = RunningRequest {
            ticket: job.ticket,
            route: job.route,
            rank: level % self.rank_count(),
            worst_case_cost,
        };
        self.running.insert(index, running);
        decisions.push(Decision::Start(job.ticket));
    }
}
