//! State machine of the membership protocol.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::ConfigId;
use crate::Gossip;
use crate::Member;
use crate::MemberTable;
use crate::MergeOutcome;
use crate::Message;
use crate::Parameters;
use crate::Stage;
use crate::Status;
use crate::SyncRequest;
use crate::Update;
use crate::Upstream;
use crate::anti_entropy::AntiEntropy;
use crate::broadcast::BroadcastQueue;
use crate::probe::ProbeState;
use crate::suspicion::LocalHealth;
use crate::suspicion::Suspicion;
use ids::Incarnation;
use ids::NodeId;
use kernel::Random;
use kernel::Time;

/// Number of members to which a change that affects routing is forwarded at once. Without the
/// forwarding, the change would be sent with the next probe only, at each hop.
const FORWARD_FANOUT: usize = 2;
/// Minimum time between two rounds of forwarding; limits the traffic when many members change at the
/// same time.
const FORWARD_INTERVAL: Duration = Duration::from_millis(250);

/// What the caller of the membership protocol has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send a datagram.
    Send { to: SocketAddr, message: Message },
    /// Send an anti-entropy request, then report the response to [`Machine::handle_sync_response`].
    Sync {
        to: SocketAddr,
        request: SyncRequest,
    },
    /// Use the new member table for routing: fields that affect it have changed.
    RoutingChanged,
}

/// Membership state of one node.
#[derive(Debug)]
pub struct Machine {
    pub(crate) own_id: NodeId,
    pub(crate) parameters: Parameters,
    pub(crate) table: MemberTable,
    pub(crate) update_queue: BroadcastQueue,
    pub(crate) probe_state: ProbeState,
    pub(crate) suspicions: Vec<Suspicion>,
    pub(crate) local_health: LocalHealth,
    pub(crate) anti_entropy: AntiEntropy,
    /// Members that are dead or have left, with the time when this node learned of the death or the
    /// leaving.
    pub(crate) ended_members: Vec<(NodeId, Time)>,
    pub(crate) config_id: ConfigId,
    /// Whether the table has changed in a way that affects routing since the last
    /// [`Output::RoutingChanged`].
    pub(crate) routing_changed: bool,
    /// Live members that an update declares dead. They are pinged so that they learn of the update and
    /// can refute it.
    pub(crate) suspects_to_notify: Vec<NodeId>,
    /// When changes that affect routing are forwarded next; `None` if there are no such changes.
    next_forward: Option<Time>,
    /// When changes were last forwarded.
    last_forward: Time,
}

impl Machine {
    /// Creates the state of a node that knows only itself and the peer addresses of some contacts.
    pub fn new(own: Member, contacts: Vec<SocketAddr>, parameters: Parameters, now: Time) -> Self {
        let id = own.id;
        let own_address = own.addresses.peer;
        let mut table = MemberTable::default();
        table.merge(Arc::new(own));
        let mut update_queue = BroadcastQueue::default();
        update_queue.replace(id, id, 1);
        Self {
            own_id: id,
            parameters,
            table,
            update_queue,
            probe_state: ProbeState::new(now),
            suspicions: Vec::new(),
            local_health: LocalHealth::default(),
            anti_entropy: AntiEntropy::new(own_address, contacts, now),
            ended_members: Vec::new(),
            config_id: ConfigId::default(),
            routing_changed: false,
            suspects_to_notify: Vec::new(),
            next_forward: None,
            last_forward: now,
        }
    }

    /// The member table.
    pub fn table(&self) -> &MemberTable {
        &self.table
    }

    /// Id of this node.
    pub fn node_id(&self) -> NodeId {
        self.own_id
    }

    /// Whether the node has joined the fleet: it has compared its table with that of a contact, or no
    /// contact can be reached.
    pub fn is_joined(&self) -> bool {
        self.anti_entropy.is_joined()
    }

    /// Sets the configuration version and hash that each message carries.
    pub fn set_config_id(&mut self, config_id: ConfigId) {
        self.config_id = config_id;
    }

    /// Announces the state of this node's upstream to the other members.
    pub fn announce_upstream(&mut self, stage: Stage, upstream: Option<Upstream>) {
        self.update_self(|own| {
            own.stage = stage;
            own.upstream = upstream;
        });
    }

    /// Announces that this node leaves the fleet.
    pub fn leave(&mut self) {
        self.update_self(|own| own.status = Status::Left);
    }

    /// When [`Self::wake`] is due next.
    pub fn next_wake(&self) -> Time {
        let suspicions = self.suspicions.iter().map(|it| self.suspicion_deadline(it));
        suspicions
            .chain(self.next_forward)
            .chain([self.probe_state.next_wake()])
            .fold(self.anti_entropy.next_wake(), Time::min)
    }

    /// Performs the actions that are due: probes members, expires suspicions, compares tables and
    /// forwards changes.
    pub fn wake(&mut self, now: Time, random: &mut dyn Random, out: &mut Vec<Output>) {
        // A process that was paused has not read the acks that arrived in time. Their absence does not
        // show that other members have failed, so all timers restart.
        if now.since(self.next_wake()) >= self.parameters.probe_period {
            self.restart_timers(now);
        }
        self.run_probes(now, random, out);
        self.expire_suspicions(now);
        self.run_anti_entropy(now, random, out);
        if self.next_forward.is_some_and(|due| due <= now) {
            self.next_forward = None;
            self.last_forward = now;
            self.push_gossip(FORWARD_FANOUT, random, out);
        }
        self.emit_routing_change(out);
    }

    /// Handles a message from the node at `from`.
    pub fn handle_message(
        &mut self,
        now: Time,
        from: SocketAddr,
        message: Message,
        out: &mut Vec<Output>,
    ) {
        let sender = message.gossip().from;
        if sender == self.own_id {
            return;
        }
        self.sync_with_unexpected(now, from, sender, out);
        for update in &message.gossip().updates {
            self.apply_update(now, update);
        }
        for id in std::mem::take(&mut self.suspects_to_notify) {
            if let Some(to) = self.table.get(id).map(|it| it.addresses.peer) {
                self.send_ping(to, Some(id), None, out);
            }
        }
        if self.routing_changed && self.next_forward.is_none() {
            self.next_forward = Some(now.max(self.last_forward + FORWARD_INTERVAL));
        }
        self.handle_probe_message(now, from, message, out);
        self.emit_routing_change(out);
    }

    /// Sends the current configuration id and queued updates to `count` random members at once.
    pub fn push_gossip(&mut self, count: usize, random: &mut dyn Random, out: &mut Vec<Output>) {
        let mut receivers = Vec::new();
        // The loop does not use the number of live members as a bound, because that number includes
        // this node until it has left.
        while receivers.len() < count {
            let Some((to, id)) = self.random_live_member(random, &receivers) else {
                return;
            };
            receivers.push(id);
            self.send_ping(to, Some(id), None, out);
        }
    }

    /// Peer addresses of `count` random live members other than this node, or of all if there are fewer.
    pub fn random_live_members(&self, count: usize, random: &mut dyn Random) -> Vec<SocketAddr> {
        let mut chosen = Vec::new();
        let mut addresses = Vec::new();
        while addresses.len() < count {
            let Some((address, id)) = self.random_live_member(random, &chosen) else {
                break;
            };
            chosen.push(id);
            addresses.push(address);
        }
        addresses
    }

    pub(crate) fn suspicion_deadline(&self, suspicion: &Suspicion) -> Time {
        suspicion.deadline(
            self.parameters.suspicion_timeout,
            self.table.live_count(),
            self.local_health,
        )
    }

    /// Changes this node's own entry, raises its incarnation and queues the update.
    pub(crate) fn update_self(&mut self, change: impl FnOnce(&mut Member)) {
        if let Some(own) = self.table.get(self.own_id) {
            let mut own = Member::clone(own);
            own.incarnation = Incarnation(own.incarnation.0.saturating_add(1));
            change(&mut own);
            let outcome = self.table.merge(Arc::new(own));
            self.routing_changed |= outcome == MergeOutcome::RoutingChanged;
            self.update_queue
                .replace(self.own_id, self.own_id, self.table.live_count());
        }
    }

    pub(crate) fn emit_routing_change(&mut self, out: &mut Vec<Output>) {
        if std::mem::take(&mut self.routing_changed) {
            out.push(Output::RoutingChanged);
        }
    }

    /// A random live member other than this node and those in `except`.
    pub(crate) fn random_live_member(
        &self,
        random: &mut dyn Random,
        except: &[NodeId],
    ) -> Option<(SocketAddr, NodeId)> {
        let live = self.table.live_addresses();
        let start = random.below(live.len());
        live[start..]
            .iter()
            .chain(&live[..start])
            .find(|(_, id)| *id != self.own_id && !except.contains(id))
            .copied()
    }

    /// Gossip for a message to the node `to`, or to a node of unknown id. Starts with updates that the
    /// receiver must refute or may not know, followed by queued updates.
    pub(crate) fn compose_gossip(&mut self, to: Option<NodeId>) -> Gossip {
        let known = to.map(|id| self.table.get(id).cloned());
        let mut first = match known {
            Some(Some(member)) if member.status != Status::Alive => {
                let conflicting = self.table.live_member_at(member.addresses.peer);
                let conflicting = conflicting.filter(|id| *id != member.id);
                let conflicting = conflicting.and_then(|id| self.table.get(id).cloned());
                vec![Some(member), conflicting]
            }
            Some(Some(_)) => Vec::new(),
            // A node that is not in the table may not know this node either.
            Some(None) | None => vec![self.table.get(self.own_id).cloned()],
        };
        let mut updates: Vec<Update> = first
            .drain(..)
            .flatten()
            .map(|member| Update {
                member,
                source: self.own_id,
            })
            .collect();
        for (member_id, source) in self.update_queue.take_batch(self.parameters.max_updates) {
            let member = self.table.get(member_id).cloned();
            updates.extend(member.map(|member| Update { member, source }));
        }
        Gossip {
            from: self.own_id,
            config_id: self.config_id,
            updates,
        }
    }

    /// Restarts probing, anti-entropy and all suspicions.
    fn restart_timers(&mut self, now: Time) {
        self.probe_state.restart(now);
        self.anti_entropy.restart(now);
        for suspicion in &mut self.suspicions {
            suspicion.since = now;
        }
    }
}
