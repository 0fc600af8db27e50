//! Probing: direct, through helpers, and for others.

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

/// One probe in this many also goes to a dead member or a contact, so that parted regions rejoin.
const LOST_EVERY: usize = 10;
/// Pings a second that all members together send to the addresses of members that left lately. A
/// process that starts anew while the store is away knows no other address, so that the others have to
/// find it. Dead members are found by [`LOST_EVERY`]; more pings across a partition that heals made
/// members suspect one another.
const RETURN_PINGS: usize = 8;
/// Time after a member has left in which its address is pinged; supervisors start a process again
/// within seconds.
const RETURN_TIME: Duration = Duration::from_secs(60);
/// Members whose death another node claims are asked in batches, so that a healed partition does
/// not flood the network.
const CHALLENGES: usize = 8;
const CHALLENGE_PAUSE: Duration = Duration::from_millis(100);
/// Ping-requests that this node carries out at once; more are dropped.
const MAX_RELAYS: usize = 64;

/// A probe that waits for its answer.
#[derive(Clone, Debug)]
struct Probe {
    sequence: u64,
    target: NodeId,
    incarnation: Incarnation,
    address: SocketAddr,
    /// When helpers are asked; `None` once they are.
    ask: Option<Time>,
    due: Time,
    helpers: Vec<NodeId>,
    nacks: usize,
}

/// A probe that another node asked for.
#[derive(Clone, Copy, Debug)]
struct Relay {
    sequence: u64,
    target: NodeId,
    asker: SocketAddr,
    asked: u64,
    /// When a nack is sent; `None` once it is.
    nack: Option<Time>,
    due: Time,
}

/// Probes that run and the order of those to come.
#[derive(Debug)]
pub(crate) struct Probing {
    order: Vec<NodeId>,
    probes: Vec<Probe>,
    relays: Vec<Relay>,
    challenges: Vec<Arc<Member>>,
    next_challenge: Time,
    next_probe: Time,
    next_number: u64,
}

impl Probing {
    pub(crate) fn new(now: Time) -> Self {
        Self {
            order: Vec::new(),
            probes: Vec::new(),
            relays: Vec::new(),
            challenges: Vec::new(),
            next_challenge: now,
            next_probe: now,
            next_number: 0,
        }
    }

    pub(crate) fn restart(&mut self, now: Time) {
        self.probes.clear();
        self.relays.clear();
        self.next_probe = now;
    }

    /// Puts a new member at a place of the present cycle that its random id gives.
    pub(crate) fn add_target(&mut self, id: NodeId) {
        let places = self.order.len() as u64 + 1;
        let at = usize::try_from(id.0 % places).unwrap_or(0);
        self.order.insert(at, id);
    }

    pub(crate) fn next_wake(&self) -> Time {
        let probes = self.probes.iter().map(|it| it.ask.unwrap_or(it.due));
        let relays = self.relays.iter().map(|it| it.nack.unwrap_or(it.due));
        let challenge = (!self.challenges.is_empty()).then_some(self.next_challenge);
        probes
            .chain(relays)
            .chain(challenge)
            .fold(self.next_probe, Time::min)
    }

    fn count_up(&mut self) -> u64 {
        self.next_number += 1;
        self.next_number
    }
}

impl Machine {
    pub(crate) fn run_probes(&mut self, now: Time, random: &mut dyn Random, out: &mut Vec<Output>) {
        self.send_nacks(now, out);
        self.ask_helpers(now, random, out);
        self.expire_probes(now, out);
        self.send_challenges(now, out);
        if now >= self.probing.next_probe {
            self.probing.next_probe = now + self.health.stretch(self.parameters.probe_period);
            let target = self.next_target(random);
            if let Some(target) = &target {
                self.probe(now, target, None, out);
            }
            if target.is_none() || random.below(LOST_EVERY) == 0 {
                self.ping_lost(random, out);
            }
            self.ping_returning(now, random, out);
        }
    }

    /// Pings the address of a member that left lately.
    fn ping_returning(&mut self, now: Time, random: &mut dyn Random, out: &mut Vec<Output>) {
        let recent = self.ended.iter();
        let recent = recent.filter(|(_, since)| now.since(*since) < RETURN_TIME);
        let members = recent.filter_map(|(id, _)| self.table.get(*id));
        let left = members.filter(|it| it.status == Status::Left);
        let mut lost: Vec<_> = left.map(|it| (it.addresses.peer, it.id)).collect();
        lost.retain(|(address, _)| self.table.live_member_at(*address).is_none());
        if lost.is_empty() || random.below(self.table.live_count()) >= RETURN_PINGS {
            return;
        }
        let (to, id) = lost[random.below(lost.len())];
        self.ping(to, Some(id), None, out);
    }

    /// The next live member of the shuffled cycle.
    fn next_target(&mut self, random: &mut dyn Random) -> Option<Arc<Member>> {
        for _ in 0..2 {
            while let Some(id) = self.probing.order.pop() {
                let member = self.table.get(id).filter(|it| it.is_live());
                if let Some(member) = member {
                    return Some(Arc::clone(member));
                }
            }
            let live = self.table.live().iter().map(|(_, id)| *id);
            self.probing.order = live.filter(|id| *id != self.me).collect();
            shuffle(&mut self.probing.order, random);
        }
        None
    }

    fn probe(
        &mut self,
        now: Time,
        target: &Member,
        claim: Option<Arc<Member>>,
        out: &mut Vec<Output>,
    ) {
        let address = target.addresses.peer;
        let sequence = self.ping(address, Some(target.id), claim, out);
        self.probing.probes.push(Probe {
            sequence,
            target: target.id,
            incarnation: target.incarnation,
            address,
            ask: Some(now + self.health.stretch(self.parameters.probe_timeout)),
            due: now + self.health.stretch(self.parameters.probe_period),
            helpers: Vec::new(),
            nacks: 0,
        });
    }

    /// Sends a ping with a claim that the receiver has to know, if there is one.
    pub(crate) fn ping(
        &mut self,
        to: SocketAddr,
        id: Option<NodeId>,
        claim: Option<Arc<Member>>,
        out: &mut Vec<Output>,
    ) -> u64 {
        let sequence = self.probing.count_up();
        let mut gossip = self.gossip(id);
        if let Some(member) = claim {
            let source = self.me;
            gossip.updates.insert(0, Update { member, source });
        }
        out.push(Output::Send {
            to,
            message: Message::Ping { sequence, gossip },
        });
        sequence
    }

    /// Asks a member that another node holds for dead.
    pub(crate) fn challenge(&mut self, now: Time, claim: &Arc<Member>) {
        let waiting = &mut self.probing.challenges;
        if !waiting.iter().any(|it| it.id == claim.id) {
            if waiting.is_empty() {
                self.probing.next_challenge = now;
            }
            waiting.push(Arc::clone(claim));
        }
    }

    fn send_challenges(&mut self, now: Time, out: &mut Vec<Output>) {
        if self.probing.challenges.is_empty() || now < self.probing.next_challenge {
            return;
        }
        self.probing.next_challenge = now + CHALLENGE_PAUSE;
        let batch = CHALLENGES.min(self.probing.challenges.len());
        let batch: Vec<_> = self.probing.challenges.drain(..batch).collect();
        for claim in batch {
            let known = self.table.get(claim.id).cloned();
            if let Some(known) = known.filter(|it| it.is_live() && claim.overrides(it)) {
                self.probe(now, &known, Some(claim), out);
            }
        }
    }

    /// Pings a contact or a dead member, whichever is not known to live.
    fn ping_lost(&mut self, random: &mut dyn Random, out: &mut Vec<Output>) {
        let contacts = self.exchange.contacts().iter().copied();
        let mut lost: Vec<(SocketAddr, Option<NodeId>)> =
            contacts.map(|address| (address, None)).collect();
        let dead = self.ended.iter().filter_map(|(id, _)| self.table.get(*id));
        let dead = dead.filter(|it| it.status == Status::Dead);
        lost.extend(dead.map(|it| (it.addresses.peer, Some(it.id))));
        lost.retain(|(address, _)| self.table.live_member_at(*address).is_none());
        if let Some((to, id)) = lost.get(random.below(lost.len())).copied() {
            self.ping(to, id, None, out);
        }
    }

    fn ask_helpers(&mut self, now: Time, random: &mut dyn Random, out: &mut Vec<Output>) {
        for at in 0..self.probing.probes.len() {
            let probe = &self.probing.probes[at];
            if probe.ask.is_none_or(|ask| ask > now) {
                continue;
            }
            let (sequence, target, address) = (probe.sequence, probe.target, probe.address);
            let mut asked = vec![target];
            for _ in 0..self.parameters.indirect_probes {
                let Some((to, id)) = self.pick_live(random, &asked) else {
                    break;
                };
                asked.push(id);
                let gossip = self.gossip(Some(id));
                let message = Message::PingRequest {
                    sequence,
                    target,
                    address,
                    gossip,
                };
                out.push(Output::Send { to, message });
            }
            let probe = &mut self.probing.probes[at];
            probe.ask = None;
            probe.helpers = asked.split_off(1);
        }
    }

    fn expire_probes(&mut self, now: Time, out: &mut Vec<Output>) {
        let (due, wait) = std::mem::take(&mut self.probing.probes)
            .into_iter()
            .partition(|it: &Probe| it.due <= now);
        self.probing.probes = wait;
        for probe in due {
            // Helpers that do not even send a nack hint that this node is cut off or slow.
            if probe.nacks < probe.helpers.len() {
                self.health.worsen();
            }
            // A member that has refuted since the probe began lives, whatever kept its answer.
            let known = self.table.get(probe.target);
            if known.is_some_and(|it| it.incarnation == probe.incarnation) {
                self.suspect(now, probe.target);
                // The suspected member learns of it from the first that suspects it, not only when
                // the statement has travelled.
                self.ping(probe.address, Some(probe.target), None, out);
            }
        }
    }

    fn send_nacks(&mut self, now: Time, out: &mut Vec<Output>) {
        self.probing.relays.retain(|it| it.due > now);
        let mut due = Vec::new();
        for relay in &mut self.probing.relays {
            if relay.nack.is_some_and(|nack| nack <= now) {
                relay.nack = None;
                due.push((relay.asker, relay.asked));
            }
        }
        for (to, sequence) in due {
            let gossip = self.gossip_to(to);
            let message = Message::Nack { sequence, gossip };
            out.push(Output::Send { to, message });
        }
    }

    fn gossip_to(&mut self, to: SocketAddr) -> Gossip {
        let id = self.table.live_member_at(to);
        self.gossip(id)
    }

    /// Does what a message asks for, beside its statements.
    pub(crate) fn answer_probe(
        &mut self,
        now: Time,
        from: SocketAddr,
        message: Message,
        out: &mut Vec<Output>,
    ) {
        match message {
            Message::Ping { sequence, gossip } => {
                let gossip = self.gossip(Some(gossip.from));
                let message = Message::Ack { sequence, gossip };
                out.push(Output::Send { to: from, message });
            }
            Message::PingRequest {
                sequence,
                target,
                address,
                ..
            } => self.relay(now, (from, sequence), (target, address), out),
            Message::Ack { sequence, gossip } => self.receive_ack(sequence, gossip.from, out),
            Message::Nack { sequence, gossip } => {
                let probes = &mut self.probing.probes;
                let probe = probes.iter_mut().find(|it| it.sequence == sequence);
                if let Some(probe) = probe.filter(|it| it.helpers.contains(&gossip.from)) {
                    probe.nacks += 1;
                }
            }
        }
    }

    fn relay(
        &mut self,
        now: Time,
        (asker, asked): (SocketAddr, u64),
        (target, address): (NodeId, SocketAddr),
        out: &mut Vec<Output>,
    ) {
        if self.probing.relays.len() >= MAX_RELAYS {
            return;
        }
        let sequence = self.ping(address, Some(target), None, out);
        self.probing.relays.push(Relay {
            sequence,
            target,
            asker,
            asked,
            nack: Some(now + self.parameters.probe_timeout),
            due: now + self.parameters.probe_period,
        });
    }

    fn receive_ack(&mut self, sequence: u64, from: NodeId, out: &mut Vec<Output>) {
        let probes = &mut self.probing.probes;
        // Another process may have taken the address of the target, so that its id must match.
        let answered = |it: &Probe| {
            it.sequence == sequence && (it.target == from || it.helpers.contains(&from))
        };
        if let Some(at) = probes.iter().position(answered) {
            probes.swap_remove(at);
            self.health.improve();
            return;
        }
        let relays = &mut self.probing.relays;
        let answered = |it: &Relay| it.sequence == sequence && it.target == from;
        if let Some(at) = relays.iter().position(answered) {
            let relay = relays.swap_remove(at);
            let gossip = self.gossip_to(relay.asker);
            let message = Message::Ack {
                sequence: relay.asked,
                gossip,
            };
            let to = relay.asker;
            out.push(Output::Send { to, message });
        }
    }
}

pub(crate) fn shuffle<T>(items: &mut [T], random: &mut dyn Random) {
    for last in (1..items.len()).rev() {
        items.swap(last, random.below(last + 1));
    }
}
