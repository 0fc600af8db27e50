//! Messages between holders and granters.

use std::time::Duration;

use crate::GroupSet;
use ids::NodeId;
use ids::OrganisationId;
use kernel::Time;

/// Message of a holder to a granter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Node that sends the request.
    pub holder: NodeId,
    /// Node that the request is meant for.
    pub granter: NodeId,
    /// Number of the request; grows with each request of the holder.
    pub number: u64,
    /// Newest clock reading that the holder has of this granter; `None` if it has none.
    pub echo: Option<Time>,
    /// Number of instances that the holder knows.
    pub instances: u32,
    /// Groups whose share of the holder's instance the granter may count for
    /// [`crate::DELEGATION_TIME`] from `echo`. All others count no longer.
    pub shares: GroupSet,
    /// Tokens that the holder needs or returns; at most [`crate::MAX_ASKS`].
    pub asks: Vec<Ask>,
}

/// What a holder needs and returns of one organisation's tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ask {
    /// The organisation.
    pub organisation: OrganisationId,
    /// Requests that wait for a token.
    pub waiting: u16,
    /// Further requests that are likely to come before the next ask.
    pub forecast: u16,
    /// Unused tokens, which the holder no longer spends.
    pub returned: u16,
    /// Reading of the granter's clock when it granted the returned tokens.
    pub granted_at: Time,
}

/// Response of a granter to a [`Request`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// Node that sends the response.
    pub granter: NodeId,
    /// Node that the response is meant for.
    pub holder: NodeId,
    /// Number of the request.
    pub number: u64,
    /// Clock of the granter when it handled the request.
    pub reading: Time,
    /// Whether the granter leaves: it counts no share of the holder any more and never will again.
    pub leaving: bool,
    /// Answers to the asks of organisations whose limit the granter knows.
    pub grants: Vec<Grant>,
}

/// Answer to an [`Ask`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Grant {
    /// The organisation.
    pub organisation: OrganisationId,
    /// Tokens granted.
    pub tokens: u16,
    /// Time until tokens for what was not granted are likely to be free; zero if all was granted.
    pub retry_after: Duration,
    /// Time for which the holder does not ask for more.
    pub pause: Duration,
}
