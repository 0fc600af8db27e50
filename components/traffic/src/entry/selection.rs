//! Choice of an endpoint for an attempt, and whether to look for one at all.

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
    /// Takes in a changed topology: forgets nodes that left it.
    pub(super) fn update_topology(&mut self, now: Time, topology: &Arc<Topology>) {
        if !self.subset.change(topology) {
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

    /// Whether all owners refuse the call's rank and its route.
    pub(super) fn should_shed(&mut self, context: &mut StepContext<'_>, call: &Call) -> bool {
        let Some(service) = call.find_service_in(context.topology) else {
            return false;
        };
        let subset = self.subset.subset(service);
        let refuses_rank = |key: &EndpointKey| {
            let endpoint = context.topology.endpoint(*key);
            let seen = endpoint.and_then(|endpoint| self.node_states.get(endpoint.node));
            seen.is_some_and(|seen| seen.refuses_rank(context.now, call.profile.rank))
        };
        !subset.is_empty()
            && subset.iter().all(refuses_rank)
            && self
                .refused_routes
                .should_shed(context.now, call.profile.route, context.random)
    }

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
        for key in self.subset.subset(service) {
            let Some(endpoint) = context.topology.endpoint(*key) else {
                continue;
            };
            let seen = self.node_states.get(endpoint.node);
            let slow_start_weight =
                seen.map_or(policy::FULL_WEIGHT, |seen| seen.slow_start_weight(now));
            let candidate = Candidate {
                node: endpoint.node,
                same_domain: endpoint.domain == context.topology.domain,
                in_flight: seen.map_or(0, |seen| seen.in_flight(rank)),
                slots: endpoint.slots,
                load: seen.and_then(|seen| seen.aged_load(now, rank)),
                weight: slow_start_weight.min(self.health.weight(now, endpoint.node)),
            };
            options.push((*key, candidate));
        }
        let mut healthy: Vec<NodeId> = options.iter().map(|(_, it)| it.node).collect();
        healthy.sort_unstable();
        self.health.retain_healthy(now, &mut healthy);
        options.retain(|(_, it)| healthy.binary_search(&it.node).is_ok());
        retain_preferred(&mut options, |node| !self.is_unavailable(now, node));
        retain_preferred(&mut options, |node| !call.tried.contains(&node));
        if !call.profile.idempotent {
            retain_preferred(&mut options, |node| !self.health.is_trial_due(now, node));
        }
        let (keys, candidates): (Vec<_>, Vec<_>) = options.into_iter().unzip();
        let at = self.balance.choose(&candidates, context.random)?;
        keys.get(at).copied()
    }

    fn is_unavailable(&self, now: Time, node: NodeId) -> bool {
        self.node_states
            .get(node)
            .is_some_and(|seen| seen.is_unavailable(now))
    }

    /// Whether an endpoint is left that the call has not tried and that takes requests.
    pub(super) fn has_untried_endpoint(
        &mut self,
        now: Time,
        topology: &Topology,
        key: CallKey,
    ) -> bool {
        let Some(call) = self.calls.get(key) else {
            return false;
        };
        let Some(service) = call.find_service_in(topology) else {
            return false;
        };
        let node_states = &self.node_states;
        self.subset.subset(service).iter().any(|key| {
            topology.endpoint(*key).is_some_and(|endpoint| {
                let away = node_states
                    .get(endpoint.node)
                    .is_some_and(|seen| seen.is_unavailable(now));
                !away && !call.tried.contains(&endpoint.node)
            })
        })
    }
}

/// Keeps the options that `good` holds for, if there are any.
fn retain_preferred(options: &mut Vec<(EndpointKey, Candidate)>, good: impl Fn(NodeId) -> bool) {
    if options.iter().any(|(_, it)| good(it.node)) {
        options.retain(|(_, it)| good(it.node));
    }
}
