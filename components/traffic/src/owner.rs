//! The owner's side: admission, dispatch and the ledger.

use std::time::Duration;

use crate::Dispatched;
use crate::Queued;
use crate::Refusal;
use crate::Request;
use crate::ledger::Ledger;
use crate::ledger::Outcome;
use crate::ledger::State;
use errors::Reason;
use errors::Verdict;
use ids::NodeId;
use ids::Rank;
use ids::RequestId;
use ids::RouteId;
use kernel::Random;
use kernel::Time;
use member::Stage;
use policy::Admission;
use policy::Decision;
use policy::Finish;
use policy::Job;
use policy::Load;
use policy::Ticket;

/// Requests that the ledger remembers.
const LEDGER_BOUND: usize = 100_000;
/// Time between two clean-ups of the ledger.
const CLEAN_PERIOD: Duration = Duration::from_secs(1);
/// Time after which a refused sender may try again while the endpoint leaves or is not ready.
const AWAY_RETRY_AFTER: Duration = Duration::from_secs(1);

/// A request as it arrives at the owner.
#[derive(Clone, Copy, Debug)]
pub struct Offer {
    /// Name by which the effects refer to it.
    pub tag: u64,
    /// Identity.
    pub id: RequestId,
    /// The node that it was sent to.
    pub meant_for: NodeId,
    /// When its answer is no longer of use, on this node's clock.
    pub expires: Time,
    /// Its route.
    pub route: RouteId,
    /// Its urgency.
    pub rank: Rank,
    /// Share of its route among the routes of its rank.
    pub weight: u32,
}

/// What can happen at the owner.
#[derive(Clone, Copy, Debug)]
pub enum Input {
    /// A request arrived.
    Offered(Offer),
    /// The upstream has ended a started request, or its connection broke.
    Finished {
        /// The request.
        tag: u64,
        /// What is known of its execution.
        verdict: Verdict,
        /// Whether the upstream shed it.
        shed: bool,
        /// Whether the shell keeps its answer.
        stored: bool,
    },
    /// The sender left or no longer needs the answer.
    Cancelled { tag: u64 },
    /// A sender asks what became of a request; answered by [`Effect::Tell`].
    Asked {
        tag: u64,
        id: RequestId,
        expires: Time,
    },
    /// The upstream announced itself.
    Upstream { stage: Stage, slots: u32 },
    /// The node leaves.
    Drain,
}

/// What the owner asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Give the request to the upstream.
    Start { tag: u64 },
    /// Refuse the request.
    Refuse { tag: u64, refusal: Refusal },
    /// Cancel the request at the upstream.
    Abort { tag: u64 },
    /// Answer an outcome query.
    Tell { tag: u64, outcome: Outcome },
    /// All that was accepted before the drain has ended.
    Drained,
}

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
    drained: bool,
}

impl Machine {
    /// An owner whose upstream has not announced itself.
    pub fn new(me: NodeId, admission: Box<dyn Admission>) -> Self {
        Self {
            me,
            stage: Stage::Warming,
            admission,
            ledger: Ledger::new(LEDGER_BOUND),
            open: Vec::new(),
            next_clean: Time::default(),
            drained: false,
        }
    }

    /// The present load, for answers to carry.
    pub fn load(&self) -> Load {
        self.admission.load()
    }

    fn offer(&mut self, now: Time, offer: Offer, effects: &mut Vec<Effect>) {
        let request = Request::new(offer.id, offer.expires);
        if let Err(reason) = self.check(now, &offer) {
            let refusal = request.refuse(reason, AWAY_RETRY_AFTER);
            effects.push(Effect::Refuse {
                tag: offer.tag,
                refusal,
            });
            return;
        }
        self.ledger
            .set(offer.id, offer.expires, State::Open { tag: offer.tag });
        if let Err(at) = self.position(offer.tag) {
            self.open.insert(at, (offer.tag, Phase::Queued(request)));
        }
        let job = Job {
            ticket: Ticket(offer.tag),
            route: offer.route,
            rank: offer.rank,
            weight: offer.weight,
            expires: offer.expires,
        };
        let mut decisions = Vec::new();
        self.admission.offer(now, job, &mut decisions);
        self.carry_out(now, decisions, effects);
    }

    fn check(&self, now: Time, offer: &Offer) -> Result<(), Reason> {
        if offer.meant_for != self.me {
            return Err(Reason::NoEndpoint);
        }
        if offer.expires <= now {
            return Err(Reason::DeadlinePassed);
        }
        match self.ledger.get(offer.id) {
            Some(State::Fenced) => return Err(Reason::Fenced),
            Some(State::Open { .. } | State::Done { .. }) => return Err(Reason::Duplicate),
            None => {}
        }
        match self.stage {
            Stage::Ready if self.ledger.is_full() => Err(Reason::QueueFull),
            Stage::Ready => Ok(()),
            Stage::Warming => Err(Reason::Warming),
            Stage::Draining | Stage::Gone => Err(Reason::Draining),
        }
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
            let done = State::Done {
                verdict: Verdict::NotRun,
                stored: false,
            };
            self.ledger.set(request.id(), request.expires(), done);
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
        if let (_, Phase::Dispatched(request)) = self.open.remove(at) {
            let latency = now.since(request.state().since);
            let ended = request.answer(verdict);
            let done = State::Done {
                verdict: ended.state().verdict,
                stored,
            };
            self.ledger.set(ended.id(), ended.expires(), done);
            let mut decisions = Vec::new();
            self.admission
                .finish(now, Ticket(tag), Finish { latency, shed }, &mut decisions);
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

    fn tell(&mut self, now: Time, id: RequestId, expires: Time) -> Outcome {
        match self.ledger.get(id) {
            None if expires <= now => Outcome::Fenced,
            None if self.ledger.set(id, expires, State::Fenced) => Outcome::Fenced,
            None => Outcome::Unknown,
            Some(State::Fenced) => Outcome::Fenced,
            Some(State::Open { .. }) => Outcome::Running,
            Some(State::Done { verdict, stored }) => Outcome::Done { verdict, stored },
        }
    }

    fn set_stage(&mut self, now: Time, stage: Stage, slots: u32, effects: &mut Vec<Effect>) {
        if self.stage >= Stage::Draining && stage < Stage::Draining {
            return;
        }
        self.stage = stage;
        let slots = if stage == Stage::Warming { 0 } else { slots };
        let mut decisions = Vec::new();
        self.admission.set_slots(now, slots, &mut decisions);
        self.carry_out(now, decisions, effects);
    }

    fn position(&self, tag: u64) -> Result<usize, usize> {
        self.open.binary_search_by_key(&tag, |(known, _)| *known)
    }

    fn report_drained(&mut self, effects: &mut Vec<Effect>) {
        if self.stage >= Stage::Draining && self.open.is_empty() && !self.drained {
            self.drained = true;
            effects.push(Effect::Drained);
        }
    }
}

impl kernel::Machine for Machine {
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
            Input::Offered(offer) => self.offer(now, offer, effects),
            Input::Finished {
                tag,
                verdict,
                shed,
                stored,
            } => {
                self.finish(now, tag, (verdict, shed, stored), effects);
            }
            Input::Cancelled { tag } => self.cancel(now, tag, effects),
            Input::Asked { tag, id, expires } => {
                let outcome = self.tell(now, id, expires);
                effects.push(Effect::Tell { tag, outcome });
            }
            Input::Upstream { stage, slots } => self.set_stage(now, stage, slots, effects),
            Input::Drain => self.stage = Stage::Draining,
        }
        self.report_drained(effects);
    }

    fn wake(&mut self, now: Time, _random: &mut dyn Random, effects: &mut Vec<Effect>) {
        if now >= self.next_clean {
            self.next_clean = now + CLEAN_PERIOD;
            self.ledger.expire(now);
        }
        let mut decisions = Vec::new();
        self.admission.wake(now, &mut decisions);
        self.carry_out(now, decisions, effects);
        self.report_drained(effects);
    }

    fn next_wake(&self) -> Option<Time> {
        Some(
            self.admission
                .next_wake()
                .map_or(self.next_clean, |due| due.min(self.next_clean)),
        )
    }
}
