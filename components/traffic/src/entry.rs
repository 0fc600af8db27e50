//! State machine of the entry, the node that received the caller's request: routing, early
//! shedding, endpoint selection, retries and outcome queries.

mod call;
mod canary;
mod identity;
mod message;
mod node_state;
mod request_age;
mod selection;
mod shedding;
mod speeds;
mod subset;

use std::sync::Arc;
use std::time::Duration;

use node_state::NodeStates;
use request_age::RequestAges;
use shedding::RefusedRoutes;
use speeds::Speeds;
use subset::EndpointSubsets;

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
use rollout::Outcomes;
use rollout::Shares;

pub use call::Call;
pub use identity::identify;
pub use message::Attempt;
pub use message::AttemptReport;
pub use message::Credential;
pub use message::Effect;
pub use message::Input;
pub use message::RequestHead;
pub use message::RouteProfile;

/// Minimum of a refusal's `retry_after`, before jitter. A caller that retries this soon can still
/// get its answer within the latency objective of an interactive route (200 ms to 500 ms in the
/// known deployments); with 1 s fewer callers were served.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(150);
/// Largest jitter of a refusal's `retry_after`, in percent of its length either way. Without
/// jitter, callers that were refused together would all retry at the same moment.
const RETRY_JITTER_PERCENT: u32 = 50;
/// Minimum time for which a node that accepts no requests is passed over.
const MIN_UNAVAILABLE_TIME: Duration = Duration::from_secs(1);
/// Number of silence timeouts of an attempt after which the entry prefers another endpoint to
/// waiting in the owner's queue.
const SILENCES_BEFORE_CANCEL: u32 = 2;
/// Number of outcome queries answered with "ended, no stored answer" at which the attempt counts as
/// failed. After the first one the answer can still be in transit.
const MAX_ENDED_REPORTS: u32 = 2;
/// Maximum number of fetches of an attempt's stored answer.
const MAX_FETCHES: u32 = 2;

/// Number of upstreams that may crash during the attempts at one request. The second one makes the request
/// rather the cause than one that merely ran there.
const MAX_SEEN_CRASHES: u32 = 2;
/// Shortest delay of a retry after the upstream crashed, in which the other nodes hear of the crash and of
/// others that the request may have caused meanwhile.
const MIN_CRASH_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Length of the span after the shortest delay in which the requests that ran at the upstream are retried at
/// random, so that the one that crashed it does not take the others down once more.
const CRASH_RETRY_SPREAD: Duration = Duration::from_millis(200);
/// Part of the time left that each of the two takes at most: one in this number.
const CRASH_RETRY_TIME_SHARE: u32 = 4;

/// Key of a call in the entry's state machine.
pub type CallKey = Key<Call>;

/// Time, topology, random source and effects of one step.
struct StepContext<'a> {
    now: Time,
    topology: &'a Topology,
    random: &'a mut dyn Random,
    effects: &'a mut Vec<Effect>,
}

/// State machine of the entry on one node.
pub struct Machine {
    balance: Box<dyn Balance>,
    retry: Box<dyn Retry>,
    health: Box<dyn Health>,
    calls: Arena<Call>,
    node_states: NodeStates,
    speeds: Speeds,
    subsets: EndpointSubsets,
    refused_routes: RefusedRoutes,
    request_ages: RequestAges,
    shares: Shares,
    outcomes: Outcomes,
    /// When the outcomes were last stated to the control thread.
    outcomes_reported: Time,
    /// Time by which all upstreams have to be done, because the node ends soon after.
    work_end: Option<Time>,
    /// Whether calls of this node's upstream go before new requests of their rank in a configuration
    /// without organisations too.
    prefers_onward: bool,
    /// Whether the node is about to exit, too soon for a retry.
    shutting_down: bool,
}

impl Machine {
    /// Creates an entry with these policies.
    pub fn new(balance: Box<dyn Balance>, retry: Box<dyn Retry>, health: Box<dyn Health>) -> Self {
        Self {
            balance,
            retry,
            health,
            calls: Arena::default(),
            node_states: NodeStates::default(),
            speeds: Speeds::default(),
            subsets: EndpointSubsets::default(),
            refused_routes: RefusedRoutes::default(),
            request_ages: RequestAges::default(),
            shares: Shares::default(),
            outcomes: Outcomes::default(),
            outcomes_reported: Time::default(),
            work_end: None,
            prefers_onward: false,
            shutting_down: false,
        }
    }

    /// Lets calls of this node's upstream go before new requests of their rank at their owners, in a configuration
    /// whose routes have large responses. In a configuration with organisations they always do.
    pub fn prefer_onward_calls(&mut self) {
        self.prefers_onward = true;
    }

    /// Number of calls that have not ended.
    pub fn open_calls(&self) -> usize {
        self.calls.len()
    }

    /// Number of nodes for which the entry keeps state.
    pub fn tracked_nodes(&self) -> usize {
        self.node_states.len()
    }

    fn handle_arrival(&mut self, context: &mut StepContext<'_>, head: &RequestHead) {
        let mut call = match Call::resolve(context.now, context.topology, head, context.random) {
            Ok(call) => call,
            Err(reason) => return refuse(context, not_run_refusal(reason)),
        };
        if self
            .work_end
            .is_some_and(|work_end| work_end <= context.now)
        {
            return refuse(context, not_run_refusal(Reason::Draining));
        }
        if let Some(retry_after) = call.quarantine(context.now, context.topology) {
            return refuse(context, quarantine_refusal(Verdict::NotRun, retry_after));
        }
        if let Some(objective) = call.profile.objective {
            let route = call.profile.route;
            let time_left = head.time_left;
            let age = time_left
                .map(|time_left| self.request_ages.estimate(context.now, route, time_left));
            let age = age.unwrap_or_default();
            call.objective = Some(context.now + objective.saturating_sub(age));
        }
        let snapshot = context.topology.snapshot.as_ref();
        let has_organisations = snapshot.is_some_and(|it| it.has_organisations());
        let schedules_links =
            self.prefers_onward && snapshot.is_some_and(|it| it.has_large_responses());
        call.profile.onward &= schedules_links || has_organisations;
        if self.should_shed(context, &call) {
            return refuse(context, not_run_refusal(Reason::ShedEarly));
        }
        self.retry
            .record_first_attempt(context.now, call.profile.service);
        let key = self.calls.insert(call);
        self.forward(context, key, Duration::ZERO);
    }

    fn forward(&mut self, context: &mut StepContext<'_>, key: CallKey, delay: Duration) {
        let has_alternative = self.count_untried_endpoints(context.now, context.topology, key) > 1;
        let canary = self.select_canary(context, key);
        let endpoint_key = canary.or_else(|| self.select_endpoint(context, key));
        let endpoint =
            endpoint_key.and_then(|endpoint_key| context.topology.endpoint(endpoint_key));
        let Some((endpoint, call)) = endpoint.zip(self.calls.get_mut(key)) else {
            // The call's verdict, because an earlier attempt may have run.
            let call = self.calls.remove(key);
            let refusal = Refusal {
                verdict: call.map_or(Verdict::NotRun, |call| call.verdict),
                ..not_run_refusal(Reason::NoEndpoint)
            };
            return refuse(context, refusal);
        };
        call.limit_deadline(self.work_end);
        let node_state = self.node_states.get(endpoint.node);
        let rate_limit = node_state.and_then(|state| state.rate_limit(context.now));
        let spillable = has_alternative && call.is_spillable(context.now);
        let attempt = Attempt {
            number: call.attempt.map_or(1, |previous| previous.number + 1),
            node: endpoint.node,
            request_address: endpoint.request_address,
            peer_address: endpoint.peer_address,
            deadline: call.deadline,
            give_up_at: call.give_up_at(),
            objective: call.objective,
            spillable,
            rate_limit,
            seen_crashes: call.seen_crashes,
            delay,
        };
        call.start_attempt(context.now, attempt);
        let route = call.profile;
        self.node_states.add_in_flight(attempt.node, route.rank);
        self.health.record_sent(context.now, attempt.node);
        context.effects.push(Effect::Forward {
            call: key,
            route,
            attempt,
        });
    }

    fn handle_report(
        &mut self,
        context: &mut StepContext<'_>,
        key: CallKey,
        report: AttemptReport,
    ) {
        self.count_outcome(context, key, &report);
        let Some(call) = self.calls.get(key) else {
            return;
        };
        let Some(attempt) = call.attempt else {
            return;
        };
        let (now, node) = (context.now, attempt.node);
        let success = call.assess(&report);
        if let Some(load) = report.load {
            self.node_states.record_load(now, node, load);
        }
        if report.reason.is_none() && !report.upstream_failed {
            let elapsed = now.since(call.attempt_started);
            self.speeds.record(call.profile.route, node, elapsed);
        }
        if let Some(reason) = report.reason {
            self.refused_routes.record(now, &call.profile, reason);
            if means_unavailable(reason) {
                let duration = report.retry_after.max(MIN_UNAVAILABLE_TIME);
                self.node_states.mark_unavailable(now, node, duration);
            }
        }
        if matches!(report.reason, None | Some(Reason::UpstreamRefused)) {
            self.health.record_shed(now, node, report.reason.is_some());
            self.node_states
                .record_rate_limit(now, node, report.rate_limit);
        }
        if let Some(success) = success
            && let Some(health_change) = self.health.record_outcome(now, node, success)
        {
            context.effects.push(Effect::HealthChanged {
                node,
                health_change,
            });
        }
        match report.reason {
            None => context.effects.push(Effect::Deliver { call: key }),
            Some(reason) => self.handle_failure(context, key, reason, report),
        }
    }

    /// Retries the call after a failed attempt or refuses it.
    fn handle_failure(
        &mut self,
        context: &mut StepContext<'_>,
        key: CallKey,
        reason: Reason,
        report: AttemptReport,
    ) {
        let has_untried_endpoint =
            self.count_untried_endpoints(context.now, context.topology, key) > 0;
        let Some(call) = self.calls.get_mut(key) else {
            return;
        };
        let Some(attempt) = call.attempt else {
            return;
        };
        call.verdict = call.verdict.max(report.verdict);
        call.count_upstream(reason, report.verdict);
        call.seen_crashes += u32::from(reason == Reason::UpstreamCrashed);
        call.spills += u32::from(reason == Reason::ObjectiveTooShort && attempt.spillable);
        call.limit_deadline(self.work_end);
        let (verdict, refusal_reason) = (call.verdict, call.refusal_reason(reason));
        let seen_crashes = call.seen_crashes;
        // The owner can hear of a crash before this node does.
        let owner_refusal = (reason == Reason::Quarantined).then_some(report.retry_after);
        let quarantine = owner_refusal.or(call.quarantine(context.now, context.topology));
        let failed_attempt =
            call.failed_attempt(context.now, reason, &report, has_untried_endpoint);
        self.release_in_flight(key);
        if reason == Reason::ObjectiveTooShort && attempt.spillable && !self.shutting_down {
            // Nothing has reached an upstream, so this is no retry. An owner that was not allowed to
            // refuse the request is treated like any other that does.
            context.effects.push(Effect::Retrying { reason });
            return self.forward(context, key, Duration::ZERO);
        }
        if self.shutting_down {
            self.calls.remove(key);
            let refusal = Refusal {
                verdict,
                ..not_run_refusal(Reason::Draining)
            };
            return refuse(context, refusal);
        }
        if let Some(retry_after) = quarantine {
            self.calls.remove(key);
            return refuse(context, quarantine_refusal(verdict, retry_after));
        }
        let allowed = if seen_crashes < MAX_SEEN_CRASHES {
            self.retry
                .allow(context.now, failed_attempt, context.random)
        } else {
            Err(Reason::AttemptsSpent)
        };
        match allowed {
            Ok(delay) => {
                context.effects.push(Effect::Retrying { reason });
                let crash_delay = if reason == Reason::UpstreamCrashed {
                    crash_retry_delay(failed_attempt.time_left, context.random)
                } else {
                    Duration::ZERO
                };
                self.forward(context, key, delay + crash_delay);
            }
            Err(denial_reason) => {
                self.calls.remove(key);
                context.effects.push(Effect::RetryDenied {
                    reason: denial_reason,
                });
                refuse(
                    context,
                    Refusal {
                        reason: refusal_reason,
                        verdict,
                        retry_after: report.retry_after.max(MIN_RETRY_AFTER),
                    },
                );
            }
        }
    }

    fn handle_silence_timeout(&mut self, now: Time, key: CallKey, effects: &mut Vec<Effect>) {
        let Some(call) = self.calls.get_mut(key) else {
            return;
        };
        call.silence_timeouts += 1;
        let Some(attempt) = call.attempt else {
            return;
        };
        effects.push(Effect::Query {
            call: key,
            attempt,
            cancel_if_queued: self.should_cancel(now, key),
        });
    }

    /// Whether the owner should cancel the attempt if it is still queued, so that another endpoint
    /// can be tried. An attempt on a route that is not idempotent stays queued: if the answer to
    /// the query were lost, it would be unknown whether the request ran.
    fn should_cancel(&mut self, now: Time, key: CallKey) -> bool {
        // A call that is not answered now ends with a closed connection and no reason.
        if self.shutting_down {
            return true;
        }
        let Some(topology) = self.subsets.topology() else {
            return false;
        };
        let has_untried_endpoint = self.count_untried_endpoints(now, &topology, key) > 0;
        self.calls.get(key).is_some_and(|call| {
            let report = silence_report(Verdict::NotRun);
            let failed_attempt =
                call.failed_attempt(now, Reason::ConnectionSilent, &report, has_untried_endpoint);
            call.profile.idempotent
                && call.silence_timeouts >= SILENCES_BEFORE_CANCEL
                && has_untried_endpoint
                && self.retry.would_allow(now, failed_attempt)
        })
    }

    fn handle_outcome(&mut self, context: &mut StepContext<'_>, key: CallKey, outcome: Outcome) {
        let Some(call) = self.calls.get_mut(key) else {
            return;
        };
        let verdict = match outcome {
            Outcome::Running => {
                call.owner_responded = true;
                return context.effects.push(Effect::Wait { call: key });
            }
            Outcome::Done { stored: true, .. } => return self.fetch(context, key),
            Outcome::Done {
                verdict: Verdict::Ran,
                ..
            } if call.ended_reports + 1 < MAX_ENDED_REPORTS => {
                call.ended_reports += 1;
                return context.effects.push(Effect::Wait { call: key });
            }
            // Not a health failure: the owner has answered and was only busy.
            Outcome::Cancelled => {
                let report = silence_report(Verdict::NotRun);
                return self.handle_failure(context, key, Reason::ConnectionSilent, report);
            }
            Outcome::Fenced => Verdict::NotRun,
            Outcome::Done { verdict, .. } => verdict,
            Outcome::Unknown => Verdict::MayHaveRun,
        };
        self.handle_report(context, key, silence_report(verdict));
    }

    fn fetch(&mut self, context: &mut StepContext<'_>, key: CallKey) {
        let attempt = self.calls.get(key).and_then(|call| call.attempt);
        let effect = attempt.map(|attempt| Effect::Fetch { call: key, attempt });
        context.effects.extend(effect);
    }

    fn handle_fetch(&mut self, context: &mut StepContext<'_>, key: CallKey, found: bool) {
        let Some(call) = self.calls.get_mut(key) else {
            return;
        };
        if found {
            return context.effects.push(Effect::Deliver { call: key });
        }
        call.fetches += 1;
        if call.fetches < MAX_FETCHES && context.now < call.deadline {
            return self.fetch(context, key);
        }
        self.handle_report(context, key, silence_report(Verdict::Ran));
    }

    /// Refuses a call that has no answer when the node exits.
    fn abandon(&mut self, context: &mut StepContext<'_>, key: CallKey, sent: bool) {
        self.release_in_flight(key);
        let Some(call) = self.calls.remove(key) else {
            return;
        };
        let attempt_verdict = if sent {
            Verdict::MayHaveRun
        } else {
            Verdict::NotRun
        };
        let refusal = Refusal {
            verdict: call.verdict.max(attempt_verdict),
            ..not_run_refusal(Reason::Draining)
        };
        refuse(context, refusal);
    }

    fn release_in_flight(&mut self, key: CallKey) {
        if let Some(call) = self.calls.get(key)
            && let Some(attempt) = call.attempt
        {
            self.node_states
                .remove_in_flight(attempt.node, call.profile.rank);
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
            | Input::FetchCompleted { topology, .. }
            | Input::Abandoned { topology, .. } => Arc::clone(topology),
            Input::SilenceTimeout { call } => {
                return self.handle_silence_timeout(now, *call, effects);
            }
            Input::CallEnded { call } => {
                self.release_in_flight(*call);
                self.calls.remove(*call);
                return;
            }
            Input::EndScheduled { work_end } => {
                self.work_end = Some(*work_end);
                return;
            }
            Input::Shutdown => {
                self.shutting_down = true;
                return;
            }
        };
        self.update_topology(now, &topology);
        let context = &mut StepContext {
            now,
            topology: &topology,
            random,
            effects,
        };
        match input {
            Input::Arrived { head, .. } => self.handle_arrival(context, &head),
            Input::AttemptReported { call, report, .. } => {
                self.handle_report(context, call, report)
            }
            Input::OutcomeReceived { call, outcome, .. } => {
                self.handle_outcome(context, call, outcome)
            }
            Input::FetchCompleted { call, found, .. } => self.handle_fetch(context, call, found),
            Input::Abandoned { call, sent, .. } => self.abandon(context, call, sent),
            Input::SilenceTimeout { .. }
            | Input::CallEnded { .. }
            | Input::EndScheduled { .. }
            | Input::Shutdown => {}
        }
    }

    fn wake(&mut self, _: Time, _: &mut dyn Random, _: &mut Vec<Effect>) {}

    fn next_wake(&self) -> Option<Time> {
        None
    }
}

fn refuse(context: &mut StepContext<'_>, refusal: Refusal) {
    let retry_after = add_jitter(refusal.retry_after, context.random);
    let refusal = Refusal {
        retry_after,
        ..refusal
    };
    context.effects.push(Effect::Refuse { refusal });
}

/// Lengthens or shortens `duration` at random by up to [`RETRY_JITTER_PERCENT`].
fn add_jitter(duration: Duration, random: &mut dyn Random) -> Duration {
    let offset = random.below(2 * RETRY_JITTER_PERCENT as usize + 1);
    let percent = u32::try_from(offset).unwrap_or(0) + 100 - RETRY_JITTER_PERCENT;
    duration * percent / 100
}

fn not_run_refusal(reason: Reason) -> Refusal {
    Refusal {
        reason,
        verdict: Verdict::NotRun,
        retry_after: MIN_RETRY_AFTER,
    }
}

fn quarantine_refusal(verdict: Verdict, retry_after: Duration) -> Refusal {
    Refusal {
        reason: Reason::Quarantined,
        verdict,
        retry_after: retry_after.max(MIN_RETRY_AFTER),
    }
}

/// Delay of the retry of a request that ran at an upstream when that crashed.
fn crash_retry_delay(time_left: Duration, random: &mut dyn Random) -> Duration {
    let max_part = time_left / CRASH_RETRY_TIME_SHARE;
    let spread = CRASH_RETRY_SPREAD.min(max_part).as_micros();
    let micros = random.below(usize::try_from(spread).unwrap_or(usize::MAX).max(1));
    MIN_CRASH_RETRY_DELAY.min(max_part) + Duration::from_micros(micros as u64)
}

fn silence_report(verdict: Verdict) -> AttemptReport {
    AttemptReport {
        verdict,
        reason: Some(Reason::ConnectionSilent),
        retry_after: Duration::ZERO,
        load: None,
        rate_limit: None,
        upstream_failed: false,
    }
}

/// Whether a refusal for this reason means that the node accepts no requests at all for some time.
fn means_unavailable(reason: Reason) -> bool {
    matches!(
        reason,
        Reason::Draining | Reason::Warming | Reason::NoEndpoint
    )
}
