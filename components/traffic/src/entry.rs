//! The entry's side: route, early shedding, choice of endpoint, retries, outcome queries.

mod call;
mod message;
mod patience;
mod pick;
mod pool;
mod seen;
mod shed;

use std::sync::Arc;
use std::time::Duration;

use patience::Patience;
use pool::Pool;
use seen::Memory;
use shed::Refused;

use crate::Refusal;
use crate::ledger::Outcome;
use control::Topology;
use errors::Reason;
use errors::Verdict;
use kernel::Arena;
use kernel::Key;
use kernel::Random;
use kernel::Time;
use policy::Balance;
use policy::Health;
use policy::Retry;

pub use call::Call;
pub use message::Attempt;
pub use message::AttemptReport;
pub use message::Effect;
pub use message::Input;
pub use message::RequestHead;
pub use message::RouteProfile;

/// Least time after which a refused caller may try again, before it is spread. A caller that comes
/// back this soon can still get its answer within the objective of an interactive route (200 ms to
/// 500 ms on the deployments that are known); with 1 s fewer were served.
const RETRY_AFTER: Duration = Duration::from_millis(150);
/// Part of the time by which a refusal's `retry_after` is longer or shorter by chance, in percent, so
/// that callers that were refused together do not come back together.
const RETRY_SPREAD_PERCENT: u32 = 50;
/// Least time for which an owner that takes no requests is left out.
const AWAY_TIME: Duration = Duration::from_secs(1);
/// Silences after which the entry would rather try another endpoint than wait in a queue.
const GIVE_UP_SILENCES: u32 = 2;
/// Times that the owner has to say that an attempt has ended without a stored answer: at the first
/// one the answer can still be on its way.
const ENDED_LIMIT: u32 = 2;
/// Fetches of a stored answer.
const MAX_FETCHES: u32 = 2;

/// Address of a call in the entry machine.
pub type CallKey = Key<Call>;

/// Surroundings of one step.
struct Scene<'a> {
    now: Time,
    topology: &'a Topology,
    random: &'a mut dyn Random,
    effects: &'a mut Vec<Effect>,
}

/// The entry's side of one node.
pub struct Machine {
    balance: Box<dyn Balance>,
    retry: Box<dyn Retry>,
    health: Box<dyn Health>,
    calls: Arena<Call>,
    memory: Memory,
    pool: Pool,
    refused: Refused,
    patience: Patience,
    /// Whether the node ends too soon for another attempt.
    closing: bool,
}

impl Machine {
    /// An entry with these policies.
    pub fn new(balance: Box<dyn Balance>, retry: Box<dyn Retry>, health: Box<dyn Health>) -> Self {
        Self {
            balance,
            retry,
            health,
            calls: Arena::default(),
            memory: Memory::default(),
            pool: Pool::default(),
            refused: Refused::default(),
            patience: Patience::default(),
            closing: false,
        }
    }

    /// Calls that have not ended.
    pub fn open_calls(&self) -> usize {
        self.calls.len()
    }

    /// Nodes of which the entry remembers something.
    pub fn tracked_nodes(&self) -> usize {
        self.memory.len()
    }

    fn arrive(&mut self, scene: &mut Scene<'_>, head: &RequestHead) {
        let mut call = match Call::find(scene.now, scene.topology, head, scene.random) {
            Ok(call) => call,
            Err(reason) => return refuse(scene, not_run(reason)),
        };
        if let Some(objective) = call.profile.objective {
            let route = call.profile.route;
            let left = head.time_left;
            let age = left.map(|left| self.patience.age(scene.now, route, left));
            let age = age.unwrap_or_default();
            call.objective = Some(scene.now + objective.saturating_sub(age));
        }
        if self.sheds(scene, &call) {
            return refuse(scene, not_run(Reason::ShedEarly));
        }
        self.retry
            .record_first_attempt(scene.now, call.profile.service);
        let key = self.calls.insert(call);
        self.forward(scene, key, Duration::ZERO);
    }

    fn forward(&mut self, scene: &mut Scene<'_>, key: CallKey, delay: Duration) {
        let chosen = self.choose(scene, key);
        let endpoint = chosen.and_then(|chosen| scene.topology.endpoint(chosen));
        let Some((endpoint, call)) = endpoint.zip(self.calls.get_mut(key)) else {
            // An earlier attempt may have run.
            let call = self.calls.remove(key);
            let refusal = Refusal {
                verdict: call.map_or(Verdict::NotRun, |call| call.verdict),
                ..not_run(Reason::NoEndpoint)
            };
            return refuse(scene, refusal);
        };
        let attempt = Attempt {
            number: call.attempt.map_or(1, |before| before.number + 1),
            node: endpoint.node,
            request_address: endpoint.requests,
            peer_address: endpoint.peer,
            deadline: call.deadline,
            objective: call.objective,
            delay,
        };
        call.begin(attempt);
        let route = call.profile;
        self.memory.occupy(attempt.node, route.rank);
        self.health.record_sent(scene.now, attempt.node);
        scene.effects.push(Effect::Forward {
            call: key,
            route,
            attempt,
        });
    }

    fn answered(&mut self, scene: &mut Scene<'_>, key: CallKey, report: AttemptReport) {
        let Some(call) = self.calls.get(key) else {
            return;
        };
        let Some(attempt) = call.attempt else {
            return;
        };
        let (now, node) = (scene.now, attempt.node);
        let judged = call.judge(&report);
        if let Some(load) = report.load {
            self.memory.note_load(now, node, load);
        }
        if let Some(reason) = report.reason {
            self.refused.note(now, call.profile.route, reason);
            if is_away(reason) {
                let time = report.retry_after.max(AWAY_TIME);
                self.memory.note_away(now, node, time);
            }
        }
        if matches!(report.reason, None | Some(Reason::UpstreamRefused)) {
            self.health.record_shed(now, node, report.reason.is_some());
        }
        if let Some(good) = judged
            && let Some(health_change) = self.health.record_outcome(now, node, good)
        {
            scene.effects.push(Effect::HealthChanged {
                node,
                health_change,
            });
        }
        match report.reason {
            None => scene.effects.push(Effect::Deliver { call: key }),
            Some(reason) => self.fail(scene, key, reason, report),
        }
    }

    /// Tries a failed attempt again or refuses the call.
    fn fail(&mut self, scene: &mut Scene<'_>, key: CallKey, reason: Reason, report: AttemptReport) {
        let has_untried_endpoint = self.has_other(scene.now, scene.topology, key);
        let Some(call) = self.calls.get_mut(key) else {
            return;
        };
        call.verdict = call.verdict.max(report.verdict);
        call.count_upstream(reason, report.verdict);
        let verdict = call.verdict;
        let failure = call.failure(scene.now, reason, &report, has_untried_endpoint);
        self.release(key);
        if self.closing {
            self.calls.remove(key);
            let refusal = Refusal {
                verdict,
                ..not_run(Reason::Draining)
            };
            return refuse(scene, refusal);
        }
        match self.retry.allow(scene.now, failure, scene.random) {
            Ok(delay) => {
                scene.effects.push(Effect::Retrying { reason });
                self.forward(scene, key, delay);
            }
            Err(denied) => {
                self.calls.remove(key);
                scene.effects.push(Effect::RetryDenied { reason: denied });
                refuse(
                    scene,
                    Refusal {
                        reason,
                        verdict,
                        retry_after: report.retry_after.max(RETRY_AFTER),
                    },
                );
            }
        }
    }

    fn silent(&mut self, now: Time, key: CallKey, effects: &mut Vec<Effect>) {
        let Some(call) = self.calls.get_mut(key) else {
            return;
        };
        call.silences += 1;
        let Some(attempt) = call.attempt else {
            return;
        };
        effects.push(Effect::Query {
            call: key,
            attempt,
            cancel_if_queued: self.gives_up(now, key),
        });
    }

    /// Whether a queued attempt is better tried elsewhere. A route that is not idempotent waits on:
    /// if the answer to the query were lost, a request that would have run becomes unknown.
    fn gives_up(&mut self, now: Time, key: CallKey) -> bool {
        // Without an answer the caller would only see its connection end.
        if self.closing {
            return true;
        }
        let Some(topology) = self.pool.topology() else {
            return false;
        };
        let has_untried_endpoint = self.has_other(now, &topology, key);
        self.calls.get(key).is_some_and(|call| {
            let report = silent_report(Verdict::NotRun);
            let failure =
                call.failure(now, Reason::ConnectionSilent, &report, has_untried_endpoint);
            call.profile.idempotent
                && call.silences >= GIVE_UP_SILENCES
                && has_untried_endpoint
                && self.retry.would_allow(now, failure)
        })
    }

    fn receive_outcome(&mut self, scene: &mut Scene<'_>, key: CallKey, outcome: Outcome) {
        let Some(call) = self.calls.get_mut(key) else {
            return;
        };
        let verdict = match outcome {
            Outcome::Running => {
                call.heard = true;
                return scene.effects.push(Effect::Wait { call: key });
            }
            Outcome::Done { stored: true, .. } => return self.fetch(scene, key),
            Outcome::Done {
                verdict: Verdict::Ran,
                ..
            } if call.ended_told + 1 < ENDED_LIMIT => {
                call.ended_told += 1;
                return scene.effects.push(Effect::Wait { call: key });
            }
            // The owner is reachable and was merely busy.
            Outcome::Cancelled => {
                let report = silent_report(Verdict::NotRun);
                return self.fail(scene, key, Reason::ConnectionSilent, report);
            }
            Outcome::Fenced => Verdict::NotRun,
            Outcome::Done { verdict, .. } => verdict,
            Outcome::Unknown => Verdict::MayHaveRun,
        };
        self.answered(scene, key, silent_report(verdict));
    }

    fn fetch(&mut self, scene: &mut Scene<'_>, key: CallKey) {
        let attempt = self.calls.get(key).and_then(|call| call.attempt);
        let effect = attempt.map(|attempt| Effect::Fetch { call: key, attempt });
        scene.effects.extend(effect);
    }

    fn fetched(&mut self, scene: &mut Scene<'_>, key: CallKey, found: bool) {
        let Some(call) = self.calls.get_mut(key) else {
            return;
        };
        if found {
            return scene.effects.push(Effect::Deliver { call: key });
        }
        call.fetches += 1;
        if call.fetches < MAX_FETCHES && scene.now < call.deadline {
            return self.fetch(scene, key);
        }
        self.answered(scene, key, silent_report(Verdict::Ran));
    }

    fn release(&mut self, key: CallKey) {
        if let Some(call) = self.calls.get(key)
            && let Some(attempt) = call.attempt
        {
            self.memory.release(attempt.node, call.profile.rank);
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
        random: &mut dyn Random,
        effects: &mut Vec<Effect>,
    ) {
        let topology = match &input {
            Input::Arrived { topology, .. }
            | Input::AttemptReported { topology, .. }
            | Input::OutcomeReceived { topology, .. }
            | Input::FetchCompleted { topology, .. } => Arc::clone(topology),
            Input::SilenceTimeout { call } => return self.silent(now, *call, effects),
            Input::CallEnded { call } => {
                self.release(*call);
                self.calls.remove(*call);
                return;
            }
            Input::Shutdown => {
                self.closing = true;
                return;
            }
        };
        self.observe(now, &topology);
        let scene = &mut Scene {
            now,
            topology: &topology,
            random,
            effects,
        };
        match input {
            Input::Arrived { head, .. } => self.arrive(scene, &head),
            Input::AttemptReported { call, report, .. } => self.answered(scene, call, report),
            Input::OutcomeReceived { call, outcome, .. } => {
                self.receive_outcome(scene, call, outcome)
            }
            Input::FetchCompleted { call, found, .. } => self.fetched(scene, call, found),
            Input::SilenceTimeout { .. } | Input::CallEnded { .. } | Input::Shutdown => {}
        }
    }

    fn wake(&mut self, _: Time, _: &mut dyn Random, _: &mut Vec<Effect>) {}

    fn next_wake(&self) -> Option<Time> {
        None
    }
}

fn refuse(scene: &mut Scene<'_>, refusal: Refusal) {
    let retry_after = spread(refusal.retry_after, scene.random);
    let refusal = Refusal {
        retry_after,
        ..refusal
    };
    scene.effects.push(Effect::Refuse { refusal });
}

/// A time around `time`, by chance.
fn spread(time: Duration, random: &mut dyn Random) -> Duration {
    let chance = random.below(2 * RETRY_SPREAD_PERCENT as usize + 1);
    let percent = u32::try_from(chance).unwrap_or(0) + 100 - RETRY_SPREAD_PERCENT;
    time * percent / 100
}

fn not_run(reason: Reason) -> Refusal {
    Refusal {
        reason,
        verdict: Verdict::NotRun,
        retry_after: RETRY_AFTER,
    }
}

fn silent_report(verdict: Verdict) -> AttemptReport {
    AttemptReport {
        verdict,
        reason: Some(Reason::ConnectionSilent),
        retry_after: Duration::ZERO,
        load: None,
        upstream_failed: false,
    }
}

/// Whether a refusal means that the node takes no request at all for a while.
fn is_away(reason: Reason) -> bool {
    matches!(
        reason,
        Reason::Draining | Reason::Warming | Reason::NoEndpoint
    )
}
