//! The entry's surroundings: what a front end does for each call.

use std::sync::Arc;
use std::time::Duration;

use crate::Event;
use crate::QUERY_LIMIT;
use crate::World;
use crate::check::Call;
use crate::check::Ending;
use crate::message::Kind;
use crate::message::Message;
use crate::plan::PATHS;
use crate::plan::Plant;
use errors::Reason;
use errors::Verdict;
use ids::NodeId;
use ids::RequestId;

use kernel::Random as _;
use kernel::StateMachine as _;
use kernel::Time;
use traffic::entry::Attempt;
use traffic::entry::AttemptReport;
use traffic::entry::CallKey;
use traffic::entry::Effect;
use traffic::entry::Input;
use traffic::entry::RequestHead;
use traffic::entry::RouteProfile;
use traffic::ledger::Outcome;
use traffic::owner::IncomingRequest;
use traffic::owner::OutcomeQuery;

const FIRST_SILENCE: Duration = Duration::from_millis(250);
const NEXT_SILENCE: Duration = Duration::from_millis(500);

/// One call of a caller.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Shell {
    pub(crate) id: RequestId,
    call: Option<CallKey>,
    attempt: Option<Attempt>,
    /// Payload of the answer or the stored answer that is in hand.
    payload: Option<RequestId>,
    pending: Option<Kind>,
    closed: bool,
}

impl World {
    pub(crate) fn arrive(&mut self, at: usize) {
        let route = self.plan.arrivals[at].route;
        let shell = self.shells.len();
        let id = RequestId(shell as u128 + 1);
        self.shells.push(Shell {
            id,
            call: None,
            attempt: None,
            payload: None,
            pending: None,
            closed: false,
        });
        self.history.calls.push(Call {
            id,
            route,
            arrived: self.now,
            ended: None,
        });
        if self.random.below(1_000) < self.plan.leaving {
            let time = Duration::from_micros(self.random.below(60_000) as u64);
            self.schedule(time, Event::CallerLeaves(shell));
        }
        let (method, path) = PATHS[route];
        let head = RequestHead {
            id,
            host: None,
            method: method.to_owned(),
            path: path.to_owned(),
            time_left: None,
            outer_retries: false,
            replayable: true,
            allowed_while_leaving: false,
        };
        let topology = Arc::clone(&self.topology);
        self.step_entry(shell, Input::Arrived { topology, head });
    }

    fn step_entry(&mut self, shell: usize, input: Input) {
        let mut effects = Vec::new();
        self.entry
            .step(self.now, input, &mut self.entry_random, &mut effects);
        for effect in effects {
            self.note(&effect);
            match effect {
                Effect::Forward {
                    call,
                    route,
                    attempt,
                } => self.forward(shell, call, route, attempt),
                Effect::Query {
                    attempt,
                    cancel_if_queued,
                    ..
                } => self.query(shell, attempt, cancel_if_queued),
                Effect::Fetch { attempt, .. } => self.fetch(shell, attempt),
                Effect::Wait { .. } => {
                    let number = self.number(shell);
                    self.schedule(NEXT_SILENCE, Event::Silence(shell, number));
                }
                Effect::Deliver { .. } => self.relay(shell),
                Effect::Refuse { refusal } => {
                    let (reason, verdict) = (refusal.reason, refusal.verdict);
                    self.close(shell, Ending::Refused { reason, verdict });
                }
                Effect::Retrying { .. } => self.history.retries += 1,
                Effect::RetryDenied { .. } | Effect::HealthChanged { .. } => {}
            }
        }
    }

    fn number(&self, shell: usize) -> u32 {
        self.shells[shell].attempt.map_or(0, |it| it.number)
    }

    fn is_current(&self, shell: usize, attempt: u32) -> bool {
        !self.shells[shell].closed && self.number(shell) == attempt
    }

    fn forward(&mut self, shell: usize, call: CallKey, profile: RouteProfile, attempt: Attempt) {
        self.cancel(shell);
        let it = &mut self.shells[shell];
        if it.call.is_none() {
            let left = self.now.until(attempt.deadline);
            self.schedule(left, Event::Deadline(shell));
        }
        let it = &mut self.shells[shell];
        (it.call, it.attempt, it.pending) = (Some(call), Some(attempt), None);
        self.send_offer(shell, profile, attempt, attempt.node);
        if self.plan.plant == Some(Plant::RunTwice) && !profile.idempotent {
            let other = self.nodes.iter().find(|it| it.id != attempt.node);
            if let Some((node, request_address)) = other.map(|it| (it.id, it.address)) {
                let attempt = Attempt {
                    request_address,
                    ..attempt
                };
                self.send_offer(shell, profile, attempt, node);
            }
        }
        let silence = attempt.delay + FIRST_SILENCE;
        self.schedule(silence, Event::Silence(shell, attempt.number));
    }

    fn send_offer(&mut self, shell: usize, profile: RouteProfile, attempt: Attempt, node: NodeId) {
        let offer = IncomingRequest {
            tag: 0,
            id: self.shells[shell].id,
            attempt: attempt.number,
            intended_owner: node,
            expires: on_clock_of(node, attempt.deadline),
            objective: attempt.objective.map(|it| on_clock_of(node, it)),
            route: profile.route,
            rank: profile.rank,
            weight: 1,
            idempotent: profile.idempotent,
        };
        let to = attempt.request_address;
        self.send_after(attempt.delay, Message::Offer { to, shell, offer });
    }

    fn query(&mut self, shell: usize, attempt: Attempt, cancel_if_queued: bool) {
        self.history.queries += 1;
        self.shells[shell].pending = Some(Kind::Query);
        let query = OutcomeQuery {
            id: self.shells[shell].id,
            intended_owner: attempt.node,
            attempt: attempt.number,
            expires: on_clock_of(attempt.node, attempt.deadline),
            cancel_if_queued,
        };
        let to = attempt.peer_address;
        self.send(Message::Query { to, shell, query });
        let unanswered = Event::Unanswered(Kind::Query, shell, attempt.number);
        self.schedule(QUERY_LIMIT, unanswered);
    }

    fn fetch(&mut self, shell: usize, attempt: Attempt) {
        self.history.fetches += 1;
        self.shells[shell].pending = Some(Kind::Fetch);
        self.send(Message::Fetch {
            to: attempt.peer_address,
            shell,
            attempt: attempt.number,
            id: self.shells[shell].id,
        });
        let unanswered = Event::Unanswered(Kind::Fetch, shell, attempt.number);
        self.schedule(QUERY_LIMIT, unanswered);
    }

    fn relay(&mut self, shell: usize) {
        let mut payload = self.shells[shell].payload.unwrap_or(RequestId(0));
        if self.plan.plant == Some(Plant::Swap) && payload.0 % 50 == 7 {
            payload = RequestId(payload.0 + 1);
        }
        self.close(shell, Ending::Answer { payload });
        if let Some(call) = self.shells[shell].call {
            self.step_entry(shell, Input::CallEnded { call });
        }
    }

    fn close(&mut self, shell: usize, ending: Ending) {
        if !matches!(ending, Ending::Answer { .. }) {
            self.cancel(shell);
        }
        self.shells[shell].closed = true;
        self.history.calls[shell].ended = Some((self.now, ending));
    }

    /// Drops the connection of the present attempt.
    fn cancel(&mut self, shell: usize) {
        if let Some(attempt) = self.shells[shell].attempt {
            self.history.cancels += 1;
            self.send(Message::Cancel {
                to: attempt.node,
                shell,
                attempt: attempt.number,
            });
        }
    }

    pub(crate) fn silence(&mut self, shell: usize, attempt: u32) {
        if let Some(call) = self.shells[shell].call
            && self.is_current(shell, attempt)
            && self.shells[shell].pending.is_none()
        {
            self.step_entry(shell, Input::SilenceTimeout { call });
        }
    }

    pub(crate) fn unanswered(&mut self, kind: Kind, shell: usize, attempt: u32) {
        if !self.is_current(shell, attempt) || self.shells[shell].pending != Some(kind) {
            return;
        }
        if kind == Kind::Query {
            self.told(shell, attempt, Outcome::Unknown);
        } else {
            self.fetched(shell, attempt, None);
        }
    }

    pub(crate) fn deadline(&mut self, shell: usize) {
        let report = failed(Verdict::MayHaveRun, Reason::DeadlinePassed);
        self.answered(shell, self.number(shell), report, None);
    }

    pub(crate) fn caller_leaves(&mut self, shell: usize) {
        if self.shells[shell].closed {
            return;
        }
        self.close(shell, Ending::CallerLeft);
        if let Some(call) = self.shells[shell].call {
            self.step_entry(shell, Input::CallEnded { call });
        }
    }

    pub(crate) fn answered(
        &mut self,
        shell: usize,
        attempt: u32,
        report: AttemptReport,
        payload: Option<RequestId>,
    ) {
        let Some(call) = self.shells[shell].call else {
            return;
        };
        if self.is_current(shell, attempt) {
            self.shells[shell].payload = payload;
            let topology = Arc::clone(&self.topology);
            let input = Input::AttemptReported {
                call,
                topology,
                report,
            };
            self.step_entry(shell, input);
        }
    }

    pub(crate) fn told(&mut self, shell: usize, attempt: u32, outcome: Outcome) {
        let Some(call) = self.shells[shell].call else {
            return;
        };
        if self.is_current(shell, attempt) && self.shells[shell].pending == Some(Kind::Query) {
            self.shells[shell].pending = None;
            let topology = Arc::clone(&self.topology);
            let input = Input::OutcomeReceived {
                call,
                topology,
                outcome,
            };
            self.step_entry(shell, input);
        }
    }

    pub(crate) fn fetched(&mut self, shell: usize, attempt: u32, payload: Option<RequestId>) {
        let Some(call) = self.shells[shell].call else {
            return;
        };
        if self.is_current(shell, attempt) && self.shells[shell].pending == Some(Kind::Fetch) {
            self.shells[shell].pending = None;
            self.shells[shell].payload = payload;
            let topology = Arc::clone(&self.topology);
            let found = payload.is_some();
            let input = Input::FetchCompleted {
                call,
                topology,
                found,
            };
            self.step_entry(shell, input);
        }
    }
}

/// The owners' clocks differ by their ids.
fn on_clock_of(node: NodeId, time: Time) -> Time {
    time + Duration::from_secs(1_000 * node.0)
}

pub(crate) fn failed(verdict: Verdict, reason: Reason) -> AttemptReport {
    AttemptReport {
        verdict,
        reason: Some(reason),
        retry_after: Duration::ZERO,
        load: None,
        upstream_failed: false,
    }
}
