//! Admission through one bounded queue in order of arrival, which ignores ranks.

use std::collections::VecDeque;
use std::time::Duration;

use linkme::distributed_slice;

use crate::rate_limit::RateLimit;
use errors::Reason;
use ids::Rank;
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

/// Default maximum number of waiting requests.
const DEFAULT_MAX_QUEUED: u64 = 128;
/// Delay after which a refused request may be retried.
const RETRY_AFTER: Duration = Duration::from_secs(1);

#[distributed_slice(ADMISSION_PLUGINS)]
static PLUGIN: Plugin<dyn Admission> = Plugin {
    name: "fifo",
    make: |params| Ok(Box::new(FifoAdmission::from_params(params)?)),
};

/// Runs requests in order of arrival, as many at once as the upstream declares slots.
#[derive(Debug)]
pub struct FifoAdmission {
    max_queued: usize,
    slots: u32,
    running: u32,
    rate_limit: RateLimit,
    /// When the rate limit lets the next waiting request start; `None` if none waits for the limit.
    next_start: Option<Time>,
    queue: VecDeque<Job>,
}

impl FifoAdmission {
    /// Builds the plug-in from its param `queue`, the maximum number of waiting requests. Fails on
    /// an unknown param or a value that is not a number.
    pub fn from_params(params: &Params) -> Result<Self, Error> {
        params.check_names(&["queue"])?;
        let max_queued =
            usize::try_from(params.u64_or("queue", DEFAULT_MAX_QUEUED)?).unwrap_or(usize::MAX);
        Ok(Self {
            max_queued,
            slots: 0,
            running: 0,
            rate_limit: RateLimit::default(),
            next_start: None,
            queue: VecDeque::new(),
        })
    }

    /// Starts waiting requests while slots are free, and refuses those that have expired.
    fn dispatch(&mut self, now: Time, decisions: &mut Vec<Decision>) {
        self.next_start = None;
        while self.running < self.slots && !self.queue.is_empty() {
            self.next_start = self.rate_limit.opens_at(now);
            if self.next_start.is_some() {
                return;
            }
            let Some(job) = self.queue.pop_front() else {
                return;
            };
            if job.expires <= now {
                decisions.push(refuse(job.ticket, Reason::DeadlinePassed));
                continue;
            }
            self.running += 1;
            self.rate_limit.record_start(now);
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

impl Admission for FifoAdmission {
    fn set_slots(&mut self, now: Time, slots: u32, decisions: &mut Vec<Decision>) {
        self.slots = slots;
        self.dispatch(now, decisions);
    }

    fn end_slow_start(&mut self, _: Time, _: &mut Vec<Decision>) {}

    fn set_rate_limit(
        &mut self,
        now: Time,
        rate: Option<RequestRate>,
        decisions: &mut Vec<Decision>,
    ) {
        if self.rate_limit.set(now, rate, self.running as usize) {
            self.dispatch(now, decisions);
        }
    }

    fn offer(&mut self, now: Time, job: Job, decisions: &mut Vec<Decision>) {
        if self.queue.len() >= self.max_queued {
            decisions.push(refuse(job.ticket, Reason::QueueFull));
            return;
        }
        self.queue.push_back(job);
        self.dispatch(now, decisions);
    }

    fn finish(&mut self, now: Time, _: Ticket, _: Completion, decisions: &mut Vec<Decision>) {
        self.running = self.running.saturating_sub(1);
        self.dispatch(now, decisions);
    }

    fn cancel(&mut self, _: Time, ticket: Ticket) -> bool {
        let before = self.queue.len();
        self.queue.retain(|job| job.ticket != ticket);
        self.queue.len() < before
    }

    fn wake(&mut self, now: Time, decisions: &mut Vec<Decision>) {
        let expired = self.queue.iter().filter(|job| job.expires <= now);
        decisions.extend(expired.map(|job| refuse(job.ticket, Reason::DeadlinePassed)));
        self.queue.retain(|job| job.expires > now);
        self.dispatch(now, decisions);
    }

    fn next_wake(&self) -> Option<Time> {
        let expiry = self.queue.iter().map(|job| job.expires).min();
        expiry.into_iter().chain(self.next_start).min()
    }

    fn load(&self) -> Load {
        let queued = u32::try_from(self.queue.len()).unwrap_or(u32::MAX);
        let mut queued_by_rank = [0; Rank::REQUEST_COUNT];
        // A request of any rank waits for all queued requests, so all of them are reported in the
        // most urgent rank.
        queued_by_rank[0] = queued;
        Load {
            running: self.running,
            queued,
            queued_by_rank,
            limit: self.slots,
            least_urgent_accepted: Rank(u8::MAX),
            link_busy: Duration::ZERO,
        }
    }
}
