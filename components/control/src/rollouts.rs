//! Rollouts in the control state machine: what the member table and the configuration say about them.

use std::net::SocketAddr;
use std::sync::Arc;

use config::Snapshot;
use ids::NodeId;
use ids::Version;
use kernel::Time;
use member::MemberTable;
use member::Stage;
use rollout::Limits;
use rollout::Message;
use rollout::Node;
use rollout::Outbox;
use rollout::ReadyCount;
use rollout::Revision;
use rollout::Role;
use rollout::StoreEvent;
use rollout::Tally;
use spread::fleet_position;

/// This node's part in rollouts.
#[derive(Debug)]
pub(crate) struct Rollouts {
    own_id: NodeId,
    node: Node,
    /// Revision of the member table at the last observation.
    observed_revision: Option<u64>,
    /// Revision of the member table and version of the configuration for which the role was determined.
    configured_for: Option<(u64, Version)>,
}

impl Rollouts {
    pub(crate) fn new(own_id: NodeId) -> Self {
        Self {
            own_id,
            node: Node::new(own_id),
            observed_revision: None,
            configured_for: None,
        }
    }

    pub(crate) fn set_limits(&mut self, now: Time, limits: Option<Limits>) {
        self.node.set_limits(now, limits);
    }

    pub(crate) fn is_enabled(&self) -> bool {
        self.node.is_enabled()
    }

    pub(crate) fn view(&self) -> Arc<rollout::View> {
        self.node.view()
    }

    /// Starts to ask peers, once the node is a member.
    pub(crate) fn join(&mut self, now: Time, table: &MemberTable) {
        self.node.join(now, table.live_count() > 1);
    }

    /// Whether the node may serve requests.
    pub(crate) fn is_ready(&self, now: Time) -> bool {
        self.node.is_ready(now)
    }

    /// Begins to determine established versions, because the node serves from now on.
    pub(crate) fn serve(&mut self, now: Time) {
        self.node.serve(now);
        self.observed_revision = None;
    }

    /// Takes note of the member table if it has changed. Returns whether the state for the traffic threads has
    /// changed.
    pub(crate) fn observe(&mut self, now: Time, table: &MemberTable) -> bool {
        let is_known = self.observed_revision == Some(table.revision());
        if !self.is_enabled() || (is_known && !self.node.is_observation_due(now)) {
            return false;
        }
        self.observed_revision = Some(table.revision());
        self.node.observe(now, &count_ready(table))
    }

    /// Determines the part of this node in the coordination, once it serves.
    pub(crate) fn configure(
        &mut self,
        now: Time,
        table: &MemberTable,
        snapshot: Option<&Snapshot>,
    ) {
        let is_needed = self.is_enabled() && self.node.is_serving();
        let Some(snapshot) = snapshot.filter(|_| is_needed) else {
            return;
        };
        let key = (table.revision(), snapshot.version());
        if self.configured_for.replace(key) == Some(key) {
            return;
        }
        let role = match fleet_position(table, self.own_id) {
            Some(0) => Role::Coordinator,
            Some(1) => Role::StandBy,
            _ => Role::None,
        };
        let services = snapshot.services();
        let mut services: Vec<_> = services.map(|(_, it)| Arc::clone(&it.name)).collect();
        services.sort_unstable();
        let longest = snapshot.routes().map(|(_, it)| it.deadline).max();
        let longest = longest.unwrap_or_default();
        self.node.configure(now, role, &services, longest);
    }

    /// Handles the result of a call to the store.
    pub(crate) fn handle_store_event(&mut self, now: Time, unix_ms: u64, event: StoreEvent) {
        self.node.handle_store_event(now, unix_ms, event);
    }

    /// Handles a message of another node.
    pub(crate) fn handle(&mut self, now: Time, from: SocketAddr, message: Message) -> Outbox {
        self.node.handle(now, from, message)
    }

    /// Takes the totals of this node's entry about an order.
    pub(crate) fn record_tallies(
        &mut self,
        service: &Arc<str>,
        order: Revision,
        tallies: Vec<Tally>,
    ) {
        self.node.record_tallies(service, order, tallies);
    }

    /// Makes the decisions of the coordinator that are due.
    pub(crate) fn coordinate(&mut self, now: Time, table: &MemberTable) -> Outbox {
        if !self.node.is_coordination_due(now) {
            return Outbox::default();
        }
        let mut live: Vec<_> = table.live_addresses().iter().map(|(_, id)| *id).collect();
        live.sort_unstable();
        self.node.coordinate(now, &live)
    }

    /// When [`Self::wake`] is due next.
    pub(crate) fn next_wake(&self) -> Option<Time> {
        self.node.next_wake()
    }

    /// Returns what has to be sent now.
    pub(crate) fn wake(&mut self, now: Time) -> Outbox {
        self.node.wake(now)
    }
}

/// Number of ready endpoints by service and version, sorted.
fn count_ready(table: &MemberTable) -> Vec<ReadyCount> {
    let members = table.members().iter();
    let ready = members.filter(|it| it.is_live() && it.stage == Stage::Ready);
    let mut versions: Vec<_> = ready
        .filter_map(|it| {
            let upstream = it.upstream.as_ref()?;
            Some((&upstream.service, upstream.version.as_ref()?))
        })
        .collect();
    versions.sort_unstable();
    let groups = versions.chunk_by(|left, right| left == right);
    groups
        .map(|group| ReadyCount {
            service: Arc::clone(group[0].0),
            version: Arc::clone(group[0].1),
            endpoints: u32::try_from(group.len()).unwrap_or(u32::MAX),
        })
        .collect()
}
