//! The node that a test of the control state machine starts.

use std::net::SocketAddr;

use ids::Domain;
use ids::Incarnation;
use ids::NodeId;
use member::ListenAddresses;
use member::Member;
use member::Stage;
use member::Status;

/// Returns a node that has just started, with the same address for all it listens to.
pub(crate) fn new_member(id: NodeId, address: SocketAddr) -> Member {
    Member {
        id,
        addresses: ListenAddresses {
            peer: address,
            requests: address,
            admin: address,
        },
        domain: Domain::new("d"),
        incarnation: Incarnation(1),
        status: Status::Alive,
        stage: Stage::Warming,
        upstream: None,
    }
}
