//! Tests of the node's own upstream and of the topologies that the node publishes.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rstest::rstest;
use support::new_member;

use control::AnnouncementOrder;
use control::Effect;
use control::Input;
use control::Machine;
use control::NodeStage;
use control::Topology;
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

/// The node under test and the topologies that it has published.
struct Node {
    machine: Machine,
    random: SeededRandom,
    now: Time,
    topologies: Vec<(Time, Arc<Topology>)>,
}

impl Node {
    fn new(contacts: &[SocketAddr]) -> Self {
        let address = SocketAddr::from(([127, 31, 6, 1], 1));
        let own = new_member(NodeId(1), address);
        Self {
            machine: Machine::new(own, contacts.to_vec(), Parameters::default(), Time(0))
                .with_service(Some("planta")),
            random: SeededRandom::new(1),
            now: Time(0),
            topologies: Vec::new(),
        }
    }

    fn record_topologies(&mut self, effects: Vec<Effect>) {
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
        self.record_topologies(effects);
    }

    fn announce(&mut self, stage: Stage, slots: u32) {
        let upstream = Upstream {
            service: Arc::from("planta"),
            run_id: None,
            version: None,
            slots,
            max_connections: 9,
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
            self.record_topologies(effects);
        }
        self.now = end;
    }

    fn stage(&self) -> Option<Stage> {
        self.machine.table().get(NodeId(1)).map(|it| it.stage)
    }
}

/// Checks that an upstream that stops announcing itself is gone when its lease ends, and is ready again
/// after a new announcement.
#[rstest]
fn expire_lease() {
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

/// Checks that a lease does not expire because the node itself was paused.
#[rstest]
fn wake_after_pause() {
    let mut node = Node::new(&[]);
    node.announce(Stage::Ready, 5);
    node.run(Duration::from_millis(500));
    node.now = node.now + Duration::from_secs(30);
    node.run(Duration::from_secs(5));
    assert_eq!(node.stage(), Some(Stage::Ready));
}

/// Checks that a leaving node does not announce its upstream as ready again.
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

/// Checks that unchanged announcements publish no topology, and that frequent changes are coalesced.
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

/// Checks that a node without contacts serves at once, and that a node whose contact does not answer
/// serves after the join timeout.
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
    let revision = spread::Revision::from(1);
    node.input(Input::Store(spread::StoreEvent::Value {
        record: Some(record),
        revision,
        store_revision: revision,
        is_writable: true,
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

fn upstream_of_run(run_id: &str) -> Upstream {
    Upstream {
        service: Arc::from("planta"),
        run_id: Some(Arc::from(run_id)),
        version: None,
        slots: 5,
        max_connections: 9,
    }
}

fn announcement(run_id: &str, stage: Stage, run_started_ms: u64, sequence: u64) -> Input {
    Input::UpstreamAnnounced {
        stage,
        upstream: upstream_of_run(run_id),
        order: Some(AnnouncementOrder {
            run_started_ms,
            sequence,
        }),
    }
}

/// Checks that an announcement that arrives late or out of order does not restore an earlier state: an
/// earlier stage, an earlier run at the same address, or a run that has departed.
#[rstest]
#[case::earlier_stage(announcement("b", Stage::Ready, 2, 3), "b", Stage::Draining)]
#[case::same_again(announcement("b", Stage::Ready, 2, 5), "b", Stage::Draining)]
#[case::earlier_run(announcement("a", Stage::Ready, 1, 90), "b", Stage::Draining)]
#[case::newer(announcement("b", Stage::Ready, 2, 6), "b", Stage::Ready)]
#[case::newer_run(announcement("c", Stage::Ready, 3, 1), "c", Stage::Ready)]
#[case::departed(
    Input::UpstreamDeparted { run_id: Arc::from("b"), order: None }, "b", Stage::Gone
)]
#[case::other_departed(
    Input::UpstreamDeparted { run_id: Arc::from("a"), order: None }, "b", Stage::Draining
)]
fn announce_order(#[case] late: Input, #[case] run_id: &str, #[case] expected: Stage) {
    let mut node = Node::new(&[]);
    node.input(announcement("b", Stage::Draining, 2, 5));
    node.input(late);
    let member = node
        .machine
        .table()
        .get(NodeId(1))
        .expect("the node knows itself");
    let upstream = member.upstream.as_ref().and_then(|it| it.run_id.as_deref());
    assert_eq!((upstream, member.stage), (Some(run_id), expected));
}

/// Checks that an announcement that arrives after the departure of its run has no effect.
#[rstest]
fn depart_before_announcement() {
    let mut node = Node::new(&[]);
    node.input(announcement("b", Stage::Ready, 2, 5));
    let run_id = Arc::from("b");
    node.input(Input::UpstreamDeparted {
        run_id,
        order: None,
    });
    node.input(announcement("b", Stage::Ready, 2, 9));
    assert_eq!(node.stage(), Some(Stage::Gone));
    node.input(announcement("c", Stage::Ready, 3, 1));
    assert_eq!(node.stage(), Some(Stage::Ready));
}

/// Checks that a restarted node adopts the upstream of its earlier process, instead of refusing requests
/// until the next announcement, unless that upstream was leaving.
#[rstest]
#[case::continues(Status::Left, Stage::Ready, Some("b"), Stage::Ready)]
#[case::killed(Status::Dead, Stage::Ready, Some("b"), Stage::Ready)]
#[case::leaving(Status::Left, Stage::Draining, Some("b"), Stage::Warming)]
#[case::gone(Status::Left, Stage::Gone, Some("b"), Stage::Warming)]
#[case::no_run_id(Status::Left, Stage::Ready, None, Stage::Warming)]
fn adopt_upstream(
    #[case] status: Status,
    #[case] stage: Stage,
    #[case] run_id: Option<&str>,
    #[case] expected: Stage,
) {
    check_adoption(
        &mut Node::new(&[]),
        status,
        (stage, run_id.map(upstream_of_run)),
        expected,
    );
}

/// Regression test: a process that had just started received the departure of its upstream before it
/// knew any member, and then adopted the upstream as ready.
#[rstest]
#[case::no_order(None, "c")]
#[case::order(Some(AnnouncementOrder { run_started_ms: 2, sequence: 9 }), "c")]
#[case::same_run_id(None, "b")]
fn adopt_departed(#[case] order: Option<AnnouncementOrder>, #[case] later: &str) {
    let mut node = Node::new(&[]);
    let run_id = Arc::from("b");
    node.input(Input::UpstreamDeparted { run_id, order });
    let earlier = (Stage::Ready, Some(upstream_of_run("b")));
    check_adoption(&mut node, Status::Left, earlier, Stage::Warming);
    // Announcements of the departed run arrive late.
    node.input(announcement("b", Stage::Ready, 2, 8));
    node.input(announcement("b", Stage::Ready, 2, 10));
    assert_eq!(node.stage(), Some(Stage::Warming));
    // A later run is accepted, even one with the same run id.
    node.input(announcement(later, Stage::Ready, 3, 1));
    assert_eq!(node.stage(), Some(Stage::Ready));
}

/// Checks that a late announcement does not make an adopted run that has departed ready again.
#[rstest]
fn announce_after_adopted_departed() {
    let mut node = Node::new(&[]);
    let earlier = (Stage::Ready, Some(upstream_of_run("b")));
    check_adoption(&mut node, Status::Left, earlier, Stage::Ready);
    let run_id = Arc::from("b");
    node.input(Input::UpstreamDeparted {
        run_id,
        order: None,
    });
    node.input(announcement("b", Stage::Ready, 2, 8));
    assert_eq!(node.stage(), Some(Stage::Gone));
}

/// Checks that a new run with the same run id as a departed one is accepted once the departed run is no
/// longer remembered.
#[rstest]
fn announce_after_departed() {
    let mut node = Node::new(&[]);
    let run_id = Arc::from("b");
    node.input(Input::UpstreamDeparted {
        run_id,
        order: None,
    });
    node.input(announcement("b", Stage::Ready, 3, 1));
    assert_eq!(node.stage(), Some(Stage::Warming));
    node.run(Duration::from_secs(31));
    node.input(announcement("b", Stage::Ready, 3, 9));
    assert_eq!(node.stage(), Some(Stage::Ready));
}

/// Regression test: a node adopted the upstream of an earlier instance at its address that belonged to
/// another service, and requests for that service went to this node's upstream.
#[rstest]
fn adopt_other_service() {
    let other = Upstream {
        service: Arc::from("reservas"),
        ..upstream_of_run("b")
    };
    let earlier = (Stage::Ready, Some(other));
    check_adoption(&mut Node::new(&[]), Status::Dead, earlier, Stage::Warming);
}

/// Sends the node updates about an earlier process at its address with this status, stage and upstream,
/// and checks the stage of the node's own upstream after that.
fn check_adoption(
    node: &mut Node,
    status: Status,
    (stage, upstream): (Stage, Option<Upstream>),
    expected: Stage,
) {
    let own = node
        .machine
        .table()
        .get(NodeId(1))
        .expect("the node knows itself");
    let earlier = Member {
        id: NodeId(7),
        incarnation: Incarnation(4),
        status: Status::Alive,
        stage,
        upstream,
        ..Member::clone(own)
    };
    let sender = Member {
        id: NodeId(8),
        addresses: ListenAddresses {
            peer: SocketAddr::from(([127, 31, 6, 8], 1)),
            ..earlier.addresses
        },
        upstream: None,
        ..earlier.clone()
    };
    let from = sender.addresses.peer;
    for status in [Status::Alive, status] {
        let mut updated = earlier.clone();
        updated.status = status;
        let update = |member: &Member| Update {
            member: Arc::new(member.clone()),
            source: sender.id,
        };
        let gossip = Gossip {
            from: sender.id,
            config_id: ConfigId::default(),
            updates: vec![update(&sender), update(&updated)],
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

/// Checks that the stage that the upstream itself has announced stays in the table after the node has
/// left, because the next process of the node needs it.
#[rstest]
#[case::continues(Stage::Ready, Stage::Ready)]
#[case::leaves_too(Stage::Draining, Stage::Draining)]
fn leave_keeps_stage(#[case] last: Stage, #[case] expected: Stage) {
    let mut node = Node::new(&[]);
    node.input(announcement("b", last, 2, 5));
    node.input(Input::Drain);
    node.input(Input::Drained);
    node.run(Duration::from_secs(1));
    let own = node
        .machine
        .table()
        .get(NodeId(1))
        .expect("the node knows itself");
    assert_eq!((own.status, own.stage), (Status::Left, expected));
}

/// An announcement of a run in this stage.
fn announce_run(node: &mut Node, stage: Stage, run_id: &str, run_started_ms: u64, sequence: u64) {
    let upstream = Upstream {
        service: Arc::from("planta"),
        run_id: Some(Arc::from(run_id)),
        version: None,
        slots: 5,
        max_connections: 9,
    };
    node.input(Input::UpstreamAnnounced {
        stage,
        upstream,
        order: Some(AnnouncementOrder {
            run_started_ms,
            sequence,
        }),
    });
}

/// Guards against an upstream that gets new requests after it has stated in a response that it is leaving:
/// because no announcement tells so, because an announcement from before arrives later, or because a next
/// process of the node adopts it as ready. A later run is ready, whether or not it has the same id.
#[rstest]
#[case::no_announcement(None, Stage::Draining)]
#[case::late_announcement(Some(("a", 1_000, 3)), Stage::Draining)]
#[case::later_run(Some(("b", 2_000, 1)), Stage::Ready)]
#[case::later_run_same_id(Some(("a", 2_000, 1)), Stage::Ready)]
fn report_leaving(#[case] announced: Option<(&str, u64, u64)>, #[case] expected: Stage) {
    let mut node = Node::new(&[]);
    announce_run(&mut node, Stage::Ready, "a", 1_000, 2);
    node.input(Input::UpstreamLeaving {
        run_id: Some(Arc::from("a")),
    });
    assert_eq!(node.stage(), Some(Stage::Draining));
    node.run(Duration::from_millis(100));
    let published = node.topologies.last();
    let own_stage = published.and_then(|(_, it)| it.own_upstream.as_ref().map(|(stage, _)| *stage));
    assert_eq!(own_stage, Some(Stage::Draining));
    if let Some((run_id, run_started_ms, sequence)) = announced {
        announce_run(&mut node, Stage::Ready, run_id, run_started_ms, sequence);
    }
    assert_eq!(node.stage(), Some(expected));
    // The stage that the node leaves behind is the one that the next process of the node adopts.
    node.input(Input::Drain);
    node.input(Input::Drained);
    assert_eq!(node.stage(), Some(expected));
}

/// Guards against a statement of an earlier run that drains the present one.
#[rstest]
fn report_leaving_other_run() {
    let mut node = Node::new(&[]);
    announce_run(&mut node, Stage::Ready, "b", 2_000, 1);
    node.input(Input::UpstreamLeaving {
        run_id: Some(Arc::from("a")),
    });
    assert_eq!(node.stage(), Some(Stage::Ready));
}

/// Guards against an upstream that is ready again for a moment between its announcements and the responses that
/// state that it is leaving.
#[rstest]
fn report_leaving_repeated() {
    let mut node = Node::new(&[]);
    announce_run(&mut node, Stage::Ready, "a", 1_000, 1);
    for sequence in 2..20 {
        node.input(Input::UpstreamLeaving {
            run_id: Some(Arc::from("a")),
        });
        announce_run(&mut node, Stage::Ready, "a", 1_000, sequence);
        assert_eq!(node.stage(), Some(Stage::Draining));
        node.run(Duration::from_millis(1_500));
    }
}

/// Guards against an upstream that never gets requests again after a statement that does not hold.
#[rstest]
fn report_leaving_withdrawn() {
    let mut node = Node::new(&[]);
    announce_run(&mut node, Stage::Ready, "a", 1_000, 1);
    node.input(Input::UpstreamLeaving {
        run_id: Some(Arc::from("a")),
    });
    for sequence in 2..22 {
        node.run(Duration::from_millis(1_500));
        announce_run(&mut node, Stage::Ready, "a", 1_000, sequence);
    }
    assert_eq!(node.stage(), Some(Stage::Ready));
}
