//! Encoding of messages about rollouts: a format number, followed by the postcard-encoded message. Nodes that do
//! not know the format drop these datagrams.

use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

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

/// Number of the format, the first byte of each datagram.
pub const FORMAT: u8 = 5;

/// Phases in the order of their encoded numbers.
const PHASES: [Phase; 4] = [
    Phase::Running,
    Phase::Promoting,
    Phase::Succeeded,
    Phase::RolledBack,
];

/// Encoded form of [`Revision`]: era and number.
type RevisionFields = (u64, u64);

/// Encoded form of [`Message`].
#[derive(Serialize, Deserialize)]
enum Frame {
    Query,
    Notices {
        is_serving: bool,
        notices: Vec<NoticeFields>,
    },
    Report {
        node: u64,
        service: String,
        order: RevisionFields,
        state: RevisionFields,
        sequence: u64,
        halted: bool,
        tallies: Vec<TallyFields>,
    },
}

/// Encoded form of [`Tally`]: route, node on trial, requests, failures and slow requests.
type TallyFields = (u64, Option<u64>, u32, u32, u32);

/// Encoded form of [`Notice`].
#[derive(Serialize, Deserialize)]
struct NoticeFields {
    service: String,
    established: String,
    revision: RevisionFields,
    generation: u32,
    age_ms: u64,
    order: Option<OrderFields>,
}

/// Encoded form of [`OrderNotice`].
#[derive(Serialize, Deserialize)]
struct OrderFields {
    revision: RevisionFields,
    order: RevisionFields,
    target: String,
    /// Index into [`PHASES`].
    phase: u8,
    halted: bool,
    coordinator: u64,
    age_ms: u64,
}

/// Encodes a message. The longest one fits into [`crate::datagram::MAX_BYTES`].
pub fn encode(message: &Message) -> Vec<u8> {
    let frame = match message {
        Message::Query => Frame::Query,
        Message::Notices {
            is_serving,
            notices,
        } => Frame::Notices {
            is_serving: *is_serving,
            notices: notices
                .iter()
                .take(Notice::MAX_PER_MESSAGE)
                .map(NoticeFields::from)
                .collect(),
        },
        Message::Report(report) => Frame::Report {
            node: report.node.0,
            service: report.service.as_ref().to_owned(),
            order: revision_fields(report.order),
            state: revision_fields(report.state),
            sequence: report.sequence,
            halted: report.halted,
            tallies: report
                .tallies
                .iter()
                .take(MAX_TALLIES)
                .map(tally_fields)
                .collect(),
        },
    };
    postcard::to_extend(&frame, vec![FORMAT]).unwrap_or_default()
}

/// Decodes a datagram with [`FORMAT`]; returns `None` if it is malformed or contains too much.
pub fn decode(bytes: &[u8]) -> Option<Message> {
    let (format, body) = bytes.split_first()?;
    let (frame, rest) = postcard::take_from_bytes::<Frame>(body).ok()?;
    if *format != FORMAT || !rest.is_empty() {
        return None;
    }
    match frame {
        Frame::Query => Some(Message::Query),
        Frame::Notices {
            is_serving,
            notices,
        } => {
            if notices.len() > Notice::MAX_PER_MESSAGE {
                return None;
            }
            let notices = notices.into_iter().map(NoticeFields::into_notice);
            Some(Message::Notices {
                is_serving,
                notices: notices.collect::<Option<Vec<_>>>()?,
            })
        }
        Frame::Report {
            node,
            service,
            order,
            state,
            sequence,
            halted,
            tallies,
        } => {
            if tallies.len() > MAX_TALLIES {
                return None;
            }
            Some(Message::Report(Report {
                node: NodeId(node),
                service: parse_name(&service)?,
                order: parse_revision(order),
                state: parse_revision(state),
                sequence,
                halted,
                tallies: tallies.into_iter().map(into_tally).collect(),
            }))
        }
    }
}

impl From<&Notice> for NoticeFields {
    fn from(notice: &Notice) -> Self {
        Self {
            service: notice.service.as_ref().to_owned(),
            established: notice.established.as_ref().to_owned(),
            revision: revision_fields(notice.revision),
            generation: notice.generation,
            age_ms: to_millis(notice.age),
            order: notice.order.as_ref().map(|order| OrderFields {
                revision: revision_fields(order.revision),
                order: revision_fields(order.order),
                target: order.target.as_ref().to_owned(),
                phase: order.phase as u8,
                halted: order.halted,
                coordinator: order.coordinator.0,
                age_ms: to_millis(order.age),
            }),
        }
    }
}

impl NoticeFields {
    /// Converts the notice; returns `None` if a field is out of range.
    fn into_notice(self) -> Option<Notice> {
        let order = match self.order {
            Some(order) => Some(order.into_order()?),
            None => None,
        };
        Some(Notice {
            service: parse_name(&self.service)?,
            established: parse_name(&self.established)?,
            revision: parse_revision(self.revision),
            generation: self.generation,
            age: Duration::from_millis(self.age_ms),
            order,
        })
    }
}

impl OrderFields {
    fn into_order(self) -> Option<OrderNotice> {
        Some(OrderNotice {
            revision: parse_revision(self.revision),
            order: parse_revision(self.order),
            target: parse_name(&self.target)?,
            phase: *PHASES.get(usize::from(self.phase))?,
            halted: self.halted,
            coordinator: NodeId(self.coordinator),
            age: Duration::from_millis(self.age_ms),
        })
    }
}

fn tally_fields(tally: &Tally) -> TallyFields {
    let Counts {
        requests,
        failures,
        slow,
    } = tally.counts;
    let canary = tally.canary.map(|it| it.0);
    (tally.route.0, canary, requests, failures, slow)
}

fn into_tally((route, canary, requests, failures, slow): TallyFields) -> Tally {
    Tally {
        route: RouteId(route),
        canary: canary.map(NodeId),
        counts: Counts {
            requests,
            failures,
            slow,
        },
    }
}

fn parse_name(name: &str) -> Option<Arc<str>> {
    (1..=Notice::MAX_NAME_BYTES)
        .contains(&name.len())
        .then(|| Arc::from(name))
}

fn revision_fields(revision: Revision) -> RevisionFields {
    (revision.era, revision.number)
}

fn parse_revision((era, number): RevisionFields) -> Revision {
    Revision { era, number }
}

fn to_millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
