//! Admission with one bounded queue for each priority level: the most urgent request runs first.
//!
//! A request that cannot finish before it expires is refused when it arrives. A request that can no
//! longer meet its latency objective is moved behind all requests that can, because in an overload
//! a queue in order of arrival would serve every request too late for its objective. Less urgent
//! ranks keep a small share of the slot time, the routes of a rank share its slot time by weight,
//! and the limit on concurrent requests is learned. A rate limit that the upstream names paces the starts,
//! and counts in the estimates as the number of requests that run at once at that rate.
//!
//! Slot time is the time for which a request occupies one of the upstream's slots.

mod dispatch;
mod fair_queue;
mod level_queue;
mod limit;
mod low_rank_share;
mod service_times;
mod shedding;

use std::time::Duration;

use fair_queue::WaitingRequest;
use level_queue::LevelQueue;
use limit::ConcurrencyLimit;
use linkme::distributed_slice;
use low_rank_share::LowRankShare;
use service_times::ServiceTimes;

use crate::rate_limit::RateLimit;
use errors::Reason;
use ids::Rank;
use ids::RouteId;
use kernel::Plugin;
use kernel::Time;
use kernel::plugin::Error;
use kernel::plugin::Params;
use policy::ADMISSION_PLUGINS;
use policy::Admission;
use policy::Completion;
use policy::Decision;
use policy::Job;
use policy::Load;
use policy::RequestRate;
use policy::Ticket;

/// Default maximum number of waiting requests of one level.
const DEFAULT_MAX_QUEUED_PER_LEVEL: u64 = 64;
/// Number of waiting requests of a level that are not evicted for more urgent requests, so that the
/// level has requests to run from its share of the slot time.
const PROTECTED_REQUESTS_PER_LEVEL: usize = 4;
/// Minimum fraction of the slot time that more urgent levels are assumed to leave to a level, so
/// that the estimated wait is finite.
const MIN_AVAILABLE_FRACTION: f64 = 0.01;
/// Worst-case cost of a request whose route has not been measured; higher than every measured cost.
const UNMEASURED_COST: f64 = f64::MAX;
/// Shortest delay that a refused request is asked to wait before it is retried.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);
/// Longest delay that a refused request is asked to wait before it is retried.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);

#[distributed_slice(ADMISSION_PLUGINS)]
static PLUGIN: Plugin<dyn Admission> = Plugin {
    name: "ranked",
    make: |params| Ok(Box::new(RankedAdmission::from_params(params)?)),
};

/// A request that occupies a slot.
#[derive(Clone, Copy, Debug)]
struct RunningRequest {
    ticket: Ticket,
    route: RouteId,
    rank: usize,
    /// Slot time that the request is assumed to take at most, in microseconds, or
    /// [`UNMEASURED_COST`].
    worst_case_cost: f64,
}

/// Runs the most urgent requests first, within a learned concurrency limit.
#[derive(Debug)]
pub struct RankedAdmission {
    /// Maximum number of waiting requests of one level.
    max_queued_per_level: usize,
    /// Maximum number of waiting requests of all levels together.
    max_queued: usize,
    limit: ConcurrencyLimit,
    rate_limit: RateLimit,
    service_times: ServiceTimes,
    low_rank_share: LowRankShare,
    /// Priority levels: one for each rank with the requests that can still meet their objective, then one for
    /// each rank with those that cannot. Level 0 is the most urgent.
    queues: Vec<LevelQueue>,
    /// Sorted by ticket.
    running: Vec<RunningRequest>,
    /// Position of the round robin that selects the lower level which next uses the share of the
    /// slot time that is reserved for lower levels.
    share_cursor: usize,
    /// Time before which no waiting request misses its objective; `None` if none has an objective
    /// that it can still meet.
    next_objective_miss: Option<Time>,
    /// Time before which every waiting request can still start in time to finish before it expires;
    /// `None` if no request waits.
    next_deadline_miss: Option<Time>,
    /// When the rate limit lets the next waiting request start; `None` if none waits for the limit.
    next_start: Option<Time>,
}

impl RankedAdmission {
    /// Builds the plug-in from its params `queue` (maximum number of waiting requests of one level),
    /// `total` (of all levels) and `share` (percentage of the slot time for less urgent ranks). Fails on an
    /// unknown param or a value that is not a number.
    pub fn from_params(params: &Params) -> Result<Self, Error> {
        params.check_names(&["queue", "share", "total"])?;
        let max_queued_per_level = params.u64_or("queue", DEFAULT_MAX_QUEUED_PER_LEVEL)?.max(1);
        let max_queued = params
            .u64_or("total", max_queued_per_level.saturating_mul(2))?
            .max(1);
        Ok(Self {
            max_queued_per_level: usize::try_from(max_queued_per_level).unwrap_or(usize::MAX),
            max_queued: usize::try_from(max_queued).unwrap_or(usize::MAX),
            limit: ConcurrencyLimit::default(),
            rate_limit: RateLimit::default(),
            service_times: ServiceTimes::default(),
            low_rank_share: LowRankShare::new(
                params.u64_or("share", low_rank_share::DEFAULT_PERCENT)?,
            ),
            queues: std::iter::repeat_with(LevelQueue::default)
                .take(2 * Rank::COUNT)
                .collect(),
            running: Vec::new(),
            share_cursor: 0,
            next_objective_miss: None,
            next_deadline_miss: None,
            next_start: None,
        })
    }

    /// Number of ranks that have levels: those of a configuration without organisations, and more once a
    /// request has a higher rank.
    fn rank_count(&self) -> usize {
        self.queues.len() / 2
    }

    /// Adds levels up to this rank and to the last one of its organisation.
    fn add_levels(&mut self, rank: usize) {
        let old_count = self.rank_count();
        let new_count = (rank + 1).next_multiple_of(Rank::COUNT);
        if new_count <= old_count {
            return;
        }
        let levels = || std::iter::repeat_with(LevelQueue::default).take(new_count - old_count);
        self.queues.splice(old_count..old_count, levels());
        self.queues.extend(levels());
    }

    /// Number of waiting requests of all levels.
    fn queued_count(&self) -> usize {
        self.queues.iter().map(|queue| queue.requests.len()).sum()
    }

    fn has_free_slot(&self) -> bool {
        self.running.len() < self.limit.get() as usize
    }

    /// Number of requests that can run at once on average, within the learned limit and the rate limit.
    fn concurrency(&self) -> f64 {
        let limit = f64::from(self.limit.get().max(1));
        let mean_length = Duration::from_micros(self.service_times.mean() as u64);
        let paced = self.rate_limit.concurrency(mean_length);
        paced.map_or(limit, |paced| paced.min(limit))
    }

    /// Slot time that a request is assumed to take at most, in microseconds; [`UNMEASURED_COST`] if
    /// its route has not been measured.
    fn worst_case_cost(&self, job: &Job) -> f64 {
        if self.service_times.is_measured(job.route) {
            self.service_times.cost(job.route)
        } else {
            UNMEASURED_COST
        }
    }

    /// Latest time at which a request that arrives now must start to finish before it expires.
    fn latest_start(&self, now: Time, job: &Job) -> Time {
        self.latest_start_for(now, job, job.expires)
    }

    /// Latest time at which a request that arrives now must start to finish by `end`, if it takes the
    /// 90th percentile of its route's service times: in an overload, every request that starts has
    /// waited as long as it may, so with a lower percentile most would end too late. A request that
    /// has less time left on its arrival may still start up to the 10th percentile before `end`, so
    /// that only those are considered late for which hardly any request of the route would be fast
    /// enough.
    fn latest_start_for(&self, now: Time, job: &Job, end: Time) -> Time {
        let before_end = |duration: Duration| {
            let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
            Time(end.0.saturating_sub(micros))
        };
        let likely = before_end(self.service_times.p90(job.route));
        if likely > now {
            likely
        } else {
            before_end(self.service_times.p10(job.route))
        }
    }

    /// Estimated wait of a request behind `work` microseconds of slot time of its own level. The
    /// request runs once all more urgent requests have run, or earlier in the share of the slot time
    /// that is reserved for lower levels.
    fn estimate_wait_behind(&self, level: usize, work: f64) -> Duration {
        let urgent = &self.queues[..level];
        let urgent_work: f64 = urgent.iter().map(|it| it.requests.work()).sum();
        let urgent_share: f64 = urgent.iter().map(|it| it.slot_share).sum();
        let mut wait = (urgent_work + work) / (1.0 - urgent_share).max(MIN_AVAILABLE_FRACTION);
        if let Some(most_urgent) = urgent.iter().find(|it| !it.is_empty()) {
            let waiting_levels = self.queues.iter().filter(|it| !it.is_empty()).count();
            let fraction = self.low_rank_share.fraction(self.is_contended(most_urgent))
                / waiting_levels.max(1) as f64;
            wait = wait.min(work / fraction);
        }
        Duration::from_micros((wait / self.concurrency()) as u64)
    }

    /// Whether many requests of the level wait and few are refused. In this state, a less urgent
    /// request that runs first delays requests that could be served in time.
    fn is_contended(&self, queue: &LevelQueue) -> bool {
        queue.requests.len() as f64 >= self.concurrency() && !queue.is_overloaded()
    }

    /// Estimated wait in the queue of a request that arrives now.
    fn estimate_wait(&self, now: Time, level: usize, job: &Job, cost: f64) -> Duration {
        let requests = &self.queues[level].requests;
        let has_waiting = |queue: &LevelQueue| !queue.is_empty();
        let is_next =
            !self.queues[..level].iter().any(has_waiting) && !requests.has_waiting_before(job);
        let may_start = self.has_free_slot() && self.rate_limit.opens_at(now).is_none();
        if may_start && (is_next || self.worst_case_cost(job) < self.cost_bound(now, level)) {
            return Duration::ZERO;
        }
        let work_before = requests.work_before(job, cost);
        // Until a slot becomes free, the request waits on average for the mean service time divided
        // by the number of slots.
        self.estimate_wait_behind(level, work_before + self.service_times.mean())
    }

    /// Delay after which a refused request of the rank may be retried: the estimated time until the
    /// requests that are waiting now have run.
    fn retry_after(&self, rank: usize) -> Duration {
        self.estimate_wait_behind(rank, self.queues[rank].requests.work())
            .clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }

    /// Latest time at which a request must start to meet its objective, if it has one.
    fn latest_objective_start(&self, now: Time, job: &Job) -> Option<Time> {
        Some(self.latest_start_for(now, job, job.objective?))
    }

    /// Moves requests that can no longer meet their objective behind those that can. Refuses the
    /// moved requests that could then not finish before they expire, or for which the queue has no
    /// room.
    fn demote(&mut self, now: Time, decisions: &mut Vec<Decision>) {
        if self.next_objective_miss.is_none_or(|due| due > now) {
            return;
        }
        for rank in 0..self.rank_count() {
            let mut demoted = Vec::new();
            let latest_objective_start = |waiting: &WaitingRequest| waiting.latest_objective_start;
            self.queues[rank]
                .requests
                .extract_due(now, latest_objective_start, &mut demoted);
            for waiting in demoted {
                let level = rank + self.rank_count();
                let requests = &self.queues[level].requests;
                let (job, cost) = (waiting.job, waiting.cost);
                let work_before = requests.work_before(&job, cost);
                let wait = self.estimate_wait_behind(level, work_before);
                if now + wait > waiting.latest_start || requests.len() >= self.max_queued_per_level
                {
                    self.refuse(&job, deadline_reason(now, &job), decisions);
                } else {
                    self.queues[level].requests.push(waiting);
                }
            }
        }
        let queues = self.queues[..self.rank_count()].iter();
        self.next_objective_miss = queues
            .filter_map(|it| it.requests.earliest(|it| it.latest_objective_start))
            .min();
    }

    /// Refuses a request, and records the refusal for the request's rank.
    fn refuse(&mut self, job: &Job, reason: Reason, decisions: &mut Vec<Decision>) {
        let rank = job.rank.index();
        decisions.push(Decision::Refuse {
            ticket: job.ticket,
            reason,
            retry_after: self.retry_after(rank),
        });
        self.queues[rank].record_refused();
    }

    /// Makes room in the queues for a request: evicts another request if they are full, or refuses
    /// this one. Returns whether there is room.
    fn make_room(&mut self, level: usize, job: &Job, decisions: &mut Vec<Decision>) -> bool {
        if self.queues[level].requests.len() >= self.max_queued_per_level {
            let max_queued_per_level = self.max_queued_per_level;
            let requests = &mut self.queues[level].requests;
            let Some(evicted) = requests.evict_for(job, max_queued_per_level) else {
                self.refuse(job, Reason::QueueFull, decisions);
                return false;
            };
            self.refuse(&evicted.job, Reason::Displaced, decisions);
        }
        if self.queued_count() < self.max_queued {
            return true;
        }
        let lower_levels = (level + 1..self.queues.len()).rev();
        let mut lower_levels = lower_levels
            .filter(|level| self.queues[*level].requests.len() > PROTECTED_REQUESTS_PER_LEVEL);
        if let Some(evicted) = lower_levels
            .next()
            .and_then(|level| self.queues[level].requests.evict())
        {
            self.refuse(&evicted.job, Reason::Displaced, decisions);
            return true;
        }
        let requests = &mut self.queues[level].requests;
        let queued = requests.len();
        if queued < PROTECTED_REQUESTS_PER_LEVEL {
            return true;
        }
        // No request of a lower level can be evicted, so the queue of this level must not grow. The
        // request replaces another one if its route has less than its share of the queue.
        let Some(evicted) = requests.evict_for(job, queued) else {
            self.refuse(job, Reason::QueueFull, decisions);
            return false;
        };
        self.refuse(&evicted.job, Reason::Displaced, decisions);
        true
    }
}

/// Reason for refusing a request that cannot finish before it expires.
fn deadline_reason(now: Time, job: &Job) -> Reason {
    if job.expires <= now {
        Reason::DeadlinePassed
    } else {
        Reason::DeadlineTooShort
    }
}

impl Admission for RankedAdmission {
    fn set_slots(&mut self, now: Time, slots: u32, decisions: &mut Vec<Decision>) {
        self.limit.set_slots(slots);
        self.dispatch(now, decisions);
    }

    fn end_slow_start(&mut self, now: Time, decisions: &mut Vec<Decision>) {
        self.limit.end_slow_start();
        self.dispatch(now, decisions);
    }

    fn set_rate_limit(
        &mut self,
        now: Time,
        rate: Option<RequestRate>,
        decisions: &mut Vec<Decision>,
    ) {
        if self.rate_limit.set(now, rate, self.running.len()) {
            self.dispatch(now, decisions);
        }
    }

    fn offer(&mut self, now: Time, job: Job, decisions: &mut Vec<Decision>) {
        self.add_levels(job.rank.index());
        let cost = self.service_times.cost(job.route);
        let latest_objective_start = self.latest_objective_start(now, &job);
        // A call of an upstream keeps its place, because a late response to it still saves the run.
        let misses_objective = !job.onward && latest_objective_start.is_some_and(|it| it <= now);
        let late_levels = if misses_objective {
            self.rank_count()
        } else {
            0
        };
        let level = job.rank.index() + late_levels;
        let wait = self.estimate_wait(now, level, &job, cost);
        if job.spillable && latest_objective_start.is_some_and(|it| it < now + wait) {
            // Neither demand nor a refusal of the rank, because another upstream gets the request.
            return decisions.push(Decision::Refuse {
                ticket: job.ticket,
                reason: Reason::ObjectiveTooShort,
                retry_after: self.retry_after(job.rank.index()),
            });
        }
        let due = job.objective.unwrap_or(job.expires);
        self.queues[job.rank.index()].record_offer(now, cost, due);
        let latest_objective_start = latest_objective_start.filter(|_| !job.onward);
        let mut latest_start = self.latest_start(now, &job);
        if now + wait > latest_start {
            let starts_now = wait.is_zero() && job.expires > now;
            if !starts_now || !self.service_times.try_probe(now, job.route) {
                let reason = deadline_reason(now, &job);
                return self.refuse(&job, reason, decisions);
            }
            latest_start = job.expires;
        }
        if !self.make_room(level, &job, decisions) {
            return;
        }
        let worst_case_cost = self.worst_case_cost(&job);
        self.queues[job.rank.index()].record_accepted();
        self.queues[level].requests.push(WaitingRequest {
            job,
            cost,
            worst_case_cost,
            latest_start,
            latest_objective_start,
        });
        let objective_miss = latest_objective_start.filter(|_| !misses_objective);
        self.next_objective_miss = self
            .next_objective_miss
            .into_iter()
            .chain(objective_miss)
            .min();
        self.next_deadline_miss = Some(
            self.next_deadline_miss
                .map_or(latest_start, |next| next.min(latest_start)),
        );
        self.dispatch(now, decisions);
    }

    fn finish(
        &mut self,
        now: Time,
        ticket: Ticket,
        completion: Completion,
        decisions: &mut Vec<Decision>,
    ) {
        let Ok(index) = self.running.binary_search_by_key(&ticket, |it| it.ticket) else {
            return;
        };
        let running_count = self.running.len();
        let running = self.running.remove(index);
        let log_slowdown = if completion.shed {
            0.0
        } else {
            self.service_times
                .record_sample(now, running.route, completion.latency)
        };
        let limit_reverted = self.limit.update(
            now,
            completion.latency,
            log_slowdown,
            completion.shed,
            running_count,
        );
        if limit_reverted {
            self.service_times.reset_baselines();
        }
        self.dispatch(now, decisions);
    }

    fn cancel(&mut self, _: Time, ticket: Ticket) -> bool {
        self.queues
            .iter_mut()
            .any(|queue| queue.requests.remove(ticket))
    }

    fn wake(&mut self, now: Time, decisions: &mut Vec<Decision>) {
        self.demote(now, decisions);
        if self.next_deadline_miss.is_none_or(|due| due > now) {
            return self.dispatch(now, decisions);
        }
        let mut late = Vec::new();
        for queue in &mut self.queues {
            queue
                .requests
                .extract_due(now, |it| Some(it.latest_start), &mut late);
        }
        for waiting in late {
            let reason = deadline_reason(now, &waiting.job);
            self.refuse(&waiting.job, reason, decisions);
        }
        let queues = self.queues.iter();
        self.next_deadline_miss = queues
            .filter_map(|it| it.requests.earliest(|it| Some(it.latest_start)))
            .min();
        self.dispatch(now, decisions);
    }

    fn next_wake(&self) -> Option<Time> {
        self.next_deadline_miss
            .into_iter()
            .chain(self.next_objective_miss)
            .chain(self.next_start)
            .min()
    }

    fn load(&self) -> Load {
        let rank_count = self.rank_count();
        let mut queues = self.queues[..rank_count].iter();
        let refusing = queues.position(LevelQueue::is_refusing);
        let least_urgent_accepted = refusing.map_or(rank_count - 1, |rank| rank.saturating_sub(1));
        let queued = |queue: &LevelQueue| u32::try_from(queue.requests.len()).unwrap_or(u32::MAX);
        Load {
            queued_by_rank: std::array::from_fn(|rank| {
                let queues = self.queues[..rank_count].get(rank);
                queues.map_or(0, queued)
            }),
            running: u32::try_from(self.running.len()).unwrap_or(u32::MAX),
            queued: u32::try_from(self.queued_count()).unwrap_or(u32::MAX),
            limit: self.limit.get().min(self.concurrency().ceil() as u32),
            least_urgent_accepted: Rank(u8::try_from(least_urgent_accepted).unwrap_or(u8::MAX)),
            link_busy: Duration::ZERO,
        }
    }
}
