//! Members for the tests of the encodings.

use std::net::SocketAddr;
use std::sync::Arc;

use ids::Domain;
use ids::Incarnation;
use ids::NodeId;
use member::ListenAddresses;
use member::Member;
use member::Stage;
use member::Status;
use member::Upstream;

/// A live member with a ready upstream, whose listeners all have this port.
pub(crate) fn member(id: u64, port: u16) -> Member {
    let address = SocketAddr::from(([127, 0, 0, 1], port));
    Member {
        id: NodeId(id),
        addresses: ListenAddresses {
            peer: address,
            requests: address,
            admin: address,
        },
        domain: Domain::new("huesca"),
        incarnation: Incarnation(id),
        status: Status::Alive,
        stage: Stage::Ready,
        upstream: Some(Upstream {
            service: Arc::from("reservas"),
            run_id: None,
            version: None,
            slots: 10,
            max_connections: 100,
        }),
    }
}
