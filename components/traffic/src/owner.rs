//! The owner's side: admission, dispatch and the ledger.

mod known;
mod message;

use std::time::Duration;

use crate::Dispatched;
use crate::Queued;
use crate::Refusal;
use crate::Request;
use crate::ledger::Ledger;
use crate::ledger::Outcome;
use crate::ledger::RecordState;
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
use policy::Load;
use policy::Ticket;

pub use message::Effect;
pub use message::IncomingRequest;
pub use message::Input;
pub use message::OutcomeQuery;

/// Requests that the ledger remembers.
const LEDGER_BOUND: usize = 100_000;
/// Shortest time between two clean-ups of the ledger, so that each one drops many entries.
const CLEAN_PERIOD: Duration = Duration::from_millis(250);
/// Time until the next clean-up if one did not drop all; keeps up with 50,000 requests a second.
const CLEAN_PAUSE: Duration = Duration::from_millis(10);
/// Time after which a refused sender may try again while the endpoint leaves or is not ready.
const AWAY_RETRY_AFTER: Duration = Duration::from_secs(1);

enum Phase {
    Queued(Request<Queued>),
    Dispatched(Request<Dispatched>),
}

/// The owner's side of one node.
pub struct Machine {
    me: NodeId,
    stage: Stage,
    admission: Box<dyn Admission>,
    ledger: Ledger,
    /// Sorted by tag.
    open: Vec<(u64, Phase)>,
    next_clean: Time,
    /// What an end of the upstream means for the node.
    end: UpstreamEnd,
    /// Whether the node takes no new requests, whatever the upstream announces.
    leaving: bool,
    drained: bool,
}

/// What an end of the upstream means for the node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum UpstreamEnd {
    /// The node has done its work and leaves too.
    #[default]
    Leave,
    /// The node waits for another run of the upstream.
    Stay,
}

impl Machine {
    /// An owner whose upstream has not announced itself.
    pub fn new(me: NodeId, admission: Box<dyn Admission>, end: UpstreamEnd) -> Self {
        Self {
            me,
            stage: Stage::Warming,
            admission,
            ledger: Ledger::new(LEDGER_BOUND),
            open: Vec::new(),
            next_clean: Time::default(),
            end,
            leaving: false,
            drained: false,
        }
    }

    /// The present load, for answers to carry.
    pub fn load(&self) -> Load {
        self.admission.load()
    }

    fn offer(&mut self, now: Time, offer: IncomingRequest, effects: &mut Vec<Effect>) {
        let request = Request::new(offer.id, offer.expires);
        if let Err(refusal) = self.check(now, &offer, request) {
            effects.push(Effect::Refuse {
                tag: offer.tag,
                refusal,
            });
            return;
        }
        if !self
            .ledger
            .upsert(known::record(&offer, RecordState::Open { tag: offer.tag }))
        {
            self.ledger.note_unrecorded(offer.expires);
        }
        if let Err(at) = self.position(offer.tag) {
            self.open.insert(at, (offer.tag, Phase::Queued(request)));
        }
        let job = Job {
            ticket: Ticket(offer.tag),
            route: offer.route,
            rank: offer.rank,
            weight: offer.weight,
            expires: offer.expires,
            objective: offer.objective,
        };
        let mut decisions = Vec::new();
        self.admission.offer(now, job, &mut decisions);
        self.carry_out(now, decisions, effects);
    }

    /// Whether the request can be offered for admission.
    fn check(
        &mut self,
        now: Time,
        offer: &IncomingRequest,
        request: Request<Queued>,
    ) -> Result<(), Refusal> {
        let not_run = |reason| Err(request.refuse(reason, AWAY_RETRY_AFTER));
        if offer.intended_owner != self.me {
            return not_run(Reason::NoEndpoint);
        }
        // The ledger first: it can hold that an attempt ran whose copy comes after the expiry.
        if let Some(known) = self.ledger.get(offer.id) {
            known::check(offer, known, request)?;
        }
        if offer.expires <= now {
            return not_run(Reason::DeadlinePassed);
        }
        match self.stage {
            Stage::Ready if !offer.idempotent && !self.has_room(offer) => {
                not_run(Reason::QueueFull)
            }
            Stage::Ready => Ok(()),
            Stage::Warming => {
                // A copy that arrives once the upstream is ready must not run after this answer.
                let refused = RecordState::Done {
                    verdict: Verdict::NotRun,
                    stored: false,
                };
                self.ledger.upsert(known::record(offer, refused));
                not_run(Reason::Warming)
            }
            Stage::Draining | Stage::Gone => not_run(Reason::Draining),
        }
    }

    fn has_room(&self, offer: &IncomingRequest) -> bool {
        !self.ledger.is_full(offer.idempotent) || self.ledger.get(offer.id).is_some()
    }

    fn carry_out(&mut self, now: Time, decisions: Vec<Decision>, effects: &mut Vec<Effect>) {
        for decision in decisions {
            match decision {
                Decision::Start(Ticket(tag)) => self.start(now, tag, effects),
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

    fn start(&mut self, now: Time, tag: u64, effects: &mut Vec<Effect>) {
        let Ok(at) = self.position(tag) else {
            return;
        };
        if let Phase::Queued(request) = &self.open[at].1 {
            self.open[at].1 = Phase::Dispatched(request.dispatch(now));
            effects.push(Effect::Start { tag });
        }
    }

    fn refuse(&mut self, tag: u64, reason: Reason, after: Duration, effects: &mut Vec<Effect>) {
        let Ok(at) = self.position(tag) else {
            return;
        };
        if let Phase::Queued(request) = self.open.remove(at).1 {
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

    fn finish(
        &mut self,
        now: Time,
        tag: u64,
        (verdict, shed, stored): (Verdict, bool, bool),
        effects: &mut Vec<Effect>,
    ) {
        let Ok(at) = self.position(tag) else {
            return;
        };
        // A request that still waits is ended by a cancellation, which also takes it out of the queue.
        if let Phase::Dispatched(request) = &self.open[at].1 {
            let request = *request;
            self.open.remove(at);
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
            self.carry_out(now, decisions, effects);
        }
    }

    fn cancel(&mut self, now: Time, tag: u64, effects: &mut Vec<Effect>) {
        let Ok(at) = self.position(tag) else {
            return;
        };
        match &self.open[at].1 {
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
        // A process that was replaced at its address leaves no ledger to its successor.
        if query.intended_owner != self.me {
            return Outcome::Unknown;
        }
        let Some(known) = self.ledger.get(query.id) else {
            return self.fence_unseen(now, query);
        };
        if query.attempt < known.attempt {
            return match known.earlier_verdict {
                Verdict::NotRun => Outcome::Fenced,
                Verdict::MayHaveRun | Verdict::Ran => Outcome::Unknown,
            };
        }
        match known.state {
            RecordState::Open { tag } => self.tell_open(now, tag, query.cancel_if_queued, effects),
            RecordState::Fenced
            | RecordState::Done {
                verdict: Verdict::NotRun,
                ..
            } if query.attempt > known.attempt => {
                self.ledger.upsert(known::fence(query));
                Outcome::Fenced
            }
            RecordState::Fenced => Outcome::Fenced,
            RecordState::Done { verdict, stored } => Outcome::Done { verdict, stored },
        }
    }

    fn fence_unseen(&mut self, now: Time, query: OutcomeQuery) -> Outcome {
        if !self.ledger.proves_absence(now, query.expires) {
            return Outcome::Unknown;
        }
        // An expired request is refused without a fence.
        if query.expires <= now || self.ledger.upsert(known::fence(query)) {
            Outcome::Fenced
        } else {
            Outcome::Unknown
        }
    }

    fn tell_open(
        &mut self,
        now: Time,
        tag: u64,
        cancel_if_queued: bool,
        effects: &mut Vec<Effect>,
    ) -> Outcome {
        let queued = self
            .position(tag)
            .is_ok_and(|at| matches!(self.open[at].1, Phase::Queued(_)));
        if !queued || !cancel_if_queued {
            return Outcome::Running;
        }
        self.cancel(now, tag, effects);
        Outcome::Cancelled
    }

    fn set_stage(&mut self, now: Time, stage: Stage, slots: u32, effects: &mut Vec<Effect>) {
        let back = self.stage >= Stage::Draining && stage < Stage::Draining;
        if back && (self.leaving || self.end == UpstreamEnd::Leave) {
            return;
        }
        self.stage = stage;
        self.hold_back(now, effects);
        let slots = match stage {
            Stage::Warming => 0,
            // What was accepted is finished, even if the upstream no longer announces slots.
            Stage::Draining | Stage::Gone if slots == 0 => return,
            Stage::Ready | Stage::Draining | Stage::Gone => slots,
        };
        let mut decisions = Vec::new();
        self.admission.set_slots(now, slots, &mut decisions);
        self.carry_out(now, decisions, effects);
    }

    /// Sends what waits elsewhere once the upstream leaves. Where the node leaves with its upstream,
    /// nothing arrives any more and what waits is finished instead.
    fn hold_back(&mut self, now: Time, effects: &mut Vec<Effect>) {
        if self.stage < Stage::Draining || self.end == UpstreamEnd::Leave {
            return;
        }
        let open = self.open.iter();
        let waiting = open.filter(|(_, phase)| matches!(phase, Phase::Queued(_)));
        let waiting: Vec<u64> = waiting.map(|(tag, _)| *tag).collect();
        for tag in waiting {
            self.admission.cancel(now, Ticket(tag));
            self.refuse(tag, Reason::Draining, AWAY_RETRY_AFTER, effects);
        }
    }

    fn position(&self, tag: u64) -> Result<usize, usize> {
        self.open.binary_search_by_key(&tag, |(known, _)| *known)
    }

    fn report_drained(&mut self, effects: &mut Vec<Effect>) {
        let ends = self.leaving || self.end == UpstreamEnd::Leave;
        if ends && self.stage >= Stage::Draining && self.open.is_empty() && !self.drained {
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
            Input::Arrived(offer) => self.offer(now, offer, effects),
            Input::Finished {
                tag,
                verdict,
                shed,
                stored,
            } => {
                self.finish(now, tag, (verdict, shed, stored), effects);
            }
            Input::Cancelled { tag } => self.cancel(now, tag, effects),
            Input::OutcomeQueried { tag, query } => {
                let outcome = self.report_outcome(now, query, effects);
                effects.push(Effect::ReportOutcome { tag, outcome });
            }
            Input::UpstreamAnnounced { stage, slots } => self.set_stage(now, stage, slots, effects),
            Input::Drain => {
                self.leaving = true;
                self.stage = self.stage.max(Stage::Draining);
                self.hold_back(now, effects);
            }
        }
        self.report_drained(effects);
    }

    fn wake(&mut self, now: Time, _random: &mut dyn Random, effects: &mut Vec<Effect>) {
        if now >= self.next_clean {
            self.ledger.expire(now);
            let more = self.ledger.next_expiry().is_some_and(|due| due <= now);
            let pause = if more { CLEAN_PAUSE } else { CLEAN_PERIOD };
            self.next_clean = now + pause;
        }
        let mut decisions = Vec::new();
        self.admission.wake(now, &mut decisions);
        self.carry_out(now, decisions, effects);
        self.report_drained(effects);
    }

    fn next_wake(&self) -> Option<Time> {
        let clean = self
            .ledger
            .next_expiry()
            .map(|due| due.max(self.next_clean));
        [clean, self.admission.next_wake()]
            .into_iter()
            .flatten()
            .min()
    }
}
