//! Selection of an endpoint for an attempt, and the decision to shed a request instead.

use std::sync::Arc;

use crate::entry::Call;
use crate::entry::CallKey;
use crate::entry::Machine;
use crate::entry::StepContext;
use crate::entry::subset;
use control::EndpointKey;
use control::Topology;
use ids::NodeId;
use kernel::Time;
use policy::Candidate;

impl Machine {
    /// Applies the topology if it differs from the current one: adds state for new nodes and
    /// removes that of nodes that are no longer in it.
    pub(super) fn update_topology(&mut self, now: Time, topology: &Arc<Topology>) {
        if !self.subsets.set_topology(topology) {
            return;
        }
        self.retry.set_node_count(topology.count_instances());
        let Some(snapshot) = topology.snapshot.as_ref() else {
            return;
        };
        let mut ready = Vec::new();
        for (service, _) in snapshot.services() {
            let nodes = subset::ready_nodes(topology, service);
            self.node_states.add_ready(now, &nodes);
            ready.extend(nodes);
        }
        ready.sort_unstable();
        self.node_states.retain_ready(&ready);
        self.health.retain_nodes(&ready);
    }

    /// Whether to refuse the call early: every owner in the subset reports that it refuses the
    /// rank, and the route has recently been refused.
    pub(super) fn should_shed(&mut self, context: &mut StepContext<'_>, call: &Call) -> bool {
        let Some(service) = call.find_service_in(context.topology) else {
            return false;
        };
        let subset = self.subsets.endpoints(service);
        let refuses_rank = |key: &EndpointKey| {
            let endpoint = context.topology.endpoint(*key);
            let state = endpoint.and_then(|endpoint| self.node_states.get(endpoint.node));
            state.is_some_and(|state| state.refuses_rank(context.now, call.profile.rank))
        };
        !subset.is_empty()
            && subset.iter().all(refuses_rank)
            && self
                .refused_routes
                .should_shed(context.now, call.profile.route, context.random)
    }

    /// Selects the endpoint for the call's next attempt; `None` if no healthy endpoint is ready.
    /// Where possible, it is available and not yet tried; for a route that is not idempotent, it is
    /// also not one whose next request decides on its return from ejection.
    pub(super) fn select_endpoint(
        &mut self,
        context: &mut StepContext<'_>,
        key: CallKey,
    ) -> Option<EndpointKey> {
        let now = context.now;
        let call = self.calls.get(key)?;
        let service = call.find_service_in(context.topology)?;
        let rank = call.profile.rank;
        let mut options = Vec::new();
        for key in self.subsets.endpoints(service) {
            let Some(endpoint) = context.topology.endpoint(*key) else {
                continue;
            };
            let state = self.node_states.get(endpoint.node);
            let slow_start_weight =
                state.map_or(policy::FULL_WEIGHT, |state| state.slow_start_weight(now));
            let candidate = Candidate {
                node: endpoint.node,
                same_domain: endpoint.domain == context.topology.domain,
                in_flight: state.map_or(0, |state| state.in_flight(rank)),
                slots: endpoint.slots,
                load: state.and_then(|state| state.aged_load(now, rank)),
                weight: slow_start_weight.min(self.health.weight(now, endpoint.node)),
            };
            options.push((*key, candidate));
        }
        let mut healthy: Vec<NodeId> = options.iter().map(|(_, it)| it.node).collect();
        healthy.sort_unstable();
        self.health.retain_healthy(now, &mut healthy);
        options.retain(|(_, it)| healthy.binary_search(&it.node).is_ok());
        retain_preferred(&mut options, |node| !self.is_unavailable(now, node));
        retain_preferred(&mut options, |node| !call.tried_nodes.contains(&node));
        if !call.profile.idempotent {
            retain_preferred(&mut options, |node| !self.health.is_trial_due(now, node));
        }
        let (keys, candidates): (Vec<_>, Vec<_>) = options.into_iter().unzip();
        let index = self.balance.choose(&candidates, context.random)?;
        keys.get(index).copied()
    }

    fn is_unavailable(&self, now: Time, node: NodeId) -> bool {
        self.node_states
            .get(node)
            .is_some_and(|state| state.is_unavailable(now))
    }

    /// Number of endpoints of the subset that the call has not tried and that are not marked as
    /// unavailable.
    pub(super) fn count_untried_endpoints(
        &mut self,
        now: Time,
        topology: &Topology,
        key: CallKey,
    ) -> usize {
        let Some(call) = self.calls.get(key) else {
            return 0;
        };
        let Some(service) = call.find_service_in(topology) else {
            return 0;
        };
        let node_states = &self.node_states;
        let is_untried = |key: &&EndpointKey| {
            topology.endpoint(**key).is_some_and(|endpoint| {
                let unavailable = node_states
                    .get(endpoint.node)
                    .is_some_and(|state| state.is_unavailable(now));
                !unavailable && !call.tried_nodes.contains(&endpoint.node)
            })
        };
        let endpoints = self.subsets.endpoints(service).iter();
        endpoints.filter(is_untried).count()
    }
}

/// Keeps only the options for which `is_preferred` holds, or all if it holds for none.
fn retain_preferred(
    options: &mut Vec<(EndpointKey, Candidate)>,
    is_preferred: impl Fn(NodeId) -> bool,
) {
    if options.iter().any(|(_, it)| is_preferred(it.node)) {
        options.retain(|(_, it)| is_preferred(it.node));
    }
}
