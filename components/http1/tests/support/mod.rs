//! A node's traffic side in this process, with a stand-in upstream.

// Each test program uses a part of this.
#![allow(dead_code)]
// The linter knows only test functions as tests.
#![allow(clippy::unwrap_used)]

pub(crate) mod proxy;
pub(crate) mod raw;
pub(crate) mod upstream;

use std::net::SocketAddr;
use std::sync::Arc;

use arc_swap::ArcSwap;
use tarpc::context::Context;
use tokio_util::sync::CancellationToken;

use admit as _;
use balance as _;
use config::Snapshot;
use control::NodeStage;
use control::Topology;
use front::FRONT_END_PLUGINS;
use front::FrontEndAddresses;
use front::TrafficDriver;
use front::TrafficDriverParts;

use health as _;
use http1 as _;
use ids::Domain;
use ids::Incarnation;
use ids::NodeId;
use ids::Version;
use kernel::clock::MonotonicClock;
use kernel::plugin::Params;
use kernel::plugin::build;
use member::ListenAddresses;
use member::Member;
use member::MemberTable;
use member::Stage;
use member::Status;
use member::Upstream as Announced;
use policy::ADMISSION_PLUGINS;
use policy::BALANCE_PLUGINS;
use policy::HEALTH_PLUGINS;
use policy::RETRY_PLUGINS;

use retry as _;
use telemetry::Metrics;
use traffic::owner::UpstreamEnd;
use wire::control::Outcome;
use wire::control::OutcomeQuery;
use wire::control::Peer;
use wire::control::PullResponse;

pub(crate) use raw::free_address;

/// Routes of all tests: GET may be repeated, POST may not.
pub(crate) const TEXT: &str = r#"
services:
  - name: s
    not_run_statuses: [503]
    routes:
      - { method: GET, path: "/**", rank: 0, deadline_ms: 3000 }
      - { method: HEAD, path: "/**", rank: 0, deadline_ms: 3000, idempotent: true }
      - { method: POST, path: "/**", rank: 1, deadline_ms: 3000 }
      - { method: PUT, path: "/**", rank: 1, deadline_ms: 700, idempotent: true }
"#;

#[derive(Clone)]
struct Handler(Arc<TrafficDriver>);

impl Peer for Handler {
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

/// One node.
pub(crate) struct Node {
    pub(crate) id: NodeId,
    pub(crate) callers: SocketAddr,
    pub(crate) requests: SocketAddr,
    pub(crate) peer: SocketAddr,
    pub(crate) driver: Arc<TrafficDriver>,
    pub(crate) stop: CancellationToken,
    pub(crate) serving: tokio::task::JoinHandle<()>,
    topology: Arc<ArcSwap<Topology>>,
}

impl Node {
    /// A node that owns `upstream` with this many slots and connections. Its simple plug-ins leave
    /// the outcome of a test to the front end.
    pub(crate) async fn start(upstream: SocketAddr, slots: u32, max_connections: u32) -> Self {
        Self::start_with(upstream, slots, max_connections, ("fifo", "none")).await
    }

    /// A node with these plug-ins for admission and health.
    pub(crate) async fn start_with(
        upstream: SocketAddr,
        slots: u32,
        max_connections: u32,
        (admission, health): (&str, &str),
    ) -> Self {
        let id = NodeId(rand::random());
        let clock = MonotonicClock::new();
        let metrics = Arc::new(Metrics::new().unwrap());
        let domain = Domain::new("d");
        let first = Topology::new(
            id,
            domain,
            NodeStage::Joining,
            None,
            &MemberTable::default(),
            0,
        );
        let topology = Arc::new(ArcSwap::from_pointee(first));
        let none = Params::default();
        let admission = build("admission", &ADMISSION_PLUGINS, admission, &none).unwrap();
        let entry = traffic::entry::Machine::new(
            build("balance", &BALANCE_PLUGINS, "p2c", &none).unwrap(),
            build("retry", &RETRY_PLUGINS, "budget", &none).unwrap(),
            build("health", &HEALTH_PLUGINS, health, &none).unwrap(),
        );
        let driver = Arc::new(TrafficDriver::new(TrafficDriverParts {
            node_id: id,
            clock,
            topology: Arc::clone(&topology),
            entry,
            owner: traffic::owner::Machine::new(id, admission, UpstreamEnd::Leave),
            metrics,
        }));
        let (callers, requests, peer) = (free_address(), free_address(), free_address());
        let stop = CancellationToken::new();
        let front = build("front", &FRONT_END_PLUGINS, "http1", &none).unwrap();
        let addresses = FrontEndAddresses {
            callers,
            requests,
            upstream,
        };
        let starting = front.start(addresses, Arc::clone(&driver), stop.clone());
        let serving = tokio::spawn(starting.await.unwrap());
        let handler = Handler(Arc::clone(&driver));
        tokio::spawn(transport::calls::listen(peer, handler).await.unwrap());
        let timers = Arc::clone(&driver);
        tokio::spawn(async move { timers.run_timers().await });
        let node = Self {
            id,
            callers,
            requests,
            peer,
            driver,
            stop,
            serving,
            topology,
        };
        node.set_stage(Stage::Ready, slots);
        node.know(&[(&node, slots, max_connections)], NodeStage::Serving);
        node
    }

    /// Tells the owner of its upstream's stage.
    pub(crate) fn set_stage(&self, stage: Stage, slots: u32) {
        let input = traffic::owner::Input::UpstreamAnnounced { stage, slots };
        self.driver.step_owner(input);
    }

    /// Publishes a topology of these nodes with their slots and connections.
    pub(crate) fn know(&self, nodes: &[(&Node, u32, u32)], node_stage: NodeStage) {
        let mut table = MemberTable::default();
        for (node, slots, max_connections) in nodes {
            table.merge(node.member(*slots, *max_connections));
        }
        self.publish(&table, node_stage);
    }

    /// Publishes a topology of these members.
    pub(crate) fn publish(&self, table: &MemberTable, node_stage: NodeStage) {
        let snapshot: Arc<Snapshot> = Arc::new(config::compile(TEXT, Version(1)).unwrap());
        let domain = Domain::new("d");
        let topology = Topology::new(self.id, domain, node_stage, Some(snapshot), table, 1);
        self.topology.store(Arc::new(topology));
    }

    /// The node as a member that owns a ready upstream.
    pub(crate) fn member(&self, slots: u32, max_connections: u32) -> Member {
        member(self.id, self.requests, self.peer, slots, max_connections)
    }

    /// Value of the counter with these labels; 0 if it was never counted.
    pub(crate) fn counter(&self, line: &str) -> u64 {
        let text = self.driver.metrics().encode().unwrap();
        let found = text.lines().find(|it| it.starts_with(line));
        found.map_or(0, |it| it.rsplit(' ').next().unwrap().parse().unwrap())
    }
}

/// A member that owns a ready upstream.
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
        upstream: Some(Announced {
            run_id: None,
            service: Arc::from("s"),
            slots,
            max_connections,
        }),
    }
}

/// An entry node that knows one owner, which has this upstream.
pub(crate) async fn start_pair(
    upstream: SocketAddr,
    slots: u32,
    max_connections: u32,
) -> (Node, Node) {
    let owner = Node::start(upstream, slots, max_connections).await;
    let entry = Node::start(free_address(), 1, 1).await;
    entry.know(&[(&owner, slots, max_connections)], NodeStage::Serving);
    (entry, owner)
}
