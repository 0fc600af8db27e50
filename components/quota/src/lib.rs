//! Rate limits of organisations, which all nodes keep together.
//!
//! Each instance owns an equal share of every limit and delegates it, for each group of organisations, to one
//! node at a time. That node, the [`Granter`] of the group, fills token buckets in proportion to the shares it
//! holds. The [`Holder`] of each node asks granters for tokens and spends them on requests. Both are pure; the
//! traffic driver runs them and `wire` encodes their messages.

mod batch;
mod bucket;
mod demand;
mod granter;
mod group;
mod holder;
mod limits;
mod link;
mod message;
mod share;

pub use batch::TokenLease;
pub use granter::Granter;
pub use granter::Usage;
pub use group::GROUP_COUNT;
pub use group::GroupSet;
pub use holder::Acquired;
pub use holder::Effect;
pub use holder::Holder;
pub use holder::Refusal;
pub use holder::Ticket;
pub use limits::Candidate;
pub use limits::Limit;
pub use limits::Limits;
pub use limits::View;
pub use message::Ask;
pub use message::Grant;
pub use message::Request;
pub use message::Response;

use std::time::Duration;

/// Time for which a granter counts a share, from the reading of its clock that the share's request echoes.
pub const DELEGATION_TIME: Duration = Duration::from_secs(2);
/// What a node adds to [`DELEGATION_TIME`] before it delegates its share to another granter. Covers clocks that run at
/// slightly different speeds.
pub const DELEGATION_MARGIN: Duration = Duration::from_millis(50);
/// Time from the request for tokens in which they may be spent. In a window of 5 s, nodes spend what was granted in the
/// window and in one token life before it. With 0.5 s that is 5.5 times the rate and the burst, which is just within the
/// bound; with 1 s it is not.
pub const TOKEN_LIFE: Duration = Duration::from_millis(450);
/// Age up to which a granter puts returned tokens back; not longer than a token life and a datagram's way, because
/// returned tokens extend the time in which granted ones count.
pub const RETURN_TIME: Duration = Duration::from_millis(500);
/// Time from its start in which a process does not delegate, because a share of its predecessor on the instance may
/// still count.
pub const START_DELAY: Duration = Duration::from_millis(2_500);
/// Largest number of organisations that one message asks or grants for; keeps it below the length of a datagram.
pub const MAX_ASKS: usize = 32;
