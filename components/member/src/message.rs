//! Messages between the membership of two nodes.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::Member;
use ids::Digest;
use ids::NodeId;
use ids::Version;

/// Version and hash of the configuration that a node has in force.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConfigId {
    /// Version.
    pub version: Version,
    /// Hash of the text.
    pub digest: Digest,
}

/// A statement about a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Update {
    /// What is stated.
    pub member: Arc<Member>,
    /// Who states it first; distinct sources confirm a suspicion.
    pub source: NodeId,
}

/// What rides on each message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Gossip {
    /// The sender.
    pub from: NodeId,
    /// Its configuration.
    pub config_id: ConfigId,
    /// Statements about members.
    pub updates: Vec<Update>,
}

/// A datagram between two nodes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// Asks for an [`Message::Ack`] with the same number.
    Ping { sequence: u64, gossip: Gossip },
    /// Asks for a ping of `target`, answered by an ack or a nack with the same number.
    PingRequest {
        sequence: u64,
        target: NodeId,
        address: SocketAddr,
        gossip: Gossip,
    },
    /// The receiver of the ping, or the target of the ping-request, answered.
    Ack { sequence: u64, gossip: Gossip },
    /// The target of the ping-request has not answered yet, but the helper lives.
    Nack { sequence: u64, gossip: Gossip },
}

impl Message {
    /// What rides on the message.
    pub fn gossip(&self) -> &Gossip {
        match self {
            Self::Ping { gossip, .. }
            | Self::PingRequest { gossip, .. }
            | Self::Ack { gossip, .. }
            | Self::Nack { gossip, .. } => gossip,
        }
    }
}

/// Buckets of the member table that are compared.
pub const BUCKET_COUNT: usize = 64;

/// A request of anti-entropy.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SyncRequest {
    /// Which of these buckets differ?
    Hashes { hashes: Vec<u64> },
    /// The members of the buckets in the bit set `buckets`, for the same of the other side.
    Members {
        buckets: u64,
        members: Vec<Arc<Member>>,
    },
}

/// Answer to an [`SyncRequest`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SyncResponse {
    /// The node that answers.
    pub from: NodeId,
    /// Its configuration.
    pub config_id: ConfigId,
    /// What it answers.
    pub body: SyncResponseBody,
}

/// Body of an [`SyncResponse`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SyncResponseBody {
    /// Bit set of the buckets that differ.
    Differ(u64),
    /// The members of the buckets that were asked for.
    Members(Vec<Arc<Member>>),
}
