//! Life of the node's own upstream and the topologies that are published.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rstest::rstest;

use control::AnnouncementOrder;
use control::Effect;
use control::Input;
use control::Machine;
use control::NodeStage;
use control::Topology;
use ids::Domain;
use ids::Incarnation;
use ids::NodeId;

use kernel::StateMachine as _;
use kernel::Time;
use kernel::random::SeededRandom;
use member::ConfigId;
use member::Gossip;
use member::ListenAddresses;
use member::Member;
use member::Message;
use member::Parameters;
use member::Stage;
use member::Status;
use member::Update;
use member::Upstream;

struct Node {
    machine: Machine,
    random: SeededRandom,
    now: Time,
    topologies: Vec<(Time, Arc<Topology>)>,
}

impl Node {
    fn new(contacts: &[SocketAddr]) -> Self {
        let address = SocketAddr::from(([127, 31, 6, 1], 1));
        let me = Member {
            id: NodeId(1),
            addresses: ListenAddresses {
                peer: address,
                requests: address,
                admin: address,
            },
            domain: Domain::new("huesca"),
            incarnation: Incarnation(1),
            status: Status::Alive,
            stage: Stage::Warming,
            upstream: None,
        };
        Self {
            machine: Machine::new(me, contacts.to_vec(), Parameters::default(), Time(0))
                .with_service(Some("planta")),
            random: SeededRandom::new(1),
            now: Time(0),
            topologies: Vec::new(),
        }
    }

    fn keep(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            if let Effect::Publish(topology) = effect {
                self.topologies.push((self.now, topology));
            }
        }
    }

    fn input(&mut self, input: Input) {
        let mut effects = Vec::new();
        self.machine
            .step(self.now, input, &mut self.random, &mut effects);
        self.keep(effects);
    }

    fn announce(&mut self, stage: Stage, slots: u32) {
        let upstream = Upstream {
            service: Arc::from("planta"),
            run_id: None,
            slots,
            connections: 9,
        };
        self.input(Input::UpstreamAnnounced {
            stage,
            upstream,
            order: None,
        });
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.machine.next_wake().is_some_and(|due| due <= end) {
            self.now = self.now.max(self.machine.next_wake().unwrap_or_default());
            let mut effects = Vec::new();
            self.machine.wake(self.now, &mut self.random, &mut effects);
            self.keep(effects);
        }
        self.now = end;
    }

    fn stage(&self) -> Option<Stage> {
        self.machine.table().get(NodeId(1)).map(|it| it.stage)
    }
}

/// Guards against an upstream that vanished and still gets work, and one that cannot come back.
#[rstest]
fn lapse_lease() {
    let mut node = Node::new(&[]);
    node.announce(Stage::Ready, 5);
    node.run(Duration::from_secs(9));
    node.announce(Stage::Ready, 5);
    node.run(Duration::from_secs(9));
    assert_eq!(node.stage(), Some(Stage::Ready));
    node.run(Duration::from_millis(1_100));
    assert_eq!(node.stage(), Some(Stage::Gone));
    node.announce(Stage::Ready, 5);
    assert_eq!(node.stage(), Some(Stage::Ready));
}

/// Guards against a lease that ends because the node itself was paused.
#[rstest]
fn pause_lease() {
    let mut node = Node::new(&[]);
    node.announce(Stage::Ready, 5);
    node.run(Duration::from_millis(500));
    node.now = node.now + Duration::from_secs(30);
    node.run(Duration::from_secs(5));
    assert_eq!(node.stage(), Some(Stage::Ready));
}

/// Guards against an upstream that a leaving node advertises again.
#[rstest]
#[case::ready(Stage::Ready, Stage::Draining)]
#[case::gone(Stage::Gone, Stage::Gone)]
fn announce_while_leaving(#[case] announced: Stage, #[case] expected: Stage) {
    let mut node = Node::new(&[]);
    node.announce(Stage::Ready, 5);
    node.input(Input::Drain);
    node.announce(announced, 6);
    assert_eq!(node.stage(), Some(expected));
}

/// Guards against topologies without news, and against a burst of them.
#[rstest]
fn publish_coalesced() {
    let mut node = Node::new(&[]);
    for slots in 1..=100 {
        node.announce(Stage::Ready, slots);
        node.announce(Stage::Ready, slots);
        node.run(Duration::from_millis(1));
    }
    node.run(Duration::from_secs(5));
    let times: Vec<Time> = node.topologies.iter().map(|it| it.0).collect();
    assert!(
        times
            .windows(2)
            .all(|it| it[1].since(it[0]) >= Duration::from_millis(20))
    );
    assert_eq!(times.len(), 6);
    let own = node
        .topologies
        .last()
        .and_then(|it| it.1.own_upstream.clone());
    assert_eq!(own.map(|it| it.1.slots), Some(100));
}

/// Guards against a node that serves before its contacts had their chance.
#[rstest]
#[case::first_node(false, 0)]
#[case::silent_contact(true, 3)]
fn serve_after_join(#[case] contact: bool, #[case] seconds: u64) {
    let contact = contact.then(|| SocketAddr::from(([127, 31, 6, 2], 1)));
    let mut node = Node::new(contact.as_slice());
    node.run(Duration::ZERO);
    let record = {
        let text = "services: []\n";
        let digest = ids::Digest::of(text.as_bytes());
        let (version, parent, text) = (ids::Version(1), ids::Digest(0), Arc::from(text));
        config::Record {
            version,
            edit_hash: 1,
            parent_digest: parent,
            digest,
            format: config::NEWEST_FORMAT,
            text,
        }
    };
    let revision = spread::Revision(1);
    node.input(Input::Store(spread::StoreEvent::Value {
        record: Some(record),
        revision,
    }));
    let addresses = Vec::new();
    node.input(Input::Contacts(spread::ContactsEvent::Value {
        addresses,
        revision,
    }));
    node.run(Duration::from_secs(10));
    let served = node
        .topologies
        .iter()
        .find(|it| it.1.node_stage == NodeStage::Serving);
    let served = served.map(|it| it.0.since(Time(0)).as_secs());
    assert_eq!(served, Some(seconds));
}

fn run_of(run_id: &str) -> Upstream {
    Upstream {
        service: Arc::from("planta"),
        run_id: Some(Arc::from(run_id)),
        slots: 5,
        connections: 9,
    }
}

fn announced(run_id: &str, stage: Stage, run_started_ms: u64, sequence: u64) -> Input {
    Input::UpstreamAnnounced {
        stage,
        upstream: run_of(run_id),
        order: Some(AnnouncementOrder {
            run_started_ms,
            sequence,
        }),
    }
}

/// Guards against a late or crossed announcement that brings back what the upstream was before: an
/// earlier stage, an earlier run at the same address, or a run that has said that it ends.
#[rstest]
#[case::earlier_stage(announced("b", Stage::Ready, 2, 3), "b", Stage::Draining)]
#[case::same_again(announced("b", Stage::Ready, 2, 5), "b", Stage::Draining)]
#[case::earlier_run(announced("a", Stage::Ready, 1, 90), "b", Stage::Draining)]
#[case::newer(announced("b", Stage::Ready, 2, 6), "b", Stage::Ready)]
#[case::newer_run(announced("c", Stage::Ready, 3, 1), "c", Stage::Ready)]
#[case::departed(
    Input::UpstreamDeparted { run_id: Arc::from("b"), order: None }, "b", Stage::Gone
)]
#[case::other_departed(
    Input::UpstreamDeparted { run_id: Arc::from("a"), order: None }, "b", Stage::Draining
)]
fn announce_order(#[case] late: Input, #[case] run: &str, #[case] expected: Stage) {
    let mut node = Node::new(&[]);
    node.input(announced("b", Stage::Draining, 2, 5));
    node.input(late);
    let member = node
        .machine
        .table()
        .get(NodeId(1))
        .expect("it knows itself");
    let upstream = member.upstream.as_ref().and_then(|it| it.run_id.as_deref());
    assert_eq!((upstream, member.stage), (Some(run), expected));
}

/// Guards against a heartbeat that was on its way when its run said that it ends.
#[rstest]
fn depart_then_late() {
    let mut node = Node::new(&[]);
    node.input(announced("b", Stage::Ready, 2, 5));
    let run_id = Arc::from("b");
    node.input(Input::UpstreamDeparted {
        run_id,
        order: None,
    });
    node.input(announced("b", Stage::Ready, 2, 9));
    assert_eq!(node.stage(), Some(Stage::Gone));
    node.input(announced("c", Stage::Ready, 3, 1));
    assert_eq!(node.stage(), Some(Stage::Ready));
}

/// Guards against a restarted node that refuses its upstream's work until the next heartbeat, and
/// against one that takes over an upstream which has said that it leaves.
#[rstest]
#[case::goes_on(Status::Left, Stage::Ready, Some("b"), Stage::Ready)]
#[case::killed(Status::Dead, Stage::Ready, Some("b"), Stage::Ready)]
#[case::leaving(Status::Left, Stage::Draining, Some("b"), Stage::Warming)]
#[case::gone(Status::Left, Stage::Gone, Some("b"), Stage::Warming)]
#[case::nameless(Status::Left, Stage::Ready, None, Stage::Warming)]
fn adopt_upstream(
    #[case] status: Status,
    #[case] stage: Stage,
    #[case] run: Option<&str>,
    #[case] expected: Stage,
) {
    adopt(
        &mut Node::new(&[]),
        status,
        (stage, run.map(run_of)),
        expected,
    );
}

/// Guards against a process that has just started, is told that its upstream leaves before it has heard
/// of any member, and then takes the upstream over as ready.
#[rstest]
#[case::no_order(None, "c")]
#[case::order(Some(AnnouncementOrder { run_started_ms: 2, sequence: 9 }), "c")]
#[case::same_name(None, "b")]
fn adopt_departed(#[case] order: Option<AnnouncementOrder>, #[case] later: &str) {
    let mut node = Node::new(&[]);
    let run_id = Arc::from("b");
    node.input(Input::UpstreamDeparted { run_id, order });
    let earlier = (Stage::Ready, Some(run_of("b")));
    adopt(&mut node, Status::Left, earlier, Stage::Warming);
    // Announcements of the run come late.
    node.input(announced("b", Stage::Ready, 2, 8));
    node.input(announced("b", Stage::Ready, 2, 10));
    assert_eq!(node.stage(), Some(Stage::Warming));
    // A later run is taken in, also one of the same name.
    node.input(announced(later, Stage::Ready, 3, 1));
    assert_eq!(node.stage(), Some(Stage::Ready));
}

/// Guards against a run that was taken over, has left, and comes back with a late announcement.
#[rstest]
fn announce_late_adopted() {
    let mut node = Node::new(&[]);
    let earlier = (Stage::Ready, Some(run_of("b")));
    adopt(&mut node, Status::Left, earlier, Stage::Ready);
    let run_id = Arc::from("b");
    node.input(Input::UpstreamDeparted {
        run_id,
        order: None,
    });
    node.input(announced("b", Stage::Ready, 2, 8));
    assert_eq!(node.stage(), Some(Stage::Gone));
}

/// Guards against a run that is never served because an earlier one of its name had left.
#[rstest]
fn announce_after_departed() {
    let mut node = Node::new(&[]);
    let run_id = Arc::from("b");
    node.input(Input::UpstreamDeparted {
        run_id,
        order: None,
    });
    node.input(announced("b", Stage::Ready, 3, 1));
    assert_eq!(node.stage(), Some(Stage::Warming));
    node.run(Duration::from_secs(31));
    node.input(announced("b", Stage::Ready, 3, 9));
    assert_eq!(node.stage(), Some(Stage::Ready));
}

/// Guards against the upstream of an instance whose address another service's instance has now: its
/// requests ran at that service.
#[rstest]
fn adopt_other_service() {
    let other = Upstream {
        service: Arc::from("reservas"),
        ..run_of("b")
    };
    let earlier = (Stage::Ready, Some(other));
    adopt(&mut Node::new(&[]), Status::Dead, earlier, Stage::Warming);
}

fn adopt(
    node: &mut Node,
    status: Status,
    (stage, upstream): (Stage, Option<Upstream>),
    expected: Stage,
) {
    let me = node
        .machine
        .table()
        .get(NodeId(1))
        .expect("it knows itself");
    let earlier = Member {
        id: NodeId(7),
        incarnation: Incarnation(4),
        status: Status::Alive,
        stage,
        upstream,
        ..Member::clone(me)
    };
    let teller = Member {
        id: NodeId(8),
        addresses: ListenAddresses {
            peer: SocketAddr::from(([127, 31, 6, 8], 1)),
            ..earlier.addresses
        },
        upstream: None,
        ..earlier.clone()
    };
    let from = teller.addresses.peer;
    for status in [Status::Alive, status] {
        let mut told = earlier.clone();
        told.status = status;
        let update = |member: &Member| Update {
            member: Arc::new(member.clone()),
            source: teller.id,
        };
        let gossip = Gossip {
            from: teller.id,
            config_id: ConfigId::default(),
            updates: vec![update(&teller), update(&told)],
        };
        let message = Message::Ping {
            sequence: 1,
            gossip,
        };
        node.input(Input::Datagram { from, message });
    }
    assert_eq!(node.stage(), Some(expected));
    node.run(Duration::from_secs(5));
    assert_ne!(node.stage(), Some(Stage::Ready));
}

/// Guards against a node that has left and then takes back what its next process needs: the stage that
/// the upstream itself has announced.
#[rstest]
#[case::goes_on(Stage::Ready, Stage::Ready)]
#[case::leaves_too(Stage::Draining, Stage::Draining)]
fn leave_keeps_stage(#[case] last: Stage, #[case] expected: Stage) {
    let mut node = Node::new(&[]);
    node.input(announced("b", last, 2, 5));
    node.input(Input::Drain);
    node.input(Input::Drained);
    node.run(Duration::from_secs(1));
    let me = node
        .machine
        .table()
        .get(NodeId(1))
        .expect("it knows itself");
    assert_eq!((me.status, me.stage), (Status::Left, expected));
}
