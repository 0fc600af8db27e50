//! Choice of an endpoint for an attempt, and whether to look for one at all.

use std::sync::Arc;

use crate::entry::Call;
use crate::entry::CallKey;
use crate::entry::Machine;
use crate::entry::Scene;
use crate::entry::pool;
use control::EndpointKey;
use control::Topology;
use ids::NodeId;
use kernel::Time;
use policy::Candidate;

impl Machine {
    /// Takes in a changed topology: forgets nodes that left it.
    pub(super) fn observe(&mut self, now: Time, topology: &Arc<Topology>) {
        if !self.pool.change(topology) {
            return;
        }
        self.retry.set_node_count(topology.count_instances());
        let Some(snapshot) = topology.snapshot.as_ref() else {
            return;
        };
        let mut ready = Vec::new();
        for (service, _) in snapshot.services() {
            let nodes = pool::ready_nodes(topology, service);
            self.memory.note_ready(now, &nodes);
            ready.extend(nodes);
        }
        ready.sort_unstable();
        self.memory.retain_ready(&ready);
        self.health.retain_nodes(&ready);
    }

    /// Whether all owners refuse the call's rank and its route.
    pub(super) fn sheds(&mut self, scene: &mut Scene<'_>, call: &Call) -> bool {
        let Some(service) = call.service_in(scene.topology) else {
            return false;
        };
        let subset = self.pool.subset(service);
        let refuses = |key: &EndpointKey| {
            let endpoint = scene.topology.endpoint(*key);
            let seen = endpoint.and_then(|endpoint| self.memory.get(endpoint.node));
            seen.is_some_and(|seen| seen.refuses(scene.now, call.profile.rank))
        };
        !subset.is_empty()
            && subset.iter().all(refuses)
            && self
                .refused
                .sheds(scene.now, call.profile.route, scene.random)
    }

    pub(super) fn choose(&mut self, scene: &mut Scene<'_>, key: CallKey) -> Option<EndpointKey> {
        let now = scene.now;
        let call = self.calls.get(key)?;
        let service = call.service_in(scene.topology)?;
        let rank = call.profile.rank;
        let mut options = Vec::new();
        for key in self.pool.subset(service) {
            let Some(endpoint) = scene.topology.endpoint(*key) else {
                continue;
            };
            let seen = self.memory.get(endpoint.node);
            let ramp = seen.map_or(policy::FULL_WEIGHT, |seen| seen.ramp(now));
            let candidate = Candidate {
                node: endpoint.node,
                same_domain: endpoint.domain == scene.topology.domain,
                in_flight: seen.map_or(0, |seen| seen.in_flight(rank)),
                slots: endpoint.slots,
                load: seen.and_then(|seen| seen.aged_load(now, rank)),
                weight: ramp.min(self.health.weight(now, endpoint.node)),
            };
            options.push((*key, candidate));
        }
        let mut healthy: Vec<NodeId> = options.iter().map(|(_, it)| it.node).collect();
        healthy.sort_unstable();
        self.health.retain_healthy(now, &mut healthy);
        options.retain(|(_, it)| healthy.binary_search(&it.node).is_ok());
        prefer(&mut options, |node| !self.is_away(now, node));
        prefer(&mut options, |node| !call.tried.contains(&node));
        if !call.profile.idempotent {
            prefer(&mut options, |node| !self.health.is_trial_due(now, node));
        }
        let (keys, candidates): (Vec<_>, Vec<_>) = options.into_iter().unzip();
        let at = self.balance.choose(&candidates, scene.random)?;
        keys.get(at).copied()
    }

    fn is_away(&self, now: Time, node: NodeId) -> bool {
        self.memory.get(node).is_some_and(|seen| seen.is_away(now))
    }

    /// Whether an endpoint is left that the call has not tried and that takes requests.
    pub(super) fn has_other(&mut self, now: Time, topology: &Topology, key: CallKey) -> bool {
        let Some(call) = self.calls.get(key) else {
            return false;
        };
        let Some(service) = call.service_in(topology) else {
            return false;
        };
        let memory = &self.memory;
        self.pool.subset(service).iter().any(|key| {
            topology.endpoint(*key).is_some_and(|endpoint| {
                let away = memory
                    .get(endpoint.node)
                    .is_some_and(|seen| seen.is_away(now));
                !away && !call.tried.contains(&endpoint.node)
            })
        })
    }
}

/// Keeps the options that `good` holds for, if there are any.
fn prefer(options: &mut Vec<(EndpointKey, Candidate)>, good: impl Fn(NodeId) -> bool) {
    if options.iter().any(|(_, it)| good(it.node)) {
        options.retain(|(_, it)| good(it.node));
    }
}
