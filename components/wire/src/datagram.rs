//! Encoding of the datagrams of the membership protocol: a format number, followed by a
//! postcard-encoded [`Frame`].

use std::net::SocketAddr;
use std::sync::Arc;

use quick_error::quick_error;
use serde::Deserialize;
use serde::Serialize;

use crate::Decoded;
use crate::MemberEntry;
use ids::Digest;
use ids::NodeId;
use ids::Version;
use member::ConfigId;
use member::Gossip;
use member::Message;
use member::Status;

/// Maximum length of a datagram in bytes; below the path MTU of common networks.
pub const MAX_BYTES: usize = 1_200;
/// Number of the datagram format, the first byte of each datagram.
const FORMAT: u8 = 1;

quick_error! {
    /// Why a datagram cannot be decoded.
    #[derive(Debug, PartialEq, Eq)]
    pub enum Error {
        /// The datagram has another format number.
        UnsupportedFormat(number: u8) {
            display("datagram format {number} is not {FORMAT}")
        }
        /// The content of the datagram is malformed.
        Malformed {
            display("datagram is malformed")
        }
    }
}

/// Encoded form of [`member::Update`].
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
struct Update {
    entry: MemberEntry,
    /// Node that suspects the member; `None` if the update is not a suspicion.
    #[serde(rename = "by")]
    source: Option<u64>,
}

/// Encoded form of [`Message`], without the format number.
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
struct Frame {
    /// Kind of the message, such as [`PING`].
    kind: u8,
    #[serde(rename = "number")]
    sequence: u64,
    from: u64,
    version: u64,
    digest: u64,
    /// Id and address of the node that the receiver of a ping request is to ping; `None` in other
    /// messages.
    target: Option<(u64, SocketAddr)>,
    updates: Vec<Update>,
}

// Values of `Frame::kind`.
const PING: u8 = 0;
const ACK: u8 = 1;
const PING_REQUEST: u8 = 2;
const NACK: u8 = 3;

/// Encodes a message. Updates that do not fit into [`MAX_BYTES`] are left out, the last ones first.
pub fn encode(message: &Message) -> Vec<u8> {
    let (kind, sequence, target) = match message {
        Message::Ping { sequence, .. } => (PING, *sequence, None),
        Message::Ack { sequence, .. } => (ACK, *sequence, None),
        Message::Nack { sequence, .. } => (NACK, *sequence, None),
        Message::PingRequest {
            sequence,
            target,
            address,
            ..
        } => (PING_REQUEST, *sequence, Some((target.0, *address))),
    };
    let gossip = message.gossip();
    let mut frame = Frame {
        kind,
        sequence,
        from: gossip.from.0,
        version: gossip.config_id.version.0,
        digest: gossip.config_id.digest.0,
        target,
        updates: gossip.updates.iter().map(Update::from).collect(),
    };
    loop {
        let bytes = postcard::to_extend(&frame, vec![FORMAT]).unwrap_or_default();
        if bytes.len() <= MAX_BYTES || frame.updates.pop().is_none() {
            return bytes;
        }
    }
}

/// Decodes a received datagram. Updates that are out of range are left out.
pub fn decode(bytes: &[u8]) -> Result<Decoded<Message>, Error> {
    let (format, body) = bytes.split_first().ok_or(Error::Malformed)?;
    if *format != FORMAT {
        return Err(Error::UnsupportedFormat(*format));
    }
    let (frame, rest) = postcard::take_from_bytes::<Frame>(body).map_err(|_| Error::Malformed)?;
    if !rest.is_empty() {
        return Err(Error::Malformed);
    }
    let sequence = frame.sequence;
    let from = NodeId(frame.from);
    let updates = frame.updates.into_iter().map(|it| it.into_update(from));
    let Decoded {
        message: updates,
        malformed,
    } = Decoded::collect(updates);
    let gossip = Gossip {
        from,
        config_id: ConfigId {
            version: Version(frame.version),
            digest: Digest(frame.digest),
        },
        updates,
    };
    let message = match (frame.kind, frame.target) {
        (PING, None) => Message::Ping { sequence, gossip },
        (ACK, None) => Message::Ack { sequence, gossip },
        (NACK, None) => Message::Nack { sequence, gossip },
        (PING_REQUEST, Some((target, address))) => Message::PingRequest {
            sequence,
            target: NodeId(target),
            address,
            gossip,
        },
        _ => return Err(Error::Malformed),
    };
    Ok(Decoded { message, malformed })
}

impl From<&member::Update> for Update {
    fn from(update: &member::Update) -> Self {
        let is_suspicion = update.member.status == Status::Suspect;
        Self {
            entry: MemberEntry::from(update.member.as_ref()),
            source: is_suspicion.then_some(update.source.0),
        }
    }
}

impl Update {
    /// Converts an update of a datagram from the node `from`; returns `None` if a field is out of range.
    fn into_update(self, from: NodeId) -> Option<member::Update> {
        Some(member::Update {
            member: Arc::new(self.entry.into_member()?),
            source: self.source.map_or(from, NodeId),
        })
    }
}
