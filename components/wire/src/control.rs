//! Control calls between nodes, over tarpc.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::Packed;
use crate::sync;
use config::Delta;
use config::DeltaOp;
use errors::Verdict;
use ids::Digest;
use ids::NodeId;
use ids::RequestId;
use ids::Version;
use kernel::Time;

/// Longest message of a control call: the longest text with some room.
pub const MAX_FRAME_BYTES: usize = 1_100_000;

/// Calls that a node answers.
#[tarpc::service]
pub trait Peer {
    /// Gives the configuration to a node that has `version` with hash `digest`.
    async fn pull(version: u64, digest: u64) -> Offer;

    /// Compares member tables; `None` if the question is malformed.
    async fn sync(ask: sync::Ask) -> Option<sync::Answer>;

    /// Tells what became of a request, and fences it if it never arrived.
    async fn outcome(question: Question) -> Outcome;
}

/// A [`traffic::owner::Question`] as it is encoded.
#[derive(Clone, Copy, Debug)]
#[derive(Serialize, Deserialize)]
pub struct Question {
    id: u128,
    owner: u64,
    attempt: u32,
    /// On the clock of the node that is asked.
    expires_us: u64,
    given_up: bool,
}

/// A record as it is encoded.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub struct Record {
    version: u64,
    edit: u128,
    parent: u64,
    digest: u64,
    format: u32,
    text: Packed,
}

/// A [`DeltaOp`] as it is encoded.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub enum Step {
    /// Keep lines.
    Keep { start: u32, count: u32 },
    /// Insert lines.
    Insert(Packed),
}

/// A [`spread::PullResponse`] as it is encoded.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub enum Offer {
    /// Nothing newer.
    Same,
    /// The whole record.
    Whole(Record),
    /// The record without its text, and the delta to it.
    Changes {
        record: Record,
        base: u64,
        steps: Vec<Step>,
    },
}

/// A [`traffic::ledger::Outcome`] as it is encoded.
#[derive(Clone, Copy, Debug)]
#[derive(Serialize, Deserialize)]
pub enum Outcome {
    /// It never arrived, and will be refused if it does.
    Fenced,
    /// It was waiting and has been cancelled.
    Cancelled,
    /// It waits or runs.
    Running,
    /// It ended without running.
    DoneNotRun,
    /// It ended and may have run.
    DoneMayHaveRun,
    /// It ran.
    DoneRan { stored: bool },
    /// The node cannot tell.
    Unknown,
}

impl From<&config::Record> for Record {
    fn from(record: &config::Record) -> Self {
        Self {
            version: record.version.0,
            edit: record.edit_hash,
            parent: record.parent_digest.0,
            digest: record.digest.0,
            format: record.format,
            text: Packed::from(&*record.text),
        }
    }
}

impl Record {
    fn into_record(self) -> Option<config::Record> {
        Some(config::Record {
            version: Version(self.version),
            edit_hash: self.edit,
            parent_digest: Digest(self.parent),
            digest: Digest(self.digest),
            format: self.format,
            text: Arc::from(self.text.unpack()?),
        })
    }
}

impl From<&spread::PullResponse> for Offer {
    fn from(offer: &spread::PullResponse) -> Self {
        match offer {
            spread::PullResponse::UpToDate => Self::Same,
            spread::PullResponse::Full(record) => Self::Whole(record.into()),
            spread::PullResponse::Delta { record, delta } => Self::Changes {
                record: record.into(),
                base: delta.base.0,
                steps: delta
                    .ops
                    .iter()
                    .map(|op| match op {
                        DeltaOp::Keep { start, count } => Step::Keep {
                            start: *start,
                            count: *count,
                        },
                        DeltaOp::Insert(text) => Step::Insert(Packed::from(text.as_str())),
                    })
                    .collect(),
            },
        }
    }
}

impl Offer {
    /// The offer; `None` if a text in it is malformed.
    pub fn into_offer(self) -> Option<spread::PullResponse> {
        Some(match self {
            Self::Same => spread::PullResponse::UpToDate,
            Self::Whole(record) => spread::PullResponse::Full(record.into_record()?),
            Self::Changes {
                record,
                base,
                steps,
            } => {
                let ops: Option<Vec<DeltaOp>> =
                    steps.into_iter().map(Step::into_delta_op).collect();
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

impl Step {
    fn into_delta_op(self) -> Option<DeltaOp> {
        Some(match self {
            Self::Keep { start, count } => DeltaOp::Keep { start, count },
            Self::Insert(text) => DeltaOp::Insert(text.unpack()?),
        })
    }
}

impl From<traffic::owner::OutcomeQuery> for Question {
    fn from(question: traffic::owner::OutcomeQuery) -> Self {
        Self {
            id: question.id.0,
            owner: question.intended_owner.0,
            attempt: question.attempt,
            expires_us: question.expires.0,
            given_up: question.cancel_if_queued,
        }
    }
}

impl From<Question> for traffic::owner::OutcomeQuery {
    fn from(question: Question) -> Self {
        Self {
            id: RequestId(question.id),
            intended_owner: NodeId(question.owner),
            attempt: question.attempt,
            expires: Time(question.expires_us),
            cancel_if_queued: question.given_up,
        }
    }
}

impl From<traffic::ledger::Outcome> for Outcome {
    fn from(outcome: traffic::ledger::Outcome) -> Self {
        use traffic::ledger::Outcome as Known;
        match outcome {
            Known::Fenced => Self::Fenced,
            Known::Cancelled => Self::Cancelled,
            Known::Running => Self::Running,
            Known::Done {
                verdict: Verdict::NotRun,
                ..
            } => Self::DoneNotRun,
            Known::Done {
                verdict: Verdict::MayHaveRun,
                ..
            } => Self::DoneMayHaveRun,
            Known::Done {
                verdict: Verdict::Ran,
                stored,
            } => Self::DoneRan { stored },
            Known::Unknown => Self::Unknown,
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
