//! Encoding of the messages about proofs that a configuration is the newest: a format number, followed by the
//! postcard-encoded message. Nodes that do not know the format drop these datagrams.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use fresh::Message;
use ids::Version;

/// Number of the format, the first byte of each datagram.
pub const FORMAT: u8 = 3;

/// Encoded form of [`Message`].
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
enum Frame {
    Request {
        nonce: u64,
    },
    Response {
        nonce: u64,
        version: u64,
        age_us: u64,
        renewal_ms: u32,
    },
}

/// Encodes a message; takes 37 bytes at most.
pub fn encode(message: Message) -> Vec<u8> {
    let frame = match message {
        Message::Request { nonce } => Frame::Request { nonce },
        Message::Response {
            nonce,
            version,
            age,
            renewal,
        } => Frame::Response {
            nonce,
            version: version.0,
            age_us: u64::try_from(age.as_micros()).unwrap_or(u64::MAX),
            renewal_ms: u32::try_from(renewal.as_millis()).unwrap_or(u32::MAX),
        },
    };
    postcard::to_extend(&frame, vec![FORMAT]).unwrap_or_default()
}

/// Decodes a datagram with [`FORMAT`]; returns `None` if it is malformed.
pub fn decode(bytes: &[u8]) -> Option<Message> {
    let (format, body) = bytes.split_first()?;
    let (frame, rest) = postcard::take_from_bytes::<Frame>(body).ok()?;
    let message = match frame {
        Frame::Request { nonce } => Message::Request { nonce },
        Frame::Response {
            nonce,
            version,
            age_us,
            renewal_ms,
        } => Message::Response {
            nonce,
            version: Version(version),
            age: Duration::from_micros(age_us),
            renewal: Duration::from_millis(renewal_ms.into()),
        },
    };
    (*format == FORMAT && rest.is_empty()).then_some(message)
}
