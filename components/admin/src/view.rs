//! Bodies of answers, in JSON.
//!
//! Fields are only added; a reader takes what it knows, so that `medlarctl` and nodes of different
//! versions work together.

use serde::Deserialize;
use serde::Serialize;

use config::Route;
use config::Snapshot;
use control::NodeStage;
use control::Topology;
use front::TrafficDriver;
use member::Member;
use member::Stage;
use member::Status as Liveness;

/// Body of `GET /status`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct Status {
    /// Identity of the node.
    pub node: String,
    /// Its failure domain.
    pub domain: String,
    /// Stage of its life.
    #[serde(rename = "life")]
    pub node_stage: String,
    /// Version in force; 0 before the first.
    pub version: u64,
    /// Hash of the text in force.
    pub digest: String,
    /// Service of its upstream; empty before it announced itself.
    pub service: String,
    /// Stage of its upstream.
    pub state: String,
    /// Requests that run at its upstream.
    pub running: u32,
    /// Requests that wait.
    pub queued: u32,
    /// Requests that may run at once.
    pub limit: u32,
    /// Live members that it knows, itself included.
    pub live_members: usize,
    /// Records refused as a whole since the start.
    pub refused: u64,
    /// Records or values of the store that were damaged.
    pub corrupt: u64,
    /// Other texts seen under the version in force.
    pub conflicts: u64,
    /// Times that the store held an older version than the node.
    pub store_behind: u64,
    /// Version and reason of the last refusal; empty if there was none.
    pub last_refusal: String,
    /// Version of the program.
    pub program: String,
}

/// One entry of `GET /members`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct MemberView {
    /// Identity of the node.
    pub node: String,
    /// Its failure domain.
    pub domain: String,
    /// Whether it lives: alive, suspect, dead or left.
    pub status: String,
    /// Service of its upstream; empty before it announced itself.
    pub service: String,
    /// Stage of its upstream.
    pub state: String,
    /// Requests that its upstream runs at once.
    pub slots: u32,
    /// Address of its operators' HTTP.
    pub admin: String,
    /// Address for gossip and control calls.
    pub peer: String,
    /// Address for requests of other nodes.
    pub requests: String,
}

/// A route of the configuration in force.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct RouteView {
    /// Service that serves it.
    pub service: String,
    /// Method and path pattern.
    pub method: String,
    /// Path pattern as written.
    pub path: String,
    /// Urgency; 0 is the most urgent.
    pub rank: u8,
    /// Longest time from arrival to answer, in milliseconds.
    pub deadline_ms: u64,
    /// Whether a request can run more than once without harm.
    pub idempotent: bool,
    /// Share among the routes of its rank.
    pub weight: u32,
}

/// One endpoint of the service of a route.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct EndpointView {
    /// Its node.
    pub node: String,
    /// Address for requests of other nodes.
    #[serde(rename = "requests")]
    pub request_address: String,
    /// Its failure domain.
    pub domain: String,
    /// Stage of its upstream.
    pub state: String,
    /// Requests that its upstream runs at once.
    pub slots: u32,
    /// Whether requests are sent to it.
    pub takes_requests: bool,
    /// Why.
    #[serde(rename = "why")]
    pub reason: String,
}

/// Body of `GET /explain`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct Explanation {
    /// Version in force; 0 before the first.
    pub version: u64,
    /// The route that takes the request.
    pub route: Option<RouteView>,
    /// Why this route or none.
    #[serde(rename = "why")]
    pub reason: String,
    /// Other routes that cover the request, in the order of match.
    pub passed_over: Vec<RouteView>,
    /// Endpoints of the service.
    pub endpoints: Vec<EndpointView>,
}

impl Status {
    pub(crate) fn new(driver: &TrafficDriver) -> Self {
        let topology = driver.topology();
        let load = driver.load();
        let snapshot = topology.snapshot.as_ref();
        let own = topology.own_upstream.as_ref();
        let report = &topology.report;
        let last = report.last_refusal.as_ref();
        let live = topology.members().iter().filter(|it| it.is_live());
        Self {
            node: topology.node_id.to_string(),
            domain: topology.domain.to_string(),
            node_stage: describe_node_stage(topology.node_stage).to_owned(),
            version: snapshot.map_or(0, |it| it.version().0),
            digest: snapshot.map_or_else(String::new, |it| it.digest().to_string()),
            service: own.map_or_else(String::new, |(_, it)| it.service.to_string()),
            state: own
                .map_or("", |(stage, _)| describe_stage(*stage))
                .to_owned(),
            running: load.running,
            queued: load.queued,
            limit: load.limit,
            live_members: live.count(),
            refused: report.refused,
            corrupt: report.corrupt,
            conflicts: report.conflicts,
            store_behind: report.store_behind,
            last_refusal: last.map_or_else(String::new, |it| {
                format!("version {}: {}", it.version, it.message)
            }),
            program: env!("CARGO_PKG_VERSION").to_owned(),
        }
    }
}

impl MemberView {
    fn new(member: &Member) -> Self {
        let upstream = member.upstream.as_ref();
        Self {
            node: member.id.to_string(),
            domain: member.domain.to_string(),
            status: describe_liveness(member.status).to_owned(),
            service: upstream.map_or_else(String::new, |it| it.service.to_string()),
            state: describe_stage(member.stage).to_owned(),
            slots: upstream.map_or(0, |it| it.slots),
            admin: member.addresses.admin.to_string(),
            peer: member.addresses.peer.to_string(),
            requests: member.addresses.requests.to_string(),
        }
    }
}

/// Body of `GET /members`.
pub(crate) fn list_members(topology: &Topology) -> Vec<MemberView> {
    topology
        .members()
        .iter()
        .map(|member| MemberView::new(member))
        .collect()
}

impl RouteView {
    pub(crate) fn new(snapshot: &Snapshot, route: &Route) -> Self {
        let targets = route.targets.iter();
        let services =
            targets.filter_map(|it| Some(snapshot.service(it.service)?.name.to_string()));
        Self {
            service: services.collect::<Vec<_>>().join(", "),
            method: route.method.clone(),
            path: route.path.clone(),
            rank: route.rank.0,
            deadline_ms: u64::try_from(route.deadline.as_millis()).unwrap_or(u64::MAX),
            idempotent: route.idempotent,
            weight: route.weight,
        }
    }
}

fn describe_node_stage(stage: NodeStage) -> &'static str {
    match stage {
        NodeStage::Joining => "joining",
        NodeStage::Serving => "serving",
        NodeStage::Leaving => "leaving",
    }
}

pub(crate) fn describe_stage(stage: Stage) -> &'static str {
    match stage {
        Stage::Warming => "warming",
        Stage::Ready => "ready",
        Stage::Draining => "draining",
        Stage::Gone => "gone",
    }
}

fn describe_liveness(status: Liveness) -> &'static str {
    match status {
        Liveness::Alive => "alive",
        Liveness::Suspect => "suspect",
        Liveness::Dead => "dead",
        Liveness::Left => "left",
    }
}
