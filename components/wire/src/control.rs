//! Control calls between nodes: the tarpc service and its messages.
//!
//! Each message type has the name of the type that it encodes. The encoding is bincode, which
//! identifies fields and variants by their order.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::CompressedText;
use crate::sync;
use config::Delta;
use errors::Verdict;
use ids::Digest;
use ids::NodeId;
use ids::RequestId;
use ids::Version;
use kernel::Time;

/// Maximum size of a control message, in bytes: the longest configuration text plus room for the
/// other fields.
pub const MAX_FRAME_BYTES: usize = 1_100_000;

/// Control calls that a node serves.
#[tarpc::service]
pub trait Peer {
    /// Returns the configuration of the called node to a node that has `version` with the text hash
    /// `digest` in force.
    async fn pull(version: u64, digest: u64) -> PullResponse;

    /// Compares the member tables of both nodes; returns `None` if the request is malformed.
    async fn sync(ask: sync::SyncRequest) -> Option<sync::SyncResponse>;

    /// Returns the outcome of a request, and makes sure that the request is refused if it has not
    /// arrived yet.
    async fn outcome(question: OutcomeQuery) -> Outcome;
}

/// Encoded form of [`traffic::owner::OutcomeQuery`].
#[derive(Clone, Copy, Debug)]
#[derive(Serialize, Deserialize)]
pub struct OutcomeQuery {
    id: u128,
    #[serde(rename = "owner")]
    intended_owner: u64,
    attempt: u32,
    /// Expiry of the request, on the clock of the queried node.
    expires_us: u64,
    #[serde(rename = "given_up")]
    cancel_if_queued: bool,
}

/// Encoded form of [`config::Record`].
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub struct Record {
    version: u64,
    #[serde(rename = "edit")]
    edit_hash: u128,
    #[serde(rename = "parent")]
    parent_digest: u64,
    digest: u64,
    format: u32,
    text: CompressedText,
}

/// Encoded form of [`config::DeltaOp`].
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub enum DeltaOp {
    /// Copies `count` lines of the base text from line `start` on.
    Keep { start: u32, count: u32 },
    /// Inserts new lines.
    Insert(CompressedText),
}

/// Encoded form of [`spread::PullResponse`].
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub enum PullResponse {
    /// The called node has no newer version.
    #[serde(rename = "Same")]
    UpToDate,
    /// The record with its whole text.
    #[serde(rename = "Whole")]
    Full(Record),
    /// The record without its text, and a delta from the text with the hash `base` to it.
    #[serde(rename = "Changes")]
    Delta {
        record: Record,
        base: u64,
        #[serde(rename = "steps")]
        ops: Vec<DeltaOp>,
    },
}

/// Encoded form of [`traffic::ledger::Outcome`].
#[derive(Clone, Copy, Debug)]
#[derive(Serialize, Deserialize)]
pub enum Outcome {
    /// The request has not arrived, and is refused if it still does.
    Fenced,
    /// The request was queued and has been cancelled; it does not run.
    Cancelled,
    /// The request is queued or running.
    Running,
    /// The request has ended without having run.
    DoneNotRun,
    /// The request has ended and may have run.
    DoneMayHaveRun,
    /// The request has run; `stored` tells whether its answer can be fetched.
    DoneRan { stored: bool },
    /// The node does not know whether the request ran.
    Unknown,
}

impl From<&config::Record> for Record {
    fn from(record: &config::Record) -> Self {
        Self {
            version: record.version.0,
            edit_hash: record.edit_hash,
            parent_digest: record.parent_digest.0,
            digest: record.digest.0,
            format: record.format,
            text: CompressedText::from(&*record.text),
        }
    }
}

impl Record {
    /// Converts the record; returns `None` if its text is malformed.
    fn into_record(self) -> Option<config::Record> {
        Some(config::Record {
            version: Version(self.version),
            edit_hash: self.edit_hash,
            parent_digest: Digest(self.parent_digest),
            digest: Digest(self.digest),
            format: self.format,
            text: Arc::from(self.text.decompress()?),
        })
    }
}

impl From<&spread::PullResponse> for PullResponse {
    fn from(response: &spread::PullResponse) -> Self {
        match response {
            spread::PullResponse::UpToDate => Self::UpToDate,
            spread::PullResponse::Full(record) => Self::Full(record.into()),
            spread::PullResponse::Delta { record, delta } => Self::Delta {
                record: record.into(),
                base: delta.base.0,
                ops: delta
                    .ops
                    .iter()
                    .map(|op| match op {
                        config::DeltaOp::Keep { start, count } => DeltaOp::Keep {
                            start: *start,
                            count: *count,
                        },
                        config::DeltaOp::Insert(text) => {
                            DeltaOp::Insert(CompressedText::from(text.as_str()))
                        }
                    })
                    .collect(),
            },
        }
    }
}

impl PullResponse {
    /// Converts the message; returns `None` if a text in it is malformed.
    pub fn into_response(self) -> Option<spread::PullResponse> {
        Some(match self {
            Self::UpToDate => spread::PullResponse::UpToDate,
            Self::Full(record) => spread::PullResponse::Full(record.into_record()?),
            Self::Delta { record, base, ops } => {
                let ops: Option<Vec<config::DeltaOp>> =
                    ops.into_iter().map(DeltaOp::into_delta_op).collect();
                spread::PullResponse::Delta {
                    record: record.into_record()?,
                    delta: Delta {
                        base: Digest(base),
                        ops: ops?,
                    },
                }
            }
        })
    }
}

impl DeltaOp {
    /// Converts the operation; returns `None` if its text is malformed.
    fn into_delta_op(self) -> Option<config::DeltaOp> {
        Some(match self {
            Self::Keep { start, count } => config::DeltaOp::Keep { start, count },
            Self::Insert(text) => config::DeltaOp::Insert(text.decompress()?),
        })
    }
}

impl From<traffic::owner::OutcomeQuery> for OutcomeQuery {
    fn from(query: traffic::owner::OutcomeQuery) -> Self {
        Self {
            id: query.id.0,
            intended_owner: query.intended_owner.0,
            attempt: query.attempt,
            expires_us: query.expires.0,
            cancel_if_queued: query.cancel_if_queued,
        }
    }
}

impl From<OutcomeQuery> for traffic::owner::OutcomeQuery {
    fn from(query: OutcomeQuery) -> Self {
        Self {
            id: RequestId(query.id),
            intended_owner: NodeId(query.intended_owner),
            attempt: query.attempt,
            expires: Time(query.expires_us),
            cancel_if_queued: query.cancel_if_queued,
        }
    }
}

impl From<traffic::ledger::Outcome> for Outcome {
    fn from(outcome: traffic::ledger::Outcome) -> Self {
        use traffic::ledger::Outcome as LedgerOutcome;
        match outcome {
            LedgerOutcome::Fenced => Self::Fenced,
            LedgerOutcome::Cancelled => Self::Cancelled,
            LedgerOutcome::Running => Self::Running,
            LedgerOutcome::Done {
                verdict: Verdict::NotRun,
                ..
            } => Self::DoneNotRun,
            LedgerOutcome::Done {
                verdict: Verdict::MayHaveRun,
                ..
            } => Self::DoneMayHaveRun,
            LedgerOutcome::Done {
                verdict: Verdict::Ran,
                stored,
            } => Self::DoneRan { stored },
            LedgerOutcome::Unknown => Self::Unknown,
        }
    }
}

impl From<Outcome> for traffic::ledger::Outcome {
    fn from(outcome: Outcome) -> Self {
        match outcome {
            Outcome::Fenced => Self::Fenced,
            Outcome::Cancelled => Self::Cancelled,
            Outcome::Running => Self::Running,
            Outcome::DoneNotRun => Self::Done {
                verdict: Verdict::NotRun,
                stored: false,
            },
            Outcome::DoneMayHaveRun => Self::Done {
                verdict: Verdict::MayHaveRun,
                stored: false,
            },
            Outcome::DoneRan { stored } => Self::Done {
                verdict: Verdict::Ran,
                stored,
            },
            Outcome::Unknown => Self::Unknown,
        }
    }
}
