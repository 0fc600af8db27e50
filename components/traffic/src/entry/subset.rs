//! Subsets of each service's endpoints that this entry uses.

use std::sync::Arc;

use config::ServiceKey;
use control::EndpointKey;
use control::Topology;
use ids::NodeId;
use member::Stage;

/// Maximum number of endpoints of one service that an entry uses, which bounds its connections.
pub(crate) const MAX_SUBSET_SIZE: usize = 20;
/// Minimum number of endpoints in a full subset that are in the entry's own failure domain, if the
/// domain has that many.
const MIN_SAME_DOMAIN: usize = 10;

/// Subset of the ready endpoints of each service in one topology, computed at the first use.
#[derive(Debug, Default)]
pub(crate) struct EndpointSubsets {
    topology: Option<Arc<Topology>>,
    /// Sorted by service.
    subsets: Vec<(ServiceKey, Vec<EndpointKey>)>,
}

impl EndpointSubsets {
    /// Sets the topology; returns whether it differs from the current one.
    pub(crate) fn set_topology(&mut self, topology: &Arc<Topology>) -> bool {
        if self
            .topology
            .as_ref()
            .is_some_and(|current| Arc::ptr_eq(current, topology))
        {
            return false;
        }
        self.topology = Some(Arc::clone(topology));
        self.subsets.clear();
        true
    }

    /// The current topology.
    pub(crate) fn topology(&self) -> Option<Arc<Topology>> {
        self.topology.clone()
    }

    /// The endpoints that this entry uses for the service.
    pub(crate) fn endpoints(&mut self, service: ServiceKey) -> &[EndpointKey] {
        let index = match self.subsets.binary_search_by_key(&service, |(key, _)| *key) {
            Ok(index) => index,
            Err(index) => {
                let subset = self
                    .topology
                    .as_ref()
                    .map_or(Vec::new(), |topology| select_subset(topology, service));
                self.subsets.insert(index, (service, subset));
                index
            }
        };
        &self.subsets[index].1
    }
}

/// The nodes of the ready endpoints of a service.
pub(crate) fn ready_nodes(topology: &Topology, service: ServiceKey) -> Vec<NodeId> {
    topology
        .endpoints_of(service)
        .filter(|(_, endpoint)| endpoint.stage == Stage::Ready)
        .map(|(_, endpoint)| endpoint.node)
        .collect()
}

/// Selects the subset by rendezvous hashing, so that the subsets of all entries cover the endpoints
/// evenly and the departure of an endpoint changes only the subsets that contain it.
fn select_subset(topology: &Topology, service: ServiceKey) -> Vec<EndpointKey> {
    let open = topology.open_endpoints(service);
    let mut ready: Vec<_> = open
        .into_iter()
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
            .take(MIN_SAME_DOMAIN)
            .collect();
        let same_domain_count = same_domain.len();
        ready.retain(|it| !same_domain.contains(it));
        ready.truncate(MAX_SUBSET_SIZE - same_domain_count);
        ready.extend(same_domain);
    }
    ready.into_iter().map(|(_, _, key)| key).collect()
}

/// Hashes the pair of an entry and an endpoint's node with the finalizer of SplitMix64.
fn rendezvous_score(entry_node: NodeId, endpoint_node: NodeId) -> u64 {
    let mut hash = entry_node.0.rotate_left(32) ^ endpoint_node.0;
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
