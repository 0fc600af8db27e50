//! Tests of probing, suspicion and anti-entropy at one node.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rstest::rstest;

use ids::Domain;
use ids::Incarnation;
use ids::NodeId;
use kernel::Time;
use kernel::random::SeededRandom;
use member::ConfigId;
use member::Gossip;
use member::ListenAddresses;
use member::Machine;
use member::Member;
use member::Message;
use member::Output;
use member::Parameters;
use member::Stage;
use member::Status;
use member::SyncRequest;
use member::SyncResponse;
use member::SyncResponseBody;
use member::Update;

/// Id and host number of the node under test.
const OWN_ID: u64 = 100;

fn address(host: u64) -> SocketAddr {
    SocketAddr::from(([127, 31, 8, host as u8], 1))
}

fn member(id: u64, host: u64, incarnation: u64, status: Status) -> Arc<Member> {
    Arc::new(Member {
        id: NodeId(id),
        addresses: ListenAddresses {
            peer: address(host),
            requests: address(host),
            admin: address(host),
        },
        domain: Domain::new("lekki"),
        incarnation: Incarnation(incarnation),
        status,
        stage: Stage::Ready,
        upstream: None,
    })
}

/// The node under test and its outputs.
struct Node {
    machine: Machine,
    random: SeededRandom,
    now: Time,
    out: Vec<Output>,
}

impl Node {
    /// Creates a node that knows `others` other members, with ids and host numbers from 1.
    fn new(others: u64) -> Self {
        let own = Member::clone(&member(OWN_ID, OWN_ID, 1, Status::Alive));
        let mut node = Self {
            machine: Machine::new(own, Vec::new(), Parameters::default(), Time(0)),
            random: SeededRandom::new(1),
            now: Time(0),
            out: Vec::new(),
        };
        for id in 1..=others {
            node.receive_update(id, id, member(id, id, 1, Status::Alive));
        }
        node.out.clear();
        node
    }

    fn receive(&mut self, from: u64, message: Message) {
        self.machine
            .handle_message(self.now, address(from), message, &mut self.out);
    }

    fn receive_update(&mut self, from: u64, source: u64, member: Arc<Member>) {
        let source = NodeId(source);
        let gossip = gossip(from, vec![Update { member, source }]);
        self.receive(
            from,
            Message::Nack {
                sequence: 0,
                gossip,
            },
        );
    }

    /// Wakes the state machine whenever it is due, without any answers from other nodes.
    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.machine.next_wake() <= end {
            self.now = self.now.max(self.machine.next_wake());
            self.machine.wake(self.now, &mut self.random, &mut self.out);
        }
        self.now = end;
    }

    fn status(&self, id: u64) -> Option<Status> {
        self.machine.table().get(NodeId(id)).map(|it| it.status)
    }

    /// Answers all pings that were sent since the last call, and returns the addresses of their
    /// receivers.
    fn ack_all(&mut self) -> Vec<SocketAddr> {
        let mut receivers = Vec::new();
        for (sequence, to) in self.pings() {
            let known = self.machine.table().live_member_at(to);
            let from = known.map_or(0, |id| id.0);
            let gossip = gossip(from, Vec::new());
            self.receive(from, Message::Ack { sequence, gossip });
            receivers.push(to);
        }
        receivers
    }

    /// Sequence numbers and receivers of the pings that were sent since the last call.
    fn pings(&mut self) -> Vec<(u64, SocketAddr)> {
        let sent = std::mem::take(&mut self.out).into_iter();
        sent.filter_map(|it| match it {
            Output::Send {
                to,
                message: Message::Ping { sequence, .. },
            } => Some((sequence, to)),
            _ => None,
        })
        .collect()
    }
}

fn gossip(from: u64, updates: Vec<Update>) -> Gossip {
    let (from, config_id) = (NodeId(from), ConfigId::default());
    Gossip {
        from,
        config_id,
        updates,
    }
}

/// Checks that each member is probed exactly once in a round.
#[rstest]
fn probe_each_once_per_round() {
    let mut node = Node::new(12);
    node.run(Duration::from_millis(500));
    // The first ping is a probe; those after it forward the updates about the members.
    let mut probed = vec![node.ack_all()[0]];
    for _ in 1..12 {
        node.run(Duration::from_millis(1_000));
        let pings = node.ack_all();
        probed.extend(pings);
    }
    probed.sort_unstable();
    assert_eq!(probed, (1..=12).map(address).collect::<Vec<_>>());
}

/// Checks that an ack of another process at the target's address does not count for the target.
#[rstest]
#[case::target(1, Status::Alive)]
#[case::other_process(77, Status::Suspect)]
fn handle_ack(#[case] from: u64, #[case] expected: Status) {
    let mut node = Node::new(1);
    node.run(Duration::from_millis(10));
    let (sequence, _) = node.pings()[0];
    node.receive(
        1,
        Message::Ack {
            sequence,
            gossip: gossip(from, Vec::new()),
        },
    );
    // The next probe starts after 1 s and is still pending.
    node.run(Duration::from_millis(1_050));
    assert_eq!(node.status(1), Some(expected));
}

/// Checks that a relay sends a nack while the target has not answered, and then forwards its ack.
#[rstest]
fn relay_probe() {
    let mut node = Node::new(2);
    let target = NodeId(2);
    let request = Message::PingRequest {
        sequence: 9,
        target,
        address: address(2),
        gossip: gossip(1, Vec::new()),
    };
    node.receive(1, request);
    let (sequence, to) = node.pings()[0];
    assert_eq!(to, address(2));
    node.run(Duration::from_millis(450));
    let is_answer = |out: &Output, nack: bool| match out {
        Output::Send {
            to,
            message: Message::Nack { sequence: 9, .. },
        } => nack && *to == address(1),
        Output::Send {
            to,
            message: Message::Ack { sequence: 9, .. },
        } => !nack && *to == address(1),
        _ => false,
    };
    assert!(node.out.iter().any(|it| is_answer(it, true)));
    node.receive(
        2,
        Message::Ack {
            sequence,
            gossip: gossip(2, Vec::new()),
        },
    );
    assert!(node.out.iter().any(|it| is_answer(it, false)));
}

/// Checks that confirmations by further members shorten a suspicion, and that repeated updates of the
/// same member do not.
#[rstest]
#[case::alone(&[1], 3_000)]
#[case::repeated(&[1, 1, 1, 1], 3_000)]
#[case::confirmed_once(&[1, 2], 2_000)]
#[case::confirmed(&[1, 2, 3, 4], 1_000)]
fn suspect_until_dead(#[case] sources: &[u64], #[case] expected: u64) {
    let mut node = Node::new(9);
    for source in sources {
        node.receive_update(*source, *source, member(9, 9, 1, Status::Suspect));
    }
    let died = (1..100).find(|_| {
        node.run(Duration::from_millis(50));
        node.ack_all();
        node.status(9) == Some(Status::Dead)
    });
    assert_eq!(died.map(|steps| steps * 50), Some(expected));
}

/// Checks that a process that was paused does not suspect the members whose acks it has missed.
#[rstest]
fn wake_after_pause() {
    let mut node = Node::new(3);
    node.receive_update(1, 1, member(2, 2, 1, Status::Suspect));
    node.run(Duration::from_millis(100));
    node.now = node.now + Duration::from_secs(30);
    node.machine.wake(node.now, &mut node.random, &mut node.out);
    let statuses: Vec<_> = (1..=3).map(|id| node.status(id)).collect();
    assert_eq!(
        statuses,
        [
            Some(Status::Alive),
            Some(Status::Suspect),
            Some(Status::Alive)
        ]
    );
}

/// Checks that an update does not add an unknown member that is dead, and that members that are dead or
/// have left are removed after their retention time.
#[rstest]
#[case::unknown_dead(50, Status::Dead, 0, false)]
#[case::dead_kept(1, Status::Dead, 600, true)]
#[case::dead_dropped(1, Status::Dead, 86_500, false)]
#[case::left_kept(1, Status::Left, 200, true)]
#[case::left_dropped(1, Status::Left, 400, false)]
fn remove_ended_members(
    #[case] id: u64,
    #[case] status: Status,
    #[case] seconds: u64,
    #[case] kept: bool,
) {
    let mut node = Node::new(1);
    node.receive_update(1, 1, member(id, id, 1, status));
    // The node must have joined, because it removes members when an anti-entropy comparison is due.
    node.machine.add_contacts(node.now, &[]);
    node.run(Duration::from_secs(seconds));
    assert_eq!(node.status(id).is_some(), kept);
}

/// Checks that a live member which is dead in the table of another node is not declared dead before it
/// can refute.
#[rstest]
fn handle_sync_request_with_death() {
    let mut node = Node::new(2);
    let members = vec![member(2, 2, 1, Status::Dead)];
    let request = SyncRequest::Members {
        buckets: u64::MAX,
        members,
    };
    node.machine
        .handle_sync_request(node.now, request, &mut node.out);
    assert_eq!(node.status(2), Some(Status::Alive));
    node.run(Duration::from_millis(1));
    let notified = node.out.iter().any(|it| match it {
        Output::Send { to, message } => {
            let updates = &message.gossip().updates;
            *to == address(2) && updates.iter().any(|it| it.member.status == Status::Dead)
        }
        _ => false,
    });
    assert!(notified, "the member is notified that it was declared dead");
}

/// Checks that of two processes at the same address, the earlier one is declared dead and the new one
/// stays live.
#[rstest]
fn handle_sync_response_with_replaced_process() {
    let mut other = Node::new(1);
    let replaced = member(9, OWN_ID, 7, Status::Alive);
    let mut node = Node::new(0);
    let own_id = NodeId(OWN_ID);
    other.receive_update(1, 1, Arc::clone(&replaced));
    // The new process compares tables with a node that knows the earlier process.
    let from = NodeId(1);
    let body = SyncResponseBody::Members(vec![member(1, 1, 1, Status::Alive), replaced]);
    let response = SyncResponse {
        from,
        config_id: ConfigId::default(),
        body,
    };
    node.machine.handle_sync_response(
        node.now,
        address(1),
        Some(response),
        &mut node.random,
        &mut node.out,
    );
    assert_eq!(node.status(9), Some(Status::Dead));
    assert_eq!(
        node.machine.table().live_member_at(address(OWN_ID)),
        Some(own_id)
    );
    assert!(
        node.machine
            .table()
            .get(own_id)
            .is_some_and(|it| it.incarnation > Incarnation(7))
    );
}
