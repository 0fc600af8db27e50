//! Tests of rollouts in the control state machine of one node.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rstest::rstest;
use support::new_member;

use control::Effect;
use control::Input;
use control::Machine;
use control::Topology;
use ids::Digest;
use ids::NodeId;
use ids::Version;

use kernel::StateMachine as _;
use kernel::Time;
use kernel::random::SeededRandom;
use member::Parameters;
use member::Stage;
use member::Upstream;
use rollout::Limits;
use rollout::Order;
use rollout::Phase;
use rollout::Revision;
use rollout::StoreCall;
use rollout::StoreEvent;

const CONFIG: &str = "services:
  - name: desk
    routes:
      - {method: GET, path: /status, rank: 0, deadline_ms: 2000, idempotent: true}
";

/// A node alone, with what it has asked the store about rollouts.
struct Node {
    machine: Machine,
    random: SeededRandom,
    now: Time,
    calls: Vec<StoreCall>,
    topology: Option<Arc<Topology>>,
    messages: usize,
}

impl Node {
    /// A node that serves, whose upstream announces the version `v1`.
    fn new(limits: Option<Limits>) -> Self {
        let address = SocketAddr::from(([127, 0, 0, 1], 7_000));
        let own = new_member(NodeId(1), address);
        let machine = Machine::new(own, Vec::new(), Parameters::default(), Time(0));
        let mut node = Self {
            machine: machine.with_rollouts(limits),
            random: SeededRandom::new(1),
            now: Time(0),
            calls: Vec::new(),
            topology: None,
            messages: 0,
        };
        node.run(Duration::from_millis(1));
        let revision = spread::Revision::from(1);
        node.input(Input::Store(spread::StoreEvent::Value {
            record: Some(config::Record {
                version: Version(1),
                edit_hash: 0,
                parent_digest: Digest::default(),
                digest: Digest::of(CONFIG.as_bytes()),
                format: config::NEWEST_FORMAT,
                text: Arc::from(CONFIG),
            }),
            revision,
            store_revision: revision,
            is_writable: true,
        }));
        let addresses = Vec::new();
        node.input(Input::Contacts(spread::ContactsEvent::Value {
            addresses,
            revision,
        }));
        node.input(Input::UpstreamAnnounced {
            stage: Stage::Ready,
            upstream: Upstream {
                service: Arc::from("desk"),
                run_id: None,
                version: Some(Arc::from("v1")),
                slots: 4,
                max_connections: 9,
            },
            order: None,
        });
        node.run(Duration::from_secs(4));
        node
    }

    fn apply(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::CallRolloutStore(call) => self.calls.push(call),
                Effect::SendRollout { .. } => self.messages += 1,
                Effect::Publish(topology) => self.topology = Some(topology),
                _ => {}
            }
        }
    }

    fn input(&mut self, input: Input) {
        let mut effects = Vec::new();
        self.machine
            .step(self.now, input, &mut self.random, &mut effects);
        self.apply(effects);
    }

    fn answer(&mut self, event: StoreEvent) {
        let unix_ms = 1_000 + self.now.0 / 1_000;
        self.calls.clear();
        self.input(Input::RolloutStore { unix_ms, event });
        self.run(Duration::from_millis(100));
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.machine.next_wake().is_some_and(|due| due <= end) {
            self.now = self.now.max(self.machine.next_wake().unwrap_or_default());
            let mut effects = Vec::new();
            self.machine.wake(self.now, &mut self.random, &mut effects);
            self.apply(effects);
        }
        self.now = end;
    }
}

fn revision(number: u64) -> Revision {
    Revision { era: 0, number }
}

/// Guards against an order that the control state machine does not pass on: a node alone coordinates, and publishes
/// the trial once its first state is written.
#[rstest]
fn coordinate_order() {
    let limits = Limits {
        share: 0.1,
        slack: 50.0,
        stop: Duration::from_secs(5),
    };
    let mut node = Node::new(Some(limits));
    let service: Arc<str> = Arc::from("desk");
    let desk = || Arc::clone(&service);
    assert_eq!(node.calls, [StoreCall::ReadOrder { service: desk() }]);
    node.answer(StoreEvent::OrderRead {
        service: desk(),
        order: None,
        store_revision: revision(3),
    });
    assert_eq!(node.calls, [StoreCall::WatchOrders { after: revision(3) }]);
    let order = Order {
        revision: revision(4),
        target: Arc::from("v2"),
        duration_ms: 12_000,
    };
    node.answer(StoreEvent::OrdersWatched {
        orders: vec![(desk(), order)],
        store_revision: revision(4),
    });
    assert!(
        node.calls
            .contains(&StoreCall::ReadState { service: desk() })
    );
    node.answer(StoreEvent::StateRead {
        service: desk(),
        revision: revision(0),
        record: None,
    });
    let Some(StoreCall::WriteState { record, .. }) = node.calls.first().cloned() else {
        panic!("the state is not written: {:?}", node.calls);
    };
    assert_eq!((record.phase, &*record.established), (Phase::Running, "v1"));
    node.answer(StoreEvent::StateWritten {
        service: desk(),
        revision: revision(5),
        record,
    });
    let is_status = |it: &StoreCall| matches!(it, StoreCall::WriteStatus { .. });
    assert!(node.calls.iter().any(is_status));
    let topology = node.topology.expect("a topology is published");
    let view = topology
        .rollouts
        .find("desk")
        .expect("the service is known");
    assert_eq!(view.canary().map(|it| &*it.target), Some("v2"));
}

/// Guards against calls, messages or versions in announcements where the settings enable no rollouts.
#[rstest]
fn run_disabled() {
    let mut node = Node::new(None);
    let notice = rollout::Message::Query;
    let from = SocketAddr::from(([127, 0, 0, 1], 7_001));
    node.input(Input::Rollout {
        from,
        message: notice,
    });
    node.run(Duration::from_secs(20));
    assert_eq!((node.calls.len(), node.messages), (0, 0));
    let own = node.machine.table().get(NodeId(1));
    let upstream = own.and_then(|it| it.upstream.as_ref());
    assert_eq!(upstream.map(|it| it.version.is_none()), Some(true));
}
