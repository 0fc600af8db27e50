//! Bounded queues by rank: the most urgent request runs first.

use std::collections::VecDeque;
use std::time::Duration;

use linkme::distributed_slice;

use errors::Reason;
use ids::Rank;
use kernel::Plugin;
use kernel::Time;
use kernel::plugin::Error;
use kernel::plugin::Params;
use policy::ADMISSIONS;
use policy::Admission;
use policy::Decision;
use policy::Finish;
use policy::Job;
use policy::Load;
use policy::Ticket;

const DEFAULT_QUEUE: u64 = 64;
const RETRY_AFTER: Duration = Duration::from_secs(1);

#[distributed_slice(ADMISSIONS)]
static PLUGIN: Plugin<dyn Admission> = Plugin {
    name: "ranked",
    make: |params| Ok(Box::new(Ranked::from_params(params)?)),
};

/// Queues by rank.
#[derive(Debug)]
pub struct Ranked {
    bound: usize,
    slots: u32,
    running: u32,
    queues: [VecDeque<Job>; Rank::COUNT],
}

impl Ranked {
    /// Reads `queue`, the bound on waiting requests of one rank.
    pub fn from_params(params: &Params) -> Result<Self, Error> {
        params.check_names(&["queue"])?;
        let bound = usize::try_from(params.number("queue", DEFAULT_QUEUE)?).unwrap_or(usize::MAX);
        Ok(Self {
            bound,
            slots: 0,
            running: 0,
            queues: Default::default(),
        })
    }

    fn fill(&mut self, now: Time, decisions: &mut Vec<Decision>) {
        while self.running < self.slots {
            let Some(job) = self.queues.iter_mut().find_map(VecDeque::pop_front) else {
                return;
            };
            if job.expires <= now {
                decisions.push(refuse(job.ticket, Reason::DeadlinePassed));
                continue;
            }
            self.running += 1;
            decisions.push(Decision::Start(job.ticket));
        }
    }
}

fn refuse(ticket: Ticket, reason: Reason) -> Decision {
    Decision::Refuse {
        ticket,
        reason,
        retry_after: RETRY_AFTER,
    }
}

impl Admission for Ranked {
    fn set_slots(&mut self, now: Time, slots: u32, decisions: &mut Vec<Decision>) {
        self.slots = slots;
        self.fill(now, decisions);
    }

    fn offer(&mut self, now: Time, job: Job, decisions: &mut Vec<Decision>) {
        let queue = &mut self.queues[job.rank.index()];
        if queue.len() >= self.bound {
            decisions.push(refuse(job.ticket, Reason::QueueFull));
            return;
        }
        queue.push_back(job);
        self.fill(now, decisions);
    }

    fn finish(&mut self, now: Time, _: Ticket, _: Finish, decisions: &mut Vec<Decision>) {
        self.running = self.running.saturating_sub(1);
        self.fill(now, decisions);
    }

    fn cancel(&mut self, _: Time, ticket: Ticket) -> bool {
        self.queues.iter_mut().any(|queue| {
            let before = queue.len();
            queue.retain(|job| job.ticket != ticket);
            queue.len() < before
        })
    }

    fn wake(&mut self, now: Time, decisions: &mut Vec<Decision>) {
        for queue in &mut self.queues {
            let expired = queue.iter().filter(|job| job.expires <= now);
            decisions.extend(expired.map(|job| refuse(job.ticket, Reason::DeadlinePassed)));
            queue.retain(|job| job.expires > now);
        }
    }

    fn next_wake(&self) -> Option<Time> {
        self.queues.iter().flatten().map(|job| job.expires).min()
    }

    fn load(&self) -> Load {
        let queued: usize = self.queues.iter().map(VecDeque::len).sum();
        Load {
            running: self.running,
            queued: u32::try_from(queued).unwrap_or(u32::MAX),
            limit: self.slots,
            accepted: Rank(u8::MAX),
        }
    }
}
