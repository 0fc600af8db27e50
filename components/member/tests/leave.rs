//! Tests of the announcement that a node leaves, and of how other nodes find its address after a
//! restart.

use std::net::SocketAddr;
use std::sync::Arc;

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
use member::Update;

fn member(id: u8) -> Member {
    let address = |port| SocketAddr::from(([127, 33, 6, id], port));
    Member {
        id: NodeId(id.into()),
        addresses: ListenAddresses {
            peer: address(1),
            requests: address(2),
            admin: address(3),
        },
        domain: Domain::new("huesca"),
        incarnation: Incarnation(1),
        status: Status::Alive,
        stage: Stage::Ready,
        upstream: None,
    }
}

fn gossip_of(id: u8) -> Gossip {
    let update = Update {
        member: Arc::new(member(id)),
        source: NodeId(id.into()),
    };
    Gossip {
        from: NodeId(id.into()),
        config_id: ConfigId::default(),
        updates: vec![update],
    }
}

/// Checks that a leaving node notifies four other nodes, or all others if there are fewer, and that the
/// only node of a fleet can leave.
#[rstest]
#[case::alone(0, 0)]
#[case::one_other(1, 1)]
#[case::four_others(4, 4)]
#[case::more_others(9, 4)]
fn push_gossip_after_leave(#[case] others: u8, #[case] expected: usize) {
    let mut machine = Machine::new(member(100), Vec::new(), Parameters::default(), Time(0));
    let mut out = Vec::new();
    for id in 1..=others {
        let ping = Message::Ping {
            sequence: 1,
            gossip: gossip_of(id),
        };
        machine.handle_message(Time(0), member(id).addresses.peer, ping, &mut out);
    }
    out.clear();
    machine.leave();
    machine.push_gossip(4, &mut SeededRandom::new(1), &mut out);
    let left = |output: &&Output| match output {
        Output::Send { message, .. } => message
            .gossip()
            .updates
            .iter()
            .any(|it| it.member.id == NodeId(100) && it.member.status == Status::Left),
        _ => false,
    };
    assert_eq!(out.iter().filter(left).count(), expected);
}

/// Regression test: a process that restarted while the store was unreachable was not found by the other
/// nodes, although they knew its address, because they pinged live and dead members but not members
/// that had left.
#[rstest]
#[case::left_recently(10, true)]
#[case::left_long_ago(90, false)]
fn wake_after_leave(#[case] seconds: u64, #[case] expected: bool) {
    let mut machine = Machine::new(member(100), Vec::new(), Parameters::default(), Time(0));
    let mut random = SeededRandom::new(1);
    let mut out = Vec::new();
    for status in [Status::Alive, Status::Left] {
        let mut gossip = gossip_of(1);
        let mut left = member(1);
        left.status = status;
        gossip.updates[0].member = Arc::new(left);
        let ping = Message::Ping {
            sequence: 1,
            gossip,
        };
        machine.handle_message(Time(0), member(1).addresses.peer, ping, &mut out);
    }
    let from = Time((seconds - 5) * 1_000_000);
    let until = Time(seconds * 1_000_000);
    let mut pinged = false;
    while machine.next_wake() <= until {
        let now = machine.next_wake();
        out.clear();
        machine.wake(now, &mut random, &mut out);
        let sent =
            |it: &Output| matches!(it, Output::Send { to, .. } if *to == member(1).addresses.peer);
        pinged |= now >= from && out.iter().any(sent);
    }
    assert_eq!(pinged, expected);
}
