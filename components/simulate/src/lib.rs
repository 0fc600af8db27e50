//! One entry and three owners with fake upstreams, driven by one queue of events.
//!
//! The same seed gives the same events and effects. Faults hit the messages between the machines and
//! the owners' processes; [`check`] reads the record of what ran and what was said.

pub mod check;
mod deliver;
pub mod flood;
pub mod message;
mod node;
pub mod plan;
mod shell;
mod sorted;

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::hash::Hash;
use std::hash::Hasher;
use std::sync::Arc;
use std::time::Duration;

use check::History;
use message::Kind;
use message::Message;
use node::Node;
use plan::Fault;
use plan::Plan;
use shell::Shell;

use config::Snapshot;
use control::NodeStage;
use control::Topology;
use ids::Domain;
use ids::Incarnation;
use ids::NodeId;
use ids::Version;
use kernel::Random;
use kernel::Time;
use kernel::plugin::Params;
use kernel::random::SeededRandom;
use member::ListenAddresses;
use member::Member;
use member::MemberTable;
use member::Status;
use member::Upstream;
use traffic::entry;

use admit as _;
use balance as _;
use health as _;
use retry as _;

pub(crate) const OWNERS: usize = 3;
/// Time that gossip takes to bring a changed owner to the entry.
const GOSSIP: Duration = Duration::from_secs(1);
/// Time until an unanswered query or fetch counts as failed.
const QUERY_LIMIT: Duration = Duration::from_millis(500);

/// What happens next.
#[derive(Clone, Debug)]
pub(crate) enum Event {
    Arrive(usize),
    Deliver(Message),
    /// Nothing has come for the silence bound.
    Silence(usize, u32),
    /// A query or fetch found no answer.
    Unanswered(Kind, usize, u32),
    Deadline(usize),
    CallerLeaves(usize),
    UpstreamDone(NodeId, u64),
    OwnerWake(usize),
    Resume(usize),
    OwnerFault(usize, Fault),
    Publish,
}

/// The world of one run.
pub struct World {
    pub(crate) now: Time,
    pub(crate) plan: Plan,
    pub history: History,
    /// Hash over all effects.
    pub trace: u64,
    random: SeededRandom,
    events: BinaryHeap<Reverse<(Time, u64, usize)>>,
    bodies: Vec<Option<Event>>,
    entry: entry::Machine,
    entry_random: SeededRandom,
    nodes: Vec<Node>,
    shells: Vec<Shell>,
    topology: Arc<Topology>,
    snapshot: Arc<Snapshot>,
    generation: u32,
    seq: u64,
}

fn build<T: ?Sized>(kind: &'static str, plugins: &[kernel::Plugin<T>], name: &str) -> Box<T> {
    kernel::plugin::build(kind, plugins, name, &Params::default()).expect("the plug-in is linked")
}

impl World {
    pub fn new(plan: Plan) -> Self {
        let compiled = config::compile(&plan.text, Version(1)).expect("the text is valid");
        let snapshot = Arc::new(compiled);
        let entry = entry::Machine::new(
            build("balance", &policy::BALANCE_PLUGINS, "p2c"),
            build("retry", &policy::RETRY_PLUGINS, "budget"),
            build("health", &policy::HEALTH_PLUGINS, "outcomes"),
        );
        let nodes: Vec<_> = (0..OWNERS)
            .map(|at| Node::new(at, 0, &plan, Time(0)))
            .collect();
        let mut world = Self {
            now: Time(0),
            history: History::default(),
            trace: 0,
            random: SeededRandom::new(plan.seed),
            entry_random: SeededRandom::new(plan.seed + 1),
            events: BinaryHeap::new(),
            bodies: Vec::new(),
            entry,
            nodes,
            shells: Vec::new(),
            topology: Arc::new(Topology::new(
                NodeId(99),
                Domain::new("a"),
                NodeStage::Serving,
                Some(Arc::clone(&snapshot)),
                &MemberTable::default(),
                0,
            )),
            snapshot,
            generation: 0,
            seq: 0,
            plan,
        };
        world.publish();
        for at in 0..world.plan.arrivals.len() {
            world.schedule_at(world.plan.arrivals[at].at, Event::Arrive(at));
        }
        for at in 0..world.plan.owner_faults.len() {
            let (time, owner, fault) = world.plan.owner_faults[at].clone();
            world.schedule_at(time, Event::OwnerFault(owner, fault));
        }
        world
    }

    /// Runs until nothing is left to happen.
    pub fn run(mut self) -> Self {
        while let Some(Reverse((time, _, at))) = self.events.pop() {
            let Some(event) = self.bodies[at].take() else {
                continue;
            };
            self.now = time;
            self.handle(event);
        }
        self
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(at) => self.arrive(at),
            Event::Deliver(message) => self.deliver(message),
            Event::Silence(shell, attempt) => self.silence(shell, attempt),
            Event::Unanswered(kind, shell, attempt) => self.unanswered(kind, shell, attempt),
            Event::Deadline(shell) => self.deadline(shell),
            Event::CallerLeaves(shell) => self.caller_leaves(shell),
            Event::UpstreamDone(node, tag) => self.upstream_done(node, tag),
            Event::OwnerWake(at) => self.wake_owner(at),
            Event::Resume(at) => self.resume(at),
            Event::OwnerFault(at, fault) => self.break_owner(at, &fault),
            Event::Publish => self.publish(),
        }
    }

    pub(crate) fn schedule(&mut self, after: Duration, event: Event) {
        self.schedule_at(self.now + after, event);
    }

    fn schedule_at(&mut self, at: Time, event: Event) {
        self.seq += 1;
        self.bodies.push(Some(event));
        self.events
            .push(Reverse((at, self.seq, self.bodies.len() - 1)));
    }

    /// Sends a message over the network of the run.
    fn send(&mut self, message: Message) {
        self.send_after(Duration::ZERO, message);
    }

    fn send_after(&mut self, wait: Duration, message: Message) {
        let kind = message.kind();
        let mut copies = 1;
        let mut late = Duration::ZERO;
        if self.plan.hits(&mut self.random, kind, &Fault::Lost) {
            copies = 0;
        }
        if self.plan.hits(&mut self.random, kind, &Fault::Duplicate) {
            copies += 1;
        }
        for copy in 0..copies {
            if self.plan.hits(&mut self.random, kind, &Fault::Late) {
                late = Duration::from_micros(self.random.below(3_000_000) as u64);
            } else if copy > 0 || self.plan.hits(&mut self.random, kind, &Fault::Crossed) {
                late = Duration::from_micros(self.random.below(20_000) as u64);
            }
            let latency = Duration::from_micros(500 + self.random.below(100) as u64);
            self.schedule(wait + latency + late, Event::Deliver(message.clone()));
        }
    }

    fn publish(&mut self) {
        let mut table = MemberTable::default();
        for node in &self.nodes {
            table.merge(Member {
                id: node.id,
                addresses: ListenAddresses {
                    peer: node.address,
                    requests: node.address,
                    admin: node.address,
                },
                domain: Domain::new(["a", "b", "c"][node.at % 3]),
                incarnation: Incarnation(1),
                status: Status::Alive,
                stage: node.stage,
                upstream: Some(Upstream {
                    service: Arc::from("stock"),
                    run_id: None,
                    slots: self.plan.slots,
                    max_connections: 100,
                }),
            });
        }
        self.generation += 1;
        self.topology = Arc::new(Topology::new(
            NodeId(99),
            Domain::new("a"),
            NodeStage::Serving,
            Some(Arc::clone(&self.snapshot)),
            &table,
            self.generation,
        ));
    }

    fn note(&mut self, effect: &impl std::fmt::Debug) {
        let mut hasher = std::hash::DefaultHasher::new();
        (self.trace, self.now.0, format!("{effect:?}")).hash(&mut hasher);
        self.trace = hasher.finish();
    }
}
