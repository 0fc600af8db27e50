//! The control machine.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::Effect;
use crate::Input;
use crate::NodeStage;
use crate::Topology;
use crate::life::Cycle;
use crate::own::Own;
use ids::Domain;
use ids::NodeId;
use kernel::Random;
use kernel::Time;
use member::ConfigId;
use member::Member;
use member::Parameters;
use member::Stage;
use member::Status;
use spread::is_watcher;

/// Members told at once of a newer version or of a change of the upstream.
const PUSH_FANOUT: usize = 4;
/// Least time between two topologies, so that a burst of statements costs one.
const PICTURE_PAUSE: Duration = Duration::from_millis(20);
/// A timer that fires this late tells that the process was paused.
const PAUSE: Duration = Duration::from_secs(1);

/// Outputs of the parts during one step.
#[derive(Debug, Default)]
struct Outputs {
    members: Vec<member::Output>,
    spread: Vec<spread::Output>,
}

/// Control state of one node.
#[derive(Debug)]
pub struct Machine {
    domain: Domain,
    members: member::Machine,
    spread: spread::Machine,
    own: Own,
    /// Service of the upstreams that the node stands beside, if it is known.
    service: Option<Arc<str>>,
    cycle: Option<Cycle>,
    /// Revision of the table that the choice of watchers was made by.
    watchers_of: u64,
    changed: bool,
    published: Option<Time>,
    generation: u32,
}

impl Machine {
    /// Control state of a node that has just started.
    pub fn new(me: Member, contacts: Vec<SocketAddr>, parameters: Parameters, now: Time) -> Self {
        Self {
            domain: me.domain.clone(),
            members: member::Machine::new(me, contacts, parameters, now),
            spread: spread::Machine::default(),
            own: Own::default(),
            service: None,
            cycle: Some(Cycle::Joining(crate::Node::new())),
            watchers_of: 0,
            changed: false,
            published: None,
            generation: 0,
        }
    }

    /// The same with the failure domains that the fleet is known to have.
    #[must_use]
    pub fn with_domains(mut self, domains: Vec<Domain>) -> Self {
        self.spread.set_domains(domains);
        self
    }

    /// The same with the service of the upstreams that the node stands beside. Without it, no upstream
    /// of an earlier process is taken over: addresses are used again by other services.
    #[must_use]
    pub fn with_service(mut self, service: Option<&str>) -> Self {
        self.service = service.map(Arc::from);
        self
    }

    /// Identity of the node.
    pub fn id(&self) -> NodeId {
        self.members.node_id()
    }

    /// Version and hash in force.
    pub fn config_id(&self) -> ConfigId {
        self.spread.history().config_id()
    }

    /// The member table.
    pub fn table(&self) -> &member::MemberTable {
        self.members.table()
    }

    /// Stage of the node's life.
    pub fn node_stage(&self) -> NodeStage {
        self.cycle
            .as_ref()
            .map(Cycle::node_stage)
            .unwrap_or_default()
    }

    /// Carries the outputs of the parts from one to the other until none is left.
    fn settle(
        &mut self,
        now: Time,
        mut out: Outputs,
        random: &mut dyn Random,
        effects: &mut Vec<Effect>,
    ) {
        let revision = self.members.table().revision();
        if revision != self.watchers_of {
            self.watchers_of = revision;
            let watcher = is_watcher(self.members.table(), self.members.node_id());
            self.spread.set_watcher(watcher, now, &mut out.spread);
            self.adopt(now, random, &mut out);
        }
        for output in std::mem::take(&mut out.spread) {
            self.settle_spread(now, output, &mut out, random, effects);
        }
        for output in out.members {
            match output {
                member::Output::Send { to, message } => effects.push(Effect::Send { to, message }),
                member::Output::Sync { to, request } => effects.push(Effect::Sync { to, request }),
                member::Output::RoutingChanged => self.changed = true,
            }
        }
        self.serve_when_ready();
        self.publish_when_due(now, effects);
    }

    fn settle_spread(
        &mut self,
        now: Time,
        output: spread::Output,
        out: &mut Outputs,
        random: &mut dyn Random,
        effects: &mut Vec<Effect>,
    ) {
        use spread::Output as Asked;
        let domain = || self.domain.clone();
        match output {
            Asked::ReadConfig => effects.push(Effect::ReadStore),
            Asked::WatchConfig { after } => effects.push(Effect::WatchStore { after }),
            Asked::CancelConfigCall => effects.push(Effect::StopWatch),
            Asked::WriteBack { expected, record } => {
                effects.push(Effect::WriteStore { expected, record });
            }
            Asked::ReadContacts { other } => {
                let domain = domain();
                effects.push(Effect::ReadContacts { domain, other });
            }
            Asked::WriteContacts {
                expected,
                addresses,
            } => effects.push(Effect::WriteContacts {
                domain: domain(),
                expected,
                addresses,
            }),
            Asked::ContactsFound(found) => self.members.add_contacts(now, &found),
            Asked::Pull { from, have } => effects.push(Effect::Pull { from, have }),
            Asked::Refused { version, message } => {
                effects.push(Effect::ConfigRefused { version, message });
            }
            Asked::ReportChanged => self.changed = true,
            Asked::ConfigChanged => {
                self.changed = true;
                self.members
                    .set_config_id(self.spread.history().config_id());
                self.members
                    .push_gossip(PUSH_FANOUT, random, &mut out.members);
            }
        }
    }

    fn serve_when_ready(&mut self) {
        let ready = self.members.is_joined() && self.spread.is_up_to_date();
        if ready && self.node_stage() == NodeStage::Joining {
            self.cycle = self.cycle.take().map(Cycle::serve);
            self.changed = true;
        }
    }

    /// When the next topology may be published, if there is a reason for one.
    fn next_topology(&self) -> Option<Time> {
        let earliest = self.published.map_or(Time(0), |it| it + PICTURE_PAUSE);
        self.changed.then_some(earliest)
    }

    fn publish_when_due(&mut self, now: Time, effects: &mut Vec<Effect>) {
        if self.next_topology().is_none_or(|due| due > now) {
            return;
        }
        self.changed = false;
        self.published = Some(now);
        self.generation = self.generation.wrapping_add(1);
        let current = self.spread.history().current();
        let topology = Topology::new(
            self.members.node_id(),
            self.domain.clone(),
            self.node_stage(),
            current.map(|it| Arc::clone(it.snapshot())),
            self.members.table(),
            self.generation,
        );
        let report = self.spread.report().clone();
        effects.push(Effect::Publish(Arc::new(topology.with_report(report))));
    }

    /// Announces the state of the own upstream if it differs from what members know.
    fn announce(&mut self, random: &mut dyn Random, out: &mut Outputs) {
        let (stage, upstream) = self.own.state();
        let known = self.members.table().get(self.members.node_id());
        // What a node said when it left stays, for its next process.
        let said = |it: &Member| (it.stage, &it.upstream) == (stage, &upstream);
        if known.is_some_and(|it| it.status == Status::Left || said(it)) {
            return;
        }
        self.members.announce_upstream(stage, upstream);
        self.members
            .push_gossip(PUSH_FANOUT, random, &mut out.members);
        self.changed = true;
    }

    /// Takes over the upstream of the process that ran at this address before, if members know it as
    /// ready: the node would otherwise refuse its work until it announces itself again.
    fn adopt(&mut self, now: Time, random: &mut dyn Random, out: &mut Outputs) {
        if !self.own.is_empty() {
            return;
        }
        let table = self.members.table();
        let me = self.members.node_id();
        let Some(address) = table.get(me).map(|it| it.addresses.peer) else {
            return;
        };
        let members = table.members().iter();
        let earlier = members.filter(|it| it.id != me && it.addresses.peer == address);
        let Some(last) = earlier.max_by_key(|it| it.incarnation) else {
            return;
        };
        let named = last.upstream.clone().filter(|it| it.run_id.is_some());
        let named = named.filter(|it| Some(&it.service) == self.service.as_ref());
        if let Some(upstream) = named.filter(|_| last.stage == Stage::Ready) {
            self.own.adopt(now, upstream);
            self.announce(random, out);
        }
    }

    fn leave(&mut self, random: &mut dyn Random, out: &mut Outputs) {
        self.cycle = self.cycle.take().map(Cycle::leave);
        // Nothing is routed to a member that left; the stage tells the next process of the node
        // whether the upstream goes on.
        let stage = self.own.announced();
        self.own.finish();
        let (_, upstream) = self.own.state();
        self.members.announce_upstream(stage, upstream);
        self.members.leave();
        self.members
            .push_gossip(PUSH_FANOUT, random, &mut out.members);
        self.changed = true;
    }

    fn take(
        &mut self,
        now: Time,
        input: Input,
        out: &mut Outputs,
        random: &mut dyn Random,
        effects: &mut Vec<Effect>,
    ) {
        match input {
            Input::Datagram { from, message } => {
                let config_id = message.gossip().config_id;
                self.members
                    .handle_message(now, from, message, &mut out.members);
                self.spread
                    .handle_config_id(now, from, config_id, &mut out.spread);
            }
            Input::PullRequested { call_id, have } => {
                let offer = self.spread.respond_to_pull(have);
                effects.push(Effect::RespondToPull { call_id, offer });
            }
            Input::PullCompleted { from, offer } => {
                self.spread
                    .handle_pull_response(now, from, offer, random, &mut out.spread);
            }
            Input::SyncRequested { call_id, request } => {
                let response = self
                    .members
                    .handle_sync_request(now, request, &mut out.members);
                effects.push(Effect::RespondToSync { call_id, response });
            }
            Input::SyncCompleted { from, response } => {
                let config_id = response.as_ref().map(|it| it.config_id).unwrap_or_default();
                self.spread
                    .handle_config_id(now, from, config_id, &mut out.spread);
                self.members
                    .handle_sync_response(now, from, response, random, &mut out.members);
            }
            Input::Store(event) => {
                self.spread
                    .handle_store_event(now, event, random, &mut out.spread)
            }
            Input::Contacts(event) => {
                let view = (self.members.table(), &self.domain);
                self.spread
                    .handle_contacts_event(now, event, view, random, &mut out.spread);
            }
            Input::UpstreamAnnounced {
                stage,
                upstream,
                order,
            } => {
                self.own.announce(now, stage, upstream, order);
                self.announce(random, out);
            }
            Input::UpstreamDeparted { run_id, order } => {
                self.own.depart(now, &run_id, order);
                self.announce(random, out);
            }
            Input::Drain => {
                self.cycle = self.cycle.take().map(Cycle::leave);
                self.own.drain();
                self.announce(random, out);
                self.changed = true;
            }
            Input::Drained => self.leave(random, out),
        }
    }
}

impl kernel::StateMachine for Machine {
    type Input = Input;
    type Effect = Effect;

    fn step(
        &mut self,
        now: Time,
        input: Input,
        random: &mut dyn Random,
        effects: &mut Vec<Effect>,
    ) {
        let mut out = Outputs::default();
        self.take(now, input, &mut out, random, effects);
        self.settle(now, out, random, effects);
    }

    fn wake(&mut self, now: Time, random: &mut dyn Random, effects: &mut Vec<Effect>) {
        let mut out = Outputs::default();
        // The upstream could not renew its lease with a process that was paused.
        if self.next_wake().is_some_and(|due| now.since(due) >= PAUSE) {
            self.own.restart(now);
        }
        self.own.expire(now);
        self.announce(random, &mut out);
        self.members.wake(now, random, &mut out.members);
        self.spread.wake(now, random, &mut out.spread);
        self.settle(now, out, random, effects);
    }

    fn next_wake(&self) -> Option<Time> {
        let members = Some(self.members.next_wake());
        members
            .into_iter()
            .chain(self.spread.next_wake())
            .chain(self.own.next_wake())
            .chain(self.next_topology())
            .min()
    }
}
