//! Messages between the entry and the owners.

use std::net::SocketAddr;

use ids::NodeId;
use ids::RequestId;
use traffic::entry::AttemptReport;
use traffic::ledger::Outcome;
use traffic::owner::IncomingRequest;
use traffic::owner::OutcomeQuery;

/// One message; `shell` is the call at the entry that it is about.
#[derive(Clone, Debug)]
pub enum Message {
    Offer {
        to: SocketAddr,
        shell: usize,
        offer: IncomingRequest,
    },
    Answer {
        shell: usize,
        attempt: u32,
        report: AttemptReport,
        payload: Option<RequestId>,
    },
    Query {
        to: SocketAddr,
        shell: usize,
        query: OutcomeQuery,
    },
    Tell {
        shell: usize,
        attempt: u32,
        outcome: Outcome,
    },
    Cancel {
        to: NodeId,
        shell: usize,
        attempt: u32,
    },
    Fetch {
        to: SocketAddr,
        shell: usize,
        attempt: u32,
        id: RequestId,
    },
    Fetched {
        shell: usize,
        attempt: u32,
        payload: Option<RequestId>,
    },
}

/// Kind of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    Offer,
    Answer,
    Query,
    Tell,
    Cancel,
    Fetch,
}

impl Message {
    pub fn kind(&self) -> Kind {
        match self {
            Self::Offer { .. } => Kind::Offer,
            Self::Answer { .. } => Kind::Answer,
            Self::Query { .. } => Kind::Query,
            Self::Tell { .. } => Kind::Tell,
            Self::Cancel { .. } => Kind::Cancel,
            Self::Fetch { .. } | Self::Fetched { .. } => Kind::Fetch,
        }
    }
}
