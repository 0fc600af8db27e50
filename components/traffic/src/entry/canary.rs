//! Requests for a version on trial.

use std::sync::Arc;
use std::time::Duration;

use crate::entry::AttemptReport;
use crate::entry::CallKey;
use crate::entry::Effect;
use crate::entry::Machine;
use crate::entry::StepContext;
use config::ServiceKey;
use control::EndpointKey;
use control::Topology;
use errors::Reason;
use errors::Verdict;
use member::Stage;
use rollout::Outcome;
use rollout::ServiceView;
use rollout::Trial;
use rollout::choose_canaries;

/// Interval between two statements of the outcomes to the control thread. A failure is stated at once.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);

impl Machine {
    /// Selects an endpoint of the version on trial for the first attempt of a call, if the share of that version
    /// has room. Retries go to the established version.
    pub(super) fn select_canary(
        &mut self,
        context: &mut StepContext<'_>,
        key: CallKey,
    ) -> Option<EndpointKey> {
        let topology = context.topology;
        let call = self.calls.get(key).filter(|it| it.attempt.is_none())?;
        let service = call.find_service_in(topology)?;
        let view = topology.rollout_of(service)?;
        let trial = view.canary()?;
        let permille = topology.rollouts.canary_permille();
        let is_allowed = trial.fresh_until > context.now
            && self
                .shares
                .allows(call.profile.service, trial.order, permille);
        if !is_allowed {
            return None;
        }
        let mut canaries = list_canaries(topology, service, view, trial, permille);
        canaries.retain(|key| {
            let node = topology.endpoint(*key).map(|it| it.node);
            let state = node.and_then(|node| self.node_states.get(node));
            state.is_none_or(|it| !it.is_cold(context.now) && !it.is_unavailable(context.now))
        });
        let start = context.random.below(canaries.len());
        canaries.rotate_left(start);
        let rank = call.profile.rank;
        let in_flight = |key: &EndpointKey| {
            let node = topology.endpoint(*key).map(|it| it.node);
            let state = node.and_then(|node| self.node_states.get(node));
            state.map_or(0, |state| state.in_flight(rank))
        };
        let chosen = canaries.into_iter().min_by_key(in_flight)?;
        self.shares.record_sent(call.profile.service, trial.order);
        Some(chosen)
    }

    /// Counts the outcome of an attempt at a service with an order. Each answer of the established version makes
    /// room for the version on trial.
    pub(super) fn count_outcome(
        &mut self,
        context: &mut StepContext<'_>,
        key: CallKey,
        report: &AttemptReport,
    ) {
        let now = context.now;
        let Some(call) = self.calls.get(key) else {
            return;
        };
        let topology = context.topology;
        let view = call
            .find_service_in(topology)
            .and_then(|service| topology.rollout_of(service));
        let Some(((view, trial), attempt)) = view
            .and_then(|view| Some((view, view.open_trial()?)))
            .zip(call.attempt)
        else {
            return;
        };
        let member = topology.member(attempt.node);
        let upstream = member.and_then(|it| it.upstream.as_ref());
        let version = upstream.and_then(|it| it.version.as_deref());
        let is_target = version == Some(&*trial.target);
        let (service, order) = (call.profile.service, trial.order);
        if report.reason.is_none() && !is_target {
            self.shares.record_answer(service, order);
        }
        let Some((failed, overdue)) = assess_version(report) else {
            return;
        };
        let outcome = Outcome {
            route: call.profile.route,
            canary: is_target.then_some(attempt.node),
            failed,
            overdue,
            duration: now.since(call.attempt_started),
            objective: call.profile.objective,
        };
        self.outcomes.record(service, order, outcome);
        if now.since(self.outcomes_reported) >= REPORT_INTERVAL || failed {
            self.outcomes_reported = now;
            context.effects.push(Effect::OutcomesCounted {
                service: Arc::clone(&view.service),
                order,
                tallies: self.outcomes.tallies(service, order).to_vec(),
            });
        }
    }
}

/// Whether an attempt failed, and whether it was overdue; `None` if it says nothing about the version.
fn assess_version(report: &AttemptReport) -> Option<(bool, bool)> {
    match report.reason {
        None => Some((report.upstream_failed, false)),
        Some(
            Reason::ConnectFailed
            | Reason::ConnectionBroken
            | Reason::ConnectionSilent
            | Reason::UpstreamCrashed,
        ) => Some((true, false)),
        Some(Reason::DeadlinePassed) if report.verdict != Verdict::NotRun => Some((false, true)),
        Some(Reason::UpstreamRefused) => Some((false, true)),
        Some(_) => None,
    }
}

/// The endpoints on trial. There are none if no endpoint of the established version is left, because then all
/// endpoints get requests.
fn list_canaries(
    topology: &Topology,
    service: ServiceKey,
    view: &ServiceView,
    trial: &Trial,
    permille: u32,
) -> Vec<EndpointKey> {
    let (mut established, mut candidates) = (0, Vec::new());
    for (key, endpoint) in topology.endpoints_of(service) {
        if endpoint.stage != Stage::Ready {
            continue;
        }
        let version = endpoint.version.as_deref();
        if view.is_open(version) {
            established += 1;
        } else if version == Some(&*trial.target) {
            candidates.push((endpoint.node, key));
        }
    }
    if established == 0 {
        return Vec::new();
    }
    let nodes = candidates.iter().map(|(node, _)| *node).collect();
    let chosen = choose_canaries(trial.order, nodes, established, permille);
    let candidates = candidates.into_iter();
    let chosen = candidates.filter(|(node, _)| chosen.contains(node));
    chosen.map(|(_, key)| key).collect()
}
