//! Bounded queues by rank: the most urgent request runs first.
//!
//! A request that cannot finish in time is refused when it arrives. One that can no longer meet its
//! objective goes behind all that can: in an overload, a queue by age alone would serve every request
//! too late. Lower ranks keep a small share, the routes of a rank share it by weight, and the limit on
//! running requests is learned.

mod dispatch;
mod lanes;
mod limit;
mod queue;
mod share;
mod shedding;
mod times;

use std::time::Duration;

use lanes::Waiting;
use limit::Limit;
use linkme::distributed_slice;
use queue::Queue;
use share::Share;
use times::Times;

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
use policy::Ticket;

const DEFAULT_QUEUE: u64 = 64;
/// Waiting requests of a rank that a more urgent one does not displace, so that the rank's share has
/// something to dispatch.
const KEPT_PLACES: usize = 4;
/// Queues: one for each rank with the requests that can meet their objective, then one for each rank
/// with those that cannot.
const LEVELS: usize = Rank::COUNT * 2;
/// Least part of the slots that is assumed to be left by more urgent ranks.
const LEAST_PART: f64 = 0.01;
/// Size of a request whose route has not been measured; above all that are.
const UNMEASURED: f64 = f64::MAX;
const SHORTEST_RETRY: Duration = Duration::from_millis(50);
const LONGEST_RETRY: Duration = Duration::from_secs(5);

#[distributed_slice(ADMISSION_PLUGINS)]
static PLUGIN: Plugin<dyn Admission> = Plugin {
    name: "ranked",
    make: |params| Ok(Box::new(Ranked::from_params(params)?)),
};

#[derive(Clone, Copy, Debug)]
struct Running {
    ticket: Ticket,
    route: RouteId,
    level: usize,
    size: f64,
}

/// Queues by rank.
#[derive(Debug)]
pub struct Ranked {
    /// Waiting requests of one rank.
    bound: usize,
    /// Waiting requests of all ranks.
    total: usize,
    limit: Limit,
    times: Times,
    share: Share,
    queues: [Queue; LEVELS],
    /// Sorted by ticket.
    running: Vec<Running>,
    /// Lower level that got the share last.
    turn: usize,
    /// No waiting request misses its objective before.
    next_miss: Option<Time>,
    /// No waiting request becomes hopeless before.
    next_due: Option<Time>,
}

impl Ranked {
    /// Reads `queue` (bound on waiting requests of one rank), `total` (of all ranks) and `share`
    /// (percent of slot time that lower ranks keep).
    pub fn from_params(params: &Params) -> Result<Self, Error> {
        params.check_names(&["queue", "share", "total"])?;
        let queue = params.u64_or("queue", DEFAULT_QUEUE)?.max(1);
        let total = params.u64_or("total", queue.saturating_mul(2))?.max(1);
        Ok(Self {
            bound: usize::try_from(queue).unwrap_or(usize::MAX),
            total: usize::try_from(total).unwrap_or(usize::MAX),
            limit: Limit::default(),
            times: Times::default(),
            share: Share::new(params.u64_or("share", share::DEFAULT_PERCENT)?),
            queues: Default::default(),
            running: Vec::new(),
            turn: 0,
            next_miss: None,
            next_due: None,
        })
    }

    fn queued(&self) -> usize {
        self.queues.iter().map(|queue| queue.lanes.len()).sum()
    }

    fn has_free_slot(&self) -> bool {
        self.running.len() < self.limit.get() as usize
    }

    /// Slot time that a request can take, in microseconds; a route that has not been measured can take
    /// any.
    fn size(&self, job: &Job) -> f64 {
        if self.times.knows(job.route) {
            self.times.cost(job.route)
        } else {
            UNMEASURED
        }
    }

    /// When a request can no longer finish in time if it has not started.
    fn due(&self, job: &Job) -> Time {
        self.latest_start(job, job.expires)
    }

    /// When a request has to start to end by `end`, if it is as fast as few of its route are.
    fn latest_start(&self, job: &Job, end: Time) -> Time {
        let fast = u64::try_from(self.times.fast(job.route).as_micros()).unwrap_or(u64::MAX);
        Time(end.0.saturating_sub(fast))
    }

    /// Time that a request of the level waits behind `work` microseconds of slot time of its own
    /// level: after what is more urgent, or by the share of the lower ranks if that is sooner.
    fn wait_for(&self, level: usize, work: f64) -> Duration {
        let urgent = &self.queues[..level];
        let ahead: f64 = urgent.iter().map(|it| it.lanes.work()).sum();
        let busy: f64 = urgent.iter().map(|it| it.busy).sum();
        let mut wait = (ahead + work) / (1.0 - busy).max(LEAST_PART);
        if let Some(first) = urgent.iter().find(|it| !it.is_empty()) {
            let sharing = self.queues.iter().filter(|it| !it.is_empty()).count();
            let part = self.share.part(self.is_pressed(first)) / sharing.max(1) as f64;
            wait = wait.min(work / part);
        }
        let slots = f64::from(self.limit.get().max(1));
        Duration::from_micros((wait / slots) as u64)
    }

    /// Whether the rank's work waits but can still be served, so that each dispatch of a lower rank
    /// costs it.
    fn is_pressed(&self, queue: &Queue) -> bool {
        queue.lanes.len() >= self.limit.get() as usize && !queue.is_flooded()
    }

    /// Estimated wait of a request that arrives now.
    fn wait(&self, now: Time, level: usize, job: &Job, cost: f64) -> Duration {
        let waits = |queue: &Queue| !queue.is_empty();
        let first = !self.queues[..=level].iter().any(waits);
        if self.has_free_slot() && (first || self.size(job) < self.most_size(now, level)) {
            return Duration::ZERO;
        }
        let lanes = &self.queues[level].lanes;
        let before = lanes.work_before(job.route, job.weight, cost);
        // On average a slot comes free after the mean time over the slots.
        self.wait_for(level, before + self.times.mean())
    }

    fn retry_after(&self, rank: usize) -> Duration {
        self.wait_for(rank, self.queues[rank].lanes.work())
            .clamp(SHORTEST_RETRY, LONGEST_RETRY)
    }

    /// When a request can no longer meet its objective if it has not started.
    fn misses(&self, job: &Job) -> Option<Time> {
        Some(self.latest_start(job, job.objective?))
    }

    /// Moves what can no longer meet its objective behind what can, and refuses what would then wait
    /// for too long.
    fn demote(&mut self, now: Time, decisions: &mut Vec<Decision>) {
        if self.next_miss.is_none_or(|due| due > now) {
            return;
        }
        for rank in 0..Rank::COUNT {
            let mut missed = Vec::new();
            let misses = |waiting: &Waiting| waiting.misses;
            self.queues[rank].lanes.extract(now, misses, &mut missed);
            for waiting in missed {
                let level = rank + Rank::COUNT;
                let lanes = &self.queues[level].lanes;
                let (job, cost) = (waiting.job, waiting.cost);
                let before = lanes.work_before(job.route, job.weight, cost);
                let wait = self.wait_for(level, before);
                if now + wait > waiting.due || lanes.len() >= self.bound {
                    self.refuse(&job, late_reason(now, &job), decisions);
                } else {
                    self.queues[level].lanes.push(waiting);
                }
            }
        }
        let queues = self.queues[..Rank::COUNT].iter();
        self.next_miss = queues.filter_map(|it| it.lanes.first(|it| it.misses)).min();
    }

    fn refuse(&mut self, job: &Job, reason: Reason, decisions: &mut Vec<Decision>) {
        let rank = job.rank.index();
        decisions.push(Decision::Refuse {
            ticket: job.ticket,
            reason,
            retry_after: self.retry_after(rank),
        });
        self.queues[rank].note_refused();
    }

    /// Makes room for a request; refuses it or another one where there is none.
    fn make_room(&mut self, level: usize, job: &Job, decisions: &mut Vec<Decision>) -> bool {
        if self.queues[level].lanes.len() >= self.bound {
            let bound = self.bound;
            let lanes = &mut self.queues[level].lanes;
            let Some(displaced) = lanes.displace_for(job.route, job.weight, bound) else {
                self.refuse(job, Reason::QueueFull, decisions);
                return false;
            };
            self.refuse(&displaced.job, Reason::Displaced, decisions);
        }
        if self.queued() < self.total {
            return true;
        }
        let below = (level + 1..LEVELS).rev();
        let mut below = below.filter(|level| self.queues[*level].lanes.len() > KEPT_PLACES);
        if let Some(displaced) = below
            .next()
            .and_then(|level| self.queues[level].lanes.displace())
        {
            self.refuse(&displaced.job, Reason::Displaced, decisions);
            return true;
        }
        let lanes = &mut self.queues[level].lanes;
        let held = lanes.len();
        if held < KEPT_PLACES {
            return true;
        }
        // Room for the route's share of what the level holds now.
        let Some(displaced) = lanes.displace_for(job.route, job.weight, held) else {
            self.refuse(job, Reason::QueueFull, decisions);
            return false;
        };
        self.refuse(&displaced.job, Reason::Displaced, decisions);
        true
    }
}

fn late_reason(now: Time, job: &Job) -> Reason {
    if job.expires <= now {
        Reason::DeadlinePassed
    } else {
        Reason::DeadlineTooShort
    }
}

impl Admission for Ranked {
    fn set_slots(&mut self, now: Time, slots: u32, decisions: &mut Vec<Decision>) {
        self.limit.set_slots(slots);
        self.fill(now, decisions);
    }

    fn offer(&mut self, now: Time, job: Job, decisions: &mut Vec<Decision>) {
        let cost = self.times.cost(job.route);
        self.queues[job.rank.index()].note_offer(now, cost);
        let misses = self.misses(&job);
        let missed = misses.is_some_and(|it| it <= now);
        let level = job.rank.index() + if missed { Rank::COUNT } else { 0 };
        let wait = self.wait(now, level, &job, cost);
        let mut due = self.due(&job);
        if now + wait > due {
            let alone = wait.is_zero() && job.expires > now;
            if !alone || !self.times.probe(now, job.route) {
                let reason = late_reason(now, &job);
                return self.refuse(&job, reason, decisions);
            }
            due = job.expires;
        }
        if !self.make_room(level, &job, decisions) {
            return;
        }
        let size = self.size(&job);
        self.queues[job.rank.index()].note_accepted();
        self.queues[level].lanes.push(Waiting {
            job,
            cost,
            size,
            due,
            misses,
        });
        let miss = misses.filter(|_| !missed);
        self.next_miss = self.next_miss.into_iter().chain(miss).min();
        self.next_due = Some(self.next_due.map_or(due, |next| next.min(due)));
        self.fill(now, decisions);
    }

    fn finish(
        &mut self,
        now: Time,
        ticket: Ticket,
        finish: Completion,
        decisions: &mut Vec<Decision>,
    ) {
        let Ok(at) = self.running.binary_search_by_key(&ticket, |it| it.ticket) else {
            return;
        };
        let count = self.running.len();
        let running = self.running.remove(at);
        let excess = if finish.shed {
            0.0
        } else {
            self.times.learn(now, running.route, finish.latency)
        };
        let trial_failed = self
            .limit
            .learn(now, finish.latency, excess, finish.shed, count);
        if trial_failed {
            self.times.rebase();
        }
        self.fill(now, decisions);
    }

    fn cancel(&mut self, _: Time, ticket: Ticket) -> bool {
        self.queues
            .iter_mut()
            .any(|queue| queue.lanes.remove(ticket))
    }

    fn wake(&mut self, now: Time, decisions: &mut Vec<Decision>) {
        self.demote(now, decisions);
        if self.next_due.is_none_or(|due| due > now) {
            return self.fill(now, decisions);
        }
        let mut late = Vec::new();
        for queue in &mut self.queues {
            queue.lanes.extract(now, |it| Some(it.due), &mut late);
        }
        for waiting in late {
            let reason = late_reason(now, &waiting.job);
            self.refuse(&waiting.job, reason, decisions);
        }
        let queues = self.queues.iter();
        self.next_due = queues
            .filter_map(|it| it.lanes.first(|it| Some(it.due)))
            .min();
        self.fill(now, decisions);
    }

    fn next_wake(&self) -> Option<Time> {
        self.next_due.into_iter().chain(self.next_miss).min()
    }

    fn load(&self) -> Load {
        let mut queues = self.queues[..Rank::COUNT].iter();
        let closed = queues.position(Queue::is_closed);
        let accepted = closed.map_or(Rank::COUNT - 1, |rank| rank.saturating_sub(1));
        let waiting = |queue: &Queue| u32::try_from(queue.lanes.len()).unwrap_or(u32::MAX);
        Load {
            queued_by_rank: std::array::from_fn(|rank| waiting(&self.queues[rank])),
            running: u32::try_from(self.running.len()).unwrap_or(u32::MAX),
            queued: u32::try_from(self.queued()).unwrap_or(u32::MAX),
            limit: self.limit.get(),
            least_urgent_accepted: Rank(u8::try_from(accepted).unwrap_or(u8::MAX)),
        }
    }
}
