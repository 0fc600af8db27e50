//! Encoding of reports on requests that crash upstreams: a format number, followed by the postcard-encoded
//! reports. Nodes that do not know the format drop these datagrams.

use std::time::Duration;

use ids::Fingerprint;
use ids::NodeId;
use quarantine::Crash;
use quarantine::Report;

/// Number of the format, the first byte of each datagram.
pub const FORMAT: u8 = 2;
/// Encoded form of [`Report`]: fingerprint, clearances, crashes as node and number, and age in milliseconds.
type Fields = (u128, u32, Vec<(u64, u32)>, u32);

/// Encodes the first [`Report::MAX_PER_MESSAGE`] of the reports. Each takes at most 75 bytes, so that they fit into
/// [`crate::datagram::MAX_BYTES`].
pub fn encode(reports: &[Report]) -> Vec<u8> {
    let reports = reports.iter().take(Report::MAX_PER_MESSAGE).map(|report| {
        let crashes = report.crashes.iter().take(Report::MAX_CRASHES);
        let crashes = crashes.map(|it| (it.node.0, it.number)).collect();
        let age = u32::try_from(report.age.as_millis()).unwrap_or(u32::MAX);
        (report.fingerprint.0, report.clearances, crashes, age)
    });
    let fields: Vec<Fields> = reports.collect();
    postcard::to_extend(&fields, vec![FORMAT]).unwrap_or_default()
}

/// Decodes a datagram with [`FORMAT`]; returns `None` if it is malformed or contains too much.
pub fn decode(bytes: &[u8]) -> Option<Vec<Report>> {
    let (format, body) = bytes.split_first()?;
    let (fields, rest) = postcard::take_from_bytes::<Vec<Fields>>(body).ok()?;
    let is_valid = *format == FORMAT && rest.is_empty() && fields.len() <= Report::MAX_PER_MESSAGE;
    let reports = fields.into_iter().filter(|_| is_valid);
    let reports: Vec<Report> = reports
        .map(|(fingerprint, clearances, crashes, age)| Report {
            fingerprint: Fingerprint(fingerprint),
            clearances,
            crashes: crashes
                .into_iter()
                .map(|(node, number)| Crash {
                    node: NodeId(node),
                    number,
                })
                .collect(),
            age: Duration::from_millis(age.into()),
        })
        .collect();
    let has_valid_crashes = reports
        .iter()
        .all(|it| it.crashes.len() <= Report::MAX_CRASHES);
    (is_valid && has_valid_crashes).then_some(reports)
}
