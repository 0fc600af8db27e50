//! Keys and values of rollouts: orders and status, which an operator writes and reads, and the state that the
//! coordinating nodes keep.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::Entry;
use rollout::Notice;
use rollout::Order;
use rollout::Phase;
use rollout::Record;
use rollout::Revision;

/// Prefix of the keys of orders.
pub const ORDER_PREFIX: &str = "medlar/rollout-order/";
/// Prefix of the keys of the status of orders.
pub const STATUS_PREFIX: &str = "medlar/rollout-status/";
const STATE_PREFIX: &str = "medlar/rollout/";

/// Longest accepted time for a rollout, in seconds.
const MAX_DURATION_S: f64 = 86_400.0;

/// Encoded form of [`Order`].
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
struct OrderFields {
    target: String,
    duration_s: f64,
}

/// Encoded form of the status.
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
struct StatusFields {
    phase: String,
    target: String,
}

/// Encoded form of [`Record`].
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
struct StateFields {
    order_era: u64,
    order: u64,
    target: String,
    duration_ms: u64,
    established: String,
    started_ms: u64,
    phase: String,
}

/// Key of the order for a service.
pub fn order_key(service: &str) -> String {
    format!("{ORDER_PREFIX}{service}")
}

/// Key of the status of a service's rollout.
pub fn status_key(service: &str) -> String {
    format!("{STATUS_PREFIX}{service}")
}

/// Key of the state of a service's rollout.
pub fn state_key(service: &str) -> String {
    format!("{STATE_PREFIX}{service}")
}

/// The order in an entry; `None` if there is none or its value is out of range.
pub fn decode_order(entry: &Entry) -> Option<Order> {
    let fields: OrderFields = serde_json::from_slice(entry.value.as_deref()?).ok()?;
    let is_valid = fields.duration_s > 0.0 && fields.duration_s <= MAX_DURATION_S;
    is_valid.then_some(())?;
    Some(Order {
        revision: Revision {
            era: entry.revision.era.0,
            number: entry.revision.number,
        },
        target: parse_version(&fields.target)?,
        // Within the limit above.
        duration_ms: (fields.duration_s * 1_000.0) as u64,
    })
}

/// Encodes the status of a rollout.
pub fn encode_status(phase: Phase, target: &str) -> Vec<u8> {
    let fields = StatusFields {
        phase: shown_phase(phase).to_owned(),
        target: target.to_owned(),
    };
    serde_json::to_vec(&fields).unwrap_or_default()
}

/// Phase, as operators see it, and target of an encoded status.
pub fn decode_status(value: &[u8]) -> Option<(String, String)> {
    let fields: StatusFields = serde_json::from_slice(value).ok()?;
    Some((fields.phase, fields.target))
}

/// Encodes the state of a rollout.
pub fn encode_state(record: &Record) -> Vec<u8> {
    let fields = StateFields {
        order_era: record.order.revision.era,
        order: record.order.revision.number,
        target: record.order.target.as_ref().to_owned(),
        duration_ms: record.order.duration_ms,
        established: record.established.as_ref().to_owned(),
        started_ms: record.started_ms,
        phase: phase_name(record.phase).to_owned(),
    };
    serde_json::to_vec(&fields).unwrap_or_default()
}

/// The state in a value; `None` if it is malformed.
pub fn decode_state(value: &[u8]) -> Option<Record> {
    let fields: StateFields = serde_json::from_slice(value).ok()?;
    Some(Record {
        order: Order {
            revision: Revision {
                era: fields.order_era,
                number: fields.order,
            },
            target: parse_version(&fields.target)?,
            duration_ms: fields.duration_ms,
        },
        established: parse_version(&fields.established)?,
        started_ms: fields.started_ms,
        phase: parse_phase(&fields.phase)?,
    })
}

fn parse_version(version: &str) -> Option<Arc<str>> {
    (1..=Notice::MAX_NAME_BYTES)
        .contains(&version.len())
        .then(|| Arc::from(version))
}

/// Name of a phase for operators, who see a promotion as running.
fn shown_phase(phase: Phase) -> &'static str {
    match phase {
        Phase::Promoting => phase_name(Phase::Running),
        phase => phase_name(phase),
    }
}

fn phase_name(phase: Phase) -> &'static str {
    match phase {
        Phase::Running => "running",
        Phase::Promoting => "promoting",
        Phase::Succeeded => "succeeded",
        Phase::RolledBack => "rolled_back",
    }
}

fn parse_phase(name: &str) -> Option<Phase> {
    let phases = [
        Phase::Running,
        Phase::Promoting,
        Phase::Succeeded,
        Phase::RolledBack,
    ];
    phases.into_iter().find(|it| phase_name(*it) == name)
}
