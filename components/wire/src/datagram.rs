//! Gossip datagrams: postcard with a leading format number.

use std::net::SocketAddr;
use std::sync::Arc;

use quick_error::quick_error;
use serde::Deserialize;
use serde::Serialize;

use crate::MemberEntry;
use ids::Digest;
use ids::NodeId;
use ids::Version;
use member::ConfigId;
use member::Gossip;
use member::Message;
use member::Status;

/// Longest datagram; below the path MTU of common networks.
pub const MAX_BYTES: usize = 1_200;
/// First byte of each datagram.
const FORMAT: u8 = 1;

quick_error! {
    /// Why a datagram is dropped.
    #[derive(Debug, PartialEq, Eq)]
    pub enum Error {
        /// It has another format number.
        Format(number: u8) {
            display("datagram format {number} is not {FORMAT}")
        }
        /// It cannot be decoded.
        Malformed {
            display("datagram is malformed")
        }
    }
}

/// A [`member::Update`] as it is encoded; the source is that of a suspicion.
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
struct Update {
    entry: MemberEntry,
    by: Option<u64>,
}

#[derive(Debug)]
#[derive(Serialize, Deserialize)]
struct Frame {
    kind: u8,
    number: u64,
    from: u64,
    version: u64,
    digest: u64,
    /// Whom a ping-request is about.
    target: Option<(u64, SocketAddr)>,
    updates: Vec<Update>,
}

const PING: u8 = 0;
const ACK: u8 = 1;
const PING_REQUEST: u8 = 2;
const NACK: u8 = 3;

/// Encodes a message; leaves out the last updates if they do not fit.
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
        number: sequence,
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

/// Decodes a message.
pub fn decode(bytes: &[u8]) -> Result<Message, Error> {
    let (format, body) = bytes.split_first().ok_or(Error::Malformed)?;
    if *format != FORMAT {
        return Err(Error::Format(*format));
    }
    let (frame, rest) = postcard::take_from_bytes::<Frame>(body).map_err(|_| Error::Malformed)?;
    if !rest.is_empty() {
        return Err(Error::Malformed);
    }
    let sequence = frame.number;
    let from = NodeId(frame.from);
    let updates = frame.updates.into_iter().map(|it| it.into_update(from));
    let gossip = Gossip {
        from,
        config_id: ConfigId {
            version: Version(frame.version),
            digest: Digest(frame.digest),
        },
        updates: updates
            .collect::<Option<Vec<_>>>()
            .ok_or(Error::Malformed)?,
    };
    match (frame.kind, frame.target) {
        (PING, None) => Ok(Message::Ping { sequence, gossip }),
        (ACK, None) => Ok(Message::Ack { sequence, gossip }),
        (NACK, None) => Ok(Message::Nack { sequence, gossip }),
        (PING_REQUEST, Some((target, address))) => Ok(Message::PingRequest {
            sequence,
            target: NodeId(target),
            address,
            gossip,
        }),
        _ => Err(Error::Malformed),
    }
}

impl From<&member::Update> for Update {
    fn from(update: &member::Update) -> Self {
        let suspicion = update.member.status == Status::Suspect;
        Self {
            entry: MemberEntry::from(update.member.as_ref()),
            by: suspicion.then_some(update.source.0),
        }
    }
}

impl Update {
    fn into_update(self, from: NodeId) -> Option<member::Update> {
        Some(member::Update {
            member: Arc::new(self.entry.into_member()?),
            source: self.by.map_or(from, NodeId),
        })
    }
}
