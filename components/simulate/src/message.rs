//! Messages between the entry and the owners.

use std::net::SocketAddr;

use ids::NodeId;
use ids::RequestId;
use traffic::entry::AttemptReport;
use traffic::ledger::Outcome;
use traffic::owner::IncomingRequest;
use traffic::owner::OutcomeQuery;

/// One message. `call_index` is the index of the call at the entry that the message is about, and
/// `attempt` the number of that call's attempt.
#[derive(Clone, Debug)]
pub enum Message {
    /// The entry sends the request of an attempt to the owner at `to`.
    Request {
        to: SocketAddr,
        call_index: usize,
        incoming: IncomingRequest,
    },
    /// The owner sends the result of an attempt. The payload is the identifier of the request that
    /// the response belongs to, or `None` if there is no response to relay.
    Response {
        call_index: usize,
        attempt: u32,
        report: AttemptReport,
        payload: Option<RequestId>,
    },
    /// The entry asks the owner at `to` for the outcome of an attempt.
    OutcomeQuery {
        to: SocketAddr,
        call_index: usize,
        query: OutcomeQuery,
    },
    /// The owner answers an outcome query.
    OutcomeReport {
        call_index: usize,
        attempt: u32,
        outcome: Outcome,
    },
    /// The entry closes the connection of an attempt to its owner.
    Cancel {
        to: NodeId,
        call_index: usize,
        attempt: u32,
    },
    /// The entry asks the owner at `to` for the stored response to request `id`.
    Fetch {
        to: SocketAddr,
        call_index: usize,
        attempt: u32,
        id: RequestId,
    },
    /// The owner answers a fetch. The payload is the identifier of the request that the stored
    /// response belongs to, or `None` if no response is stored.
    FetchResult {
        call_index: usize,
        attempt: u32,
        payload: Option<RequestId>,
    },
}

/// Kind of a message, by which the faults of a plan select messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageKind {
    /// [`Message::Request`].
    Request,
    /// [`Message::Response`].
    Response,
    /// [`Message::OutcomeQuery`].
    OutcomeQuery,
    /// [`Message::OutcomeReport`].
    OutcomeReport,
    /// [`Message::Cancel`].
    Cancel,
    /// [`Message::Fetch`] or [`Message::FetchResult`].
    Fetch,
}

impl Message {
    /// The kind of the message.
    pub fn kind(&self) -> MessageKind {
        match self {
            Self::Request { .. } => MessageKind::Request,
            Self::Response { .. } => MessageKind::Response,
            Self::OutcomeQuery { .. } => MessageKind::OutcomeQuery,
            Self::OutcomeReport { .. } => MessageKind::OutcomeReport,
            Self::Cancel { .. } => MessageKind::Cancel,
            Self::Fetch { .. } | Self::FetchResult { .. } => MessageKind::Fetch,
        }
    }
}
