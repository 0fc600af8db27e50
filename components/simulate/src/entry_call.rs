//! Calls at the entry: the inputs of the entry's state machine and the execution of its effects, as
//! a front end does it.

use std::sync::Arc;
use std::time::Duration;

use crate::CONTROL_CALL_TIMEOUT;
use crate::Event;
use crate::Simulation;
use crate::history::CallEnd;
use crate::history::CallRecord;
use crate::message::Message;
use crate::message::MessageKind;
use crate::plan::PlantedViolation;
use crate::plan::ROUTES;
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

/// Time from the sending of an attempt to its first [`Input::SilenceTimeout`].
const FIRST_SILENCE_LIMIT: Duration = Duration::from_millis(250);
/// Time from [`Effect::Wait`] to the next [`Input::SilenceTimeout`] of the attempt.
const NEXT_SILENCE_LIMIT: Duration = Duration::from_millis(500);

/// State of a caller's call at the entry.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EntryCall {
    /// Identifier of the request.
    pub(crate) id: RequestId,
    /// Key of the call in the entry's state machine; `None` before the first attempt.
    key: Option<CallKey>,
    /// The latest attempt.
    attempt: Option<Attempt>,
    /// Payload of the response that has been received or fetched.
    payload: Option<RequestId>,
    /// Kind of the outcome query or fetch that has had no reply yet.
    pending_control_call: Option<MessageKind>,
    /// Whether the call has ended.
    ended: bool,
}

impl Simulation {
    /// Starts the call of an arrival of the plan.
    pub(crate) fn handle_call_arrival(&mut self, arrival: usize) {
        let route = self.plan.arrivals[arrival].route;
        let call_index = self.entry_calls.len();
        let id = RequestId(call_index as u128 + 1);
        self.entry_calls.push(EntryCall {
            id,
            key: None,
            attempt: None,
            payload: None,
            pending_control_call: None,
            ended: false,
        });
        self.history.calls.push(CallRecord {
            id,
            route,
            arrived: self.now,
            ended: None,
        });
        if self.random.below(1_000) < self.plan.disconnect_per_mille {
            let delay = Duration::from_micros(self.random.below(60_000) as u64);
            self.schedule(delay, Event::CallerDisconnect(call_index));
        }
        let (method, path) = ROUTES[route];
        let head = RequestHead {
            credential: traffic::entry::Credential::None,
            fingerprint: None,
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
        self.step_entry(call_index, Input::Arrived { topology, head });
    }

    /// Passes an input to the entry's state machine and executes the effects.
    fn step_entry(&mut self, call_index: usize, input: Input) {
        let mut effects = Vec::new();
        self.entry
            .step(self.now, input, &mut self.entry_random, &mut effects);
        for effect in effects {
            self.update_trace_hash(&effect);
            match effect {
                Effect::Forward {
                    call,
                    route,
                    attempt,
                } => self.forward(call_index, call, route, attempt),
                Effect::Query {
                    attempt,
                    cancel_if_queued,
                    ..
                } => self.send_query(call_index, attempt, cancel_if_queued),
                Effect::Fetch { attempt, .. } => self.send_fetch(call_index, attempt),
                Effect::Wait { .. } => {
                    let attempt = self.attempt_number(call_index);
                    self.schedule(
                        NEXT_SILENCE_LIMIT,
                        Event::SilenceTimeout(call_index, attempt),
                    );
                }
                Effect::Deliver { .. } => self.relay_response(call_index),
                Effect::Refuse { refusal } => {
                    let (reason, verdict) = (refusal.reason, refusal.verdict);
                    self.end_call(call_index, CallEnd::Refused { reason, verdict });
                }
                Effect::Retrying { .. } => self.history.retries += 1,
                Effect::RetryDenied { .. }
                | Effect::HealthChanged { .. }
                | Effect::OutcomesCounted { .. } => {}
            }
        }
    }

    /// Number of the latest attempt, or 0 before the first.
    fn attempt_number(&self, call_index: usize) -> u32 {
        self.entry_calls[call_index]
            .attempt
            .map_or(0, |it| it.number)
    }

    /// Whether the call is in progress and `attempt` is its latest attempt.
    fn is_current_attempt(&self, call_index: usize, attempt: u32) -> bool {
        !self.entry_calls[call_index].ended && self.attempt_number(call_index) == attempt
    }

    /// Cancels the previous attempt and sends the request to the owner of the new one.
    fn forward(
        &mut self,
        call_index: usize,
        call: CallKey,
        profile: RouteProfile,
        attempt: Attempt,
    ) {
        self.cancel_attempt(call_index);
        let entry_call = &mut self.entry_calls[call_index];
        if entry_call.key.is_none() {
            let time_left = self.now.until(attempt.deadline);
            self.schedule(time_left, Event::Deadline(call_index));
        }
        let entry_call = &mut self.entry_calls[call_index];
        (
            entry_call.key,
            entry_call.attempt,
            entry_call.pending_control_call,
        ) = (Some(call), Some(attempt), None);
        self.send_request(call_index, profile, attempt, attempt.node);
        if self.plan.planted_violation == Some(PlantedViolation::RunTwice) && !profile.idempotent {
            let other_owner = self.owners.iter().find(|it| it.id != attempt.node);
            if let Some((node, request_address)) = other_owner.map(|it| (it.id, it.address)) {
                let attempt = Attempt {
                    request_address,
                    ..attempt
                };
                self.send_request(call_index, profile, attempt, node);
            }
        }
        let silence_limit = attempt.delay + FIRST_SILENCE_LIMIT;
        self.schedule(
            silence_limit,
            Event::SilenceTimeout(call_index, attempt.number),
        );
    }

    /// Sends the request of an attempt to the attempt's address, with `node` as intended owner.
    fn send_request(
        &mut self,
        call_index: usize,
        profile: RouteProfile,
        attempt: Attempt,
        node: NodeId,
    ) {
        let incoming = IncomingRequest {
            organisation: None,
            onward: profile.onward,
            link_backlog: 0,
            tag: 0,
            id: self.entry_calls[call_index].id,
            attempt: attempt.number,
            intended_owner: node,
            expires: to_node_clock(node, attempt.give_up_at),
            deadline: to_node_clock(node, attempt.deadline),
            objective: attempt.objective.map(|it| to_node_clock(node, it)),
            spillable: attempt.spillable,
            route: profile.route,
            rank: profile.rank,
            weight: 1,
            idempotent: profile.idempotent,
            rate_limit: attempt.rate_limit,
            fingerprint: None,
            seen_crashes: attempt.seen_crashes,
        };
        let to = attempt.request_address;
        self.send_after(
            attempt.delay,
            Message::Request {
                to,
                call_index,
                incoming,
            },
        );
    }

    fn send_query(&mut self, call_index: usize, attempt: Attempt, cancel_if_queued: bool) {
        self.history.queries += 1;
        self.entry_calls[call_index].pending_control_call = Some(MessageKind::OutcomeQuery);
        let query = OutcomeQuery {
            id: self.entry_calls[call_index].id,
            intended_owner: attempt.node,
            attempt: attempt.number,
            expires: to_node_clock(attempt.node, attempt.give_up_at),
            cancel_if_queued,
        };
        let to = attempt.peer_address;
        self.send(Message::OutcomeQuery {
            to,
            call_index,
            query,
        });
        let timeout =
            Event::ControlCallTimeout(MessageKind::OutcomeQuery, call_index, attempt.number);
        self.schedule(CONTROL_CALL_TIMEOUT, timeout);
    }

    fn send_fetch(&mut self, call_index: usize, attempt: Attempt) {
        self.history.fetches += 1;
        self.entry_calls[call_index].pending_control_call = Some(MessageKind::Fetch);
        self.send(Message::Fetch {
            to: attempt.peer_address,
            call_index,
            attempt: attempt.number,
            id: self.entry_calls[call_index].id,
        });
        let timeout = Event::ControlCallTimeout(MessageKind::Fetch, call_index, attempt.number);
        self.schedule(CONTROL_CALL_TIMEOUT, timeout);
    }

    /// Delivers the received response to the caller and ends the call.
    fn relay_response(&mut self, call_index: usize) {
        let mut payload = self.entry_calls[call_index].payload.unwrap_or(RequestId(0));
        if self.plan.planted_violation == Some(PlantedViolation::SwappedResponses)
            && payload.0 % 50 == 7
        {
            payload = RequestId(payload.0 + 1);
        }
        self.end_call(call_index, CallEnd::Response { payload });
        if let Some(call) = self.entry_calls[call_index].key {
            self.step_entry(call_index, Input::CallEnded { call });
        }
    }

    /// Ends a call for its caller, and cancels the latest attempt unless it gave the response.
    fn end_call(&mut self, call_index: usize, call_end: CallEnd) {
        if !matches!(call_end, CallEnd::Response { .. }) {
            self.cancel_attempt(call_index);
        }
        self.entry_calls[call_index].ended = true;
        self.history.calls[call_index].ended = Some((self.now, call_end));
    }

    /// Closes the connection of the current attempt, if there is one.
    fn cancel_attempt(&mut self, call_index: usize) {
        if let Some(attempt) = self.entry_calls[call_index].attempt {
            self.history.cancels += 1;
            self.send(Message::Cancel {
                to: attempt.node,
                call_index,
                attempt: attempt.number,
            });
        }
    }

    pub(crate) fn handle_silence_timeout(&mut self, call_index: usize, attempt: u32) {
        if let Some(call) = self.entry_calls[call_index].key
            && self.is_current_attempt(call_index, attempt)
            && self.entry_calls[call_index].pending_control_call.is_none()
        {
            self.step_entry(call_index, Input::SilenceTimeout { call });
        }
    }

    /// Handles a query without a reply as an unknown outcome, and a fetch without a reply as one
    /// that found no stored response.
    pub(crate) fn handle_control_call_timeout(
        &mut self,
        kind: MessageKind,
        call_index: usize,
        attempt: u32,
    ) {
        if !self.is_current_attempt(call_index, attempt)
            || self.entry_calls[call_index].pending_control_call != Some(kind)
        {
            return;
        }
        if kind == MessageKind::OutcomeQuery {
            self.handle_outcome(call_index, attempt, Outcome::Unknown);
        } else {
            self.handle_fetch_result(call_index, attempt, None);
        }
    }

    /// Reports to the entry that the latest attempt had no response by the deadline of the call.
    pub(crate) fn handle_deadline(&mut self, call_index: usize) {
        let report = failure_report(Verdict::MayHaveRun, Reason::DeadlinePassed);
        self.handle_report(call_index, self.attempt_number(call_index), report, None);
    }

    pub(crate) fn handle_caller_disconnect(&mut self, call_index: usize) {
        if self.entry_calls[call_index].ended {
            return;
        }
        self.end_call(call_index, CallEnd::CallerDisconnected);
        if let Some(call) = self.entry_calls[call_index].key {
            self.step_entry(call_index, Input::CallEnded { call });
        }
    }

    /// Passes the result of an attempt to the entry, unless the attempt is no longer current.
    pub(crate) fn handle_report(
        &mut self,
        call_index: usize,
        attempt: u32,
        report: AttemptReport,
        payload: Option<RequestId>,
    ) {
        let Some(call) = self.entry_calls[call_index].key else {
            return;
        };
        if self.is_current_attempt(call_index, attempt) {
            self.entry_calls[call_index].payload = payload;
            let topology = Arc::clone(&self.topology);
            let input = Input::AttemptReported {
                call,
                topology,
                report,
            };
            self.step_entry(call_index, input);
        }
    }

    /// Passes the answer to an outcome query to the entry, if the query is still pending.
    pub(crate) fn handle_outcome(&mut self, call_index: usize, attempt: u32, outcome: Outcome) {
        let Some(call) = self.entry_calls[call_index].key else {
            return;
        };
        if self.is_current_attempt(call_index, attempt)
            && self.entry_calls[call_index].pending_control_call == Some(MessageKind::OutcomeQuery)
        {
            self.entry_calls[call_index].pending_control_call = None;
            let topology = Arc::clone(&self.topology);
            let input = Input::OutcomeReceived {
                call,
                topology,
                outcome,
            };
            self.step_entry(call_index, input);
        }
    }

    /// Passes the result of a fetch to the entry, if the fetch is still pending.
    pub(crate) fn handle_fetch_result(
        &mut self,
        call_index: usize,
        attempt: u32,
        payload: Option<RequestId>,
    ) {
        let Some(call) = self.entry_calls[call_index].key else {
            return;
        };
        if self.is_current_attempt(call_index, attempt)
            && self.entry_calls[call_index].pending_control_call == Some(MessageKind::Fetch)
        {
            self.entry_calls[call_index].pending_control_call = None;
            self.entry_calls[call_index].payload = payload;
            let topology = Arc::clone(&self.topology);
            let found = payload.is_some();
            let input = Input::FetchCompleted {
                call,
                topology,
                found,
            };
            self.step_entry(call_index, input);
        }
    }
}

/// Converts a time to the clock of an owner's node, whose offset depends on the node's identifier.
fn to_node_clock(node: NodeId, time: Time) -> Time {
    time + Duration::from_secs(1_000 * node.0)
}

/// Report of an attempt that failed without a response of the owner.
pub(crate) fn failure_report(verdict: Verdict, reason: Reason) -> AttemptReport {
    AttemptReport {
        verdict,
        reason: Some(reason),
        retry_after: Duration::ZERO,
        load: None,
        rate_limit: None,
        upstream_failed: false,
    }
}
