//! Gossip datagrams: postcard with a leading format number.

use quick_error::quick_error;
use serde::Deserialize;
use serde::Serialize;

use crate::Entry;
use ids::Digest;
use ids::NodeId;
use ids::Version;
use member::Gossip;
use member::Message;
use member::Stamp;

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

#[derive(Debug, Serialize, Deserialize)]
struct Frame {
    kind: u8,
    number: u64,
    from: u64,
    version: u64,
    digest: u64,
    updates: Vec<Entry>,
}

const PING: u8 = 0;
const ACK: u8 = 1;

/// Encodes a message; leaves out the last updates if they do not fit.
pub fn encode(message: &Message) -> Vec<u8> {
    let (kind, number, gossip) = match message {
        Message::Ping { number, gossip } => (PING, *number, gossip),
        Message::Ack { number, gossip } => (ACK, *number, gossip),
    };
    let mut frame = Frame {
        kind,
        number,
        from: gossip.from.0,
        version: gossip.stamp.version.0,
        digest: gossip.stamp.digest.0,
        updates: gossip.updates.iter().map(Entry::from).collect(),
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
    let frame: Frame = postcard::from_bytes(body).map_err(|_| Error::Malformed)?;
    let updates = frame
        .updates
        .into_iter()
        .map(Entry::into_member)
        .collect::<Option<Vec<_>>>();
    let gossip = Gossip {
        from: NodeId(frame.from),
        stamp: Stamp {
            version: Version(frame.version),
            digest: Digest(frame.digest),
        },
        updates: updates.ok_or(Error::Malformed)?,
    };
    match frame.kind {
        PING => Ok(Message::Ping {
            number: frame.number,
            gossip,
        }),
        ACK => Ok(Message::Ack {
            number: frame.number,
            gossip,
        }),
        _ => Err(Error::Malformed),
    }
}
