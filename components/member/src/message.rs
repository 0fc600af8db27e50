//! Messages between the membership of two nodes.

use crate::Member;
use ids::Digest;
use ids::NodeId;
use ids::Version;

/// Version and hash of the configuration that a node has in force.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Stamp {
    /// Version.
    pub version: Version,
    /// Hash of the text.
    pub digest: Digest,
}

/// What rides on each message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Gossip {
    /// The sender.
    pub from: NodeId,
    /// Its configuration.
    pub stamp: Stamp,
    /// Statements about members.
    pub updates: Vec<Member>,
}

/// A datagram between two nodes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// Asks for an [`Message::Ack`] with the same number.
    Ping { number: u64, gossip: Gossip },
    /// Answers a ping.
    Ack { number: u64, gossip: Gossip },
}

impl Message {
    /// What rides on the message.
    pub fn gossip(&self) -> &Gossip {
        match self {
            Self::Ping { gossip, .. } | Self::Ack { gossip, .. } => gossip,
        }
    }
}
