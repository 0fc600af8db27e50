//! Tests of the encoding of the messages that keep the rate limits of organisations.

use std::time::Duration;

use rstest::rstest;

use ids::NodeId;
use ids::OrganisationId;
use kernel::Time;
use quota::Ask;
use quota::Grant;
use quota::GroupSet;
use quota::MAX_ASKS;
use quota::Request;
use quota::Response;
use wire::datagram;
use wire::rate_limits;
use wire::rate_limits::Message;

fn largest_request() -> Message {
    let ask = Ask {
        organisation: OrganisationId(u64::MAX),
        waiting: u16::MAX,
        forecast: u16::MAX,
        returned: u16::MAX,
        granted_at: Time(u64::MAX),
    };
    Message::Request(Request {
        holder: NodeId(u64::MAX),
        granter: NodeId(u64::MAX),
        number: u64::MAX,
        echo: Some(Time(u64::MAX)),
        instances: u32::MAX,
        shares: GroupSet(u8::MAX),
        asks: vec![ask; MAX_ASKS],
    })
}

fn largest_response(retry_after: Duration) -> Message {
    let grant = Grant {
        organisation: OrganisationId(u64::MAX),
        tokens: u16::MAX,
        retry_after,
        pause: Duration::from_secs(60),
    };
    Message::Response(Response {
        granter: NodeId(u64::MAX),
        holder: NodeId(u64::MAX),
        number: u64::MAX,
        reading: Time(u64::MAX),
        leaving: true,
        grants: vec![grant; MAX_ASKS],
    })
}

/// Guards against messages that change on the way, or that do not fit into a datagram.
#[rstest]
#[case::request(largest_request())]
#[case::response(largest_response(Duration::from_secs(60)))]
fn encode_round_trip(#[case] message: Message) {
    let bytes = rate_limits::encode(&message);
    assert!(bytes.len() <= datagram::MAX_BYTES, "{}", bytes.len());
    assert_eq!(rate_limits::decode(&bytes), Some(message));
}

/// Guards against datagrams of unknown senders that end the process or are taken for something else, and against
/// times that keep callers away for hours.
#[rstest]
fn decode_malformed() {
    let bytes = rate_limits::encode(&largest_request());
    assert!(datagram::decode(&bytes).is_err());
    for end in 0..bytes.len() {
        assert_eq!(rate_limits::decode(&bytes[..end]), None);
    }
    assert_eq!(rate_limits::decode(&[&bytes[..], &[0]].concat()), None);
    let long = rate_limits::encode(&largest_response(Duration::from_secs(61)));
    assert_eq!(rate_limits::decode(&long), None);
}
