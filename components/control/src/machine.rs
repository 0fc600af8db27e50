//! The control machine.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::Picture;
use crate::life::Cycle;
use ids::Domain;
use ids::NodeId;
use ids::Version;
use kernel::Random;
use kernel::Time;
use member::Limits;
use member::Member;
use member::Message;
use member::Stage;
use member::Stamp;
use member::Upstream;
use spread::Offer;
use spread::Revision;
use spread::StoreEvent;
use spread::is_watcher;

/// Members told at once of a newer version.
const PUSH_FANOUT: usize = 4;

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
    Pulled { offer: Option<Offer> },
    /// The store said something.
    Store(StoreEvent),
    /// The upstream of this node announced itself.
    Announced { stage: Stage, upstream: Upstream },
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
    AnswerPull { token: Token, offer: Offer },
    /// Read the configuration key of the store.
    ReadStore,
    /// Wait for a change of the configuration key.
    WatchStore { after: Revision },
    /// End the wait.
    StopWatch,
    /// Route by this from now on.
    Publish(Arc<Picture>),
    /// A record was refused.
    Refused { version: Version, message: String },
}

/// Control state of one node.
#[derive(Debug)]
pub struct Machine {
    domain: Domain,
    members: member::Machine,
    spread: spread::Machine,
    cycle: Option<Cycle>,
    generation: u32,
}

impl Machine {
    /// Control state of a node that has just started.
    pub fn new(me: Member, contacts: Vec<SocketAddr>, limits: Limits, now: Time) -> Self {
        Self {
            domain: me.domain.clone(),
            members: member::Machine::new(me, contacts, limits, now),
            spread: spread::Machine::default(),
            cycle: Some(Cycle::Joining(crate::Node::new())),
            generation: 0,
        }
    }

    /// Identity of the node.
    pub fn id(&self) -> NodeId {
        self.members.id()
    }

    /// Version and hash in force.
    pub fn stamp(&self) -> Stamp {
        self.spread.history().stamp()
    }

    fn settle(
        &mut self,
        now: Time,
        random: &mut dyn Random,
        from_members: &mut Vec<member::Output>,
        from_spread: &mut Vec<spread::Output>,
        effects: &mut Vec<Effect>,
    ) {
        let mut changed = false;
        let watcher = is_watcher(self.members.table(), self.members.id());
        self.spread.set_watcher(watcher, now, from_spread);
        for output in from_spread.drain(..) {
            match output {
                spread::Output::Read => effects.push(Effect::ReadStore),
                spread::Output::Watch { after } => effects.push(Effect::WatchStore { after }),
                spread::Output::StopWatch => effects.push(Effect::StopWatch),
                spread::Output::Pull { from, have } => effects.push(Effect::Pull { from, have }),
                spread::Output::Refused { version, message } => {
                    effects.push(Effect::Refused { version, message });
                }
                spread::Output::Changed => {
                    changed = true;
                    self.members.set_stamp(self.spread.history().stamp());
                    self.members.push(PUSH_FANOUT, random, from_members);
                }
            }
        }
        for output in from_members.drain(..) {
            match output {
                member::Output::Send { to, message } => effects.push(Effect::Send { to, message }),
                member::Output::Changed => changed = true,
            }
        }
        if changed {
            self.publish(effects);
        }
    }

    fn publish(&mut self, effects: &mut Vec<Effect>) {
        let snapshot = self
            .spread
            .history()
            .current()
            .map(|now| Arc::clone(now.snapshot()));
        if snapshot.is_some() {
            self.cycle = self.cycle.take().map(Cycle::serve);
        }
        self.generation = self.generation.wrapping_add(1);
        let life = self.cycle.as_ref().map(Cycle::life).unwrap_or_default();
        effects.push(Effect::Publish(Arc::new(Picture::new(
            self.members.id(),
            self.domain.clone(),
            life,
            snapshot,
            self.members.table(),
            self.generation,
        ))));
    }

    fn drain(&mut self, effects: &mut Vec<Effect>) {
        self.cycle = self.cycle.take().map(Cycle::leave);
        let upstream = self
            .members
            .table()
            .get(self.members.id())
            .and_then(|me| me.upstream.clone());
        self.members.announce(Stage::Draining, upstream);
        self.publish(effects);
    }
}

impl kernel::Machine for Machine {
    type Input = Input;
    type Effect = Effect;

    fn step(
        &mut self,
        now: Time,
        input: Input,
        random: &mut dyn Random,
        effects: &mut Vec<Effect>,
    ) {
        let mut from_members = Vec::new();
        let mut from_spread = Vec::new();
        match input {
            Input::Datagram { from, message } => {
                let stamp = message.gossip().stamp;
                self.members.receive(from, message, &mut from_members);
                self.spread.hear(now, from, stamp, &mut from_spread);
            }
            Input::PullAsked { token, have } => {
                let offer = self.spread.history().offer(have);
                effects.push(Effect::AnswerPull { token, offer });
            }
            Input::Pulled { offer } => self.spread.receive_offer(offer, &mut from_spread),
            Input::Store(event) => self
                .spread
                .receive_store(now, event, random, &mut from_spread),
            Input::Announced { stage, upstream } => {
                self.members.announce(stage, Some(upstream));
                self.members.push(PUSH_FANOUT, random, &mut from_members);
                from_members.push(member::Output::Changed);
            }
            Input::Drain => {
                self.drain(effects);
                self.members.push(PUSH_FANOUT, random, &mut from_members);
            }
            Input::Drained => {
                self.members.leave();
                self.members.push(PUSH_FANOUT, random, &mut from_members);
            }
        }
        self.settle(now, random, &mut from_members, &mut from_spread, effects);
    }

    fn wake(&mut self, now: Time, random: &mut dyn Random, effects: &mut Vec<Effect>) {
        let mut from_members = Vec::new();
        let mut from_spread = Vec::new();
        self.members.wake(now, random, &mut from_members);
        self.spread.wake(now, &mut from_spread);
        self.settle(now, random, &mut from_members, &mut from_spread, effects);
    }

    fn next_wake(&self) -> Option<Time> {
        let members = self.members.next_wake();
        Some(
            self.spread
                .next_wake()
                .map_or(members, |due| due.min(members)),
        )
    }
}
