//! Probing of members and spreading of statements.

use std::net::SocketAddr;
use std::time::Duration;

use crate::Gossip;
use crate::Member;
use crate::Message;
use crate::Stage;
use crate::Stamp;
use crate::Status;
use crate::Table;
use crate::Upstream;
use ids::Incarnation;
use ids::NodeId;
use kernel::Random;
use kernel::Time;

/// Times and sizes of the probing.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Time between two probes.
    pub period: Duration,
    /// Longest wait for a direct answer.
    pub timeout: Duration,
    /// Time from suspicion to death.
    pub suspicion: Duration,
    /// Statements on one message.
    pub updates: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            period: Duration::from_secs(1),
            timeout: Duration::from_millis(400),
            suspicion: Duration::from_secs(3),
            updates: 8,
        }
    }
}

/// What the membership asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send a message.
    Send { to: SocketAddr, message: Message },
    /// The table has changed.
    Changed,
}

/// A statement that still has to spread.
#[derive(Clone, Copy, Debug)]
struct Rumor {
    about: NodeId,
    sends_left: u32,
}

/// A probe that waits for its answer.
#[derive(Clone, Copy, Debug)]
struct Probe {
    number: u64,
    target: NodeId,
    due: Time,
}

/// The membership of one node.
#[derive(Debug)]
pub struct Machine {
    me: NodeId,
    limits: Limits,
    contacts: Vec<SocketAddr>,
    table: Table,
    rumors: Vec<Rumor>,
    probes: Vec<Probe>,
    suspects: Vec<(NodeId, Time)>,
    next_probe: Time,
    next_number: u64,
    stamp: Stamp,
}

impl Machine {
    /// The membership of a node that knows itself and some addresses to start from.
    pub fn new(me: Member, contacts: Vec<SocketAddr>, limits: Limits, now: Time) -> Self {
        let id = me.id;
        let mut table = Table::default();
        table.merge(me);
        Self {
            me: id,
            limits,
            contacts,
            table,
            rumors: Vec::new(),
            probes: Vec::new(),
            suspects: Vec::new(),
            next_probe: now,
            next_number: 0,
            stamp: Stamp::default(),
        }
    }

    /// The table.
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// Identity of this node.
    pub fn id(&self) -> NodeId {
        self.me
    }

    /// Sets the configuration that rides on each message.
    pub fn set_stamp(&mut self, stamp: Stamp) {
        self.stamp = stamp;
    }

    /// Announces the state of this node's upstream.
    pub fn announce(&mut self, stage: Stage, upstream: Option<Upstream>) {
        self.restate(|me| {
            me.stage = stage;
            me.upstream = upstream;
        });
    }

    /// Announces that this node leaves the fleet.
    pub fn leave(&mut self) {
        self.restate(|me| me.status = Status::Left);
    }

    /// When `wake` is due next.
    pub fn next_wake(&self) -> Time {
        let probes = self.probes.iter().map(|probe| probe.due);
        let suspects = self.suspects.iter().map(|(_, due)| *due);
        probes.chain(suspects).fold(self.next_probe, Time::min)
    }

    /// Probes, and gives up on those that did not answer.
    pub fn wake(&mut self, now: Time, random: &mut dyn Random, out: &mut Vec<Output>) {
        self.expire_probes(now, out);
        self.expire_suspects(now, out);
        if now >= self.next_probe {
            self.next_probe = now + self.limits.period;
            self.probe(now, random, out);
        }
    }

    /// Takes a message in.
    pub fn receive(&mut self, from: SocketAddr, message: Message, out: &mut Vec<Output>) {
        let changed = message
            .gossip()
            .updates
            .iter()
            .fold(false, |changed, update| {
                let merged = self.merge(update.clone());
                changed || merged
            });
        if changed {
            out.push(Output::Changed);
        }
        match message {
            Message::Ping { number, .. } => {
                let gossip = self.gossip();
                out.push(Output::Send {
                    to: from,
                    message: Message::Ack { number, gossip },
                });
            }
            Message::Ack { number, .. } => self.probes.retain(|probe| probe.number != number),
        }
    }

    /// Sends the present stamp to `count` random members at once.
    pub fn push(&mut self, count: usize, random: &mut dyn Random, out: &mut Vec<Output>) {
        for _ in 0..count {
            if let Some(to) = self.pick_live(random).map(|member| member.address.peer) {
                self.ping(to, out);
            }
        }
    }

    fn restate(&mut self, change: impl FnOnce(&mut Member)) {
        if let Some(mut me) = self.table.get(self.me).cloned() {
            me.incarnation = Incarnation(me.incarnation.0 + 1);
            change(&mut me);
            self.table.merge(me);
            self.spread(self.me);
        }
    }

    fn merge(&mut self, statement: Member) -> bool {
        let about = statement.id;
        if about == self.me {
            self.refute(&statement);
            return false;
        }
        let merged = self.table.merge(statement);
        if merged {
            self.spread(about);
        }
        merged
    }

    /// Overrides a statement about this node that is not its own.
    fn refute(&mut self, statement: &Member) {
        let Some(me) = self.table.get(self.me) else {
            return;
        };
        if statement.overrides(me) {
            let incarnation = Incarnation(statement.incarnation.0 + 1);
            self.restate(|me| me.incarnation = incarnation);
        }
    }

    fn spread(&mut self, about: NodeId) {
        self.rumors.retain(|rumor| rumor.about != about);
        let members = self.table.members().len().max(2);
        let sends_left = 4 * (members.ilog2() + 1);
        self.rumors.push(Rumor { about, sends_left });
    }

    fn gossip(&mut self) -> Gossip {
        self.rumors
            .sort_by_key(|rumor| std::cmp::Reverse(rumor.sends_left));
        let mut updates = Vec::new();
        for rumor in self.rumors.iter_mut().take(self.limits.updates) {
            rumor.sends_left -= 1;
            updates.extend(self.table.get(rumor.about).cloned());
        }
        self.rumors.retain(|rumor| rumor.sends_left > 0);
        if updates.is_empty() {
            updates.extend(self.table.get(self.me).cloned());
        }
        Gossip {
            from: self.me,
            stamp: self.stamp,
            updates,
        }
    }

    fn probe(&mut self, now: Time, random: &mut dyn Random, out: &mut Vec<Output>) {
        let target = self
            .pick_live(random)
            .map(|member| (member.id, member.address.peer));
        if let Some((target, to)) = target {
            let number = self.ping(to, out);
            self.probes.push(Probe {
                number,
                target,
                due: now + self.limits.timeout,
            });
        }
        let joined = target.is_some();
        if !self.contacts.is_empty() && (!joined || random.below(10) == 0) {
            let to = self.contacts[random.below(self.contacts.len())];
            self.ping(to, out);
        }
    }

    fn ping(&mut self, to: SocketAddr, out: &mut Vec<Output>) -> u64 {
        self.next_number += 1;
        let number = self.next_number;
        let gossip = self.gossip();
        out.push(Output::Send {
            to,
            message: Message::Ping { number, gossip },
        });
        number
    }

    fn pick_live(&self, random: &mut dyn Random) -> Option<&Member> {
        let live: Vec<&Member> = self
            .table
            .members()
            .iter()
            .filter(|member| member.id != self.me && member.is_live())
            .collect();
        live.get(random.below(live.len())).copied()
    }

    fn expire_probes(&mut self, now: Time, out: &mut Vec<Output>) {
        let due: Vec<Probe> = self
            .probes
            .iter()
            .copied()
            .filter(|p| p.due <= now)
            .collect();
        self.probes.retain(|probe| probe.due > now);
        for probe in due {
            if self.restate_other(probe.target, Status::Alive, Status::Suspect) {
                self.suspects
                    .push((probe.target, now + self.limits.suspicion));
                out.push(Output::Changed);
            }
        }
    }

    fn expire_suspects(&mut self, now: Time, out: &mut Vec<Output>) {
        let due: Vec<NodeId> = self
            .suspects
            .iter()
            .filter(|(_, due)| *due <= now)
            .map(|(id, _)| *id)
            .collect();
        self.suspects.retain(|(_, due)| *due > now);
        for id in due {
            if self.restate_other(id, Status::Suspect, Status::Dead) {
                out.push(Output::Changed);
            }
        }
    }

    fn restate_other(&mut self, id: NodeId, from: Status, to: Status) -> bool {
        let Some(member) = self.table.get(id).filter(|member| member.status == from) else {
            return false;
        };
        let statement = Member {
            status: to,
            ..member.clone()
        };
        self.merge(statement)
    }
}
