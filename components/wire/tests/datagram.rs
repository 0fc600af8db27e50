//! Encoding and decoding of gossip datagrams, which any host can send.

mod support;

use std::sync::Arc;

use proptest::collection::vec;
use proptest::prelude::any;
use proptest::proptest;
use rstest::rstest;
use support::member;

use ids::Digest;
use ids::Domain;
use ids::Incarnation;
use ids::NodeId;
use ids::Version;
use member::ConfigId;
use member::Gossip;
use member::Member;
use member::Message;
use member::Update;
use wire::datagram::Error;
use wire::datagram::MAX_BYTES;
use wire::datagram::decode;
use wire::datagram::encode;

/// A ping with this number of updates.
fn ping(update_count: u64) -> Message {
    let update = |id| Update {
        member: Arc::new(member(id, 1)),
        source: NodeId(7),
    };
    Message::Ping {
        sequence: 3,
        gossip: Gossip {
            from: NodeId(7),
            config_id: ConfigId {
                version: Version(4),
                digest: Digest(5),
            },
            updates: (0..update_count).map(update).collect(),
        },
    }
}

/// Checks that a decoded message equals the encoded one, field by field.
#[rstest]
fn decode_round_trip() {
    let decoded = decode(&encode(&ping(3))).map(|it| (it.message, it.malformed));
    assert_eq!(decoded, Ok((ping(3), 0)));
}

/// Checks that a message with too many updates is encoded without the excess ones. A datagram longer
/// than `MAX_BYTES` would be fragmented by the network or truncated by the receiver.
#[rstest]
fn encode_many_updates() {
    let bytes = encode(&ping(200));
    assert!(bytes.len() <= MAX_BYTES);
    let encoded_updates = decode(&bytes).map(|it| it.message.gossip().updates.len());
    assert!(encoded_updates.is_ok_and(|count| count > 10));
}

/// Checks that a datagram of another format, a truncated one and one with trailing bytes are rejected.
#[rstest]
#[case::empty(Vec::new(), Error::Malformed)]
#[case::other_format(vec![9, 0, 0], Error::UnsupportedFormat(9))]
#[case::truncated(encode(&ping(1))[..40].to_vec(), Error::Malformed)]
#[case::trailing_bytes([encode(&ping(1)), vec![0]].concat(), Error::Malformed)]
fn decode_invalid(#[case] bytes: Vec<u8>, #[case] error: Error) {
    assert_eq!(decode(&bytes), Err(error));
}

/// Message with an update of this member between two others.
fn ping_with(change: impl FnOnce(&mut Member)) -> Message {
    let Message::Ping {
        sequence,
        mut gossip,
    } = ping(3)
    else {
        unreachable!("a ping is a ping");
    };
    change(Arc::make_mut(&mut gossip.updates[1].member));
    Message::Ping { sequence, gossip }
}

/// Checks that an update which is out of range costs that update alone. It made the whole datagram malformed, and
/// since it is repeated in other datagrams, news of members and probes were lost with it.
#[rstest]
#[case::long_domain(ping_with(|it| it.domain = Domain::new(&"d".repeat(101))))]
#[case::long_service(ping_with(|it| if let Some(upstream) = &mut it.upstream {
    upstream.service = Arc::from("s".repeat(101));
}))]
#[case::no_port(ping_with(|it| it.addresses.requests.set_port(0)))]
#[case::incarnation_beyond_refutation(ping_with(|it| it.incarnation = Incarnation(u64::MAX)))]
fn decode_odd_update(#[case] message: Message) {
    let decoded = decode(&encode(&message)).expect("the datagram is valid");
    let updates = &decoded.message.gossip().updates;
    let ids: Vec<u64> = updates.iter().map(|it| it.member.id.0).collect();
    assert_eq!((ids, decoded.malformed), (vec![0, 2], 1));
}

proptest! {
    /// Checks that arbitrary bytes do not make the decoder panic.
    #[test]
    fn decode_any(bytes in vec(any::<u8>(), 0..MAX_BYTES)) {
        let _ = decode(&bytes);
        let datagram: Vec<u8> = [1].into_iter().chain(bytes).collect();
        let _ = decode(&datagram);
    }

    /// Checks that a datagram with one changed byte does not make the decoder panic.
    #[test]
    fn decode_corrupted(index in 0_usize..300, value in any::<u8>()) {
        let mut bytes = encode(&ping(4));
        let index = index % bytes.len();
        bytes[index] = value;
        let _ = decode(&bytes);
    }
}
