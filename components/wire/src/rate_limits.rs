//! Encoding of the messages that keep the rate limits of organisations: a format number, followed by the
//! postcard-encoded message. Nodes that do not know the format drop these datagrams.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use ids::NodeId;
use ids::OrganisationId;
use kernel::Time;
use quota::Ask;
use quota::Grant;
use quota::GroupSet;
use quota::MAX_ASKS;
use quota::Request;
use quota::Response;

/// Number of the format, the first byte of each datagram.
pub const FORMAT: u8 = 4;
/// Longest time in a message; longer ones are malformed.
const MAX_TIME: Duration = Duration::from_secs(60);

/// A message of either side.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// From a holder to a granter.
    Request(Request),
    /// From a granter to a holder.
    Response(Response),
}

/// Encoded form of [`Ask`]: organisation, waiting, forecast, returned, time of their grant in microseconds.
type AskFields = (u64, u16, u16, u16, u64);
/// Encoded form of [`Grant`]: organisation, tokens, `retry_after` and pause in microseconds.
type GrantFields = (u64, u16, u32, u32);

/// Encoded form of [`Message`], without the format number.
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
enum Frame {
    Request {
        holder: u64,
        granter: u64,
        number: u64,
        echo: Option<u64>,
        instances: u32,
        shares: u8,
        asks: Vec<AskFields>,
    },
    Response {
        granter: u64,
        holder: u64,
        number: u64,
        reading: u64,
        leaving: bool,
        grants: Vec<GrantFields>,
    },
}

/// Encodes a message. With [`MAX_ASKS`] asks it takes at most 29 bytes for each and 60 more, which is below
/// [`crate::datagram::MAX_BYTES`].
pub fn encode(message: &Message) -> Vec<u8> {
    let frame = match message {
        Message::Request(request) => Frame::from_request(request),
        Message::Response(response) => Frame::from_response(response),
    };
    postcard::to_extend(&frame, vec![FORMAT]).unwrap_or_default()
}

/// Decodes a datagram with [`FORMAT`]; returns `None` if it is malformed or contains too much.
pub fn decode(bytes: &[u8]) -> Option<Message> {
    let (format, body) = bytes.split_first()?;
    let (frame, rest) = postcard::take_from_bytes::<Frame>(body).ok()?;
    if *format != FORMAT || !rest.is_empty() {
        return None;
    }
    frame.into_message()
}

impl Frame {
    fn from_request(request: &Request) -> Self {
        let asks = request.asks.iter().take(MAX_ASKS).map(|it| {
            let granted_at = it.granted_at.0;
            (
                it.organisation.0,
                it.waiting,
                it.forecast,
                it.returned,
                granted_at,
            )
        });
        Self::Request {
            holder: request.holder.0,
            granter: request.granter.0,
            number: request.number,
            echo: request.echo.map(|it| it.0),
            instances: request.instances,
            shares: request.shares.0,
            asks: asks.collect(),
        }
    }

    fn from_response(response: &Response) -> Self {
        let grants = response.grants.iter().take(MAX_ASKS).map(|it| {
            let retry_after = micros(it.retry_after);
            (it.organisation.0, it.tokens, retry_after, micros(it.pause))
        });
        Self::Response {
            granter: response.granter.0,
            holder: response.holder.0,
            number: response.number,
            reading: response.reading.0,
            leaving: response.leaving,
            grants: grants.collect(),
        }
    }

    fn into_message(self) -> Option<Message> {
        match self {
            Self::Request {
                holder,
                granter,
                number,
                echo,
                instances,
                shares,
                asks,
            } => {
                let asks: Vec<Ask> = asks.into_iter().map(make_ask).collect();
                (asks.len() <= MAX_ASKS).then_some(Message::Request(Request {
                    holder: NodeId(holder),
                    granter: NodeId(granter),
                    number,
                    echo: echo.map(Time),
                    instances,
                    shares: GroupSet(shares),
                    asks,
                }))
            }
            Self::Response {
                granter,
                holder,
                number,
                reading,
                leaving,
                grants,
            } => {
                let grants: Option<Vec<Grant>> = grants.into_iter().map(make_grant).collect();
                let grants = grants.filter(|it| it.len() <= MAX_ASKS)?;
                Some(Message::Response(Response {
                    granter: NodeId(granter),
                    holder: NodeId(holder),
                    number,
                    reading: Time(reading),
                    leaving,
                    grants,
                }))
            }
        }
    }
}

fn make_ask((organisation, waiting, forecast, returned, granted_at): AskFields) -> Ask {
    Ask {
        organisation: OrganisationId(organisation),
        waiting,
        forecast,
        returned,
        granted_at: Time(granted_at),
    }
}

/// `None` if a time is out of range.
fn make_grant((organisation, tokens, retry_after, pause): GrantFields) -> Option<Grant> {
    let retry_after = Duration::from_micros(retry_after.into());
    let pause = Duration::from_micros(pause.into());
    (retry_after <= MAX_TIME && pause <= MAX_TIME).then_some(Grant {
        organisation: OrganisationId(organisation),
        tokens,
        retry_after,
        pause,
    })
}

fn micros(duration: Duration) -> u32 {
    u32::try_from(duration.as_micros()).unwrap_or(u32::MAX)
}
