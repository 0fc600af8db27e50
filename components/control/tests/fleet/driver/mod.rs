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

/// One second in microseconds, the unit of all times here.
pub(crate) const SECOND: u64 = 1_000_000;

/// One instance and the process of the node that runs on it.
pub(crate) struct Node {
    pub(crate) machine: Machine,
    random: SeededRandom,
    pub(crate) address: SocketAddr,
    pub(crate) domain: usize,
    pub(crate) up: bool,
    pub(crate) paused_until: u64,
    /// Partition that the instance is in; instances in different ones cannot reach each other.
    pub(crate) group: u8,
    /// Stage that the upstream announces; `None` if it makes no announcements.
    pub(crate) upstream: Option<Stage>,
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
pub(crate) struct Tally {
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
    pub(crate) tally: Tally,
    pub(crate) history: History,
    /// Whether topologies are recorded in the history, and datagrams are encoded and decoded.
    pub(crate) record: bool,
    /// Hash over all effects, if it is computed.
    pub(crate) trace: Option<Digest>,
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
    /// Creates a fleet without nodes. `MEDLAR_SEED` is added to the seeds of all tests, to try others.
    pub(crate) fn new(seed: u64, domains: usize, services: usize) -> Self {
        let seed_offset = std::env::var("MEDLAR_SEED").ok();
        let seed_offset: u64 = seed_offset.and_then(|it| it.parse().ok()).unwrap_or(0);
        Self {
            now: 0,
            nodes: Vec::new(),
            store: Store::default(),
            faults: Faults::default(),
            tally: Tally::default(),
            history: History::new(services),
            record: true,
            trace: None,
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
    pub(crate) fn add(&mut self, upstream: Option<Stage>) -> usize {
        let at = self.nodes.len();
        let ip = [127, 31, (at / 250) as u8, (at % 250) as u8 + 1];
        let address = SocketAddr::from((ip, 7000));
        self.by_address.insert(address, at);
        let machine = self.new_machine(address, at % self.domains);
        self.nodes.push(Node {
            machine,
            random: SeededRandom::new(self.random.next_u64()),
            address,
            domain: at % self.domains,
            up: true,
            paused_until: 0,
            group: 0,
            upstream,
            process: 0,
            wake_at: u64::MAX,
            pending_inputs: Vec::new(),
            topology: None,
        });
        self.start_process(at);
        at
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
        let contacts = self.nodes.iter().take(2 * self.domains);
        let contacts = contacts.map(|it| it.address).collect();
        Machine::new(own, contacts, Parameters::default(), Time(self.now))
    }

    fn start_process(&mut self, at: usize) {
        let (process, id) = (self.nodes[at].process, self.nodes[at].machine.id());
        self.history.add(self.now, at, HistoryEvent::Started(id));
        self.push(self.now + 1, Event::Announce(at, process));
        self.schedule(at);
    }

    pub(crate) fn kill(&mut self, at: usize) {
        self.nodes[at].up = false;
        self.nodes[at].process += 1;
        self.nodes[at].pending_inputs.clear();
        self.store.forget(at);
        self.history.add(self.now, at, HistoryEvent::Ended);
    }

    pub(crate) fn restart(&mut self, at: usize) {
        if self.nodes[at].up {
            self.kill(at);
        }
        let (address, domain) = (self.nodes[at].address, self.nodes[at].domain);
        self.nodes[at].machine = self.new_machine(address, domain);
        self.nodes[at].up = true;
        self.nodes[at].paused_until = 0;
        self.nodes[at].wake_at = u64::MAX;
        self.start_process(at);
    }

    pub(crate) fn pause(&mut self, at: usize, time: u64) {
        self.history.add(self.now, at, HistoryEvent::Impaired);
        self.nodes[at].paused_until = self.now + time;
        self.nodes[at].wake_at = u64::MAX;
        self.schedule(at);
    }

    pub(crate) fn drain(&mut self, at: usize) {
        let id = self.nodes[at].machine.id();
        self.history.drained.push((self.now, id));
        self.input(at, Input::Drain);
    }

    fn push(&mut self, at: u64, event: Event) {
        self.sequence += 1;
        self.queue.insert((at.max(self.now), self.sequence), event);
    }

    fn schedule(&mut self, at: usize) {
        let node = &mut self.nodes[at];
        let due = node.machine.next_wake().unwrap_or_default().0;
        let due = due.max(self.now).max(node.paused_until);
        if due != node.wake_at {
            node.wake_at = due;
            self.push(due, Event::Wake(at));
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
            Event::Wake(at) if self.nodes[at].up && self.nodes[at].wake_at == self.now => {
                if self.nodes[at].paused_until == self.now && self.now > 0 {
                    self.history.add(self.now, at, HistoryEvent::Restored);
                }
                // Handles one pending input before the timers, as the control loop does.
                let mut pending_inputs =
                    std::mem::take(&mut self.nodes[at].pending_inputs).into_iter();
                pending_inputs
                    .next()
                    .into_iter()
                    .for_each(|it| self.input(at, it));
                let mut effects = Vec::new();
                let node = &mut self.nodes[at];
                node.wake_at = u64::MAX;
                node.machine
                    .wake(Time(self.now), &mut node.random, &mut effects);
                self.execute_all(at, effects);
                pending_inputs.for_each(|it| self.input(at, it));
            }
            Event::Input(at, process, input) if self.nodes[at].process == process => {
                self.input(at, input);
            }
            Event::Announce(at, process) if self.nodes[at].process == process => {
                if let Some(stage) = self.nodes[at].upstream {
                    let service =
                        Arc::from(checker::name_service(self.nodes[at].address, self.services));
                    let (slots, max_connections) = (10, 100);
                    let upstream = Upstream {
                        run_id: None,
                        service,
                        slots,
                        max_connections,
                    };
                    self.input(
                        at,
                        Input::UpstreamAnnounced {
                            stage,
                            upstream,
                            order: None,
                        },
                    );
                }
                self.push(self.now + 3 * SECOND, Event::Announce(at, process));
            }
            Event::Expire(call_id) => self.complete_call(call_id, None, None),
            _ => {}
        }
    }

    pub(crate) fn input(&mut self, at: usize, input: Input) {
        let node = &mut self.nodes[at];
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
        self.execute_all(at, effects);
    }

    fn execute_all(&mut self, at: usize, effects: Vec<Effect>) {
        for effect in effects {
            if let Some(trace) = &mut self.trace {
                let line = format!("{} {} {at} {effect:?}", trace.0, self.now);
                *trace = Digest::of(line.as_bytes());
            }
            self.execute(at, effect);
        }
        self.schedule(at);
    }
}
