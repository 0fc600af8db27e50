//! Probing of members, directly and through relays, and relaying of probes for other nodes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::Gossip;
use crate::Machine;
use crate::Member;
use crate::Message;
use crate::Output;
use crate::Status;
use crate::Update;
use ids::Incarnation;
use ids::NodeId;
use kernel::Random;
use kernel::Time;

/// Average number of probe periods per ping that a node sends to a dead member or to a contact at whose
/// address no member is known to be live. These pings let the two sides of a healed partition find each
/// other.
const UNREACHABLE_PING_INTERVAL: usize = 10;
/// Average number of pings that all members together send, in each probe period, to the addresses of
/// members that left recently. A process that restarts while the store is unreachable knows no other
/// address, so other members have to find it. Dead members are not pinged at this rate but at that of
/// [`UNREACHABLE_PING_INTERVAL`]: more pings across a healing partition made members suspect one
/// another.
const DEPARTED_MEMBER_PINGS_PER_PERIOD: usize = 8;
/// Time after a member has left during which its address is pinged; supervisors restart a process
/// within seconds.
const DEPARTED_MEMBER_PING_WINDOW: Duration = Duration::from_secs(60);
/// Maximum number of members that are pinged at a time because another node considers them dead. The
/// batches keep the pings after a partition has healed from overloading the network.
const DEATH_CHECK_BATCH: usize = 8;
/// Time between two batches of [`DEATH_CHECK_BATCH`].
const DEATH_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of ping requests that this node carries out at the same time; further ones are
/// dropped.
const MAX_RELAYED_PROBES: usize = 64;

/// A probe of this node that waits for its ack.
#[derive(Clone, Debug)]
struct Probe {
    sequence: u64,
    target: NodeId,
    incarnation: Incarnation,
    address: SocketAddr,
    /// When relays are asked to ping the target; `None` once they have been asked.
    indirect_probe_at: Option<Time>,
    deadline: Time,
    /// Nodes that were asked to ping the target.
    relays: Vec<NodeId>,
    nacks: usize,
}

/// A probe that this node carries out for another node.
#[derive(Clone, Copy, Debug)]
struct RelayedProbe {
    /// Sequence number of the ping to the target.
    sequence: u64,
    target: NodeId,
    requester: SocketAddr,
    /// Sequence number of the ping request.
    requester_sequence: u64,
    /// When a nack is sent to the requester; `None` once it has been sent.
    nack_at: Option<Time>,
    deadline: Time,
}

/// Pending probes and the members that are probed next.
#[derive(Debug)]
pub(crate) struct ProbeState {
    /// Members still to be probed in the current round, in reverse order.
    round: Vec<NodeId>,
    probes: Vec<Probe>,
    relayed: Vec<RelayedProbe>,
    /// Updates of other nodes that declare members dead which this node considers live. Each is sent
    /// with a probe to the member that it concerns, which can then refute it.
    death_claims: Vec<Arc<Member>>,
    next_death_check: Time,
    next_probe: Time,
    next_sequence: u64,
}

impl ProbeState {
    pub(crate) fn new(now: Time) -> Self {
        Self {
            round: Vec::new(),
            probes: Vec::new(),
            relayed: Vec::new(),
            death_claims: Vec::new(),
            next_death_check: now,
            next_probe: now,
            next_sequence: 0,
        }
    }

    /// Drops all pending probes and starts the next one at once.
    pub(crate) fn restart(&mut self, now: Time) {
        self.probes.clear();
        self.relayed.clear();
        self.next_probe = now;
    }

    /// Inserts a new member into the current round, at a position derived from its random id.
    pub(crate) fn add_target(&mut self, id: NodeId) {
        let positions = self.round.len() as u64 + 1;
        let index = usize::try_from(id.0 % positions).unwrap_or(0);
        self.round.insert(index, id);
    }

    /// When [`Machine::run_probes`] is due next.
    pub(crate) fn next_wake(&self) -> Time {
        let probes = self
            .probes
            .iter()
            .map(|it| it.indirect_probe_at.unwrap_or(it.deadline));
        let relayed = self
            .relayed
            .iter()
            .map(|it| it.nack_at.unwrap_or(it.deadline));
        let death_check = (!self.death_claims.is_empty()).then_some(self.next_death_check);
        probes
            .chain(relayed)
            .chain(death_check)
            .fold(self.next_probe, Time::min)
    }

    fn take_sequence(&mut self) -> u64 {
        self.next_sequence += 1;
        self.next_sequence
    }
}

impl Machine {
    /// Handles expired probes and starts the next probe if it is due.
    pub(crate) fn run_probes(&mut self, now: Time, random: &mut dyn Random, out: &mut Vec<Output>) {
        self.send_nacks(now, out);
        self.send_ping_requests(now, random, out);
        self.expire_probes(now, out);
        self.send_death_checks(now, out);
        if now >= self.probe_state.next_probe {
            self.probe_state.next_probe =
                now + self.local_health.scale(self.parameters.probe_period);
            let target = self.next_target(random);
            if let Some(target) = &target {
                self.start_probe(now, target, None, out);
            }
            if target.is_none() || random.below(UNREACHABLE_PING_INTERVAL) == 0 {
                self.ping_unreachable(random, out);
            }
            self.ping_departed_member(now, random, out);
        }
    }

    /// Pings the address of a random member that left recently. The probability is chosen so that all
    /// members together send [`DEPARTED_MEMBER_PINGS_PER_PERIOD`] pings on average.
    fn ping_departed_member(&mut self, now: Time, random: &mut dyn Random, out: &mut Vec<Output>) {
        let recent = self.ended_members.iter();
        let recent = recent.filter(|(_, since)| now.since(*since) < DEPARTED_MEMBER_PING_WINDOW);
        let members = recent.filter_map(|(id, _)| self.table.get(*id));
        let left = members.filter(|it| it.status == Status::Left);
        let mut targets: Vec<_> = left.map(|it| (it.addresses.peer, it.id)).collect();
        targets.retain(|(address, _)| self.table.live_member_at(*address).is_none());
        if targets.is_empty()
            || random.below(self.table.live_count()) >= DEPARTED_MEMBER_PINGS_PER_PERIOD
        {
            return;
        }
        let (to, id) = targets[random.below(targets.len())];
        self.send_ping(to, Some(id), None, out);
    }

    /// Next live member to probe in the shuffled round; starts a new round if none is left.
    fn next_target(&mut self, random: &mut dyn Random) -> Option<Arc<Member>> {
        for _ in 0..2 {
            while let Some(id) = self.probe_state.round.pop() {
                let member = self.table.get(id).filter(|it| it.is_live());
                if let Some(member) = member {
                    return Some(Arc::clone(member));
                }
            }
            let live = self.table.live_addresses().iter().map(|(_, id)| *id);
            self.probe_state.round = live.filter(|id| *id != self.own_id).collect();
            shuffle(&mut self.probe_state.round, random);
        }
        None
    }

    /// Starts a probe of a member: sends it a ping with `death_claim`, for the member to refute, and
    /// records that an ack is due.
    fn start_probe(
        &mut self,
        now: Time,
        target: &Member,
        death_claim: Option<Arc<Member>>,
        out: &mut Vec<Output>,
    ) {
        let address = target.addresses.peer;
        let sequence = self.send_ping(address, Some(target.id), death_claim, out);
        self.probe_state.probes.push(Probe {
            sequence,
            target: target.id,
            incarnation: target.incarnation,
            address,
            indirect_probe_at: Some(now + self.local_health.scale(self.parameters.probe_timeout)),
            deadline: now + self.local_health.scale(self.parameters.probe_period),
            relays: Vec::new(),
            nacks: 0,
        });
    }

    /// Sends a ping and returns its sequence number. `death_claim` is an update that declares the
    /// receiver dead; it is included so that the receiver can refute it.
    pub(crate) fn send_ping(
        &mut self,
        to: SocketAddr,
        id: Option<NodeId>,
        death_claim: Option<Arc<Member>>,
        out: &mut Vec<Output>,
    ) -> u64 {
        let sequence = self.probe_state.take_sequence();
        let mut gossip = self.compose_gossip(id);
        if let Some(member) = death_claim {
            let source = self.own_id;
            gossip.updates.insert(0, Update { member, source });
        }
        out.push(Output::Send {
            to,
            message: Message::Ping { sequence, gossip },
        });
        sequence
    }

    /// Schedules a probe of a member that another node considers dead.
    pub(crate) fn queue_death_check(&mut self, now: Time, death_claim: &Arc<Member>) {
        let queued = &mut self.probe_state.death_claims;
        if !queued.iter().any(|it| it.id == death_claim.id) {
            if queued.is_empty() {
                self.probe_state.next_death_check = now;
            }
            queued.push(Arc::clone(death_claim));
        }
    }

    fn send_death_checks(&mut self, now: Time, out: &mut Vec<Output>) {
        if self.probe_state.death_claims.is_empty() || now < self.probe_state.next_death_check {
            return;
        }
        self.probe_state.next_death_check = now + DEATH_CHECK_INTERVAL;
        let batch = DEATH_CHECK_BATCH.min(self.probe_state.death_claims.len());
        let batch: Vec<_> = self.probe_state.death_claims.drain(..batch).collect();
        for death_claim in batch {
            let known = self.table.get(death_claim.id).cloned();
            if let Some(known) = known.filter(|it| it.is_live() && death_claim.overrides(it)) {
                self.start_probe(now, &known, Some(death_claim), out);
            }
        }
    }

    /// Pings a random contact or dead member at whose address no member is known to be live.
    fn ping_unreachable(&mut self, random: &mut dyn Random, out: &mut Vec<Output>) {
        let contacts = self.anti_entropy.contacts().iter().copied();
        let mut targets: Vec<(SocketAddr, Option<NodeId>)> =
            contacts.map(|address| (address, None)).collect();
        let dead = self
            .ended_members
            .iter()
            .filter_map(|(id, _)| self.table.get(*id));
        let dead = dead.filter(|it| it.status == Status::Dead);
        targets.extend(dead.map(|it| (it.addresses.peer, Some(it.id))));
        targets.retain(|(address, _)| self.table.live_member_at(*address).is_none());
        if let Some((to, id)) = targets.get(random.below(targets.len())).copied() {
            self.send_ping(to, id, None, out);
        }
    }

    /// Asks random members to ping the targets that have not answered a probe in time.
    fn send_ping_requests(&mut self, now: Time, random: &mut dyn Random, out: &mut Vec<Output>) {
        for index in 0..self.probe_state.probes.len() {
            let probe = &self.probe_state.probes[index];
            if probe
                .indirect_probe_at
                .is_none_or(|indirect_probe_at| indirect_probe_at > now)
            {
                continue;
            }
            let (sequence, target, address) = (probe.sequence, probe.target, probe.address);
            let mut chosen = vec![target];
            for _ in 0..self.parameters.indirect_probes {
                let Some((to, id)) = self.random_live_member(random, &chosen) else {
                    break;
                };
                chosen.push(id);
                let gossip = self.compose_gossip(Some(id));
                let message = Message::PingRequest {
                    sequence,
                    target,
                    address,
                    gossip,
                };
                out.push(Output::Send { to, message });
            }
            let probe = &mut self.probe_state.probes[index];
            probe.indirect_probe_at = None;
            probe.relays = chosen.split_off(1);
        }
    }

    /// Suspects the members whose probes have expired.
    fn expire_probes(&mut self, now: Time, out: &mut Vec<Output>) {
        let (expired, pending) = std::mem::take(&mut self.probe_state.probes)
            .into_iter()
            .partition(|it: &Probe| it.deadline <= now);
        self.probe_state.probes = pending;
        for probe in expired {
            // A relay sends a nack if the target does not answer. If nacks are missing too, this node
            // is probably cut off or slow.
            if probe.nacks < probe.relays.len() {
                self.local_health.worsen();
            }
            // A member whose incarnation has increased since the probe began is alive, even though its
            // ack is missing.
            let known = self.table.get(probe.target);
            if known.is_some_and(|it| it.incarnation == probe.incarnation) {
                self.suspect(now, probe.target);
                // Notifies the member of the suspicion, so that it can refute it before the update has
                // spread to it.
                self.send_ping(probe.address, Some(probe.target), None, out);
            }
        }
    }

    fn send_nacks(&mut self, now: Time, out: &mut Vec<Output>) {
        self.probe_state.relayed.retain(|it| it.deadline > now);
        let mut due = Vec::new();
        for relayed in &mut self.probe_state.relayed {
            if relayed.nack_at.is_some_and(|nack_at| nack_at <= now) {
                relayed.nack_at = None;
                due.push((relayed.requester, relayed.requester_sequence));
            }
        }
        for (to, sequence) in due {
            let gossip = self.compose_gossip_to(to);
            let message = Message::Nack { sequence, gossip };
            out.push(Output::Send { to, message });
        }
    }

    /// Gossip for the member at an address.
    fn compose_gossip_to(&mut self, to: SocketAddr) -> Gossip {
        let id = self.table.live_member_at(to);
        self.compose_gossip(id)
    }

    /// Handles a message as part of a probe. The updates in its gossip are applied by
    /// [`Machine::handle_message`].
    pub(crate) fn handle_probe_message(
        &mut self,
        now: Time,
        from: SocketAddr,
        message: Message,
        out: &mut Vec<Output>,
    ) {
        match message {
            Message::Ping { sequence, gossip } => {
                let gossip = self.compose_gossip(Some(gossip.from));
                let message = Message::Ack { sequence, gossip };
                out.push(Output::Send { to: from, message });
            }
            Message::PingRequest {
                sequence,
                target,
                address,
                ..
            } => self.relay_probe(now, (from, sequence), (target, address), out),
            Message::Ack { sequence, gossip } => self.handle_ack(sequence, gossip.from, out),
            Message::Nack { sequence, gossip } => {
                let probes = &mut self.probe_state.probes;
                let probe = probes.iter_mut().find(|it| it.sequence == sequence);
                if let Some(probe) = probe.filter(|it| it.relays.contains(&gossip.from)) {
                    probe.nacks += 1;
                }
            }
        }
    }

    /// Pings `target` on behalf of the node at `requester`.
    fn relay_probe(
        &mut self,
        now: Time,
        (requester, requester_sequence): (SocketAddr, u64),
        (target, address): (NodeId, SocketAddr),
        out: &mut Vec<Output>,
    ) {
        if self.probe_state.relayed.len() >= MAX_RELAYED_PROBES {
            return;
        }
        let sequence = self.send_ping(address, Some(target), None, out);
        self.probe_state.relayed.push(RelayedProbe {
            sequence,
            target,
            requester,
            requester_sequence,
            nack_at: Some(now + self.parameters.probe_timeout),
            deadline: now + self.parameters.probe_period,
        });
    }

    fn handle_ack(&mut self, sequence: u64, from: NodeId, out: &mut Vec<Output>) {
        let probes = &mut self.probe_state.probes;
        // Another process may have started at the target's address, so the sender's id must match.
        let answered = |it: &Probe| {
            it.sequence == sequence && (it.target == from || it.relays.contains(&from))
        };
        if let Some(index) = probes.iter().position(answered) {
            probes.swap_remove(index);
            self.local_health.improve();
            return;
        }
        let relayed = &mut self.probe_state.relayed;
        let answered = |it: &RelayedProbe| it.sequence == sequence && it.target == from;
        if let Some(index) = relayed.iter().position(answered) {
            let probe = relayed.swap_remove(index);
            let gossip = self.compose_gossip_to(probe.requester);
            let message = Message::Ack {
                sequence: probe.requester_sequence,
                gossip,
            };
            let to = probe.requester;
            out.push(Output::Send { to, message });
        }
    }
}

/// Fisher-Yates shuffle.
pub(crate) fn shuffle<T>(items: &mut [T], random: &mut dyn Random) {
    for last in (1..items.len()).rev() {
        items.swap(last, random.below(last + 1));
    }
}
