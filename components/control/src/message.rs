//! What goes into and out of the control machine.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::AnnouncementOrder;
use crate::Topology;
use config::Record;
use ids::Domain;
use ids::Version;
use member::ConfigId;
use member::Message;
use member::Stage;
use member::SyncRequest;
use member::SyncResponse;
use member::Upstream;
use spread::ContactsEvent;
use spread::PullResponse;
use spread::Revision;
use spread::StoreEvent;

/// Names the asker of a control call until it is answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// What can happen to the control state.
#[derive(Clone, Debug)]
pub enum Input {
    /// A datagram arrived.
    Datagram { from: SocketAddr, message: Message },
    /// A node asks for the configuration; answered by [`Effect::RespondToPull`].
    PullRequested { call_id: CallId, have: ConfigId },
    /// The answer to [`Effect::Pull`]; `None` if there was none.
    PullCompleted {
        from: SocketAddr,
        offer: Option<PullResponse>,
    },
    /// A node compares member tables; answered by [`Effect::RespondToSync`].
    SyncRequested {
        call_id: CallId,
        request: SyncRequest,
    },
    /// The answer to [`Effect::Sync`]; `None` if there was none.
    SyncCompleted {
        from: SocketAddr,
        response: Option<SyncResponse>,
    },
    /// The store said something of the configuration key.
    Store(StoreEvent),
    /// The store said something of the contacts.
    Contacts(ContactsEvent),
    /// The upstream of this node announced itself.
    UpstreamAnnounced {
        stage: Stage,
        upstream: Upstream,
        order: Option<AnnouncementOrder>,
    },
    /// A run of the upstream of this node takes no more requests and will end.
    UpstreamDeparted {
        run_id: Arc<str>,
        order: Option<AnnouncementOrder>,
    },
    /// An operator or a signal asks the node to leave.
    Drain,
    /// The traffic side has finished all that ran.
    Drained,
}

/// What the control state asks for.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Send a datagram.
    Send { to: SocketAddr, message: Message },
    /// Ask a node for its configuration.
    Pull { from: SocketAddr, have: ConfigId },
    /// Answer [`Input::PullRequested`].
    RespondToPull {
        call_id: CallId,
        offer: PullResponse,
    },
    /// Compare member tables with a node.
    Sync {
        to: SocketAddr,
        request: SyncRequest,
    },
    /// Answer [`Input::SyncRequested`].
    RespondToSync {
        call_id: CallId,
        response: SyncResponse,
    },
    /// Read the configuration key of the store.
    ReadConfig,
    /// Wait for a change of the configuration key.
    WatchConfig { after: Revision },
    /// End the call for the configuration key.
    CancelConfigCall,
    /// Write the configuration key if it still has the revision.
    WriteConfig { expected: Revision, record: Record },
    /// Read the contacts of the failure domain.
    ReadContacts {
        domain: Domain,
        /// Another failure domain whose contacts are wanted too.
        other: Option<Domain>,
    },
    /// Write the contacts of the failure domain if the key still has the revision.
    WriteContacts {
        domain: Domain,
        expected: Revision,
        addresses: Vec<SocketAddr>,
    },
    /// Route by this from now on.
    Publish(Arc<Topology>),
    /// A record was refused.
    ConfigRefused { version: Version, message: String },
}
