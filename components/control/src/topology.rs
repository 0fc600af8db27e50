//! Snapshot of configuration and membership by which the traffic threads route requests.

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
use member::Status;
use member::Upstream;
use quarantine::View;
use spread::DistributionReport;

/// Key of an endpoint in one topology.
pub type EndpointKey = Key<Endpoint>;

/// An endpoint of a service that the configuration lists, on a live node.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// Id of the endpoint's node.
    pub node: NodeId,
    /// Address of the node for HTTP requests that other nodes forward.
    pub request_address: SocketAddr,
    /// Address of the node for gossip and control calls.
    pub peer_address: SocketAddr,
    /// Failure domain of the node.
    pub domain: Domain,
    /// Stage of the node's upstream.
    pub stage: Stage,
    /// Maximum number of requests that the node's upstream runs at the same time.
    pub slots: u32,
    /// Version of the node's upstream, if it announces one.
    pub version: Option<Arc<str>>,
}

/// Immutable snapshot of configuration and membership.
#[derive(Clone, Debug)]
pub struct Topology {
    /// Id of this node.
    pub node_id: NodeId,
    /// Failure domain of this node.
    pub domain: Domain,
    /// Stage of this node.
    pub node_stage: NodeStage,
    /// Configuration in force; `None` until the node has one.
    pub snapshot: Option<Arc<Snapshot>>,
    /// The node's own upstream and its stage, once the upstream has announced itself.
    pub own_upstream: Option<(Stage, Upstream)>,
    /// Problems in the distribution of the configuration.
    pub report: DistributionReport,
    /// Requests that are suspect of crashing upstreams.
    pub suspects: Arc<View>,
    /// Established versions and rollouts.
    pub rollouts: Arc<rollout::View>,
    /// All known members, sorted by id.
    members: Vec<Arc<Member>>,
    endpoints: Arena<Endpoint>,
    /// Keys of the endpoints, sorted by service.
    by_service: Vec<(ServiceKey, EndpointKey)>,
}

impl Topology {
    /// Builds the topology of the members in `table`. `generation` must differ from that of the
    /// previous topology, so that endpoint keys of the previous topology are not valid in this one.
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
                Some((key, upstream))
            });
            let Some((service, upstream)) = service else {
                continue;
            };
            let endpoint = endpoints.insert(Endpoint {
                node: member.id,
                request_address: member.addresses.requests,
                peer_address: member.addresses.peer,
                domain: member.domain.clone(),
                stage: member.stage,
                slots: upstream.slots,
                version: upstream.version.clone(),
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
            suspects: Arc::default(),
            rollouts: Arc::default(),
            members: table.members().to_vec(),
            endpoints,
            by_service,
        }
    }

    /// Returns the topology with this report.
    pub fn with_report(self, report: DistributionReport) -> Self {
        Self { report, ..self }
    }

    /// Returns the topology with these suspect requests.
    pub fn with_suspects(self, suspects: Arc<View>) -> Self {
        Self { suspects, ..self }
    }

    /// Returns the topology with these established versions and rollouts.
    pub fn with_rollouts(self, rollouts: Arc<rollout::View>) -> Self {
        Self { rollouts, ..self }
    }

    /// Rollout state of a service.
    pub fn rollout_of(&self, service: ServiceKey) -> Option<&rollout::ServiceView> {
        let service = self.snapshot.as_ref()?.service(service)?;
        self.rollouts.find(&service.name)
    }

    /// The ready endpoints of a service that get requests without limit: those of the established version, or all
    /// where none of them is left.
    pub fn open_endpoints(&self, service: ServiceKey) -> Vec<(EndpointKey, &Endpoint)> {
        let name = self.snapshot.as_ref().and_then(|it| it.service(service));
        let name = name.map_or("", |it| &it.name);
        let mut ready = Vec::new();
        for (key, endpoint) in self.endpoints_of(service) {
            let is_open = self.rollouts.is_open(name, endpoint.version.as_deref());
            let is_open = is_open.filter(|_| endpoint.stage == Stage::Ready);
            ready.extend(is_open.map(|is_open| (is_open, key, endpoint)));
        }
        if ready.iter().any(|(is_open, ..)| *is_open) {
            ready.retain(|(is_open, ..)| *is_open);
        }
        let ready = ready.into_iter();
        ready.map(|(_, key, endpoint)| (key, endpoint)).collect()
    }

    /// The member with this id, even if it is dead.
    pub fn member(&self, id: NodeId) -> Option<&Member> {
        let position = self.members.binary_search_by_key(&id, |it| it.id);
        position.ok().map(|index| &*self.members[index])
    }

    /// All known members, including dead ones, sorted by id.
    pub fn members(&self) -> &[Arc<Member>] {
        &self.members
    }

    /// Number of known instances, counted by peer address. Instances whose node is dead are included,
    /// because their upstreams may still run.
    pub fn count_instances(&self) -> usize {
        let members = self.members.iter();
        let mut addresses: Vec<_> = members.map(|it| it.addresses.peer).collect();
        addresses.sort_unstable();
        addresses.dedup();
        addresses.len()
    }

    /// Number of known instances, counted by peer address. Those whose node is dead are included, since they may be
    /// cut off only; those whose node has left are not.
    pub fn count_present_instances(&self) -> usize {
        let present = self.members.iter().filter(|it| it.status != Status::Left);
        let mut addresses: Vec<_> = present.map(|it| it.addresses.peer).collect();
        addresses.sort_unstable();
        addresses.dedup();
        addresses.len()
    }

    /// The endpoint with this key; `None` if the key belongs to another topology.
    pub fn endpoint(&self, key: EndpointKey) -> Option<&Endpoint> {
        self.endpoints.get(key)
    }

    /// The endpoints of a service, in an order that is the same for each call.
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
