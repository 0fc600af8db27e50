//! One entry of the member table.

use std::net::SocketAddr;

use crate::Stage;
use crate::Upstream;
use ids::Domain;
use ids::Incarnation;
use ids::NodeId;

/// Where a node listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ListenAddresses {
    /// UDP for gossip and TCP for control calls.
    pub peer: SocketAddr,
    /// HTTP requests of other nodes.
    pub requests: SocketAddr,
    /// Operators' HTTP.
    pub admin: SocketAddr,
}

/// Whether a member is believed to live; a later status overrides an earlier one of the same
/// incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Status {
    /// It answers probes.
    Alive,
    /// It did not answer and can still refute.
    Suspect,
    /// It did not refute in time.
    Dead,
    /// It said that it leaves.
    Left,
}

/// What is known of a member.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Member {
    /// Identity of the process.
    pub id: NodeId,
    /// Where it listens.
    pub addresses: ListenAddresses,
    /// Its failure domain.
    pub domain: Domain,
    /// Its own counter of statements about itself.
    pub incarnation: Incarnation,
    /// Whether it lives.
    pub status: Status,
    /// Stage of its upstream; `Warming` while none has announced itself.
    pub stage: Stage,
    /// Its upstream, once announced.
    pub upstream: Option<Upstream>,
}

impl Member {
    /// Whether this statement replaces `other` about the same member.
    pub fn overrides(&self, other: &Self) -> bool {
        (self.incarnation, self.status) > (other.incarnation, other.status)
    }

    /// Whether it takes part in the fleet.
    pub fn is_live(&self) -> bool {
        matches!(self.status, Status::Alive | Status::Suspect)
    }

    /// Whether requests are routed to it in the same way as to `other`.
    pub fn has_same_routing(&self, other: &Self) -> bool {
        let parts = |it: &Self| (it.is_live(), it.stage, it.addresses);
        parts(self) == parts(other)
            && self.upstream == other.upstream
            && self.domain == other.domain
    }
}
