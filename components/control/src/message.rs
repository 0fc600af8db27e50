//! Inputs and effects of the control state machine.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::AnnouncementOrder;
use crate::Topology;
use config::Record;
use ids::Domain;
use ids::Fingerprint;
use ids::Version;
use kernel::Time;
use member::ConfigId;
use member::Message;
use member::Stage;
use member::SyncRequest;
use member::SyncResponse;
use member::Upstream;
use quarantine::Report;
use spread::ContactsEvent;
use spread::PullResponse;
use spread::Revision;
use spread::StoreEvent;

/// Identifies a control call of another node until the response is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// Events that the control state machine handles.
#[derive(Clone, Debug)]
pub enum Input {
    /// A datagram has arrived.
    Datagram { from: SocketAddr, message: Message },
    /// Another node pulls the configuration; answered by [`Effect::RespondToPull`].
    PullRequested { call_id: CallId, have: ConfigId },
    /// [`Effect::Pull`] has completed; `response` is `None` if the node did not respond.
    PullCompleted {
        from: SocketAddr,
        response: Option<PullResponse>,
    },
    /// Another node compares member tables; answered by [`Effect::RespondToSync`].
    SyncRequested {
        call_id: CallId,
        request: SyncRequest,
    },
    /// [`Effect::Sync`] has completed; `response` is `None` if the node did not respond.
    SyncCompleted {
        from: SocketAddr,
        response: Option<SyncResponse>,
    },
    /// A store call for the configuration key has completed.
    Store(StoreEvent),
    /// Like [`Input::Store`], for a call that was sent at `sent` by the clock of proofs.
    StoreAnswered { sent: Time, event: StoreEvent },
    /// A message about proofs has arrived, at `received` by the clock of proofs.
    Freshness {
        from: SocketAddr,
        received: Time,
        message: fresh::Message,
    },
    /// A store call for the contacts has completed.
    Contacts(ContactsEvent),
    /// The upstream of this node has announced its state.
    UpstreamAnnounced {
        stage: Stage,
        upstream: Upstream,
        order: Option<AnnouncementOrder>,
    },
    /// A run of the upstream of this node has announced that it takes no more requests and will end.
    UpstreamDeparted {
        run_id: Arc<str>,
        order: Option<AnnouncementOrder>,
    },
    /// A run of the upstream of this node has stated in a response that it is leaving.
    UpstreamLeaving { run_id: Option<Arc<str>> },
    /// A request ran at the upstream of this node when that crashed; `crash` is the number of the crash.
    RequestCrashed {
        fingerprint: Fingerprint,
        crash: u32,
    },
    /// The upstream of this node has served a suspect request.
    RequestCompleted { fingerprint: Fingerprint },
    /// Another node reports requests that crash upstreams.
    CrashReports {
        from: SocketAddr,
        reports: Vec<Report>,
    },
    /// Another node has sent a message about rollouts.
    Rollout {
        from: SocketAddr,
        message: rollout::Message,
    },
    /// A store call about rollouts has completed, at this time in milliseconds of Unix time.
    RolloutStore {
        unix_ms: u64,
        event: rollout::StoreEvent,
    },
    /// The entry has counted these outcomes of a service's requests since an order.
    RolloutOutcomes {
        service: Arc<str>,
        order: rollout::Revision,
        tallies: Vec<rollout::Tally>,
    },
    /// An operator or a signal asks the node to leave.
    Drain,
    /// The traffic threads have finished all requests.
    Drained,
}

/// Actions that the control state machine asks for.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Send a datagram.
    Send { to: SocketAddr, message: Message },
    /// Send reports on requests that crash upstreams.
    SendCrashReports {
        to: SocketAddr,
        reports: Vec<Report>,
    },
    /// Send a message about rollouts.
    SendRollout {
        to: SocketAddr,
        message: rollout::Message,
    },
    /// Make a store call about rollouts.
    CallRolloutStore(rollout::StoreCall),
    /// Pull the configuration of a node, unless its id is `have`.
    Pull { from: SocketAddr, have: ConfigId },
    /// Respond to [`Input::PullRequested`].
    RespondToPull {
        call_id: CallId,
        response: PullResponse,
    },
    /// Send an anti-entropy request, the comparison of member tables, to a node.
    Sync {
        to: SocketAddr,
        request: SyncRequest,
    },
    /// Respond to [`Input::SyncRequested`].
    RespondToSync {
        call_id: CallId,
        response: SyncResponse,
    },
    /// Read the configuration key from the store.
    ReadConfig,
    /// Wait for the first change of the configuration key after a revision.
    WatchConfig { after: Revision },
    /// Like [`Effect::WatchConfig`], but end the watch after [`fresh::WATCH_TIME`].
    WatchConfigBriefly { after: Revision },
    /// Read what has changed of the configuration in the store after the revision.
    ReadConfigChanges { after: Revision },
    /// Cancel the running store call for the configuration key.
    CancelConfigCall,
    /// Write the configuration key if it still has the expected revision.
    WriteConfig { expected: Revision, record: Record },
    /// Read the contacts of the failure domain.
    ReadContacts {
        domain: Domain,
        /// Another failure domain whose contacts are read too.
        other: Option<Domain>,
    },
    /// Write the contacts of the failure domain if the key still has the expected revision.
    WriteContacts {
        domain: Domain,
        expected: Revision,
        addresses: Vec<SocketAddr>,
    },
    /// Use this topology for routing from now on.
    Publish(Arc<Topology>),
    /// Carry out an action that the proof of this node requires.
    Freshness(fresh::Output),
    /// Report that a configuration record was refused.
    ConfigRefused { version: Version, message: String },
}
