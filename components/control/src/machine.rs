//! Control state machine of a node.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::Effect;
use crate::Input;
use crate::NodeStage;
use crate::Topology;
use crate::freshness::Freshness;
use crate::life_cycle::NodeLifecycle;
use crate::own_upstream::OwnUpstream;
use crate::rollouts::Rollouts;
use crate::suspects::Suspects;
use ids::Domain;
use ids::NodeId;
use ids::Version;
use kernel::Random;
use kernel::Time;
use member::ConfigId;
use member::Member;
use member::Parameters;
use member::Stage;
use member::Status;
use rollout::Outbox;
use spread::is_watcher;

/// Number of members to which gossip about a newer configuration or a change of the upstream is sent at
/// once.
const PUSH_FANOUT: usize = 4;
/// Minimum time between two publications of a topology, so that a burst of changes causes only one.
const MIN_TOPOLOGY_INTERVAL: Duration = Duration::from_millis(20);
/// Delay of a timer from which the process is considered to have been paused.
const PAUSE_THRESHOLD: Duration = Duration::from_secs(1);

/// Outputs of membership and configuration distribution during one step.
#[derive(Debug, Default)]
struct Outputs {
    membership: Vec<member::Output>,
    spread: Vec<spread::Output>,
    freshness: Vec<fresh::Output>,
}

/// Control state of one node: its membership, configuration, upstream and life cycle.
#[derive(Debug)]
pub struct Machine {
    domain: Domain,
    membership: member::Machine,
    spread: spread::Machine,
    own_upstream: OwnUpstream,
    suspects: Suspects,
    /// `None` if the settings do not ask for freshness of keys.
    freshness: Option<Freshness>,
    rollouts: Rollouts,
    /// Service of the upstreams on this node's instance, if the settings name it.
    service: Option<Arc<str>>,
    /// `None` only while a transition of the life cycle takes the value.
    lifecycle: Option<NodeLifecycle>,
    /// Revision of the member table when this node last determined whether it watches the store.
    watcher_revision: u64,
    /// Whether anything that a topology contains has changed since the last publication.
    topology_changed: bool,
    last_published: Option<Time>,
    /// Version of the configuration in the last published topology.
    published_version: Version,
    /// Generation of the last published topology.
    generation: u32,
}

impl Machine {
    /// Creates the control state of a node that has just started.
    pub fn new(own: Member, contacts: Vec<SocketAddr>, parameters: Parameters, now: Time) -> Self {
        Self {
            suspects: Suspects::new(own.id),
            rollouts: Rollouts::new(own.id),
            domain: own.domain.clone(),
            membership: member::Machine::new(own, contacts, parameters, now),
            spread: spread::Machine::default(),
            own_upstream: OwnUpstream::default(),
            freshness: None,
            service: None,
            lifecycle: Some(NodeLifecycle::Joining(crate::Node::new())),
            watcher_revision: 0,
            topology_changed: false,
            last_published: None,
            published_version: Version::NONE,
            generation: 0,
        }
    }

    /// Sets the known failure domains of the fleet.
    #[must_use]
    pub fn with_domains(mut self, domains: Vec<Domain>) -> Self {
        self.spread.set_domains(domains);
        self
    }

    /// Sets the service of the upstreams on this node's instance. Without it, the node adopts no
    /// upstream of an earlier process: another service may have used this node's address before.
    #[must_use]
    pub fn with_service(mut self, service: Option<&str>) -> Self {
        self.service = service.map(Arc::from);
        self
    }

    /// Refuses withdrawn keys within `limit` of the acknowledgement of their withdrawal. The clock of proofs shows
    /// `proof_now` at `now` or before.
    #[must_use]
    pub fn with_key_freshness(mut self, limit: Duration, now: Time, proof_now: Time) -> Self {
        let own = self.membership.node_id();
        self.freshness = Some(Freshness::new(own, limit, now, proof_now));
        self
    }

    /// Sets the bounds of rollouts. Without them, versions of upstreams are ignored and not announced.
    #[must_use]
    pub fn with_rollouts(mut self, limits: Option<rollout::Limits>) -> Self {
        self.rollouts.set_limits(Time(0), limits);
        self
    }

    /// Id of this node.
    pub fn id(&self) -> NodeId {
        self.membership.node_id()
    }

    /// Version and hash of the configuration in force.
    pub fn config_id(&self) -> ConfigId {
        self.spread.history().config_id()
    }

    /// The member table.
    pub fn table(&self) -> &member::MemberTable {
        self.membership.table()
    }

    /// Stage of this node.
    pub fn node_stage(&self) -> NodeStage {
        self.lifecycle
            .as_ref()
            .map(NodeLifecycle::node_stage)
            .unwrap_or_default()
    }

    /// Processes the outputs of membership and of configuration distribution: passes each to the other
    /// component or turns it into an effect. Then publishes a topology if one is due.
    fn process_outputs(
        &mut self,
        now: Time,
        mut out: Outputs,
        random: &mut dyn Random,
        effects: &mut Vec<Effect>,
    ) {
        let revision = self.membership.table().revision();
        if revision != self.watcher_revision {
            self.watcher_revision = revision;
            let watcher = is_watcher(self.membership.table(), self.membership.node_id());
            self.spread.set_watcher(watcher, now, &mut out.spread);
            self.adopt_upstream(now, random, &mut out);
        }
        for output in std::mem::take(&mut out.spread) {
            self.process_spread_output(now, output, &mut out, random, effects);
        }
        for output in std::mem::take(&mut out.membership) {
            match output {
                member::Output::Send { to, message } => effects.push(Effect::Send { to, message }),
                member::Output::Sync { to, request } => effects.push(Effect::Sync { to, request }),
                member::Output::RoutingChanged => self.topology_changed = true,
            }
        }
        self.serve_when_ready(now);
        self.topology_changed |= self.rollouts.observe(now, self.membership.table());
        let snapshot = self.spread.history().current().map(|it| it.snapshot());
        let table = self.membership.table();
        self.rollouts
            .configure(now, table, snapshot.map(Arc::as_ref));
        let outbox = self.rollouts.coordinate(now, table);
        self.send_rollouts(outbox, random, effects);
        self.publish_if_due(now, effects);
        self.update_freshness(now, &mut out.freshness);
        for output in out.freshness {
            effects.push(match output {
                fresh::Output::ReadStore => Effect::ReadConfig,
                other => Effect::Freshness(other),
            });
        }
    }

    /// Whether the configuration in force lists organisations and the settings ask for freshness of keys.
    fn has_fresh_keys(&self) -> bool {
        let current = self.spread.history().current();
        self.freshness.is_some() && current.is_some_and(|it| it.snapshot().has_organisations())
    }

    /// Adapts to the configuration in force and to the published one.
    fn update_freshness(&mut self, now: Time, out: &mut Vec<fresh::Output>) {
        let is_active = self.has_fresh_keys();
        let published_version = self.published_version;
        if let Some(freshness) = &mut self.freshness {
            if freshness.is_active() != is_active {
                freshness.set_active(now, is_active, out);
                self.spread.allow_short_watches(is_active);
            }
            freshness.set_version(now, published_version, out);
        }
    }

    fn process_spread_output(
        &mut self,
        now: Time,
        output: spread::Output,
        out: &mut Outputs,
        random: &mut dyn Random,
        effects: &mut Vec<Effect>,
    ) {
        use spread::Output as SpreadOutput;
        let domain = || self.domain.clone();
        match output {
            SpreadOutput::ReadConfig => effects.push(Effect::ReadConfig),
            SpreadOutput::WatchConfig { after } if self.has_fresh_keys() => {
                effects.push(Effect::WatchConfigBriefly { after });
            }
            SpreadOutput::WatchConfig { after } => effects.push(Effect::WatchConfig { after }),
            SpreadOutput::ReadConfigChanges { after } => {
                effects.push(Effect::ReadConfigChanges { after });
            }
            SpreadOutput::CancelConfigCall => effects.push(Effect::CancelConfigCall),
            SpreadOutput::WriteBack { expected, record } => {
                effects.push(Effect::WriteConfig { expected, record });
            }
            SpreadOutput::ReadContacts { other } => {
                let domain = domain();
                effects.push(Effect::ReadContacts { domain, other });
            }
            SpreadOutput::WriteContacts {
                expected,
                addresses,
            } => effects.push(Effect::WriteContacts {
                domain: domain(),
                expected,
                addresses,
            }),
            SpreadOutput::ContactsFound(addresses) => self.membership.add_contacts(now, &addresses),
            SpreadOutput::Pull { from, have } => effects.push(Effect::Pull { from, have }),
            SpreadOutput::Refused { version, message } => {
                effects.push(Effect::ConfigRefused { version, message });
            }
            SpreadOutput::ReportChanged => self.topology_changed = true,
            SpreadOutput::ConfigChanged => {
                self.topology_changed = true;
                self.membership
                    .set_config_id(self.spread.history().config_id());
                self.membership
                    .push_gossip(PUSH_FANOUT, random, &mut out.membership);
            }
        }
    }

    /// Ends the joining stage once both the membership and the configuration are known.
    fn serve_when_ready(&mut self, now: Time) {
        if self.membership.is_joined() {
            self.rollouts.join(now, self.membership.table());
        }
        let ready = self.membership.is_joined()
            && self.spread.is_up_to_date()
            && self.rollouts.is_ready(now);
        if ready && self.node_stage() == NodeStage::Joining {
            self.lifecycle = self.lifecycle.take().map(NodeLifecycle::serve);
            self.rollouts.serve(now);
            self.topology_changed = true;
        }
    }

    /// When the next topology is due; `None` if nothing has changed.
    fn next_publish(&self) -> Option<Time> {
        let earliest = self
            .last_published
            .map_or(Time(0), |it| it + MIN_TOPOLOGY_INTERVAL);
        self.topology_changed.then_some(earliest)
    }

    fn publish_if_due(&mut self, now: Time, effects: &mut Vec<Effect>) {
        if self.next_publish().is_none_or(|due| due > now) {
            return;
        }
        self.topology_changed = false;
        self.last_published = Some(now);
        self.generation = self.generation.wrapping_add(1);
        let current = self.spread.history().current();
        self.published_version = current.map_or(Version::NONE, |it| it.snapshot().version());
        let topology = Topology::new(
            self.membership.node_id(),
            self.domain.clone(),
            self.node_stage(),
            current.map(|it| Arc::clone(it.snapshot())),
            self.membership.table(),
            self.generation,
        );
        let report = self.spread.report().clone();
        let topology = topology
            .with_report(report)
            .with_suspects(Arc::new(self.suspects.table().view()))
            .with_rollouts(self.rollouts.view());
        effects.push(Effect::Publish(Arc::new(topology)));
    }

    /// Announces the state of this node's upstream to the other members if it has changed since the
    /// last announcement.
    fn announce_upstream(&mut self, random: &mut dyn Random, out: &mut Outputs) {
        let (stage, upstream) = self.own_upstream.state();
        let known = self.membership.table().get(self.membership.node_id());
        // A node that has left does not change its announcement, because the next process of the node
        // reads the upstream from it.
        let is_announced = |it: &Member| (it.stage, &it.upstream) == (stage, &upstream);
        if known.is_some_and(|it| it.status == Status::Left || is_announced(it)) {
            return;
        }
        self.membership.announce_upstream(stage, upstream);
        self.membership
            .push_gossip(PUSH_FANOUT, random, &mut out.membership);
        self.topology_changed = true;
    }

    /// Adopts the upstream of the earlier process at this node's address, if the member table lists
    /// that upstream as ready. Without this, the node would refuse requests until the upstream
    /// announces itself again.
    fn adopt_upstream(&mut self, now: Time, random: &mut dyn Random, out: &mut Outputs) {
        if !self.own_upstream.is_empty() {
            return;
        }
        let table = self.membership.table();
        let own_id = self.membership.node_id();
        let Some(address) = table.get(own_id).map(|it| it.addresses.peer) else {
            return;
        };
        let members = table.members().iter();
        let earlier = members.filter(|it| it.id != own_id && it.addresses.peer == address);
        let Some(latest) = earlier.max_by_key(|it| it.incarnation) else {
            return;
        };
        let identified = latest.upstream.clone().filter(|it| it.run_id.is_some());
        let identified = identified.filter(|it| Some(&it.service) == self.service.as_ref());
        if let Some(mut upstream) = identified.filter(|_| latest.stage == Stage::Ready) {
            if !self.rollouts.is_enabled() {
                upstream.version = None;
            }
            self.own_upstream.adopt(now, upstream);
            self.announce_upstream(random, out);
        }
    }

    /// Leaves the fleet, because all requests have finished.
    fn leave(&mut self, random: &mut dyn Random, out: &mut Outputs) {
        self.lifecycle = self.lifecycle.take().map(NodeLifecycle::leave);
        // No requests are routed to a member that left, whatever its stage. The stage that the upstream
        // announced is kept in the member's entry, because the next process of this node adopts the
        // upstream if that stage is ready.
        let stage = self.own_upstream.announced_stage();
        self.own_upstream.finish();
        let (_, upstream) = self.own_upstream.state();
        self.membership.announce_upstream(stage, upstream);
        self.membership.leave();
        self.membership
            .push_gossip(PUSH_FANOUT, random, &mut out.membership);
        self.topology_changed = true;
    }

    fn send_rollouts(
        &mut self,
        outbox: Outbox,
        random: &mut dyn Random,
        effects: &mut Vec<Effect>,
    ) {
        self.topology_changed |= outbox.has_changed;
        effects.extend(outbox.calls.into_iter().map(Effect::CallRolloutStore));
        let mut messages = outbox.replies;
        for (fanout, message) in outbox.pushes {
            let receivers = self.membership.random_live_members(fanout, random);
            messages.extend(receivers.into_iter().map(|to| (to, message.clone())));
        }
        for (node, message) in outbox.reports {
            let member = self.membership.table().get(node);
            messages.extend(member.map(|it| (it.addresses.peer, message)));
        }
        let messages = messages.into_iter();
        effects.extend(messages.map(|(to, message)| Effect::SendRollout { to, message }));
    }

    fn handle_input(
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
                self.membership
                    .handle_message(now, from, message, &mut out.membership);
                self.spread
                    .handle_config_id(now, from, config_id, &mut out.spread);
            }
            Input::PullRequested { call_id, have } => {
                let response = self.spread.respond_to_pull(have);
                effects.push(Effect::RespondToPull { call_id, response });
            }
            Input::PullCompleted { from, response } => {
                self.spread
                    .handle_pull_response(now, from, response, random, &mut out.spread);
            }
            Input::SyncRequested { call_id, request } => {
                let response =
                    self.membership
                        .handle_sync_request(now, request, &mut out.membership);
                effects.push(Effect::RespondToSync { call_id, response });
            }
            Input::SyncCompleted { from, response } => {
                let config_id = response.as_ref().map(|it| it.config_id).unwrap_or_default();
                self.spread
                    .handle_config_id(now, from, config_id, &mut out.spread);
                self.membership.handle_sync_response(
                    now,
                    from,
                    response,
                    random,
                    &mut out.membership,
                );
            }
            Input::Store(event) => {
                self.spread
                    .handle_store_event(now, event, random, &mut out.spread)
            }
            Input::StoreAnswered { sent, event } => {
                self.spread
                    .handle_store_event(now, event, random, &mut out.spread);
                let proved = self.freshness.as_mut().zip(self.spread.proved_version());
                if let Some((freshness, version)) = proved {
                    freshness.record_store_answer(now, sent, version, &mut out.freshness);
                }
            }
            Input::Freshness {
                from,
                received,
                message,
            } => {
                if let Some(freshness) = &mut self.freshness {
                    let origin = (from, received);
                    freshness.handle_message(now, origin, message, random, &mut out.freshness);
                }
            }
            Input::Contacts(event) => {
                let view = (self.membership.table(), &self.domain);
                self.spread
                    .handle_contacts_event(now, event, view, random, &mut out.spread);
            }
            Input::UpstreamAnnounced {
                stage,
                mut upstream,
                order,
            } => {
                if !self.rollouts.is_enabled() {
                    upstream.version = None;
                }
                self.own_upstream
                    .handle_announcement(now, stage, upstream, order);
                self.announce_upstream(random, out);
            }
            Input::UpstreamDeparted { run_id, order } => {
                self.own_upstream.handle_departure(now, &run_id, order);
                self.announce_upstream(random, out);
            }
            Input::UpstreamLeaving { run_id } => {
                self.own_upstream.handle_leaving(now, run_id);
                self.announce_upstream(random, out);
            }
            Input::RequestCrashed { fingerprint, crash } => {
                self.topology_changed |= self.suspects.record_crash(now, fingerprint, crash);
            }
            Input::RequestCompleted { fingerprint } => {
                self.topology_changed |= self.suspects.record_completion(now, fingerprint);
            }
            Input::CrashReports { from, reports } => {
                let (has_news, replies) = self.suspects.merge(now, reports);
                self.topology_changed |= has_news;
                if !replies.is_empty() {
                    effects.push(Effect::SendCrashReports {
                        to: from,
                        reports: replies,
                    });
                }
            }
            Input::Rollout { from, message } => {
                let outbox = self.rollouts.handle(now, from, message);
                self.send_rollouts(outbox, random, effects);
            }
            Input::RolloutStore { unix_ms, event } => {
                self.rollouts.handle_store_event(now, unix_ms, event);
            }
            Input::RolloutOutcomes {
                service,
                order,
                tallies,
            } => self.rollouts.record_tallies(&service, order, tallies),
            Input::Drain => {
                self.lifecycle = self.lifecycle.take().map(NodeLifecycle::leave);
                self.own_upstream.drain();
                self.announce_upstream(random, out);
                self.topology_changed = true;
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
        self.handle_input(now, input, &mut out, random, effects);
        self.process_outputs(now, out, random, effects);
    }

    fn wake(&mut self, now: Time, random: &mut dyn Random, effects: &mut Vec<Effect>) {
        let mut out = Outputs::default();
        // The upstream could not renew its lease while this process was paused.
        if self
            .next_wake()
            .is_some_and(|due| now.since(due) >= PAUSE_THRESHOLD)
        {
            self.own_upstream.renew_lease(now);
        }
        self.own_upstream.expire(now);
        self.announce_upstream(random, &mut out);
        self.membership.wake(now, random, &mut out.membership);
        self.spread.wake(now, random, &mut out.spread);
        if let Some(freshness) = &mut self.freshness {
            let table = self.membership.table();
            freshness.wake(now, table, random, &mut out.freshness);
        }
        for push in self.suspects.wake(now) {
            let receivers = self.membership.random_live_members(push.fanout, random);
            effects.extend(receivers.into_iter().map(|to| Effect::SendCrashReports {
                to,
                reports: push.reports.clone(),
            }));
        }
        let outbox = self.rollouts.wake(now);
        self.send_rollouts(outbox, random, effects);
        self.process_outputs(now, out, random, effects);
    }

    fn next_wake(&self) -> Option<Time> {
        let membership = Some(self.membership.next_wake());
        membership
            .into_iter()
            .chain(self.spread.next_wake())
            .chain(self.own_upstream.next_wake())
            .chain(self.suspects.next_wake())
            .chain(self.freshness.as_ref().and_then(Freshness::next_wake))
            .chain(self.rollouts.next_wake())
            .chain(self.next_publish())
            .min()
    }
}
