//! Deterministic simulation of a fleet: many control state machines and one event queue, without sockets
//! and threads.

pub(crate) mod checker;
mod network;
pub(crate) mod store;

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use crate::driver::checker::History;
use crate::driver::checker::HistoryEvent;
use crate::driver::store::Store;
use control::CallId;
use control::Effect;
use control::Input;
use control::Machine;
use control::Topology;
use ids::Digest;
use ids::Domain;
use ids::Incarnation;
use ids::NodeId;
use kernel::Random;

use kernel::StateMachine as _;
use kernel::Time;
use kernel::random::SeededRandom;
use member::ListenAddresses;
use member::Member;
use member::Parameters;
use member::Stage;
use member::Status;
use member::Upstream;

/// One second in microseconds, the unit of all times of the simulation.
pub(crate) const SECOND: u64 = 1_000_000;

/// An instance and the process of the node that runs on it.
pub(crate) struct Node {
    pub(crate) machine: Machine,
    random: SeededRandom,
    pub(crate) address: SocketAddr,
    pub(crate) domain: usize,
    pub(crate) up: bool,
    pub(crate) paused_until: u64,
    /// Partition that the instance is in; instances in different partitions cannot reach each other.
    pub(crate) partition: u8,
    /// Stage that the upstream announces; `None` if it makes no announcements.
    pub(crate) announced_stage: Option<Stage>,
    /// Number of the process; events for earlier processes are dropped.
    process: u64,
    wake_at: u64,
    /// Inputs that arrived while the process was paused.
    pending_inputs: Vec<Input>,
    pub(crate) topology: Option<Arc<Topology>>,
}

/// Faults that affect all nodes.
#[derive(Clone, Copy, Default)]
pub(crate) struct Faults {
    /// Share of datagrams and calls that are lost, per mille.
    pub(crate) loss: usize,
    /// Maximum additional latency, in microseconds; it also reorders messages.
    pub(crate) delay: usize,
    /// Share of pull responses with a damaged text, per mille.
    pub(crate) corrupt: usize,
}

/// Number and bytes of the messages that were sent.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct TrafficCounters {
    pub(crate) datagrams: u64,
    pub(crate) datagram_bytes: u64,
    pub(crate) calls: u64,
    pub(crate) call_bytes: u64,
    pub(crate) store_calls: u64,
}

/// An event in the queue, with the index of its node and, if a restart cancels it, the number of the
/// process.
enum Event {
    Wake(usize),
    Input(usize, u64, Input),
    Announce(usize, u64),
    Expire(CallId),
}

/// A control call that waits for its response.
struct Call {
    caller: usize,
    process: u64,
    to: SocketAddr,
    pull: bool,
}

/// A simulated fleet.
pub(crate) struct Fleet {
    pub(crate) now: u64,
    pub(crate) nodes: Vec<Node>,
    pub(crate) store: Store,
    pub(crate) faults: Faults,
    pub(crate) counters: TrafficCounters,
    pub(crate) history: History,
    /// Whether the settings of a new process list contacts.
    pub(crate) settings_contacts: bool,
    /// Whether topologies are recorded in the history, and datagrams are encoded and decoded.
    pub(crate) recording: bool,
    /// Hash over all effects, if it is computed.
    pub(crate) effect_hash: Option<Digest>,
    /// Number of services that upstreams announce.
    pub(crate) services: usize,
    domains: usize,
    random: SeededRandom,
    queue: BTreeMap<(u64, u64), Event>,
    sequence: u64,
    calls: HashMap<CallId, Call>,
    by_address: HashMap<SocketAddr, usize>,
}

impl Fleet {
    /// Creates a fleet without nodes. `MEDLAR_SEED` is added to the seed of each test, to run the tests
    /// with other random numbers.
    pub(crate) fn new(seed: u64, domains: usize, services: usize) -> Self {
        let seed_offset = std::env::var("MEDLAR_SEED").ok();
        let seed_offset: u64 = seed_offset.and_then(|it| it.parse().ok()).unwrap_or(0);
        Self {
            now: 0,
            nodes: Vec::new(),
            store: Store::default(),
            faults: Faults::default(),
            counters: TrafficCounters::default(),
            history: History::new(services),
            settings_contacts: true,
            recording: true,
            effect_hash: None,
            services,
            domains,
            random: SeededRandom::new(seed + seed_offset),
            queue: BTreeMap::new(),
            sequence: 0,
            calls: HashMap::new(),
            by_address: HashMap::new(),
        }
    }

    /// Adds an instance with a running process and returns its index.
    pub(crate) fn add(&mut self, announced_stage: Option<Stage>) -> usize {
        let index = self.nodes.len();
        let ip = [127, 31, (index / 250) as u8, (index % 250) as u8 + 1];
        let address = SocketAddr::from((ip, 7000));
        self.by_address.insert(address, index);
        let machine = self.new_machine(address, index % self.domains);
        self.nodes.push(Node {
            machine,
            random: SeededRandom::new(self.random.next_u64()),
            address,
            domain: index % self.domains,
            up: true,
            paused_until: 0,
            partition: 0,
            announced_stage,
            process: 0,
            wake_at: u64::MAX,
            pending_inputs: Vec::new(),
            topology: None,
        });
        self.start_process(index);
        index
    }

    fn new_machine(&mut self, peer: SocketAddr, domain: usize) -> Machine {
        let port = |port| SocketAddr::new(peer.ip(), port);
        let own = Member {
            id: NodeId(self.random.next_u64()),
            addresses: ListenAddresses {
                peer,
                requests: port(7001),
                admin: port(7002),
            },
            domain: Domain::new(&format!("domain-{domain}")),
            incarnation: Incarnation(1),
            status: Status::Alive,
            stage: Stage::Warming,
            upstream: None,
        };
        let listed = if self.settings_contacts {
            2 * self.domains
        } else {
            0
        };
        let contacts = self.nodes.iter().take(listed);
        let contacts = contacts.map(|it| it.address).collect();
        Machine::new(own, contacts, Parameters::default(), Time(self.now))
    }

    fn start_process(&mut self, index: usize) {
        let (process, id) = (self.nodes[index].process, self.nodes[index].machine.id());
        self.history.add(self.now, index, HistoryEvent::Started(id));
        self.push(self.now + 1, Event::Announce(index, process));
        self.schedule(index);
    }

    pub(crate) fn kill(&mut self, index: usize) {
        self.nodes[index].up = false;
        self.nodes[index].process += 1;
        self.nodes[index].pending_inputs.clear();
        self.store.cancel_watch(index);
        self.history.add(self.now, index, HistoryEvent::Ended);
    }

    pub(crate) fn restart(&mut self, index: usize) {
        if self.nodes[index].up {
            self.kill(index);
        }
        let (address, domain) = (self.nodes[index].address, self.nodes[index].domain);
        self.nodes[index].machine = self.new_machine(address, domain);
        self.nodes[index].up = true;
        self.nodes[index].paused_until = 0;
        self.nodes[index].wake_at = u64::MAX;
        self.start_process(index);
    }

    pub(crate) fn pause(&mut self, index: usize, duration: u64) {
        self.history.add(self.now, index, HistoryEvent::Impaired);
        self.nodes[index].paused_until = self.now + duration;
        self.nodes[index].wake_at = u64::MAX;
        self.schedule(index);
    }

    pub(crate) fn drain(&mut self, index: usize) {
        let id = self.nodes[index].machine.id();
        self.history.drained.push((self.now, id));
        self.input(index, Input::Drain);
    }

    fn push(&mut self, time: u64, event: Event) {
        self.sequence += 1;
        self.queue
            .insert((time.max(self.now), self.sequence), event);
    }

    fn schedule(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        let due = node.machine.next_wake().unwrap_or_default().0;
        let due = due.max(self.now).max(node.paused_until);
        if due != node.wake_at {
            node.wake_at = due;
            self.push(due, Event::Wake(index));
        }
    }

    /// Runs the simulation for some seconds.
    pub(crate) fn run(&mut self, seconds: f64) {
        let end = self.now + (seconds * SECOND as f64) as u64;
        while self.now < end {
            let step = (self.now / SECOND + 1) * SECOND;
            self.run_to(step.min(end));
            self.history.advance(self.now);
        }
    }

    fn run_to(&mut self, end: u64) {
        while self
            .queue
            .first_key_value()
            .is_some_and(|(key, _)| key.0 <= end)
        {
            let Some(((now, _), event)) = self.queue.pop_first() else {
                break;
            };
            self.now = now;
            self.handle(event);
        }
        self.now = end;
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Wake(index) if self.nodes[index].up && self.nodes[index].wake_at == self.now => {
                if self.nodes[index].paused_until == self.now && self.now > 0 {
                    self.history.add(self.now, index, HistoryEvent::Restored);
                }
                // Handles one pending input before the timers, as the control loop does after a pause.
                let mut pending_inputs =
                    std::mem::take(&mut self.nodes[index].pending_inputs).into_iter();
                pending_inputs
                    .next()
                    .into_iter()
                    .for_each(|it| self.input(index, it));
                let mut effects = Vec::new();
                let node = &mut self.nodes[index];
                node.wake_at = u64::MAX;
                node.machine
                    .wake(Time(self.now), &mut node.random, &mut effects);
                self.execute_all(index, effects);
                pending_inputs.for_each(|it| self.input(index, it));
            }
            Event::Input(index, process, input) if self.nodes[index].process == process => {
                self.input(index, input);
            }
            Event::Announce(index, process) if self.nodes[index].process == process => {
                if let Some(stage) = self.nodes[index].announced_stage {
                    let service = Arc::from(checker::name_service(
                        self.nodes[index].address,
                        self.services,
                    ));
                    let (slots, max_connections) = (10, 100);
                    let upstream = Upstream {
                        run_id: None,
                        version: None,
                        service,
                        slots,
                        max_connections,
                    };
                    self.input(
                        index,
                        Input::UpstreamAnnounced {
                            stage,
                            upstream,
                            order: None,
                        },
                    );
                }
                self.push(self.now + 3 * SECOND, Event::Announce(index, process));
            }
            Event::Expire(call_id) => self.complete_call(call_id, None, None),
            _ => {}
        }
    }

    pub(crate) fn input(&mut self, index: usize, input: Input) {
        let node = &mut self.nodes[index];
        if !node.up {
            return;
        }
        if node.paused_until > self.now {
            node.pending_inputs.push(input);
            return;
        }
        let mut effects = Vec::new();
        node.machine
            .step(Time(self.now), input, &mut node.random, &mut effects);
        self.execute_all(index, effects);
    }

    fn execute_all(&mut self, index: usize, effects: Vec<Effect>) {
        for effect in effects {
            if let Some(hash) = &mut self.effect_hash {
                let line = format!("{} {} {index} {effect:?}", hash.0, self.now);
                *hash = Digest::of(line.as_bytes());
            }
            self.execute(index, effect);
        }
        self.schedule(index);
    }
}
