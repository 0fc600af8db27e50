//! Which endpoints of a service this entry uses.

use std::sync::Arc;

use config::ServiceKey;
use control::EndpointKey;
use control::Topology;
use ids::NodeId;
use member::Stage;

/// Endpoints of one service that an entry uses at most, which bounds its connections.
pub(crate) const MAX_SUBSET_SIZE: usize = 20;
/// Endpoints of the subset that come from the entry's own failure domain, where it has that many.
const SAME_DOMAIN_COUNT: usize = 10;

/// The ready endpoints of each service in one topology, cut to subsets.
#[derive(Debug, Default)]
pub(crate) struct EndpointSubsets {
    topology: Option<Arc<Topology>>,
    /// Sorted by service.
    subsets: Vec<(ServiceKey, Vec<EndpointKey>)>,
}

impl EndpointSubsets {
    /// Changes to another topology; tells whether it is another one.
    pub(crate) fn change(&mut self, topology: &Arc<Topology>) -> bool {
        if self
            .topology
            .as_ref()
            .is_some_and(|known| Arc::ptr_eq(known, topology))
        {
            return false;
        }
        self.topology = Some(Arc::clone(topology));
        self.subsets.clear();
        true
    }

    /// The topology in use.
    pub(crate) fn topology(&self) -> Option<Arc<Topology>> {
        self.topology.clone()
    }

    /// The endpoints that this entry uses for a service.
    pub(crate) fn subset(&mut self, service: ServiceKey) -> &[EndpointKey] {
        let at = match self
            .subsets
            .binary_search_by_key(&service, |(known, _)| *known)
        {
            Ok(at) => at,
            Err(at) => {
                let subset = self
                    .topology
                    .as_ref()
                    .map_or(Vec::new(), |topology| select_subset(topology, service));
                self.subsets.insert(at, (service, subset));
                at
            }
        };
        &self.subsets[at].1
    }
}

/// Nodes of the ready endpoints of a service.
pub(crate) fn ready_nodes(topology: &Topology, service: ServiceKey) -> Vec<NodeId> {
    topology
        .endpoints_of(service)
        .filter(|(_, endpoint)| endpoint.stage == Stage::Ready)
        .map(|(_, endpoint)| endpoint.node)
        .collect()
}

/// Chooses by rendezvous hashing, so that the subsets of all entries cover the endpoints evenly and
/// an endpoint that leaves changes only the subsets that it was in.
fn select_subset(topology: &Topology, service: ServiceKey) -> Vec<EndpointKey> {
    let mut ready: Vec<_> = topology
        .endpoints_of(service)
        .filter(|(_, endpoint)| endpoint.stage == Stage::Ready)
        .map(|(key, endpoint)| {
            let same_domain = endpoint.domain == topology.domain;
            (
                rendezvous_score(topology.node_id, endpoint.node),
                same_domain,
                key,
            )
        })
        .collect();
    if ready.len() > MAX_SUBSET_SIZE {
        ready.sort_unstable();
        let same_domain: Vec<_> = ready
            .iter()
            .copied()
            .filter(|it| it.1)
            .take(SAME_DOMAIN_COUNT)
            .collect();
        let kept = same_domain.len();
        ready.retain(|it| !same_domain.contains(it));
        ready.truncate(MAX_SUBSET_SIZE - kept);
        ready.extend(same_domain);
    }
    ready.into_iter().map(|(_, _, key)| key).collect()
}

/// Mixes two ids (finalizer of SplitMix64).
fn rendezvous_score(me: NodeId, node: NodeId) -> u64 {
    let mut mixed = me.0.rotate_left(32) ^ node.0;
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
