//! State machine of the owner, the node next to the upstream: admission, dispatch and the ledger.

mod crashes;
mod dedup;
mod link_admission;
mod message;
mod upstream_limit;

use std::time::Duration;

use crate::Dispatched;
use crate::Queued;
use crate::Refusal;
use crate::Request;
use crate::ledger::Ledger;
use crate::ledger::Outcome;
use crate::ledger::RecordState;
use crate::owner::crashes::Crashes;
use crate::owner::link_admission::LinkAdmission;
use crate::owner::upstream_limit::UpstreamLimit;
use errors::Reason;
use errors::Verdict;
use ids::NodeId;
use kernel::Random;
use kernel::Time;
use member::Stage;
use policy::Admission;
use policy::Completion;
use policy::Decision;
use policy::Job;
use policy::LimitNotice;
use policy::Load;
use policy::RequestRate;
use policy::Ticket;

pub use message::CrashedRequest;
pub use message::Effect;
pub use message::IncomingRequest;
pub use message::Input;
pub use message::OutcomeQuery;
pub use message::RateLimitReport;

/// Number of requests that the ledger can record.
const LEDGER_CAPACITY: usize = 100_000;
/// Minimum time between two runs of the ledger's expiry, so that each run removes many entries.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(250);
/// Time until the next run if expired entries are left; short enough for 50,000 requests per
/// second.
const EXPIRY_BACKLOG_INTERVAL: Duration = Duration::from_millis(10);
/// `retry_after` of a refusal because the endpoint is leaving or not ready.
const UNAVAILABLE_RETRY_AFTER: Duration = Duration::from_secs(1);

/// A request that has not ended, in one of its life cycle states.
enum Phase {
    Queued(Request<Queued>),
    Dispatched(Request<Dispatched>),
}

/// State machine of the owner on one node.
pub struct Machine {
    node_id: NodeId,
    stage: Stage,
    admission: Box<dyn Admission>,
    ledger: Ledger,
    /// Sorted by tag.
    open_requests: Vec<(u64, Phase)>,
    next_ledger_expiry: Time,
    upstream_end: UpstreamEnd,
    upstream_limit: UpstreamLimit,
    crashes: Crashes,
    /// `None` if the rate of the link is not known.
    link: Option<LinkAdmission>,
    /// Whether the upstream is known to be warm.
    upstream_warm: bool,
    /// Whether the upstream has responded to a request of this process.
    upstream_responded: bool,
    /// Time by which the upstream has to be done, because the node ends soon after.
    work_end: Option<Time>,
    /// Whether the node is leaving and accepts no new requests, whatever the upstream announces.
    leaving: bool,
    /// Whether [`Effect::Drained`] has been emitted.
    drained: bool,
}

/// What the node does when its upstream ends.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum UpstreamEnd {
    /// The node has no work left and leaves too.
    #[default]
    Leave,
    /// The node stays and waits for another run of the upstream.
    Stay,
}

impl Machine {
    /// Creates an owner whose upstream has not announced itself yet.
    pub fn new(node_id: NodeId, admission: Box<dyn Admission>, upstream_end: UpstreamEnd) -> Self {
        Self {
            node_id,
            stage: Stage::Warming,
            admission,
            ledger: Ledger::new(LEDGER_CAPACITY),
            open_requests: Vec::new(),
            next_ledger_expiry: Time::default(),
            upstream_end,
            upstream_limit: UpstreamLimit::default(),
            crashes: Crashes::default(),
            link: None,
            upstream_warm: false,
            upstream_responded: false,
            work_end: None,
            leaving: false,
            drained: false,
        }
    }

    /// Sets the rate of the instance's link, by which requests with large responses are admitted.
    pub fn set_link_rate(&mut self, rate: link::Rate) {
        self.link = Some(LinkAdmission::new(rate));
    }

    /// The current load, which is reported with each answer; `link_backlog` is the number of bytes that wait
    /// to be sent.
    pub fn load(&self, link_backlog: u64) -> Load {
        let link_busy = self.link.as_ref().map(|it| it.busy(link_backlog));
        Load {
            link_busy: link_busy.unwrap_or_default(),
            ..self.admission.load()
        }
    }

    fn handle_arrival(&mut self, now: Time, incoming: IncomingRequest, effects: &mut Vec<Effect>) {
        let deadline = self.limit_deadline(incoming.deadline);
        let request = Request::new(incoming.id, deadline, incoming.fingerprint);
        if let Err(refusal) = self.check_acceptable(now, &incoming, request) {
            effects.push(Effect::Refuse {
                tag: incoming.tag,
                refusal,
            });
            return;
        }
        self.adopt_rate_limit(now, incoming.rate_limit, effects);
        if !self.ledger.upsert(dedup::new_record(
            &incoming,
            RecordState::Open { tag: incoming.tag },
        )) {
            self.ledger.note_unrecorded(incoming.expires);
        }
        if let Err(index) = self.position(incoming.tag) {
            self.open_requests
                .insert(index, (incoming.tag, Phase::Queued(request)));
        }
        let mut job = Job {
            ticket: Ticket(incoming.tag),
            route: incoming.route,
            rank: incoming.rank,
            weight: incoming.weight,
            expires: deadline,
            objective: incoming.objective,
            spillable: incoming.spillable,
            onward: incoming.onward,
            organisation: incoming.organisation,
        };
        let admitted = self
            .link
            .as_mut()
            .map_or(Ok(()), |link| link.admit(now, &incoming, &mut job));
        if let Err((reason, retry_after)) = admitted {
            return self.refuse(incoming.tag, reason, retry_after, effects);
        }
        let mut decisions = Vec::new();
        self.admission.offer(now, job, &mut decisions);
        self.apply_decisions(now, decisions, effects);
    }

    /// Checks whether the request can be handed to the admission policy.
    fn check_acceptable(
        &mut self,
        now: Time,
        incoming: &IncomingRequest,
        request: Request<Queued>,
    ) -> Result<(), Refusal> {
        let refuse = |reason| Err(request.refuse(reason, UNAVAILABLE_RETRY_AFTER));
        if incoming.intended_owner != self.node_id {
            return refuse(Reason::NoEndpoint);
        }
        // Before the deadline check: for a copy that arrives after the expiry, the ledger can still
        // record that the attempt ran.
        if let Some(existing) = self.ledger.get(incoming.id) {
            dedup::check_repeat(incoming, existing, request)?;
        }
        if incoming.expires <= now {
            return refuse(Reason::DeadlinePassed);
        }
        if self.has_ended_work(now) {
            return refuse(Reason::Draining);
        }
        match self.stage {
            Stage::Ready if !incoming.idempotent && !self.has_room(incoming) => {
                refuse(Reason::QueueFull)
            }
            Stage::Ready => Ok(()),
            Stage::Warming => {
                // Recorded so that a copy which arrives when the upstream is ready does not run
                // although this answer says "not run".
                let refused = RecordState::Done {
                    verdict: Verdict::NotRun,
                    stored: false,
                };
                self.ledger.upsert(dedup::new_record(incoming, refused));
                refuse(Reason::Warming)
            }
            Stage::Draining | Stage::Gone => refuse(Reason::Draining),
        }
    }

    fn has_room(&self, incoming: &IncomingRequest) -> bool {
        !self.ledger.is_full(incoming.idempotent) || self.ledger.get(incoming.id).is_some()
    }

    fn apply_decisions(&mut self, now: Time, decisions: Vec<Decision>, effects: &mut Vec<Effect>) {
        for decision in decisions {
            match decision {
                Decision::Start(Ticket(tag)) => self.dispatch(now, tag, effects),
                Decision::Refuse {
                    ticket: Ticket(tag),
                    reason,
                    retry_after,
                } => {
                    self.refuse(tag, reason, retry_after, effects);
                }
            }
        }
    }

    fn dispatch(&mut self, now: Time, tag: u64, effects: &mut Vec<Effect>) {
        let Ok(index) = self.position(tag) else {
            return;
        };
        if let Phase::Queued(request) = &self.open_requests[index].1 {
            let deadline = self.limit_deadline(request.deadline());
            if self.has_ended_work(now) {
                self.refuse(tag, Reason::Draining, UNAVAILABLE_RETRY_AFTER, effects);
                return self.free_slot(now, tag, effects);
            }
            self.open_requests[index].1 = Phase::Dispatched(request.dispatch(now));
            self.upstream_limit.record_sent();
            effects.push(Effect::Start { tag, deadline });
        }
    }

    /// The earlier of `deadline` and the time by which all upstreams have to be done.
    fn limit_deadline(&self, deadline: Time) -> Time {
        self.work_end.map_or(deadline, |it| it.min(deadline))
    }

    fn has_ended_work(&self, now: Time) -> bool {
        self.work_end.is_some_and(|it| it <= now)
    }

    /// Returns the slot of a request that the admission policy has started and that is refused.
    fn free_slot(&mut self, now: Time, tag: u64, effects: &mut Vec<Effect>) {
        let unused = Completion {
            latency: Duration::ZERO,
            shed: false,
        };
        let mut decisions = Vec::new();
        self.admission
            .finish(now, Ticket(tag), unused, &mut decisions);
        self.apply_decisions(now, decisions, effects);
    }

    fn refuse(&mut self, tag: u64, reason: Reason, after: Duration, effects: &mut Vec<Effect>) {
        let Ok(index) = self.position(tag) else {
            return;
        };
        self.release_link(tag);
        if let Phase::Queued(request) = self.open_requests.remove(index).1 {
            let done = RecordState::Done {
                verdict: Verdict::NotRun,
                stored: false,
            };
            self.ledger.close(request.id(), tag, done);
            effects.push(Effect::Refuse {
                tag,
                refusal: request.refuse(reason, after),
            });
        }
    }

    fn handle_finish(
        &mut self,
        now: Time,
        tag: u64,
        (verdict, shed, stored): (Verdict, bool, bool),
        effects: &mut Vec<Effect>,
    ) {
        let Ok(index) = self.position(tag) else {
            return;
        };
        // A queued request ends by a cancellation, which also removes it from the admission queue.
        if let Phase::Dispatched(request) = &self.open_requests[index].1 {
            let request = *request;
            self.open_requests.remove(index);
            self.release_link(tag);
            let latency = now.since(request.state().dispatched_at);
            let ended = request.finish(verdict);
            let done = RecordState::Done {
                verdict: ended.state().verdict,
                stored,
            };
            self.ledger.close(ended.id(), tag, done);
            let mut decisions = Vec::new();
            self.admission.finish(
                now,
                Ticket(tag),
                Completion { latency, shed },
                &mut decisions,
            );
            self.apply_decisions(now, decisions, effects);
        }
    }

    /// Ends the commitment of the link to the response of a request.
    fn release_link(&mut self, tag: u64) {
        if let Some(link) = &mut self.link {
            link.release(tag);
        }
    }

    /// Ends a request that ran when the upstream crashed.
    fn handle_crash(&mut self, now: Time, tag: u64, effects: &mut Vec<Effect>) {
        if let Ok(index) = self.position(tag)
            && let Phase::Dispatched(request) = &self.open_requests[index].1
        {
            let dispatched_at = request.state().dispatched_at;
            let crashed = self
                .crashes
                .record_crash(now, request.fingerprint(), dispatched_at);
            effects.extend(crashed.map(Effect::RequestCrashed));
        }
        self.handle_finish(now, tag, (Verdict::MayHaveRun, false, false), effects);
    }

    fn handle_cancel(&mut self, now: Time, tag: u64, effects: &mut Vec<Effect>) {
        let Ok(index) = self.position(tag) else {
            return;
        };
        match &self.open_requests[index].1 {
            Phase::Queued(_) => {
                self.admission.cancel(now, Ticket(tag));
                self.refuse(tag, Reason::CallerLeft, Duration::ZERO, effects);
            }
            Phase::Dispatched(_) => effects.push(Effect::Abort { tag }),
        }
    }

    fn report_outcome(
        &mut self,
        now: Time,
        query: OutcomeQuery,
        effects: &mut Vec<Effect>,
    ) -> Outcome {
        // The intended owner had this address before; its ledger was lost with its process.
        if query.intended_owner != self.node_id {
            return Outcome::Unknown;
        }
        let Some(existing) = self.ledger.get(query.id) else {
            return self.fence_absent_request(now, query);
        };
        if query.attempt < existing.attempt {
            return match existing.earlier_verdict {
                Verdict::NotRun => Outcome::Fenced,
                Verdict::MayHaveRun | Verdict::Ran => Outcome::Unknown,
            };
        }
        match existing.state {
            RecordState::Open { tag } => {
                self.report_open(now, tag, query.cancel_if_queued, effects)
            }
            RecordState::Fenced
            | RecordState::Done {
                verdict: Verdict::NotRun,
                ..
            } if query.attempt > existing.attempt => {
                self.ledger.upsert(dedup::new_fenced_record(query));
                Outcome::Fenced
            }
            RecordState::Fenced => Outcome::Fenced,
            RecordState::Done { verdict, stored } => Outcome::Done { verdict, stored },
        }
    }

    fn fence_absent_request(&mut self, now: Time, query: OutcomeQuery) -> Outcome {
        if !self.ledger.proves_absence(now, query.expires) {
            return Outcome::Unknown;
        }
        // An expired request needs no fence, since it is refused in any case.
        if query.expires <= now || self.ledger.upsert(dedup::new_fenced_record(query)) {
            Outcome::Fenced
        } else {
            Outcome::Unknown
        }
    }

    fn report_open(
        &mut self,
        now: Time,
        tag: u64,
        cancel_if_queued: bool,
        effects: &mut Vec<Effect>,
    ) -> Outcome {
        let queued = self
            .position(tag)
            .is_ok_and(|index| matches!(self.open_requests[index].1, Phase::Queued(_)));
        if !queued || !cancel_if_queued {
            return Outcome::Running;
        }
        self.handle_cancel(now, tag, effects);
        Outcome::Cancelled
    }

    fn set_stage(&mut self, now: Time, stage: Stage, slots: u32, effects: &mut Vec<Effect>) {
        let returning = self.stage >= Stage::Draining && stage < Stage::Draining;
        if returning && (self.leaving || self.upstream_end == UpstreamEnd::Leave) {
            return;
        }
        self.stage = stage;
        self.refuse_queued(now, effects);
        let slots = match stage {
            Stage::Warming => 0,
            // The slots stay as they are, so that accepted requests are finished even if the
            // upstream no longer announces slots.
            Stage::Draining | Stage::Gone if slots == 0 => return,
            Stage::Ready | Stage::Draining | Stage::Gone => slots,
        };
        let mut decisions = Vec::new();
        self.admission.set_slots(now, slots, &mut decisions);
        self.apply_decisions(now, decisions, effects);
        self.set_warm(now, self.upstream_warm, effects);
    }

    fn set_warm(&mut self, now: Time, warm: bool, effects: &mut Vec<Effect>) {
        self.upstream_warm = warm;
        if warm {
            let mut decisions = Vec::new();
            self.admission.end_slow_start(now, &mut decisions);
            self.apply_decisions(now, decisions, effects);
        }
    }

    /// Applies the rate limit that a response of the upstream names, or its end.
    fn handle_response(&mut self, now: Time, notice: LimitNotice, effects: &mut Vec<Effect>) {
        self.crashes.record_response();
        if notice == LimitNotice::Unreadable {
            return;
        }
        let rate_limit = notice.rate();
        let report = self.upstream_limit.set(now, rate_limit);
        effects.extend(report.map(Effect::RateLimitReported));
        let mut decisions = Vec::new();
        self.admission
            .set_rate_limit(now, rate_limit, &mut decisions);
        self.apply_decisions(now, decisions, effects);
        self.upstream_responded = true;
    }

    /// Applies the rate limit that the sender of a request knows from an earlier response of the upstream.
    /// After a response to a request of this process, only responses count.
    fn adopt_rate_limit(
        &mut self,
        now: Time,
        rate_limit: Option<RequestRate>,
        effects: &mut Vec<Effect>,
    ) {
        if rate_limit.is_some() && !self.upstream_responded {
            let mut decisions = Vec::new();
            self.admission
                .set_rate_limit(now, rate_limit, &mut decisions);
            self.apply_decisions(now, decisions, effects);
        }
    }

    /// Refuses the queued requests once the upstream is leaving, so that their senders try other
    /// endpoints. If the node leaves with its upstream, it accepts no new requests and finishes the
    /// queued ones instead.
    fn refuse_queued(&mut self, now: Time, effects: &mut Vec<Effect>) {
        if self.stage >= Stage::Draining && self.upstream_end == UpstreamEnd::Stay {
            self.refuse_all_queued(now, effects);
        }
    }

    fn refuse_all_queued(&mut self, now: Time, effects: &mut Vec<Effect>) {
        let open_requests = self.open_requests.iter();
        let queued = open_requests.filter(|(_, phase)| matches!(phase, Phase::Queued(_)));
        let queued: Vec<u64> = queued.map(|(tag, _)| *tag).collect();
        for tag in queued {
            self.admission.cancel(now, Ticket(tag));
            self.refuse(tag, Reason::Draining, UNAVAILABLE_RETRY_AFTER, effects);
        }
    }

    fn position(&self, tag: u64) -> Result<usize, usize> {
        self.open_requests
            .binary_search_by_key(&tag, |(open_tag, _)| *open_tag)
    }

    fn report_drained(&mut self, effects: &mut Vec<Effect>) {
        let node_leaves = self.leaving || self.upstream_end == UpstreamEnd::Leave;
        if node_leaves
            && self.stage >= Stage::Draining
            && self.open_requests.is_empty()
            && !self.drained
        {
            self.drained = true;
            effects.push(Effect::Drained);
        }
    }
}

impl kernel::StateMachine for Machine {
    type Input = Input;
    type Effect = Effect;

    fn step(
        &mut self,
        now: Time,
        input: Input,
        _random: &mut dyn Random,
        effects: &mut Vec<Effect>,
    ) {
        match input {
            Input::Arrived(incoming) => self.handle_arrival(now, incoming, effects),
            Input::Finished {
                tag,
                verdict,
                shed,
                stored,
            } => {
                self.handle_finish(now, tag, (verdict, shed, stored), effects);
            }
            Input::UpstreamCrashed { tag } => self.handle_crash(now, tag, effects),
            Input::Cancelled { tag } => self.handle_cancel(now, tag, effects),
            Input::OutcomeQueried { tag, query } => {
                let outcome = self.report_outcome(now, query, effects);
                effects.push(Effect::ReportOutcome { tag, outcome });
            }
            Input::UpstreamAnnounced { stage, slots } => self.set_stage(now, stage, slots, effects),
            Input::UpstreamWarmed { warm } => self.set_warm(now, warm, effects),
            Input::UpstreamResponded { rate_limit, served } => {
                self.handle_response(now, rate_limit, effects);
                if let Some(fingerprint) = served {
                    self.crashes.record_completion(fingerprint);
                }
            }
            Input::ResponseEnded { route, bytes } => {
                if let Some(link) = &mut self.link {
                    link.record_length(route, bytes);
                }
            }
            Input::EndScheduled { work_end } => self.work_end = Some(work_end),
            Input::Shutdown => self.refuse_all_queued(now, effects),
            Input::Drain => {
                self.leaving = true;
                self.stage = self.stage.max(Stage::Draining);
                self.refuse_queued(now, effects);
            }
        }
        self.report_drained(effects);
    }

    fn wake(&mut self, now: Time, _random: &mut dyn Random, effects: &mut Vec<Effect>) {
        if now >= self.next_ledger_expiry {
            self.ledger.expire(now);
            let has_backlog = self.ledger.next_expiry().is_some_and(|due| due <= now);
            let interval = if has_backlog {
                EXPIRY_BACKLOG_INTERVAL
            } else {
                EXPIRY_INTERVAL
            };
            self.next_ledger_expiry = now + interval;
        }
        let mut decisions = Vec::new();
        self.admission.wake(now, &mut decisions);
        self.apply_decisions(now, decisions, effects);
        self.report_drained(effects);
    }

    fn next_wake(&self) -> Option<Time> {
        let ledger_expiry = self
            .ledger
            .next_expiry()
            .map(|due| due.max(self.next_ledger_expiry));
        [ledger_expiry, self.admission.next_wake()]
            .into_iter()
            .flatten()
            .min()
    }
}
