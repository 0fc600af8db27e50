//! What goes into and out of the control machine.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::Order;
use crate::Topology;
use config::Record;
use ids::Domain;
use ids::Version;
use member::Answer;
use member::Ask;
use member::Message;
use member::Stage;
use member::Stamp;
use member::Upstream;
use spread::ContactsEvent;
use spread::PullResponse;
use spread::Revision;
use spread::StoreEvent;

/// Names the asker of a control call until it is answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Token(pub u64);

/// What can happen to the control state.
#[derive(Clone, Debug)]
pub enum Input {
    /// A datagram arrived.
    Datagram { from: SocketAddr, message: Message },
    /// A node asks for the configuration; answered by [`Effect::AnswerPull`].
    PullAsked { token: Token, have: Stamp },
    /// The answer to [`Effect::Pull`]; `None` if there was none.
    Pulled {
        from: SocketAddr,
        offer: Option<PullResponse>,
    },
    /// A node compares member tables; answered by [`Effect::AnswerSync`].
    SyncAsked { token: Token, ask: Ask },
    /// The answer to [`Effect::Sync`]; `None` if there was none.
    Synced {
        from: SocketAddr,
        answer: Option<Answer>,
    },
    /// The store said something of the configuration key.
    Store(StoreEvent),
    /// The store said something of the contacts.
    Contacts(ContactsEvent),
    /// The upstream of this node announced itself.
    Announced {
        stage: Stage,
        upstream: Upstream,
        order: Option<Order>,
    },
    /// A run of the upstream of this node takes no more requests and will end.
    Departed {
        instance: Arc<str>,
        order: Option<Order>,
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
    Pull { from: SocketAddr, have: Stamp },
    /// Answer [`Input::PullAsked`].
    AnswerPull { token: Token, offer: PullResponse },
    /// Compare member tables with a node.
    Sync { to: SocketAddr, ask: Ask },
    /// Answer [`Input::SyncAsked`].
    AnswerSync { token: Token, answer: Answer },
    /// Read the configuration key of the store.
    ReadStore,
    /// Wait for a change of the configuration key.
    WatchStore { after: Revision },
    /// End the call for the configuration key.
    StopWatch,
    /// Write the configuration key if it still has the revision.
    WriteStore { expected: Revision, record: Record },
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
    Refused { version: Version, message: String },
}
