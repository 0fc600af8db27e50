//! Deterministic simulation of the request path: one entry and three owners with fake upstreams,
//! driven by one event queue.
//!
//! The same plan and seed give the same events and effects. Faults affect the messages between the
//! entry and the owners, and the processes of the owners. [`history`] records which requests ran
//! and what was reported of them, and checks the guarantees on that record.

mod deliver;
mod entry_call;
pub mod history;
pub mod message;
mod node;
pub mod overload;
pub mod plan;
mod sorted_map;

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::hash::Hash;
use std::hash::Hasher;
use std::sync::Arc;
use std::time::Duration;

use entry_call::EntryCall;
use history::History;
use message::Message;
use message::MessageKind;
use node::OwnerNode;
use plan::Fault;
use plan::Plan;

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

/// Number of owners.
pub(crate) const OWNER_COUNT: usize = 3;
/// Time that a change of an owner takes to reach the entry by gossip.
const GOSSIP_DELAY: Duration = Duration::from_secs(1);
/// Time after which an outcome query or a fetch without a reply fails.
const CONTROL_CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// An event of the simulation.
#[derive(Clone, Debug)]
pub(crate) enum Event {
    /// The arrival with this index in the plan reaches the entry.
    CallArrival(usize),
    /// A message reaches its destination.
    Delivery(Message),
    /// Nothing has been received for an attempt within the silence timeout: index of the call,
    /// number of the attempt.
    SilenceTimeout(usize, u32),
    /// An outcome query or a fetch has had no reply in time: kind of the message, index of the
    /// call, number of the attempt.
    ControlCallTimeout(MessageKind, usize, u32),
    /// The deadline of the call with this index passes.
    Deadline(usize),
    /// The caller of the call with this index disconnects.
    CallerDisconnect(usize),
    /// The upstream of this node ends the request with this tag.
    UpstreamCompletion(NodeId, u64),
    /// A timer of the owner with this index is due.
    OwnerWake(usize),
    /// The paused owner with this index continues.
    OwnerResume(usize),
    /// A fault affects the owner with this index.
    OwnerFault(usize, Fault),
    /// Gossip brings the current state of the owners to the entry.
    TopologyUpdate,
}

/// State of a simulation.
pub struct Simulation {
    /// Time of the event that is being handled.
    pub(crate) now: Time,
    pub(crate) plan: Plan,
    /// What has happened so far.
    pub history: History,
    /// Hash over all effects of the state machines and their times.
    pub trace_hash: u64,
    /// Random numbers for disconnecting callers, network latencies and message faults. The entry
    /// and the owners have generators of their own.
    random: SeededRandom,
    /// Time, sequence number and index in `events` of each event that is due.
    queue: BinaryHeap<Reverse<(Time, u64, usize)>>,
    /// All events that were scheduled; `None` after an event has been handled.
    events: Vec<Option<Event>>,
    /// State machine of the entry.
    entry: entry::Machine,
    entry_random: SeededRandom,
    /// Current process of each owner, by the owner's index.
    owners: Vec<OwnerNode>,
    /// State of each call at the entry, in the order of arrival.
    entry_calls: Vec<EntryCall>,
    /// Topology that the entry uses at present.
    topology: Arc<Topology>,
    snapshot: Arc<Snapshot>,
    topology_generation: u32,
    /// Sequence number of the latest event; orders events that are due at the same time.
    sequence: u64,
}

/// Builds a plug-in with default params.
fn build_plugin<T: ?Sized>(
    kind: &'static str,
    plugins: &[kernel::Plugin<T>],
    name: &str,
) -> Box<T> {
    kernel::plugin::build(kind, plugins, name, &Params::default()).expect("the plug-in is linked")
}

impl Simulation {
    /// Prepares the simulation of a plan.
    pub fn new(plan: Plan) -> Self {
        let compiled = config::compile(&plan.config_text, Version(1)).expect("the text is valid");
        let snapshot = Arc::new(compiled);
        let entry = entry::Machine::new(
            build_plugin("balance", &policy::BALANCE_PLUGINS, "p2c"),
            build_plugin("retry", &policy::RETRY_PLUGINS, "budget"),
            build_plugin("health", &policy::HEALTH_PLUGINS, "outcomes"),
        );
        let owners: Vec<_> = (0..OWNER_COUNT)
            .map(|index| OwnerNode::new(index, 0, &plan, Time(0)))
            .collect();
        let mut simulation = Self {
            now: Time(0),
            history: History::default(),
            trace_hash: 0,
            random: SeededRandom::new(plan.seed),
            entry_random: SeededRandom::new(plan.seed + 1),
            queue: BinaryHeap::new(),
            events: Vec::new(),
            entry,
            owners,
            entry_calls: Vec::new(),
            topology: Arc::new(Topology::new(
                NodeId(99),
                Domain::new("a"),
                NodeStage::Serving,
                Some(Arc::clone(&snapshot)),
                &MemberTable::default(),
                0,
            )),
            snapshot,
            topology_generation: 0,
            sequence: 0,
            plan,
        };
        simulation.update_topology();
        for index in 0..simulation.plan.arrivals.len() {
            simulation.schedule_at(
                simulation.plan.arrivals[index].at,
                Event::CallArrival(index),
            );
        }
        for index in 0..simulation.plan.owner_faults.len() {
            let (time, owner, fault) = simulation.plan.owner_faults[index].clone();
            simulation.schedule_at(time, Event::OwnerFault(owner, fault));
        }
        simulation
    }

    /// Handles events until none is left.
    pub fn run(mut self) -> Self {
        while let Some(Reverse((time, _, index))) = self.queue.pop() {
            let Some(event) = self.events[index].take() else {
                continue;
            };
            self.now = time;
            self.handle(event);
        }
        self
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::CallArrival(index) => self.handle_call_arrival(index),
            Event::Delivery(message) => self.deliver(message),
            Event::SilenceTimeout(call_index, attempt) => {
                self.handle_silence_timeout(call_index, attempt)
            }
            Event::ControlCallTimeout(kind, call_index, attempt) => {
                self.handle_control_call_timeout(kind, call_index, attempt)
            }
            Event::Deadline(call_index) => self.handle_deadline(call_index),
            Event::CallerDisconnect(call_index) => self.handle_caller_disconnect(call_index),
            Event::UpstreamCompletion(node, tag) => self.handle_upstream_completion(node, tag),
            Event::OwnerWake(owner) => self.wake_owner(owner),
            Event::OwnerResume(owner) => self.resume_owner(owner),
            Event::OwnerFault(owner, fault) => self.inject_owner_fault(owner, &fault),
            Event::TopologyUpdate => self.update_topology(),
        }
    }

    /// Schedules an event after a delay from now.
    pub(crate) fn schedule(&mut self, delay: Duration, event: Event) {
        self.schedule_at(self.now + delay, event);
    }

    fn schedule_at(&mut self, at: Time, event: Event) {
        self.sequence += 1;
        self.events.push(Some(event));
        self.queue
            .push(Reverse((at, self.sequence, self.events.len() - 1)));
    }

    /// Sends a message over the simulated network, which may lose, duplicate or delay it.
    fn send(&mut self, message: Message) {
        self.send_after(Duration::ZERO, message);
    }

    /// Sends a message after a delay and applies the message faults of the plan to it.
    fn send_after(&mut self, delay: Duration, message: Message) {
        let kind = message.kind();
        let mut copies = 1;
        let mut extra_latency = Duration::ZERO;
        if self.plan.fault_occurs(&mut self.random, kind, &Fault::Lost) {
            copies = 0;
        }
        if self
            .plan
            .fault_occurs(&mut self.random, kind, &Fault::Duplicated)
        {
            copies += 1;
        }
        for copy in 0..copies {
            if self
                .plan
                .fault_occurs(&mut self.random, kind, &Fault::Delayed)
            {
                extra_latency = Duration::from_micros(self.random.below(3_000_000) as u64);
            } else if copy > 0
                || self
                    .plan
                    .fault_occurs(&mut self.random, kind, &Fault::Reordered)
            {
                extra_latency = Duration::from_micros(self.random.below(20_000) as u64);
            }
            let latency = Duration::from_micros(500 + self.random.below(100) as u64);
            self.schedule(
                delay + latency + extra_latency,
                Event::Delivery(message.clone()),
            );
        }
    }

    /// Replaces the entry's topology by one with the current state of the owners.
    fn update_topology(&mut self) {
        let mut table = MemberTable::default();
        for node in &self.owners {
            table.merge(Member {
                id: node.id,
                addresses: ListenAddresses {
                    peer: node.address,
                    requests: node.address,
                    admin: node.address,
                },
                domain: Domain::new(["a", "b", "c"][node.index % 3]),
                incarnation: Incarnation(1),
                status: Status::Alive,
                stage: node.stage,
                upstream: Some(Upstream {
                    service: Arc::from("stock"),
                    run_id: None,
                    version: None,
                    slots: self.plan.slots,
                    max_connections: 100,
                }),
            });
        }
        self.topology_generation += 1;
        self.topology = Arc::new(Topology::new(
            NodeId(99),
            Domain::new("a"),
            NodeStage::Serving,
            Some(Arc::clone(&self.snapshot)),
            &table,
            self.topology_generation,
        ));
    }

    /// Adds an effect and its time to the hash over all effects.
    fn update_trace_hash(&mut self, effect: &impl std::fmt::Debug) {
        let mut hasher = std::hash::DefaultHasher::new();
        (self.trace_hash, self.now.0, format!("{effect:?}")).hash(&mut hasher);
        self.trace_hash = hasher.finish();
    }
}
