//! A fleet with entries, upstreams of two versions and a store, in simulated time.

pub(crate) mod store;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use ids::NodeId;
use ids::RouteId;
use ids::ServiceId;

use kernel::Random as _;
use kernel::Time;
use kernel::random::SeededRandom;
use rollout::Limits;
use rollout::Message;
use rollout::Node;
use rollout::Outbox;
use rollout::Outcome;
use rollout::Outcomes;
use rollout::Phase;
use rollout::ReadyCount;
use rollout::Revision;
use rollout::Role;
use rollout::Shares;
use rollout::StoreCall;
use rollout::StoreEvent;
use rollout::choose_canaries;
use store::Store;

const STEP: Duration = Duration::from_millis(10);
const SERVICE: ServiceId = ServiceId(1);
/// Longest deadline of a request.
const DEADLINE: Duration = Duration::from_millis(1_000);
/// First node with an upstream of the new version.
pub(crate) const FIRST_NEW: u64 = 1_000;

/// Behaviour of the new version or of the surroundings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Behaviour {
    Good,
    /// Half of the requests fail, from this time after the order on.
    Fails(u64),
    /// Answers take 8 times as long, from this time after the order on.
    Slow(u64),
    /// Half of the requests of one route in ten fail.
    OneRoute,
    /// Slow where an endpoint bears at least 0.9 of the load of an established one.
    UnderLoad,
    /// One endpoint on trial is slow; the version is good.
    BadNeighbour,
    /// Both versions are slow and fail at times.
    Overload,
    /// New endpoints are at half their speed for 3 s from the order on.
    ColdStart,
}

/// One node and its entry.
pub(crate) struct SimNode {
    id: NodeId,
    node: Node,
    shares: Shares,
    outcomes: Outcomes,
    is_alive: bool,
    /// Time until which the node hears and does nothing.
    frozen_until: Time,
}

enum Event {
    Message(usize, usize, Message),
    Call(usize, StoreCall),
    Answer(usize, StoreEvent),
}

pub(crate) struct Fleet {
    pub(crate) now: Time,
    pub(crate) nodes: Vec<SimNode>,
    pub(crate) store: Store,
    pub(crate) load: Behaviour,
    pub(crate) old: u64,
    pub(crate) new: u64,
    /// Percentage of the messages that are lost.
    pub(crate) loss: usize,
    /// Whether the store fails all calls.
    pub(crate) is_store_down: bool,
    /// Whether writes take effect without an answer.
    pub(crate) loses_answers: bool,
    pub(crate) store_delay: Duration,
    pub(crate) order_at: Time,
    /// Requests since the order, those at the new version, and the bad ones of these.
    pub(crate) requests: u64,
    pub(crate) exposed: u64,
    pub(crate) bad: u64,
    /// When the 50th bad answer came, and the last request that was sent to the new version.
    pub(crate) bad_50_at: Option<Time>,
    pub(crate) last_exposed: Time,
    /// Requests at the established version that were sent after the status `succeeded`.
    pub(crate) late_old: u64,
    random: SeededRandom,
    events: Vec<(Time, Event)>,
    due: f64,
    watching: Vec<(Time, usize, StoreCall)>,
    rate: f64,
}

fn limits() -> Limits {
    Limits {
        share: 0.1,
        slack: 50.0,
        stop: Duration::from_secs(5),
    }
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1_000 + index as u16))
}

impl Fleet {
    /// A fleet whose nodes know the established version.
    pub(crate) fn new(size: usize, old: u64, new: u64, load: Behaviour, seed: u64) -> Self {
        let mut fleet = Self {
            now: Time(0),
            nodes: Vec::new(),
            store: Store::default(),
            load,
            old,
            new: 0,
            loss: 0,
            is_store_down: false,
            loses_answers: false,
            store_delay: Duration::from_millis(4),
            order_at: Time(u64::MAX),
            requests: 0,
            exposed: 0,
            bad: 0,
            bad_50_at: None,
            last_exposed: Time(0),
            late_old: 0,
            random: SeededRandom::new(seed),
            events: Vec::new(),
            due: 0.0,
            watching: Vec::new(),
            rate: 1_300.0,
        };
        for _ in 0..size {
            fleet.start_node();
        }
        fleet.set_roles();
        fleet.run(Duration::from_secs(8));
        fleet.new = new;
        fleet.observe();
        fleet.run(Duration::from_secs(1));
        fleet
    }

    pub(crate) fn start_node(&mut self) {
        let id = NodeId(1 + self.nodes.len() as u64);
        let mut node = Node::new(id);
        node.set_limits(self.now, Some(limits()));
        node.join(self.now, self.nodes.len() > 1);
        self.nodes.push(SimNode {
            id,
            node,
            shares: Shares::default(),
            outcomes: Outcomes::default(),
            is_alive: true,
            frozen_until: Time(0),
        });
        let counts = self.counts();
        let index = self.nodes.len() - 1;
        self.nodes[index].node.observe(self.now, &counts);
    }

    /// Gives the first two live nodes the parts of coordinator and stand-by.
    pub(crate) fn set_roles(&mut self) {
        let now = self.now;
        let live: Vec<usize> = self.live();
        for (position, index) in live.into_iter().enumerate() {
            let role = match position {
                0 => Role::Coordinator,
                1 => Role::StandBy,
                _ => Role::None,
            };
            self.set_role(now, index, role);
        }
    }

    pub(crate) fn set_role(&mut self, now: Time, index: usize, role: Role) {
        let services = [Arc::from("desk")];
        let node = &mut self.nodes[index].node;
        node.configure(now, role, &services, DEADLINE);
    }

    /// Ends a node. The others learn of it with [`Self::set_roles`].
    pub(crate) fn kill(&mut self, index: usize) {
        self.nodes[index].is_alive = false;
    }

    pub(crate) fn freeze(&mut self, index: usize, time: Duration) {
        self.nodes[index].frozen_until = self.now + time;
    }

    pub(crate) fn order(&mut self, target: &str, duration_ms: u64) {
        self.store.put_order(target, duration_ms);
        self.order_at = self.now;
        (self.requests, self.exposed, self.bad) = (0, 0, 0);
        self.bad_50_at = None;
    }

    pub(crate) fn set_endpoints(&mut self, old: u64, new: u64) {
        (self.old, self.new) = (old, new);
        self.observe();
    }

    fn counts(&self) -> Vec<ReadyCount> {
        let count = |version: &str, endpoints: u64| ReadyCount {
            service: Arc::from("desk"),
            version: Arc::from(version),
            endpoints: endpoints as u32,
        };
        let counts = [count("v1", self.old), count("v2", self.new)];
        counts.into_iter().filter(|it| it.endpoints > 0).collect()
    }

    fn observe(&mut self) {
        let counts = self.counts();
        for node in &mut self.nodes {
            node.node.observe(self.now, &counts);
        }
    }

    pub(crate) fn live(&self) -> Vec<usize> {
        let all = 0..self.nodes.len();
        all.filter(|index| self.nodes[*index].is_alive).collect()
    }

    pub(crate) fn established(&self, index: usize) -> Option<Arc<str>> {
        let view = self.nodes[index].node.view();
        view.find("desk").and_then(|it| it.established.clone())
    }

    /// Whether any node routes by a promotion, or the target is established.
    pub(crate) fn is_promoted(&self) -> bool {
        let serving = self.nodes.iter().filter(|it| it.node.is_serving());
        let views = serving.map(|it| it.node.view());
        views
            .filter_map(|view| view.find("desk").map(|it| it.is_open(Some("v2"))))
            .any(|it| it)
    }

    /// Milliseconds since the order.
    pub(crate) fn elapsed_ms(&self) -> u64 {
        self.now.since(self.order_at).as_millis() as u64
    }

    pub(crate) fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    /// Runs until an order for `target` has a verdict in its status, for at most this time.
    pub(crate) fn run_to_verdict(&mut self, target: &str, time: Duration) -> Option<Phase> {
        let end = self.now + time;
        while self.now < end {
            self.step();
            let phase = self.store.phase(target);
            if phase.is_some_and(Phase::is_verdict) {
                return phase;
            }
        }
        None
    }

    pub(crate) fn step(&mut self) {
        self.now = self.now + STEP;
        let now = self.now;
        let is_due = |it: &(Time, Event)| it.0 <= now;
        let mut due: Vec<_> = self.events.extract_if(.., |it| is_due(it)).collect();
        due.sort_by_key(|it| it.0);
        for (_, event) in due {
            self.handle(event);
        }
        let store = &self.store;
        let ended = self.watching.extract_if(.., |(until, _, call)| {
            let changed =
                matches!(call, StoreCall::WatchOrders { after } if store.has_change(*after));
            *until <= now || changed
        });
        for (_, index, call) in ended.collect::<Vec<_>>() {
            self.answer(index, &call);
        }
        for index in self.live() {
            if self.nodes[index].frozen_until <= now {
                self.wake(index);
            }
        }
        self.due += self.rate * STEP.as_secs_f64();
        while self.due >= 1.0 {
            self.due -= 1.0;
            self.request();
        }
    }

    fn wake(&mut self, index: usize) {
        let now = self.now;
        let live: Vec<NodeId> = self.live().iter().map(|it| self.nodes[*it].id).collect();
        let node = &mut self.nodes[index].node;
        if !node.is_serving() && node.is_ready(now) {
            node.serve(now);
            let counts = self.counts();
            self.nodes[index].node.observe(now, &counts);
        }
        let node = &mut self.nodes[index].node;
        if node.next_wake().is_some_and(|due| due <= now) {
            let out = node.wake(now);
            self.send(index, out);
        }
        if self.nodes[index].node.is_coordination_due(now) {
            let out = self.nodes[index].node.coordinate(now, &live);
            self.send(index, out);
        }
    }

    fn send(&mut self, from: usize, out: Outbox) {
        let mut messages: Vec<(usize, Message)> = Vec::new();
        for (to, message) in out.replies {
            messages.push((usize::from(to.port()) - 1_000, message));
        }
        for (fanout, message) in out.pushes {
            let mut others = self.live();
            others.retain(|it| *it != from);
            for _ in 0..fanout.min(others.len()) {
                let chosen = self.random.below(others.len());
                messages.push((others.swap_remove(chosen), message.clone()));
            }
        }
        for (node, message) in out.reports {
            let found = self.nodes.iter().position(|it| it.id == node);
            messages.extend(found.map(|to| (to, message)));
        }
        for (to, message) in messages {
            if self.random.below(100) >= self.loss {
                let delay = Duration::from_millis(2 + self.random.below(9) as u64);
                let event = Event::Message(from, to, message);
                self.events.push((self.now + delay, event));
            }
        }
        for call in out.calls {
            let at = self.now + self.store_delay;
            self.events.push((at, Event::Call(from, call)));
        }
    }

    fn handle(&mut self, event: Event) {
        let now = self.now;
        match event {
            Event::Message(from, to, message) => {
                let node = &mut self.nodes[to];
                if node.is_alive && node.frozen_until <= now {
                    let out = node.node.handle(now, address(from), message);
                    self.send(to, out);
                }
            }
            Event::Call(index, call) => {
                let is_watch = matches!(call, StoreCall::WatchOrders { .. });
                if is_watch && !self.is_store_down {
                    let until = now + Duration::from_secs(2);
                    self.watching.push((until, index, call));
                } else {
                    self.answer(index, &call);
                }
            }
            Event::Answer(index, event) => {
                let unix_ms = 1_000_000 + now.0 / 1_000;
                if self.nodes[index].is_alive {
                    let node = &mut self.nodes[index].node;
                    node.handle_store_event(now, unix_ms, event);
                }
            }
        }
    }

    fn answer(&mut self, index: usize, call: &StoreCall) {
        let event = if self.is_store_down {
            store::failure(call)
        } else {
            let event = self.store.execute(call);
            if self.loses_answers && self.random.below(2) == 0 {
                store::failure(call)
            } else {
                event
            }
        };
        let at = self.now + self.store_delay;
        self.events.push((at, Event::Answer(index, event)));
    }

    /// One request at a random entry.
    fn request(&mut self) {
        let live = self.live();
        let index = live[self.random.below(live.len())];
        let now = self.now;
        let node = &mut self.nodes[index];
        if !node.node.is_serving() {
            return;
        }
        let view = node.node.view();
        let Some(desk) = view.find("desk") else {
            return;
        };
        let route = RouteId(1 + u64::from(self.random.below(10) == 0));
        let trial = desk.open_trial().cloned();
        let canary = desk.canary().filter(|it| {
            let permille = view.canary_permille();
            it.fresh_until > now && node.shares.allows(SERVICE, it.order, permille)
        });
        let mut canaries = Vec::new();
        if let Some(trial) = canary.filter(|_| self.new > 0 && self.old > 0) {
            let nodes = (0..self.new).map(|it| NodeId(FIRST_NEW + it)).collect();
            let established = self.old as usize;
            canaries = choose_canaries(trial.order, nodes, established, view.canary_permille());
            node.shares.record_sent(SERVICE, trial.order);
        }
        let (is_new, endpoint, count) = if canaries.is_empty() {
            let (old, new) = (desk.is_open(Some("v1")), desk.is_open(Some("v2")));
            let is_new = self.old == 0 || (self.new > 0 && (new || !old));
            let count = if is_new { self.new } else { self.old };
            let first = if is_new { FIRST_NEW } else { 0 };
            let endpoint = first + self.random.below(count as usize) as u64;
            (is_new, endpoint, self.old + self.new)
        } else {
            let chosen = canaries[self.random.below(canaries.len())];
            (true, chosen.0, canaries.len() as u64)
        };
        self.serve(
            index,
            route,
            is_new,
            endpoint,
            count,
            trial.map(|it| it.order),
        );
    }

    fn serve(
        &mut self,
        index: usize,
        route: RouteId,
        is_new: bool,
        endpoint: u64,
        canaries: u64,
        order: Option<Revision>,
    ) {
        let now = self.now;
        let (failed, factor) = self.behave(route, is_new, endpoint, canaries);
        let work = 20 + self.random.below(115) as u64;
        let duration = Duration::from_millis((work as f64 * factor) as u64);
        self.requests += 1;
        if is_new {
            self.exposed += 1;
            self.last_exposed = now;
            self.bad += u64::from(failed || factor >= 8.0);
            if self.bad >= 50 {
                self.bad_50_at.get_or_insert(now);
            }
        }
        let is_succeeded = self.store.phase("v2") == Some(Phase::Succeeded);
        self.late_old += u64::from(is_succeeded && !is_new);
        let Some(order) = order else {
            return;
        };
        let node = &mut self.nodes[index];
        if !is_new {
            node.shares.record_answer(SERVICE, order);
        }
        let outcome = Outcome {
            route,
            canary: is_new.then_some(NodeId(endpoint)),
            failed,
            overdue: duration > DEADLINE,
            duration,
            objective: Some(Duration::from_millis(250)),
        };
        node.outcomes.record(SERVICE, order, outcome);
        let tallies = node.outcomes.tallies(SERVICE, order).to_vec();
        node.node.record_tallies(&Arc::from("desk"), order, tallies);
    }

    /// Whether the request fails, and how many times as long as usual it takes.
    fn behave(
        &mut self,
        route: RouteId,
        is_new: bool,
        endpoint: u64,
        canaries: u64,
    ) -> (bool, f64) {
        let since_ms = self.now.since(self.order_at).as_millis() as u64;
        let half = self.random.below(2) == 0;
        let usual_failure = self.random.below(200) == 0;
        let usual = (usual_failure, 1.0);
        match self.load {
            Behaviour::Overload => (self.random.below(100) < 20, 4.0),
            _ if !is_new => usual,
            Behaviour::Good => usual,
            Behaviour::Fails(from) if since_ms >= from => (half, 1.0),
            Behaviour::Slow(from) if since_ms >= from => (usual_failure, 8.0),
            Behaviour::Fails(_) | Behaviour::Slow(_) => usual,
            Behaviour::OneRoute => (half && route == RouteId(2), 1.0),
            Behaviour::UnderLoad => {
                let load = 0.07 * self.old as f64 / canaries as f64;
                (usual_failure, if load >= 0.9 { 8.0 } else { 1.0 })
            }
            Behaviour::BadNeighbour => {
                let order = self.store.order.as_ref().map(|it| it.revision);
                let nodes = (0..self.new).map(|it| NodeId(FIRST_NEW + it)).collect();
                let canaries = choose_canaries(order.unwrap_or_default(), nodes, 1, 0);
                let is_near = NodeId(endpoint) == canaries[0];
                (usual_failure, if is_near { 9.0 } else { 1.0 })
            }
            Behaviour::ColdStart => (usual_failure, if since_ms < 3_000 { 2.0 } else { 1.0 }),
        }
    }
}
