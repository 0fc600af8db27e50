//! What traffic threads route by.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::NodeStage;
use config::ServiceKey;
use config::Snapshot;
use ids::Domain;
use ids::NodeId;
use kernel::Arena;
use kernel::Key;
use member::Member;
use member::MemberTable;
use member::Stage;
use member::Upstream;
use spread::DistributionReport;

/// Address of an endpoint in a topology.
pub type EndpointKey = Key<Endpoint>;

/// A live endpoint of a service that the configuration lists.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// Its node.
    pub node: NodeId,
    /// HTTP requests of other nodes.
    pub request_address: SocketAddr,
    /// Control calls.
    pub peer_address: SocketAddr,
    /// Its failure domain.
    pub domain: Domain,
    /// Stage of its upstream.
    pub stage: Stage,
    /// Requests that its upstream runs at once.
    pub slots: u32,
}

/// Immutable view of configuration and membership.
#[derive(Clone, Debug)]
pub struct Topology {
    /// The node itself.
    pub node_id: NodeId,
    /// Its failure domain.
    pub domain: Domain,
    /// Stage of its life.
    pub node_stage: NodeStage,
    /// Configuration in force; `None` before the first.
    pub snapshot: Option<Arc<Snapshot>>,
    /// The node's own upstream, once announced.
    pub own_upstream: Option<(Stage, Upstream)>,
    /// What went wrong in the distribution of the configuration.
    pub report: DistributionReport,
    /// All members, sorted by id; for operators.
    members: Vec<Arc<Member>>,
    endpoints: Arena<Endpoint>,
    /// Sorted by service.
    by_service: Vec<(ServiceKey, EndpointKey)>,
}

impl Topology {
    /// A topology of these members; `generation` differs from that of the topology before.
    pub fn new(
        node_id: NodeId,
        domain: Domain,
        node_stage: NodeStage,
        snapshot: Option<Arc<Snapshot>>,
        table: &MemberTable,
        generation: u32,
    ) -> Self {
        let mut endpoints = Arena::new(generation);
        let mut by_service = Vec::new();
        for member in table.members().iter().filter(|member| member.is_live()) {
            let service = member.upstream.as_ref().and_then(|upstream| {
                let key = snapshot.as_ref()?.find_service(&upstream.service)?;
                Some((key, upstream.slots))
            });
            let Some((service, slots)) = service else {
                continue;
            };
            let endpoint = endpoints.insert(Endpoint {
                node: member.id,
                request_address: member.addresses.requests,
                peer_address: member.addresses.peer,
                domain: member.domain.clone(),
                stage: member.stage,
                slots,
            });
            by_service.push((service, endpoint));
        }
        by_service.sort_unstable();
        let own_upstream = table
            .get(node_id)
            .and_then(|member| Some((member.stage, member.upstream.clone()?)));
        Self {
            node_id,
            domain,
            node_stage,
            snapshot,
            own_upstream,
            report: DistributionReport::default(),
            members: table.members().to_vec(),
            endpoints,
            by_service,
        }
    }

    /// The topology with this report.
    pub fn with_report(self, report: DistributionReport) -> Self {
        Self { report, ..self }
    }

    /// A member that is known, also a dead one.
    pub fn member(&self, id: NodeId) -> Option<&Member> {
        let place = self.members.binary_search_by_key(&id, |it| it.id);
        place.ok().map(|at| &*self.members[at])
    }

    /// All members that are known, also dead ones, sorted by id.
    pub fn members(&self) -> &[Arc<Member>] {
        &self.members
    }

    /// Instances that are known, also those whose node does not answer: it may work all the same.
    pub fn count_instances(&self) -> usize {
        let members = self.members.iter();
        let mut addresses: Vec<_> = members.map(|it| it.addresses.peer).collect();
        addresses.sort_unstable();
        addresses.dedup();
        addresses.len()
    }

    /// The endpoint at `key`, if the key is of this topology.
    pub fn endpoint(&self, key: EndpointKey) -> Option<&Endpoint> {
        self.endpoints.get(key)
    }

    /// Endpoints of a service, in a fixed order.
    pub fn endpoints_of(
        &self,
        service: ServiceKey,
    ) -> impl Iterator<Item = (EndpointKey, &Endpoint)> {
        let first = self
            .by_service
            .partition_point(|(known, _)| *known < service);
        self.by_service[first..]
            .iter()
            .take_while(move |(known, _)| *known == service)
            .filter_map(|(_, key)| Some((*key, self.endpoints.get(*key)?)))
    }
}
