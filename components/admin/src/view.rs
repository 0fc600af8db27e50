//! Response bodies of the admin API, in JSON.
//!
//! New versions only add fields, and readers ignore unknown fields and fill in missing ones, so that
//! `medlarctl` and nodes of different versions work together.

use std::time::Duration;

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
use rollout::Phase;

/// Maximum number of services with their versions in a status.
const MAX_ROLLOUTS: usize = 256;

/// Body of `GET /status`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct Status {
    /// Id of the node.
    pub node: String,
    /// Failure domain of the node.
    pub domain: String,
    /// Stage of the node: joining, serving or leaving.
    #[serde(rename = "life")]
    pub node_stage: String,
    /// Configuration version in force; 0 while the node has no configuration.
    pub version: u64,
    /// Hash of the configuration text in force; empty while the node has no configuration.
    pub digest: String,
    /// Service of the node's upstream; empty until the upstream has announced itself.
    pub service: String,
    /// Stage of the node's upstream: warming, ready, draining or gone; empty until the upstream has
    /// announced itself.
    pub state: String,
    /// Number of requests that run at the node's upstream.
    pub running: u32,
    /// Number of requests that are queued for the node's upstream.
    pub queued: u32,
    /// Number of requests that may run at the upstream concurrently.
    pub limit: u32,
    /// Number of live members that the node knows, itself included.
    pub live_members: usize,
    /// Number of configuration records that the node has refused because they do not compile or have
    /// a newer format.
    pub refused: u64,
    /// Number of configuration records whose text does not match its hash, and of store values that are
    /// not records.
    pub corrupt: u64,
    /// Number of configurations of other nodes with the version in force but another text.
    pub conflicts: u64,
    /// Number of reads in which the store had an older version than the node.
    pub store_behind: u64,
    /// Number of times that the store was seen to have returned from an older copy.
    pub store_restores: u64,
    /// Version of the record that was refused last, and why; empty if none was refused.
    pub last_refusal: String,
    /// Whether the node verifies keys at present: `verified` or `unverified`; empty where keys need not be fresh.
    pub keys: String,
    /// Time for which keys are still verified, without a newer proof, in milliseconds.
    pub keys_valid_ms: u64,
    /// Version of the program that the node runs.
    pub program: String,
    /// Organisations of which the node grants tokens, those that use most of their rate limit first; at most 16.
    /// Left out if there are none.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub organisations: Vec<LimitUsage>,
    /// Services whose established version is known; none where rollouts are not enabled.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub rollouts: Vec<RolloutView>,
}

/// Use of the rate limit of one organisation.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct LimitUsage {
    /// Name of the organisation.
    pub name: String,
    /// Part of its limit that this node has granted over the last seconds, in percent.
    pub used_percent: u32,
}

/// Established version and newest order of a service.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct RolloutView {
    /// Name of the service.
    pub service: String,
    /// Established version.
    pub established: String,
    /// Version that the newest order names; empty if there was none.
    pub target: String,
    /// Phase of the order: running, promoting, succeeded or rolled-back; empty if there was none.
    pub phase: String,
    /// Whether the target gets no more requests, because it was seen to be bad.
    pub halted: bool,
}

/// One member in the body of `GET /members`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct MemberView {
    /// Id of the node.
    pub node: String,
    /// Failure domain of the node.
    pub domain: String,
    /// Liveness of the node: alive, suspect, dead or left.
    pub status: String,
    /// Service of the node's upstream; empty until the upstream has announced itself.
    pub service: String,
    /// Stage of the node's upstream: warming, ready, draining or gone.
    pub state: String,
    /// Maximum number of requests that the node's upstream processes concurrently.
    pub slots: u32,
    /// Address of the node's admin listener.
    pub admin: String,
    /// Address at which the node receives gossip and control calls.
    pub peer: String,
    /// Address at which the node receives requests of other nodes.
    pub requests: String,
}

/// A route of the configuration in force.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct RouteView {
    /// Name of the service that the route leads to; several names are separated by commas.
    pub service: String,
    /// HTTP method of the route.
    pub method: String,
    /// Path pattern, as written in the configuration.
    pub path: String,
    /// Rank of the route; 0 is the most urgent.
    pub rank: u8,
    /// Maximum time from the arrival of a request to its response, in milliseconds.
    pub deadline_ms: u64,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// Weight of the route among the routes of its rank.
    pub weight: u32,
}

/// An endpoint of the service that a route leads to.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct EndpointView {
    /// Id of the endpoint's node.
    pub node: String,
    /// Address at which the node receives requests of other nodes.
    #[serde(rename = "requests")]
    pub request_address: String,
    /// Failure domain of the node.
    pub domain: String,
    /// Stage of the node's upstream: warming, ready, draining or gone.
    pub state: String,
    /// Maximum number of requests that the node's upstream processes concurrently.
    pub slots: u32,
    /// Whether the responding node sends requests to the endpoint.
    pub takes_requests: bool,
    /// Why the responding node sends requests to the endpoint or not.
    #[serde(rename = "why")]
    pub reason: String,
}

/// Body of `GET /explain`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct Explanation {
    /// Configuration version in force; 0 while the node has no configuration.
    pub version: u64,
    /// Route that the request is sent to; `None` if no route matches.
    pub route: Option<RouteView>,
    /// Why this route is chosen, or why none is.
    #[serde(rename = "why")]
    pub reason: String,
    /// Other routes that match the request, in order of precedence.
    pub passed_over: Vec<RouteView>,
    /// Endpoints of the services that the route leads to.
    pub endpoints: Vec<EndpointView>,
}

impl Status {
    pub(crate) fn new(driver: &TrafficDriver) -> Self {
        let topology = driver.topology();
        let load = driver.load();
        let snapshot = topology.snapshot.as_ref();
        let own_upstream = topology.own_upstream.as_ref();
        let report = &topology.report;
        let last_refusal = report.last_refusal.as_ref();
        let has_keys = snapshot.is_some_and(|it| it.has_organisations());
        let key_time_left = driver.key_time_left().filter(|_| has_keys);
        let live_members = topology.members().iter().filter(|it| it.is_live());
        Self {
            node: topology.node_id.to_string(),
            domain: topology.domain.to_string(),
            node_stage: describe_node_stage(topology.node_stage).to_owned(),
            version: snapshot.map_or(0, |it| it.version().0),
            digest: snapshot.map_or_else(String::new, |it| it.digest().to_string()),
            service: own_upstream.map_or_else(String::new, |(_, it)| it.service.to_string()),
            state: own_upstream
                .map_or("", |(stage, _)| describe_stage(*stage))
                .to_owned(),
            running: load.running,
            queued: load.queued,
            limit: load.limit,
            live_members: live_members.count(),
            refused: report.refused,
            corrupt: report.corrupt,
            conflicts: report.conflicts,
            store_behind: report.store_behind,
            store_restores: report.store_restores,
            last_refusal: last_refusal.map_or_else(String::new, |it| {
                format!("version {}: {}", it.version, it.message)
            }),
            keys: describe_keys(key_time_left).to_owned(),
            keys_valid_ms: key_time_left.map_or(0, |it| it.as_millis() as u64),
            program: env!("CARGO_PKG_VERSION").to_owned(),
            organisations: list_limit_usage(driver),
            rollouts: list_rollouts(&topology),
        }
    }
}

fn list_rollouts(topology: &Topology) -> Vec<RolloutView> {
    let services = topology.rollouts.services().iter();
    let services = services.take(MAX_ROLLOUTS).map(|it| {
        let trial = it.trial.as_ref();
        RolloutView {
            service: it.service.to_string(),
            established: it.established.as_deref().unwrap_or_default().to_owned(),
            target: trial.map_or_else(String::new, |it| it.target.to_string()),
            phase: trial.map_or("", |it| describe_phase(it.phase)).to_owned(),
            halted: trial.is_some_and(|it| it.halted),
        }
    });
    services.collect()
}

fn describe_phase(phase: Phase) -> &'static str {
    match phase {
        Phase::Running => "running",
        Phase::Promoting => "promoting",
        Phase::Succeeded => "succeeded",
        Phase::RolledBack => "rolled-back",
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

fn list_limit_usage(driver: &TrafficDriver) -> Vec<LimitUsage> {
    let usages = driver.list_limit_usage().into_iter();
    let usages = usages.map(|(name, part)| LimitUsage {
        name: name.to_string(),
        used_percent: to_percent(part),
    });
    usages.collect()
}

fn to_percent(part: f64) -> u32 {
    (part * 100.0).round() as u32
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

fn describe_keys(time_left: Option<Duration>) -> &'static str {
    match time_left {
        None => "",
        Some(Duration::ZERO) => "unverified",
        Some(_) => "verified",
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
