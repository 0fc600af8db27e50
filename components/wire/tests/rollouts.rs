//! Tests of the encoding of versions and of messages about rollouts.

mod support;

use std::sync::Arc;
use std::time::Duration;

use rstest::rstest;
use support::member;

use ids::NodeId;
use ids::RouteId;
use rollout::Counts;
use rollout::MAX_TALLIES;
use rollout::Message;
use rollout::Notice;
use rollout::OrderNotice;
use rollout::Phase;
use rollout::Report;
use rollout::Revision;
use rollout::Tally;
use wire::MemberEntry;
use wire::datagram;
use wire::rollouts;

fn longest_notice() -> Notice {
    let name: Arc<str> = Arc::from("n".repeat(Notice::MAX_NAME_BYTES));
    let revision = Revision {
        era: u64::MAX,
        number: u64::MAX,
    };
    Notice {
        service: Arc::clone(&name),
        established: Arc::clone(&name),
        revision,
        generation: u32::MAX,
        age: Duration::from_millis(u64::MAX),
        order: Some(OrderNotice {
            revision,
            order: revision,
            target: name,
            phase: Phase::RolledBack,
            halted: true,
            coordinator: NodeId(u64::MAX),
            age: Duration::from_millis(u64::MAX),
        }),
    }
}

fn longest_message() -> Message {
    Message::Notices {
        is_serving: true,
        notices: vec![longest_notice(); Notice::MAX_PER_MESSAGE],
    }
}

fn longest_report() -> Message {
    let notice = longest_notice();
    let tally = |route| Tally {
        route: RouteId(u64::MAX - route),
        canary: Some(NodeId(u64::MAX)),
        counts: Counts {
            requests: u32::MAX,
            failures: u32::MAX,
            slow: u32::MAX,
        },
    };
    Message::Report(Report {
        node: NodeId(u64::MAX),
        service: notice.service,
        order: notice.revision,
        state: notice.revision,
        sequence: u64::MAX,
        halted: true,
        tallies: (0..MAX_TALLIES as u64).map(tally).collect(),
    })
}

/// Guards against messages that change on the way, or that do not fit into a datagram.
#[rstest]
#[case::query(Message::Query)]
#[case::longest(longest_message())]
#[case::report(longest_report())]
fn encode_round_trip(#[case] message: Message) {
    let bytes = rollouts::encode(&message);
    assert!(bytes.len() <= datagram::MAX_BYTES, "{}", bytes.len());
    assert_eq!(rollouts::decode(&bytes), Some(message));
}

/// Guards against datagrams of unknown senders that end the process or are taken in part.
#[rstest]
fn decode_malformed() {
    let bytes = rollouts::encode(&longest_message());
    assert!(datagram::decode(&bytes).is_err());
    for end in 0..bytes.len() {
        assert_eq!(rollouts::decode(&bytes[..end]), None);
    }
    assert_eq!(rollouts::decode(&[&bytes[..], &[0]].concat()), None);
    let mut unnamed = longest_notice();
    unnamed.established = Arc::from("");
    let message = Message::Notices {
        is_serving: true,
        notices: vec![unnamed],
    };
    assert_eq!(rollouts::decode(&rollouts::encode(&message)), None);
}

/// Guards against a version that is lost or that changes the service on the way, and against a change in the bytes
/// of members without a version, which nodes of earlier versions read.
#[rstest]
#[case::none(None, "huesca\u{1}\u{0}\u{1}\u{1}\u{8}reservas\u{0}\u{a}d")]
#[case::version(Some("v2"), "huesca\u{1}\u{0}\u{1}\u{1}\u{b}reservas\nv2\u{0}\u{a}d")]
fn member_version(#[case] version: Option<&str>, #[case] tail: &str) {
    let mut member = member(1, 7_660);
    if let Some(upstream) = &mut member.upstream {
        upstream.version = version.map(Arc::from);
    }
    let entry = MemberEntry::from(&member);
    let bytes = postcard::to_allocvec(&entry).expect("encodable");
    assert!(bytes.ends_with(tail.as_bytes()), "{bytes:?}");
    assert_eq!(entry.into_member(), Some(member));
}
