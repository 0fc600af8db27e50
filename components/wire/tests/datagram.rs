//! Guards the decoding of datagrams, which come from anywhere.

use std::net::SocketAddr;
use std::sync::Arc;

use proptest::collection::vec;
use proptest::prelude::any;
use proptest::proptest;
use rstest::rstest;

use ids::Digest;
use ids::Domain;
use ids::Incarnation;
use ids::NodeId;
use ids::Version;
use member::ConfigId;
use member::Gossip;
use member::ListenAddresses;
use member::Member;
use member::Message;
use member::Stage;
use member::Status;
use member::Update;
use member::Upstream;
use wire::datagram::Error;
use wire::datagram::MAX_BYTES;
use wire::datagram::decode;
use wire::datagram::encode;

fn ping(updates: u64) -> Message {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    let update = |id| Update {
        member: Arc::new(Member {
            id: NodeId(id),
            addresses: ListenAddresses {
                peer: address,
                requests: address,
                admin: address,
            },
            domain: Domain::new("huesca"),
            incarnation: Incarnation(id),
            status: Status::Alive,
            stage: Stage::Ready,
            upstream: Some(Upstream {
                service: Arc::from("reservas"),
                run_id: None,
                slots: 10,
                max_connections: 100,
            }),
        }),
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
            updates: (0..updates).map(update).collect(),
        },
    }
}

/// Guards against a field that is lost or changed on the way.
#[rstest]
fn decode_encoded() {
    assert_eq!(decode(&encode(&ping(3))), Ok(ping(3)));
}

/// Guards against a datagram that is fragmented or cut off because it carries too many updates.
#[rstest]
fn encode_many_updates() {
    let bytes = encode(&ping(200));
    assert!(bytes.len() <= MAX_BYTES);
    let kept = decode(&bytes).map(|message| message.gossip().updates.len());
    assert!(kept.is_ok_and(|kept| kept > 10));
}

/// Guards against a datagram of another format, a cut one, and one with bytes behind its end.
#[rstest]
#[case::empty(Vec::new(), Error::Malformed)]
#[case::other_format(vec![9, 0, 0], Error::Format(9))]
#[case::cut(encode(&ping(1))[..40].to_vec(), Error::Malformed)]
#[case::longer([encode(&ping(1)), vec![0]].concat(), Error::Malformed)]
fn decode_unusable(#[case] bytes: Vec<u8>, #[case] error: Error) {
    assert_eq!(decode(&bytes), Err(error));
}

proptest! {
    /// Guards against a panic on bytes that no node has sent.
    #[test]
    fn decode_any(bytes in vec(any::<u8>(), 0..MAX_BYTES)) {
        let _ = decode(&bytes);
        let framed: Vec<u8> = [1].into_iter().chain(bytes).collect();
        let _ = decode(&framed);
    }

    /// Guards against a panic on a datagram with changed bytes.
    #[test]
    fn decode_damaged(at in 0_usize..300, value in any::<u8>()) {
        let mut bytes = encode(&ping(4));
        let at = at % bytes.len();
        bytes[at] = value;
        let _ = decode(&bytes);
    }
}
