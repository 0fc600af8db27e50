//! Runs the traffic part of nodes in the test process, with fake upstreams.

// Each test binary uses only some of these helpers.
#![allow(dead_code)]
// Clippy allows `unwrap` only in functions that are tests themselves, not in their helpers.
#![allow(clippy::unwrap_used)]

pub(crate) mod endless;
pub(crate) mod proxy;
pub(crate) mod raw;
pub(crate) mod slow_link;
pub(crate) mod upstream;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;

use arc_swap::ArcSwap;
use tarpc::context::Context;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use admit as _;
use balance as _;
use config::Snapshot;
use control::NodeStage;
use control::Topology;
use front::FRONT_END_PLUGINS;
use front::FrontEndAddresses;
use front::KeyValidity;
use front::TrafficDriver;
use front::TrafficDriverParts;

use health as _;
use http1 as _;
use ids::Domain;
use ids::Incarnation;
use ids::NodeId;
use ids::Version;
use kernel::Time;
use kernel::clock::MonotonicClock;
use kernel::plugin::Params;
use kernel::plugin::build;
use member::ListenAddresses;
use member::Member;
use member::MemberTable;
use member::Stage;
use member::Status;
use member::Upstream as AnnouncedUpstream;
use policy::ADMISSION_PLUGINS;
use policy::BALANCE_PLUGINS;
use policy::HEALTH_PLUGINS;
use policy::RETRY_PLUGINS;
use quarantine::View;

use retry as _;
use telemetry::Metrics;
use traffic::owner::UpstreamEnd;
use wire::control::Outcome;
use wire::control::OutcomeQuery;
use wire::control::Peer;
use wire::control::PullResponse;

pub(crate) use raw::free_address;

/// Configuration of all tests: GET, HEAD and PUT are idempotent, POST is not.
pub(crate) const CONFIG_TEXT: &str = r#"
services:
  - name: s
    not_run_statuses: [503]
    routes:
      - { method: GET, path: "/**", rank: 0, deadline_ms: 3000 }
      - { method: HEAD, path: "/**", rank: 0, deadline_ms: 3000, idempotent: true }
      - { method: POST, path: "/**", rank: 1, deadline_ms: 3000 }
      - { method: PUT, path: "/**", rank: 1, deadline_ms: 700, idempotent: true }
routes:
  - host: large.example
    prefix: /
    rank: 0
    deadline_ms: 3000
    idempotent: true
    large_responses: true
    targets: [{ service: s }]
"#;

/// Number of facts that can wait for the control thread.
const CONTROL_QUEUE_CAPACITY: usize = 64;

/// Control calls of other nodes; only queries of outcomes are implemented.
#[derive(Clone)]
struct PeerHandler(Arc<TrafficDriver>);

impl Peer for PeerHandler {
    async fn sync(
        self,
        _: Context,
        _: wire::sync::SyncRequest,
    ) -> Option<wire::sync::SyncResponse> {
        None
    }

    async fn pull(self, _: Context, _: u64, _: u64) -> PullResponse {
        PullResponse::UpToDate
    }

    async fn outcome(self, _: Context, query: OutcomeQuery) -> Outcome {
        self.0.report_outcome(query.into()).await.into()
    }
}

/// A node without the control thread: the test sets its topology and the stage of its upstream.
pub(crate) struct Node {
    pub(crate) id: NodeId,
    /// Listen address for callers.
    pub(crate) callers: SocketAddr,
    /// Listen address for requests of other nodes.
    pub(crate) requests: SocketAddr,
    /// Listen address for control calls of other nodes.
    pub(crate) peer: SocketAddr,
    pub(crate) driver: Arc<TrafficDriver>,
    /// Time until which keys are verified; without an end unless a test changes it.
    pub(crate) key_validity: KeyValidity,
    pub(crate) front_end_stop: CancellationToken,
    pub(crate) front_end_task: tokio::task::JoinHandle<()>,
    /// Facts that the traffic part reports to the control thread.
    pub(crate) control_inputs: Mutex<mpsc::Receiver<control::Input>>,
    topology: Arc<ArcSwap<Topology>>,
}

impl Node {
    /// Starts a node that owns `upstream` with this many slots and connections. The plug-ins `fifo`
    /// and `none` make no decisions of their own, so that a test depends on the front end alone.
    pub(crate) async fn start(upstream: SocketAddr, slots: u32, max_connections: u32) -> Self {
        Self::start_with_plugins(upstream, slots, max_connections, ("fifo", "none")).await
    }

    /// Starts a node with these plug-ins for admission and health.
    pub(crate) async fn start_with_plugins(
        upstream: SocketAddr,
        slots: u32,
        max_connections: u32,
        plugins: (&str, &str),
    ) -> Self {
        let front = Params::default();
        Self::start_with_front(upstream, (slots, max_connections), plugins, &front).await
    }

    /// Starts a node like [`Node::start`] whose instance has a link of this rate.
    pub(crate) async fn start_with_link(upstream: SocketAddr, slots: u32, link_mbps: f64) -> Self {
        let plugins = ("fifo", "none");
        let link_rate = Some(link::Rate::from_mbps(link_mbps));
        Self::start_node(
            upstream,
            (slots, 10),
            plugins,
            &Params::default(),
            link_rate,
        )
        .await
    }

    /// Starts a node with these plug-ins for admission and health, and these params of its front end.
    pub(crate) async fn start_with_front(
        upstream: SocketAddr,
        limits: (u32, u32),
        plugins: (&str, &str),
        front: &Params,
    ) -> Self {
        Self::start_node(upstream, limits, plugins, front, None).await
    }

    /// Starts a node whose instance has a link of this rate, if one is given.
    pub(crate) async fn start_node(
        upstream: SocketAddr,
        (slots, max_connections): (u32, u32),
        (admission, health): (&str, &str),
        front: &Params,
        link_rate: Option<link::Rate>,
    ) -> Self {
        let id = NodeId(rand::random());
        let clock = MonotonicClock::new();
        let metrics = Arc::new(Metrics::new().unwrap());
        let domain = Domain::new("d");
        let initial_topology = Topology::new(
            id,
            domain,
            NodeStage::Joining,
            None,
            &MemberTable::default(),
            0,
        );
        let topology = Arc::new(ArcSwap::from_pointee(initial_topology));
        let no_params = Params::default();
        let admission = build("admission", &ADMISSION_PLUGINS, admission, &no_params).unwrap();
        let entry = traffic::entry::Machine::new(
            build("balance", &BALANCE_PLUGINS, "p2c", &no_params).unwrap(),
            build("retry", &RETRY_PLUGINS, "budget", &no_params).unwrap(),
            build("health", &HEALTH_PLUGINS, health, &no_params).unwrap(),
        );
        let mut owner = traffic::owner::Machine::new(id, admission, UpstreamEnd::Leave);
        if let Some(rate) = link_rate {
            owner.set_link_rate(rate);
        }
        let (control_inputs, control_receiver) = mpsc::channel(CONTROL_QUEUE_CAPACITY);
        let driver = TrafficDriver::new(TrafficDriverParts {
            node_id: id,
            clock,
            topology: Arc::clone(&topology),
            entry,
            owner,
            metrics,
            control_inputs,
        });
        let key_validity = KeyValidity::default();
        key_validity.cell().set_valid_until(Time(u64::MAX));
        let driver = driver
            .with_link_rate(link_rate)
            .with_key_validity(key_validity.clone());
        let driver = Arc::new(driver);
        let (callers, requests, peer) = (free_address(), free_address(), free_address());
        let front_end_stop = CancellationToken::new();
        let front_end = build("front", &FRONT_END_PLUGINS, "http1", front).unwrap();
        let addresses = FrontEndAddresses {
            callers,
            requests,
            upstream,
        };
        let start_future = front_end.start(addresses, Arc::clone(&driver), front_end_stop.clone());
        let front_end_task = tokio::spawn(start_future.await.unwrap());
        let peer_handler = PeerHandler(Arc::clone(&driver));
        tokio::spawn(transport::calls::listen(peer, peer_handler).await.unwrap());
        let timer_driver = Arc::clone(&driver);
        tokio::spawn(async move { timer_driver.run_timers().await });
        let node = Self {
            id,
            callers,
            requests,
            peer,
            driver,
            key_validity,
            front_end_stop,
            front_end_task,
            control_inputs: Mutex::new(control_receiver),
            topology,
        };
        node.set_upstream_stage(Stage::Ready, slots);
        node.publish_nodes(&[(&node, slots, max_connections)], NodeStage::Serving);
        node
    }

    /// Announces the stage and the slots of the upstream to the owner part of this node.
    pub(crate) fn set_upstream_stage(&self, stage: Stage, slots: u32) {
        let input = traffic::owner::Input::UpstreamAnnounced { stage, slots };
        self.driver.step_owner(input);
    }

    /// Publishes a topology of these nodes, each with its slots and connections.
    pub(crate) fn publish_nodes(&self, nodes: &[(&Node, u32, u32)], node_stage: NodeStage) {
        let mut table = MemberTable::default();
        for (node, slots, max_connections) in nodes {
            table.merge(node.member(*slots, *max_connections));
        }
        self.publish(&table, node_stage);
    }

    /// Publishes a topology of these members to the traffic part of this node.
    pub(crate) fn publish(&self, table: &MemberTable, node_stage: NodeStage) {
        self.publish_config(CONFIG_TEXT, table, node_stage);
    }

    /// Publishes a topology of these members with the configuration `text`.
    pub(crate) fn publish_config(&self, text: &str, table: &MemberTable, node_stage: NodeStage) {
        let snapshot: Arc<Snapshot> = Arc::new(config::compile(text, Version(1)).unwrap());
        let domain = Domain::new("d");
        let topology = Topology::new(self.id, domain, node_stage, Some(snapshot), table, 1);
        self.topology.store(Arc::new(topology));
    }

    /// Publishes the topology with these suspect requests.
    pub(crate) fn publish_suspects(&self, suspects: View) {
        let topology = Topology::clone(&self.topology.load());
        let topology = topology.with_suspects(Arc::new(suspects));
        self.topology.store(Arc::new(topology));
    }

    /// Returns the node as a member that owns a ready upstream.
    pub(crate) fn member(&self, slots: u32, max_connections: u32) -> Member {
        member(self.id, self.requests, self.peer, slots, max_connections)
    }

    /// Returns the value of the counter whose line in the metrics text starts with `line_start`, or 0
    /// if there is none.
    pub(crate) fn counter_value(&self, line_start: &str) -> u64 {
        let text = self.driver.metrics().encode().unwrap();
        let line = text.lines().find(|line| line.starts_with(line_start));
        line.map_or(0, |line| line.rsplit(' ').next().unwrap().parse().unwrap())
    }
}

/// Returns a member that owns a ready upstream.
pub(crate) fn member(
    id: NodeId,
    requests: SocketAddr,
    peer: SocketAddr,
    slots: u32,
    max_connections: u32,
) -> Member {
    Member {
        id,
        addresses: ListenAddresses {
            peer,
            requests,
            admin: peer,
        },
        domain: Domain::new("d"),
        incarnation: Incarnation(1),
        status: Status::Alive,
        stage: Stage::Ready,
        upstream: Some(AnnouncedUpstream {
            run_id: None,
            version: None,
            service: Arc::from("s"),
            slots,
            max_connections,
        }),
    }
}

/// Starts an owner with this upstream, and an entry node whose topology holds only this owner.
pub(crate) async fn start_entry_and_owner(
    upstream: SocketAddr,
    slots: u32,
    max_connections: u32,
) -> (Node, Node) {
    let owner = Node::start(upstream, slots, max_connections).await;
    let entry = Node::start(free_address(), 1, 1).await;
    entry.publish_nodes(&[(&owner, slots, max_connections)], NodeStage::Serving);
    (entry, owner)
}
