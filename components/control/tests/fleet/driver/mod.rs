//! Deterministic driver: many control machines, one message queue, no socket and no thread.

pub(crate) mod checker;
pub(crate) mod store;

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use crate::driver::checker::Fact;
use crate::driver::checker::History;
use control::Effect;
use control::Input;
use control::Machine;
use control::Picture;
use control::Token;
use ids::Digest;
use ids::Domain;
use ids::Incarnation;
use ids::NodeId;

use crate::driver::store::Store;
use kernel::Machine as _;
use kernel::Random;
use kernel::Time;
use kernel::random::Seeded;
use member::Address;
use member::Limits;
use member::Member;
use member::Stage;
use member::Status;
use member::Upstream;
use spread::Offer;

pub(crate) const SECOND: u64 = 1_000_000;
/// Time after which a caller gives a control call up.
const CALL_LIMIT: u64 = 2 * SECOND;

/// One instance; a restart puts a new process on it.
pub(crate) struct Node {
    pub(crate) machine: Machine,
    random: Seeded,
    pub(crate) address: SocketAddr,
    pub(crate) domain: usize,
    pub(crate) up: bool,
    pub(crate) paused_until: u64,
    /// Instances in different groups do not reach each other.
    pub(crate) group: u8,
    /// Stage that the upstream announces.
    pub(crate) upstream: Option<Stage>,
    process: u64,
    wake_at: u64,
    inbox: Vec<Input>,
    pub(crate) picture: Option<Arc<Picture>>,
}

/// What goes wrong for all nodes.
#[derive(Clone, Copy, Default)]
pub(crate) struct Faults {
    /// Lost datagrams and calls, per mille.
    pub(crate) loss: usize,
    /// Longest extra delay, in microseconds; reorders.
    pub(crate) delay: usize,
    /// Pull answers with a wrong text, per mille.
    pub(crate) corrupt: usize,
}

/// Messages and bytes that were sent.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Tally {
    pub(crate) datagrams: u64,
    pub(crate) datagram_bytes: u64,
    pub(crate) calls: u64,
    pub(crate) call_bytes: u64,
    pub(crate) store_calls: u64,
}

enum Event {
    Wake(usize),
    Input(usize, u64, Input),
    Renew(usize, u64),
    Expire(Token),
}

struct Call {
    asker: usize,
    process: u64,
    to: SocketAddr,
    pull: bool,
}

pub(crate) struct Fleet {
    pub(crate) now: u64,
    pub(crate) nodes: Vec<Node>,
    pub(crate) store: Store,
    pub(crate) faults: Faults,
    pub(crate) tally: Tally,
    pub(crate) history: History,
    /// Whether pictures go into the history and datagrams through their encoding.
    pub(crate) record: bool,
    /// Hash over all effects, if wanted.
    pub(crate) trace: Option<Digest>,
    pub(crate) services: usize,
    domains: usize,
    random: Seeded,
    queue: BTreeMap<(u64, u64), Event>,
    sequence: u64,
    calls: HashMap<Token, Call>,
    by_address: HashMap<SocketAddr, usize>,
}

impl Fleet {
    /// A fleet without nodes; `MEDLAR_SEED` moves all seeds, to try further ones.
    pub(crate) fn new(seed: u64, domains: usize, services: usize) -> Self {
        let offset = std::env::var("MEDLAR_SEED").ok();
        let offset: u64 = offset.and_then(|it| it.parse().ok()).unwrap_or(0);
        Self {
            now: 0,
            nodes: Vec::new(),
            store: Store::default(),
            faults: Faults::default(),
            tally: Tally::default(),
            history: History {
                services,
                ..History::default()
            },
            record: true,
            trace: None,
            services,
            domains,
            random: Seeded::new(seed + offset),
            queue: BTreeMap::new(),
            sequence: 0,
            calls: HashMap::new(),
            by_address: HashMap::new(),
        }
    }

    /// Adds an instance with a running process.
    pub(crate) fn add(&mut self, upstream: Option<Stage>) -> usize {
        let at = self.nodes.len();
        let ip = [127, 31, (at / 250) as u8, (at % 250) as u8 + 1];
        let address = SocketAddr::from((ip, 7000));
        self.by_address.insert(address, at);
        let machine = self.boot(address, at % self.domains);
        self.nodes.push(Node {
            machine,
            random: Seeded::new(self.random.next()),
            address,
            domain: at % self.domains,
            up: true,
            paused_until: 0,
            group: 0,
            upstream,
            process: 0,
            wake_at: u64::MAX,
            inbox: Vec::new(),
            picture: None,
        });
        self.start(at);
        at
    }

    fn boot(&mut self, peer: SocketAddr, domain: usize) -> Machine {
        let port = |port| SocketAddr::new(peer.ip(), port);
        let me = Member {
            id: NodeId(self.random.next()),
            address: Address {
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
        Machine::new(me, contacts, Limits::default(), Time(self.now))
    }

    fn start(&mut self, at: usize) {
        let (process, id) = (self.nodes[at].process, self.nodes[at].machine.id());
        self.history.add(self.now, at, Fact::Started(id));
        self.push(self.now + 1, Event::Renew(at, process));
        self.schedule(at);
    }

    pub(crate) fn kill(&mut self, at: usize) {
        self.nodes[at].up = false;
        self.nodes[at].process += 1;
        self.nodes[at].inbox.clear();
        self.store.forget(at);
        self.history.add(self.now, at, Fact::Ended);
    }

    pub(crate) fn restart(&mut self, at: usize) {
        if self.nodes[at].up {
            self.kill(at);
        }
        let (address, domain) = (self.nodes[at].address, self.nodes[at].domain);
        self.nodes[at].machine = self.boot(address, domain);
        self.nodes[at].up = true;
        self.nodes[at].paused_until = 0;
        self.nodes[at].wake_at = u64::MAX;
        self.start(at);
    }

    pub(crate) fn pause(&mut self, at: usize, time: u64) {
        self.history.add(self.now, at, Fact::Impaired);
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

    /// Runs for some seconds.
    pub(crate) fn run(&mut self, seconds: f64) {
        let end = self.now + (seconds * SECOND as f64) as u64;
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
                    self.history.add(self.now, at, Fact::Restored);
                }
                // As the control loop does, take one waiting input before the timers.
                let mut inbox = std::mem::take(&mut self.nodes[at].inbox).into_iter();
                inbox.next().into_iter().for_each(|it| self.input(at, it));
                let mut effects = Vec::new();
                let node = &mut self.nodes[at];
                node.wake_at = u64::MAX;
                node.machine
                    .wake(Time(self.now), &mut node.random, &mut effects);
                self.execute(at, effects);
                inbox.for_each(|it| self.input(at, it));
            }
            Event::Input(at, process, input) if self.nodes[at].process == process => {
                self.input(at, input);
            }
            Event::Renew(at, process) if self.nodes[at].process == process => {
                if let Some(stage) = self.nodes[at].upstream {
                    let service =
                        Arc::from(checker::name_service(self.nodes[at].address, self.services));
                    let (slots, connections) = (10, 100);
                    let upstream = Upstream {
                        service,
                        slots,
                        connections,
                    };
                    self.input(at, Input::Announced { stage, upstream });
                }
                self.push(self.now + 3 * SECOND, Event::Renew(at, process));
            }
            Event::Expire(token) => self.answer(token, None, None),
            _ => {}
        }
    }

    pub(crate) fn input(&mut self, at: usize, input: Input) {
        let node = &mut self.nodes[at];
        if !node.up {
            return;
        }
        if node.paused_until > self.now {
            node.inbox.push(input);
            return;
        }
        let mut effects = Vec::new();
        node.machine
            .step(Time(self.now), input, &mut node.random, &mut effects);
        self.execute(at, effects);
    }

    fn execute(&mut self, at: usize, effects: Vec<Effect>) {
        for effect in effects {
            if let Some(trace) = &mut self.trace {
                let line = format!("{} {} {at} {effect:?}", trace.0, self.now);
                *trace = Digest::from_bytes(line.as_bytes());
            }
            self.carry_out(at, effect);
        }
        self.schedule(at);
    }

    fn carry_out(&mut self, at: usize, effect: Effect) {
        match effect {
            Effect::Send { to, message } => {
                let bytes = wire::datagram::encode(&message);
                self.tally.datagrams += 1;
                self.tally.datagram_bytes += bytes.len() as u64 + 28;
                let message = if self.record {
                    wire::datagram::decode(&bytes).expect("a message survives its encoding")
                } else {
                    message
                };
                let from = self.nodes[at].address;
                self.deliver(at, to, Input::Datagram { from, message });
            }
            Effect::Pull { from, have } => {
                self.call(at, from, true, 32, |token| Input::PullAsked { token, have });
            }
            Effect::Sync { to, ask } => {
                let bytes = size(&wire::sync::Ask::from(&ask));
                self.call(at, to, false, bytes, |token| Input::SyncAsked {
                    token,
                    ask,
                });
            }
            Effect::AnswerPull { token, mut offer } => {
                if self.happens(self.faults.corrupt) {
                    checker::corrupt(&mut offer);
                }
                self.tally.call_bytes += size(&wire::control::Offer::from(&offer));
                self.answer(token, Some(offer), None);
            }
            Effect::AnswerSync { token, answer } => {
                self.tally.call_bytes += size(&wire::sync::Answer::from(&answer));
                self.answer(token, None, Some(answer));
            }
            Effect::Publish(picture) => {
                if self.record {
                    let fact = Fact::Published(Arc::clone(&picture));
                    self.history.add(self.now, at, fact);
                }
                self.nodes[at].picture = Some(picture);
            }
            Effect::Refused { .. } => {}
            call => {
                self.tally.store_calls += u64::from(!matches!(call, Effect::StopWatch));
                let answers = self.store.call(at, call, &mut self.random);
                self.tell(answers);
            }
        }
    }

    /// Delivers answers of the store.
    pub(crate) fn tell(&mut self, answers: Vec<(usize, u64, Input)>) {
        for (at, delay, input) in answers {
            let process = self.nodes[at].process;
            self.push(self.now + delay, Event::Input(at, process, input));
        }
    }

    fn happens(&mut self, per_mille: usize) -> bool {
        per_mille > 0 && self.random.below(1_000) < per_mille
    }

    /// The way from one instance to another; `None` if the message is lost.
    fn travel(&mut self, at: usize, to: usize) -> Option<u64> {
        if self.nodes[at].group != self.nodes[to].group || self.happens(self.faults.loss) {
            return None;
        }
        let near = self.nodes[at].domain == self.nodes[to].domain;
        let way = if near { 300 } else { 1_500 };
        Some(way + (self.random.below(1_000) + self.random.below(self.faults.delay)) as u64)
    }

    fn deliver(&mut self, at: usize, to: SocketAddr, input: Input) {
        if let Some(to) = self.by_address.get(&to).copied()
            && let Some(way) = self.travel(at, to)
        {
            let process = self.nodes[to].process;
            self.push(self.now + way, Event::Input(to, process, input));
        }
    }

    fn call(
        &mut self,
        at: usize,
        to: SocketAddr,
        pull: bool,
        bytes: u64,
        input: impl FnOnce(Token) -> Input,
    ) {
        self.tally.calls += 1;
        // Packets of a TCP connection and envelope of the call.
        self.tally.call_bytes += 400 + bytes;
        self.sequence += 1;
        let token = Token(self.sequence);
        let process = self.nodes[at].process;
        let callee = self.by_address.get(&to).copied();
        let refused = callee.is_none_or(|it| !self.nodes[it].up);
        self.calls.insert(
            token,
            Call {
                asker: at,
                process,
                to,
                pull,
            },
        );
        let limit = if refused { 2_000 } else { CALL_LIMIT };
        self.push(self.now + limit, Event::Expire(token));
        if !refused {
            self.deliver(at, to, input(token));
        }
    }

    fn answer(&mut self, token: Token, offer: Option<Offer>, answer: Option<member::Answer>) {
        let Some(call) = self.calls.remove(&token) else {
            return;
        };
        let from = call.to;
        let empty = offer.is_none() && answer.is_none();
        let input = if call.pull {
            Input::Pulled { from, offer }
        } else {
            Input::Synced { from, answer }
        };
        let way = match self.by_address.get(&from).copied() {
            Some(callee) if !empty => self.travel(callee, call.asker),
            _ => Some(0),
        };
        match way {
            // Opening the connection costs one more round trip.
            Some(way) => self.push(
                self.now + 3 * way,
                Event::Input(call.asker, call.process, input),
            ),
            None => {
                self.calls.insert(token, call);
            }
        }
    }
}

fn size(message: &impl serde::Serialize) -> u64 {
    postcard::to_stdvec(message).map_or(0, |bytes| bytes.len() as u64)
}
