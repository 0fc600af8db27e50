//! A member of the fleet and its status.

use std::net::SocketAddr;

use crate::Stage;
use crate::Upstream;
use ids::Domain;
use ids::Incarnation;
use ids::NodeId;

/// Addresses at which a node listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ListenAddresses {
    /// Address for gossip over UDP and for control calls over TCP.
    pub peer: SocketAddr,
    /// Address for HTTP requests that other nodes forward.
    pub requests: SocketAddr,
    /// Address of the admin API, the HTTP interface for operators.
    pub admin: SocketAddr,
}

/// Liveness of a member. Among updates of the same incarnation, a later variant overrides an earlier
/// one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Status {
    /// The member answers probes.
    Alive,
    /// The member did not answer a probe, and can still refute the suspicion.
    Suspect,
    /// The member did not refute a suspicion in time.
    Dead,
    /// The member has announced that it leaves.
    Left,
}

/// State of a member as one node knows it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Member {
    /// Id of the node's process; a restarted process has a new id.
    pub id: NodeId,
    /// Addresses at which the node listens.
    pub addresses: ListenAddresses,
    /// Failure domain of the node.
    pub domain: Domain,
    /// Counter that the member increases with each update about itself; a higher value overrides a
    /// lower one.
    pub incarnation: Incarnation,
    /// Liveness of the member.
    pub status: Status,
    /// Stage of the node's upstream; [`Stage::Warming`] until an upstream has announced itself.
    pub stage: Stage,
    /// The node's upstream, once that has announced itself.
    pub upstream: Option<Upstream>,
}

impl Member {
    /// Whether this state of a member takes precedence over `other`, a state of the same member.
    pub fn overrides(&self, other: &Self) -> bool {
        (self.incarnation, self.status) > (other.incarnation, other.status)
    }

    /// Whether the member is neither dead nor has left; a suspected member counts as live.
    pub fn is_live(&self) -> bool {
        matches!(self.status, Status::Alive | Status::Suspect)
    }

    /// Whether all fields that affect the routing of requests are the same as in `other`.
    pub fn has_same_routing(&self, other: &Self) -> bool {
        let fields = |it: &Self| (it.is_live(), it.stage, it.addresses);
        fields(self) == fields(other)
            && self.upstream == other.upstream
            && self.domain == other.domain
    }
}
