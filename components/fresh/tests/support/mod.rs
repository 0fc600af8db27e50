//! A simulated fleet whose nodes get proofs from a store and from each other.

// Each test binary uses only some of these helpers.
#![allow(dead_code)]

use std::net::SocketAddr;
use std::time::Duration;

use fresh::Machine;
use fresh::Message;
use fresh::Output;
use fresh::Sources;
use fresh::WATCH_TIME;
use ids::Domain;
use ids::Incarnation;
use ids::NodeId;
use ids::Version;
use kernel::Random;
use kernel::Time;
use kernel::random::SeededRandom;
use member::ListenAddresses;
use member::Member;
use member::MemberTable;
use member::Stage;
use member::Status;

pub(crate) const LIMIT: Duration = Duration::from_secs(5);
/// Start of the simulation; before it lies the time in which a proof may have been made.
pub(crate) const START: Time = Time(3_600_000_000);
/// Nodes fail over to their store calls after this time.
const RETRY: Duration = Duration::from_millis(500);

/// What can happen to messages, in percent and as the longest delay.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Network {
    pub(crate) loss: usize,
    pub(crate) repetition: usize,
    pub(crate) delay: Duration,
}

enum Event {
    Message(SocketAddr, Message),
    /// Answer to a call sent at this time of the node's clock; `None` if the call failed.
    Answer(Time, Option<Version>),
    InForce(Version),
}

pub(crate) struct SimulatedNode {
    pub(crate) machine: Machine,
    pub(crate) version: Version,
    pub(crate) frozen_until: Time,
    /// Whether the store turns this node away.
    pub(crate) rejected: bool,
    /// Whether this node reaches neither the store nor other nodes.
    pub(crate) cut_off: bool,
    /// Difference of the node's clock from that of the simulation.
    clock: Duration,
    pub(crate) is_watcher: bool,
    next_watch: Option<Time>,
    process: u32,
}

impl SimulatedNode {
    pub(crate) fn is_valid(&self, now: Time) -> bool {
        self.machine.is_valid(now + self.clock)
    }

    /// Age of the node's proof.
    pub(crate) fn age(&self, now: Time) -> Duration {
        let proof = self.machine.proof();
        proof.map_or(Duration::MAX, |it| (now + self.clock).since(it.time))
    }
}

pub(crate) struct Fleet {
    pub(crate) now: Time,
    pub(crate) nodes: Vec<SimulatedNode>,
    pub(crate) random: SeededRandom,
    pub(crate) network: Network,
    /// Time from a call of the store to its arrival there, and from the answer to its arrival.
    pub(crate) store_latency: Duration,
    /// Longest time until a new configuration is in force at a node.
    pub(crate) spread_time: Duration,
    /// Versions in the store, each with the time of its acknowledgement.
    pub(crate) history: Vec<(Time, Version)>,
    /// Messages sent to each node.
    pub(crate) received: Vec<usize>,
    pub(crate) store_calls: usize,
    table: MemberTable,
    queue: Vec<(Time, usize, u32, Event)>,
}

fn address(index: usize) -> SocketAddr {
    let [high, low] = u16::try_from(index).expect("few nodes").to_be_bytes();
    SocketAddr::from(([127, 1, high, low], 1))
}

impl Fleet {
    /// A fleet of `size` nodes in `domains` failure domains, with clocks that differ.
    pub(crate) fn new(size: usize, domains: usize, seed: u64) -> Self {
        let mut random = SeededRandom::new(seed);
        let mut table = MemberTable::default();
        for index in 0..size {
            let address = address(index);
            table.merge(Member {
                id: NodeId(index as u64),
                addresses: ListenAddresses {
                    peer: address,
                    requests: address,
                    admin: address,
                },
                domain: Domain::new(&format!("d{}", index % domains)),
                incarnation: Incarnation(1),
                status: Status::Alive,
                stage: Stage::Ready,
                upstream: None,
            });
        }
        let clocks: Vec<u64> = (0..size).map(|_| random.next_u64() % 9_000_000).collect();
        let mut fleet = Self {
            now: START,
            nodes: Vec::new(),
            random,
            network: Network {
                loss: 0,
                repetition: 0,
                delay: Duration::from_millis(100),
            },
            store_latency: Duration::from_millis(2),
            spread_time: Duration::from_millis(500),
            history: vec![(Time(0), Version(1))],
            received: vec![0; size],
            store_calls: 0,
            table,
            queue: Vec::new(),
        };
        for (index, clock) in clocks.into_iter().enumerate() {
            let node = fleet.start_node(index, Duration::from_micros(clock), 0);
            fleet.nodes.push(node);
        }
        fleet
    }

    fn start_node(&self, index: usize, clock: Duration, process: u32) -> SimulatedNode {
        let own = NodeId(index as u64);
        let mut machine = Machine::new(own, LIMIT);
        machine.set_version(self.now + clock, Version(1), &mut Vec::new());
        machine.set_active(self.now + clock, true, &mut Vec::new());
        let is_watcher = Sources::select(&self.table, own).is_watcher;
        SimulatedNode {
            machine,
            version: Version(1),
            frozen_until: Time(0),
            rejected: false,
            cut_off: false,
            clock,
            is_watcher,
            next_watch: is_watcher.then_some(self.now),
            process,
        }
    }

    /// Replaces a node by a new process that knows the first configuration only.
    pub(crate) fn restart(&mut self, index: usize) {
        let (clock, process) = (self.nodes[index].clock, self.nodes[index].process + 1);
        self.nodes[index] = self.start_node(index, clock, process);
    }

    pub(crate) fn table(&self) -> &MemberTable {
        &self.table
    }

    /// Version in the store at `time`.
    pub(crate) fn stored_version(&self, time: Time) -> Version {
        let newest = self.history.iter().rfind(|(since, _)| *since <= time);
        newest.map_or(Version(1), |(_, version)| *version)
    }

    /// Replaces the configuration in the store. Nodes put it in force some time later.
    pub(crate) fn change(&mut self, version: Version) {
        self.history.push((self.now, version));
        for index in 0..self.nodes.len() {
            let due = self.now + self.random_time(self.spread_time);
            let process = self.nodes[index].process;
            self.queue
                .push((due, index, process, Event::InForce(version)));
        }
    }

    pub(crate) fn random_time(&mut self, bound: Duration) -> Duration {
        let micros = bound.as_micros() as usize + 1;
        Duration::from_micros(self.random.below(micros) as u64)
    }

    /// Runs the fleet, and calls `check` after each step.
    pub(crate) fn run(&mut self, duration: Duration, mut check: impl FnMut(&Self)) {
        let end = self.now + duration;
        while self.now < end {
            for index in 0..self.nodes.len() {
                self.step_node(index);
            }
            check(self);
            self.now = self.now + Duration::from_millis(5);
        }
    }

    fn step_node(&mut self, index: usize) {
        if self.nodes[index].frozen_until > self.now {
            return;
        }
        let now = self.now;
        let process = self.nodes[index].process;
        let is_due = |it: &mut (Time, usize, u32, Event)| it.1 == index && it.0 <= now;
        let mut due: Vec<_> = self.queue.extract_if(.., is_due).collect();
        due.sort_by_key(|it| it.0);
        for (_, _, receiver, event) in due {
            // Datagrams reach whichever process has the address, answers only the one that called.
            let is_message = matches!(event, Event::Message(..));
            if is_message || receiver == process {
                self.handle_event(index, event);
            }
        }
        let node = &mut self.nodes[index];
        let node_now = now + node.clock;
        let mut out = Vec::new();
        if node.machine.next_wake().is_some_and(|due| due <= node_now) {
            let (machine, table) = (&mut node.machine, &self.table);
            machine.wake(node_now, table, &mut self.random, &mut out);
        }
        if node.next_watch.is_some_and(|due| due <= now) {
            node.next_watch = None;
            self.call_store(index, WATCH_TIME);
        }
        self.carry_out(index, out);
    }

    fn handle_event(&mut self, index: usize, event: Event) {
        let node = &mut self.nodes[index];
        let node_now = self.now + node.clock;
        let mut out = Vec::new();
        match event {
            Event::Message(from, message) => {
                let (machine, random) = (&mut node.machine, &mut self.random);
                machine.handle_message(node_now, from, message, random, &mut out);
            }
            Event::Answer(sent, version) => {
                node.next_watch = node.is_watcher.then_some(self.now);
                match version {
                    Some(version) => {
                        let machine = &mut node.machine;
                        machine.record_store_answer(node_now, sent, version, &mut out);
                        // The topology is published up to 20 ms after the answer.
                        let due = self.now + Duration::from_millis(20);
                        let event = Event::InForce(version);
                        self.queue.push((due, index, node.process, event));
                    }
                    None => node.next_watch = node.next_watch.map(|it| it + RETRY),
                }
            }
            Event::InForce(version) => {
                node.version = node.version.max(version);
                node.machine.set_version(node_now, version, &mut out);
            }
        }
        self.carry_out(index, out);
    }

    fn carry_out(&mut self, index: usize, out: Vec<Output>) {
        for output in out {
            match output {
                Output::Send { to, message } => self.send(index, to, message),
                Output::ReadStore => self.call_store(index, Duration::ZERO),
                _ => {}
            }
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, message: Message) {
        let receiver = (0..self.nodes.len()).find(|index| address(*index) == to);
        let receiver = receiver.expect("a member");
        self.received[receiver] += 1;
        let copies = 1 + usize::from(self.random.below(100) < self.network.repetition);
        for _ in 0..copies {
            let is_lost = self.random.below(100) < self.network.loss;
            if !is_lost && !self.nodes[from].cut_off && !self.nodes[receiver].cut_off {
                let due = self.now + self.random_time(self.network.delay);
                let event = Event::Message(address(from), message);
                self.queue.push((due, receiver, 0, event));
            }
        }
    }

    /// Calls the store, which answers once the version has changed or after `wait`.
    fn call_store(&mut self, index: usize, wait: Duration) {
        self.store_calls += 1;
        let node = &self.nodes[index];
        let (sent, process) = (self.now + node.clock, node.process);
        let is_answered = !node.rejected && !node.cut_off;
        let arrived = self.now + self.store_latency;
        let answered = arrived + wait;
        let latency = self.store_latency;
        // A change during the watch is only known later, so the answer states what is stored at the arrival.
        let version = is_answered.then(|| self.stored_version(arrived));
        let due = if is_answered {
            answered + latency
        } else {
            arrived
        };
        self.queue
            .push((due, index, process, Event::Answer(sent, version)));
    }
}
