//! Choice of the waiting request that gets a free slot.

use crate::ranked::LEVELS;
use crate::ranked::Ranked;
use crate::ranked::Running;
use crate::ranked::lanes::Waiting;
use crate::ranked::late_reason;
use ids::Rank;
use kernel::Time;
use policy::Decision;

/// Weight of a dispatch in the shares of the ranks.
const SHARE_GAIN: f64 = 1.0 / 64.0;
/// How many times longer than more urgent work a request is to count as long: a slot that it takes
/// does not come free in the time in which urgent work has to be served.
const LONG: f64 = 4.0;
/// Room above the mean demand of urgent work that long requests leave, in square roots of it; demand
/// by chance varies with its square root.
const HEADROOM: f64 = 0.5;

/// Above the size of every request.
const NO_BOUND: f64 = f64::INFINITY;

impl Ranked {
    /// Size that a request of the level has to stay below to take a slot: long requests, and those
    /// that have not been measured, leave as many slots as more urgent ranks use on average, and a
    /// little more.
    pub(super) fn most_size(&self, now: Time, level: usize) -> f64 {
        // What missed its objective leaves the same room to more urgent ranks as what did not.
        let rank = level % Rank::COUNT;
        let urgent = &self.queues[..rank];
        let demand: f64 = urgent.iter().map(|it| it.demand(now)).sum();
        let usual = urgent.iter().map(|it| it.cost).fold(0.0, f64::max);
        let long = usual * LONG;
        if usual == 0.0 {
            return NO_BOUND;
        }
        let places = f64::from(self.limit.get()) - demand - HEADROOM * demand.sqrt();
        let running = self.running.iter();
        let taken = running.filter(|it| it.level % Rank::COUNT >= rank && it.size >= long);
        if (taken.count() as f64) < places.floor().max(1.0) {
            NO_BOUND
        } else {
            long
        }
    }

    /// The level whose request is dispatched next, and whether it is so by its share.
    fn next_level(&self, now: Time) -> Option<(usize, bool)> {
        let next_cost = |level: usize| {
            let most = self.most_size(now, level);
            self.queues[level].lanes.next_cost(most)
        };
        let urgent = (0..LEVELS).find(|level| next_cost(*level).is_some())?;
        let pressed = self.is_pressed(&self.queues[urgent]);
        let below = LEVELS - urgent - 1;
        let mut by_turn = (0..below).map(|step| urgent + 1 + (self.turn + step) % below);
        let due = by_turn.find(|level| {
            let cost = next_cost(*level);
            cost.is_some_and(|cost| self.share.is_due(cost, self.times.mean(), pressed))
        });
        Some(due.map_or((urgent, false), |level| (level, true)))
    }

    /// Gives free slots to waiting requests.
    pub(super) fn fill(&mut self, now: Time, decisions: &mut Vec<Decision>) {
        self.demote(now, decisions);
        while self.has_free_slot() {
            let Some((level, by_share)) = self.next_level(now) else {
                break;
            };
            let most = self.most_size(now, level);
            let Some(waiting) = self.queues[level].lanes.pop(most) else {
                break;
            };
            if waiting.due < now {
                let reason = late_reason(now, &waiting.job);
                self.refuse(&waiting.job, reason, decisions);
                continue;
            }
            self.start(level, by_share, &waiting, decisions);
        }
        for queue in &mut self.queues {
            queue.reopen();
        }
    }

    fn start(
        &mut self,
        level: usize,
        by_share: bool,
        waiting: &Waiting,
        decisions: &mut Vec<Decision>,
    ) {
        let Waiting {
            job, cost, size, ..
        } = *waiting;
        self.queues[level].lanes.charge(waiting);
        if by_share {
            self.share.spend(cost);
            self.turn = self.turn.wrapping_add(1) % LEVELS;
        } else if self.queues[level + 1..].iter().any(|it| !it.is_empty()) {
            self.share.earn(cost, self.times.mean());
        }
        let part = (cost / self.times.mean().max(1.0)).clamp(0.1, 10.0) * SHARE_GAIN;
        for (at, queue) in self.queues.iter_mut().enumerate() {
            let target = if at == level { 1.0 } else { 0.0 };
            queue.busy += (target - queue.busy) * part;
        }
        let at = self.running.partition_point(|it| it.ticket < job.ticket);
        let running = Running {
            ticket: job.ticket,
            route: job.route,
            level,
            size,
        };
        self.running.insert(at, running);
        decisions.push(Decision::Start(job.ticket));
    }
}
