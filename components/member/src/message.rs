//! Messages that the membership protocol exchanges between nodes.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::Member;
use ids::Digest;
use ids::NodeId;
use ids::Version;

/// Version and hash of a configuration. Nodes exchange it to find out which of them have an older
/// configuration in force.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConfigId {
    /// Version of the configuration.
    pub version: Version,
    /// Hash of the configuration text.
    pub digest: Digest,
}

/// An update about a member, spread by gossip.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Update {
    /// New state of the member.
    pub member: Arc<Member>,
    /// Node that originated the update. Suspicions of one member by several sources confirm each other.
    pub source: NodeId,
}

/// Content that every message carries.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Gossip {
    /// Id of the node that sends the message.
    pub from: NodeId,
    /// Configuration that the sender has in force.
    pub config_id: ConfigId,
    /// Updates about members.
    pub updates: Vec<Update>,
}

/// A datagram between two nodes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// Asks for a [`Message::Ack`] with the same sequence number.
    Ping { sequence: u64, gossip: Gossip },
    /// Asks the receiver to ping `target` and to answer with an ack or a nack of the same sequence
    /// number.
    PingRequest {
        sequence: u64,
        target: NodeId,
        address: SocketAddr,
        gossip: Gossip,
    },
    /// The receiver of the ping, or the target of the ping request, is alive.
    Ack { sequence: u64, gossip: Gossip },
    /// The relay that was asked to ping the target is alive, but the target has not answered yet.
    Nack { sequence: u64, gossip: Gossip },
}

impl Message {
    /// The gossip that the message carries.
    pub fn gossip(&self) -> &Gossip {
        match self {
            Self::Ping { gossip, .. }
            | Self::PingRequest { gossip, .. }
            | Self::Ack { gossip, .. }
            | Self::Nack { gossip, .. } => gossip,
        }
    }
}

/// Number of buckets into which the members are divided by id, so that two nodes can compare their
/// member tables by one hash per bucket.
pub const BUCKET_COUNT: usize = 64;

/// Request of anti-entropy, the comparison of two member tables.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SyncRequest {
    /// Hash of each bucket of the sender's table; asks which buckets differ in the receiver's table.
    Hashes { hashes: Vec<u64> },
    /// The members of the buckets in the bit set `buckets`; asks for those in the receiver's table.
    Members {
        buckets: u64,
        members: Vec<Arc<Member>>,
    },
}

/// Response to a [`SyncRequest`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SyncResponse {
    /// Id of the responding node.
    pub from: NodeId,
    /// Configuration that the responding node has in force.
    pub config_id: ConfigId,
    /// Content of the response.
    pub body: SyncResponseBody,
}

/// Content of a [`SyncResponse`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SyncResponseBody {
    /// Bit set of the buckets that differ; answers [`SyncRequest::Hashes`].
    Differ(u64),
    /// The members of the requested buckets; answers [`SyncRequest::Members`].
    Members(Vec<Arc<Member>>),
}
