//! The membership of one node.

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
use crate::exchange::Exchange;
use crate::probe::Probing;
use crate::rumor::Rumors;
use crate::suspicion::Health;
use crate::suspicion::Suspicion;
use ids::Incarnation;
use ids::NodeId;
use kernel::Random;
use kernel::Time;

/// Members that news about endpoints is passed on to at once, so that it does not wait for the next
/// probe at each step of its way. The pause bounds the cost when many members change together.
const FORWARD_FANOUT: usize = 2;
const FORWARD_PAUSE: Duration = Duration::from_millis(250);

/// What the membership asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send a message.
    Send { to: SocketAddr, message: Message },
    /// Compare tables with a node, then report its answer.
    Sync {
        to: SocketAddr,
        request: SyncRequest,
    },
    /// Something that requests are routed by has changed.
    Changed,
}

/// The membership of one node.
#[derive(Debug)]
pub struct Machine {
    pub(crate) me: NodeId,
    pub(crate) parameters: Parameters,
    pub(crate) table: MemberTable,
    pub(crate) rumors: Rumors,
    pub(crate) probing: Probing,
    pub(crate) suspicions: Vec<Suspicion>,
    pub(crate) health: Health,
    pub(crate) exchange: Exchange,
    /// Members that have ended, with the time when that was learned.
    pub(crate) ended: Vec<(NodeId, Time)>,
    pub(crate) config_id: ConfigId,
    pub(crate) changed: bool,
    /// Members that are to be told that others hold them for dead.
    pub(crate) doubted: Vec<NodeId>,
    /// When news is passed on, and when that was done last.
    forward: Option<Time>,
    forwarded: Time,
}

impl Machine {
    /// The membership of a node that knows itself and some addresses to start from.
    pub fn new(me: Member, contacts: Vec<SocketAddr>, parameters: Parameters, now: Time) -> Self {
        let id = me.id;
        let own = me.addresses.peer;
        let mut table = MemberTable::default();
        table.merge(Arc::new(me));
        let mut rumors = Rumors::default();
        rumors.replace(id, id, 1);
        Self {
            me: id,
            parameters,
            table,
            rumors,
            probing: Probing::new(now),
            suspicions: Vec::new(),
            health: Health::default(),
            exchange: Exchange::new(own, contacts, now),
            ended: Vec::new(),
            config_id: ConfigId::default(),
            changed: false,
            doubted: Vec::new(),
            forward: None,
            forwarded: now,
        }
    }

    /// The table.
    pub fn table(&self) -> &MemberTable {
        &self.table
    }

    /// Identity of this node.
    pub fn node_id(&self) -> NodeId {
        self.me
    }

    /// Whether the table is in hand: compared with a contact, or none can be reached.
    pub fn is_joined(&self) -> bool {
        self.exchange.is_joined()
    }

    /// Sets the configuration that rides on each message.
    pub fn set_config_id(&mut self, config_id: ConfigId) {
        self.config_id = config_id;
    }

    /// Announces the state of this node's upstream.
    pub fn announce_upstream(&mut self, stage: Stage, upstream: Option<Upstream>) {
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
        let suspicions = self.suspicions.iter().map(|it| self.due_of(it));
        suspicions
            .chain(self.forward)
            .chain([self.probing.next_wake()])
            .fold(self.exchange.next_wake(), Time::min)
    }

    /// Probes, compares, and gives up on members that did not answer.
    pub fn wake(&mut self, now: Time, random: &mut dyn Random, out: &mut Vec<Output>) {
        // A process that was paused has missed answers that came in time. Its own silence is no
        // evidence against others, so that all waits start again.
        if now.since(self.next_wake()) >= self.parameters.probe_period {
            self.resume(now);
        }
        self.run_probes(now, random, out);
        self.expire_suspicions(now);
        self.run_exchange(now, random, out);
        if self.forward.is_some_and(|due| due <= now) {
            self.forward = None;
            self.forwarded = now;
            self.push_gossip(FORWARD_FANOUT, random, out);
        }
        self.report_change(out);
    }

    /// Takes a message in.
    pub fn handle_message(
        &mut self,
        now: Time,
        from: SocketAddr,
        message: Message,
        out: &mut Vec<Output>,
    ) {
        let sender = message.gossip().from;
        if sender == self.me {
            return;
        }
        self.meet(now, from, sender, out);
        for update in &message.gossip().updates {
            self.apply_update(now, update);
        }
        for id in std::mem::take(&mut self.doubted) {
            if let Some(to) = self.table.get(id).map(|it| it.addresses.peer) {
                self.ping(to, Some(id), None, out);
            }
        }
        if self.changed && self.forward.is_none() {
            self.forward = Some(now.max(self.forwarded + FORWARD_PAUSE));
        }
        self.answer_probe(now, from, message, out);
        self.report_change(out);
    }

    /// Sends the present configuration id and statements to `count` random members at once.
    pub fn push_gossip(&mut self, count: usize, random: &mut dyn Random, out: &mut Vec<Output>) {
        let mut told = Vec::new();
        // The node itself is not counted on: it is no live member any more once it has left.
        while told.len() < count {
            let Some((to, id)) = self.pick_live(random, &told) else {
                return;
            };
            told.push(id);
            self.ping(to, Some(id), None, out);
        }
    }

    pub(crate) fn due_of(&self, suspicion: &Suspicion) -> Time {
        suspicion.due(
            self.parameters.suspicion_timeout,
            self.table.live_count(),
            self.health,
        )
    }

    pub(crate) fn restate(&mut self, change: impl FnOnce(&mut Member)) {
        if let Some(me) = self.table.get(self.me) {
            let mut me = Member::clone(me);
            me.incarnation = Incarnation(me.incarnation.0.saturating_add(1));
            change(&mut me);
            let merge = self.table.merge(Arc::new(me));
            self.changed |= merge == MergeOutcome::RoutingChanged;
            self.rumors
                .replace(self.me, self.me, self.table.live_count());
        }
    }

    pub(crate) fn report_change(&mut self, out: &mut Vec<Output>) {
        if std::mem::take(&mut self.changed) {
            out.push(Output::Changed);
        }
    }

    /// A random live member that is neither this node nor in `except`.
    pub(crate) fn pick_live(
        &self,
        random: &mut dyn Random,
        except: &[NodeId],
    ) -> Option<(SocketAddr, NodeId)> {
        let live = self.table.live();
        let start = random.below(live.len());
        live[start..]
            .iter()
            .chain(&live[..start])
            .find(|(_, id)| *id != self.me && !except.contains(id))
            .copied()
    }

    /// What rides on a message to a node. What the node must refute comes first.
    pub(crate) fn gossip(&mut self, to: Option<NodeId>) -> Gossip {
        let known = to.map(|id| self.table.get(id).cloned());
        let mut first = match known {
            Some(Some(member)) if member.status != Status::Alive => {
                let rival = self.table.live_member_at(member.addresses.peer);
                let rival = rival.filter(|id| *id != member.id);
                let rival = rival.and_then(|id| self.table.get(id).cloned());
                vec![Some(member), rival]
            }
            Some(Some(_)) => Vec::new(),
            // A node that is not in the table may not know this one either.
            Some(None) | None => vec![self.table.get(self.me).cloned()],
        };
        let mut updates: Vec<Update> = first
            .drain(..)
            .flatten()
            .map(|member| Update {
                member,
                source: self.me,
            })
            .collect();
        for (about, source) in self.rumors.pick(self.parameters.max_updates) {
            let member = self.table.get(about).cloned();
            updates.extend(member.map(|member| Update { member, source }));
        }
        Gossip {
            from: self.me,
            config_id: self.config_id,
            updates,
        }
    }

    fn resume(&mut self, now: Time) {
        self.probing.restart(now);
        self.exchange.restart(now);
        for suspicion in &mut self.suspicions {
            suspicion.since = now;
        }
    }
}
