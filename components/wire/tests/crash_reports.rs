//! Tests of the encoding of reports on requests that crash upstreams.

use std::time::Duration;

use rstest::rstest;

use ids::Fingerprint;
use ids::NodeId;
use quarantine::Crash;
use quarantine::Report;
use wire::crash_reports;
use wire::datagram;

fn report(number: u32, crashes: usize) -> Report {
    let crash = |number| Crash {
        node: NodeId(u64::MAX),
        number,
    };
    Report {
        fingerprint: Fingerprint(u128::MAX - u128::from(number)),
        clearances: u32::MAX,
        crashes: (u32::MAX - 10..).take(crashes).map(crash).collect(),
        age: Duration::from_millis(u32::MAX.into()),
    }
}

/// Guards against reports that change on the way, or that do not fit into a datagram.
#[rstest]
fn encode_round_trip() {
    let reports: Vec<Report> = (0..15).map(|number| report(number, 3)).collect();
    let bytes = crash_reports::encode(&reports);
    assert!(bytes.len() <= datagram::MAX_BYTES, "{}", bytes.len());
    assert_eq!(crash_reports::decode(&bytes), Some(reports));
}

/// Guards against datagrams of unknown senders that take much memory or end the process, and against nodes
/// of the version before that take the reports for membership.
#[rstest]
fn decode_malformed() {
    let bytes = crash_reports::encode(&[report(1, 3)]);
    assert!(datagram::decode(&bytes).is_err());
    for end in 0..bytes.len() {
        assert_eq!(crash_reports::decode(&bytes[..end]), None);
    }
    assert_eq!(crash_reports::decode(&[&bytes[..], &[0]].concat()), None);
    let many = vec![(1_u128, 1_u32, Vec::<(u64, u32)>::new(), 1_u32); 16];
    let many = postcard::to_extend(&many, vec![crash_reports::FORMAT]).expect("encodable");
    assert_eq!(crash_reports::decode(&many), None);
    let long = vec![(1_u128, 1_u32, vec![(1_u64, 1_u32); 4], 1_u32)];
    let long = postcard::to_extend(&long, vec![crash_reports::FORMAT]).expect("encodable");
    assert_eq!(crash_reports::decode(&long), None);
}
