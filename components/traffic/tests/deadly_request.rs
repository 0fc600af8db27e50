//! Load pattern: one request that crashes each upstream that runs it comes again and again, at any node, among
//! other requests.
//!
//! Entries, owners and control threads of a fleet exchange messages in simulated time. An upstream that runs the
//! deadly request crashes with all that it runs, and is back three seconds later.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rstest::rstest;

use admit::RankedAdmission;
use balance::PowerOfTwoChoices;
use config::Snapshot;
use control::NodeStage;
use control::Topology;
use errors::Reason;
use errors::Verdict;
use health::OutlierDetection;
use ids::Domain;
use ids::Fingerprint;
use ids::Incarnation;
use ids::NodeId;
use ids::RequestId;
use ids::Version;

use kernel::Random as _;
use kernel::StateMachine as _;
use kernel::Time;
use kernel::plugin::Params;
use kernel::random::SeededRandom;
use member::ListenAddresses;
use member::Member;
use member::MemberTable;
use member::Parameters;
use member::Stage;
use member::Status;
use member::Upstream;
use policy::LimitNotice;
use retry::RetryBudget;
use traffic::entry;
use traffic::entry::AttemptReport;
use traffic::entry::CallKey;
use traffic::entry::RequestHead;
use traffic::owner;
use traffic::owner::IncomingRequest;
use traffic::owner::UpstreamEnd;

const CONFIG: &str = "services:
  - name: stock
    routes:
      - {method: GET, path: '/**', rank: 0, deadline_ms: 1200, idempotent: true}
";
const SLOTS: u32 = 13;
/// Microseconds in a millisecond and in a second.
const MS: u64 = 1_000;
const SECOND: u64 = 1_000 * MS;
/// Delay of each message between two nodes.
const NETWORK_DELAY: u64 = 2 * MS;
const SERVICE_TIME: u64 = 60 * MS;
/// Time from the start of the deadly request to the crash.
const CRASH_TIME: u64 = 30 * MS;
/// Time from the crash until its owner has noticed it.
const DETECTION_TIME: u64 = 22 * MS;
/// Time for which a crashed upstream is down.
const DOWN_TIME: u64 = 3 * SECOND;
/// First fingerprint of the other requests, each of which has its own.
const FIRST_INNOCENT: u128 = 1_000;

/// A request on its way between its entry and an owner.
#[derive(Clone, Copy)]
struct Sent {
    entry: usize,
    call: CallKey,
    fingerprint: Fingerprint,
    seen_crashes: u32,
    attempt: u32,
    deadline: Time,
}

enum Event {
    Arrive(usize, Fingerprint),
    Deliver(usize, Sent),
    End { node: usize, tag: u64, run: u64 },
    Crash { node: usize, run: u64 },
    Report(Sent, AttemptReport),
    Control(usize, control::Input),
}

struct Node {
    id: NodeId,
    control: control::Machine,
    entry: entry::Machine,
    owner: owner::Machine,
    topology: Arc<Topology>,
    /// Requests at the owner, by tag.
    pending: Vec<(u64, Sent)>,
    /// Tags of the requests that the upstream runs.
    running: Vec<u64>,
    /// Number of the upstream's present run.
    run: u64,
    down_until: u64,
}

struct Fleet {
    nodes: Vec<Node>,
    random: SeededRandom,
    now: u64,
    events: Vec<(u64, Event)>,
    last_tag: u64,
    /// Calls of the other requests that have no answer yet, with the time of their arrival.
    open: Vec<(usize, CallKey, u64)>,
    /// Arrivals of the other requests, and whether they were served.
    innocents: Vec<(u64, bool)>,
    /// Times at which the deadly request began to run.
    deadly_runs: Vec<u64>,
    crashes: Vec<u64>,
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([127, 31, 8, 1], 1_000 + index as u16))
}

impl Fleet {
    fn new(size: usize, seed: u64) -> Self {
        let snapshot = Arc::new(config::compile(CONFIG, Version(1)).expect("the text is valid"));
        let member = |index: usize| Member {
            id: NodeId(1 + index as u64 * 7_919),
            addresses: ListenAddresses {
                peer: address(index),
                requests: address(index),
                admin: address(index),
            },
            domain: Domain::new("d"),
            incarnation: Incarnation(1),
            status: Status::Alive,
            stage: Stage::Ready,
            upstream: Some(Upstream {
                service: Arc::from("stock"),
                run_id: None,
                version: None,
                slots: SLOTS,
                max_connections: 100,
            }),
        };
        let mut table = MemberTable::default();
        for index in 0..size {
            table.merge(member(index));
        }
        let nodes = (0..size).map(|index| new_node(member(index), &snapshot, &table));
        Self {
            nodes: nodes.collect(),
            random: SeededRandom::new(seed),
            now: 0,
            events: Vec::new(),
            last_tag: 0,
            open: Vec::new(),
            innocents: Vec::new(),
            deadly_runs: Vec::new(),
            crashes: Vec::new(),
        }
    }

    fn schedule(&mut self, delay: u64, event: Event) {
        self.events.push((self.now + delay, event));
    }

    fn run_until(&mut self, end: u64) {
        while self.now < end {
            self.now += MS;
            let now = self.now;
            let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.events)
                .into_iter()
                .partition(|(at, _)| *at <= now);
            self.events = later;
            for (_, event) in due {
                self.handle(event);
            }
            for node in 0..self.nodes.len() {
                self.wake(node);
            }
        }
    }

    fn wake(&mut self, node: usize) {
        let now = Time(self.now);
        let next_wake = self.nodes[node].control.next_wake();
        if next_wake.is_some_and(|due| due <= now) {
            let mut effects = Vec::new();
            let control = &mut self.nodes[node].control;
            control.wake(now, &mut self.random, &mut effects);
            self.execute_control(node, effects);
        }
        let mut effects = Vec::new();
        let owner = &mut self.nodes[node].owner;
        owner.wake(now, &mut self.random, &mut effects);
        self.execute_owner(node, effects);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(node, fingerprint) => self.arrive(node, fingerprint),
            Event::Deliver(node, sent) => self.deliver(node, sent),
            Event::End { node, tag, run } if run == self.nodes[node].run => self.end(node, tag),
            Event::Crash { node, run } if run == self.nodes[node].run => self.crash(node),
            Event::End { .. } | Event::Crash { .. } => {}
            Event::Report(sent, report) => {
                let topology = Arc::clone(&self.nodes[sent.entry].topology);
                let call = sent.call;
                let input = entry::Input::AttemptReported {
                    call,
                    topology,
                    report,
                };
                self.step_entry(sent.entry, input, sent.fingerprint);
            }
            Event::Control(node, input) => {
                let mut effects = Vec::new();
                let now = Time(self.now);
                let control = &mut self.nodes[node].control;
                control.step(now, input, &mut self.random, &mut effects);
                self.execute_control(node, effects);
            }
        }
    }

    fn arrive(&mut self, node: usize, fingerprint: Fingerprint) {
        let head = RequestHead {
            credential: traffic::entry::Credential::None,
            fingerprint: Some(fingerprint),
            id: RequestId(u128::from(self.last_tag) + 1),
            host: None,
            method: "GET".to_owned(),
            path: "/x".to_owned(),
            time_left: None,
            outer_retries: false,
            replayable: true,
            allowed_while_leaving: false,
        };
        let topology = Arc::clone(&self.nodes[node].topology);
        self.step_entry(node, entry::Input::Arrived { topology, head }, fingerprint);
    }

    fn step_entry(&mut self, node: usize, input: entry::Input, fingerprint: Fingerprint) {
        let is_innocent = fingerprint.0 >= FIRST_INNOCENT;
        let arrived = matches!(input, entry::Input::Arrived { .. });
        let call = match &input {
            entry::Input::AttemptReported { call, .. } => Some(*call),
            _ => None,
        };
        let mut effects = Vec::new();
        let entry = &mut self.nodes[node].entry;
        entry.step(Time(self.now), input, &mut self.random, &mut effects);
        for effect in effects {
            match effect {
                entry::Effect::Forward { call, attempt, .. } => {
                    if arrived && is_innocent {
                        self.open.push((node, call, self.now));
                    }
                    let sent = Sent {
                        entry: node,
                        call,
                        fingerprint,
                        seen_crashes: attempt.seen_crashes,
                        attempt: attempt.number,
                        deadline: attempt.deadline,
                    };
                    let mut nodes = self.nodes.iter();
                    let owner = nodes.position(|it| it.id == attempt.node);
                    let delay = NETWORK_DELAY + attempt.delay.as_micros() as u64;
                    self.schedule(delay, Event::Deliver(owner.expect("a node"), sent));
                }
                entry::Effect::Deliver { call } => {
                    let ended = entry::Input::CallEnded { call };
                    let entry = &mut self.nodes[node].entry;
                    entry.step(Time(self.now), ended, &mut self.random, &mut Vec::new());
                    self.close(node, call, true);
                }
                entry::Effect::Refuse { .. } if is_innocent => match call {
                    Some(call) => self.close(node, call, false),
                    None => self.innocents.push((self.now, false)),
                },
                _ => {}
            }
        }
    }

    fn close(&mut self, node: usize, call: CallKey, served: bool) {
        let position = self.open.iter().position(|it| (it.0, it.1) == (node, call));
        if let Some(index) = position {
            let (_, _, arrived) = self.open.remove(index);
            self.innocents.push((arrived, served));
        }
    }

    fn deliver(&mut self, node: usize, sent: Sent) {
        let (now, topology) = (Time(self.now), Arc::clone(&self.nodes[node].topology));
        let hold = topology
            .suspects
            .hold(now, sent.fingerprint, sent.seen_crashes);
        if let Some(retry_after) = hold {
            let report = AttemptReport {
                retry_after,
                ..failure(Verdict::NotRun, Reason::Quarantined)
            };
            return self.schedule(NETWORK_DELAY, Event::Report(sent, report));
        }
        self.last_tag += 1;
        let tag = self.last_tag;
        self.nodes[node].pending.push((tag, sent));
        let incoming = IncomingRequest {
            organisation: None,
            onward: false,
            link_backlog: 0,
            tag,
            id: RequestId(u128::from(tag) << 64),
            attempt: sent.attempt,
            intended_owner: self.nodes[node].id,
            expires: sent.deadline,
            deadline: sent.deadline,
            objective: None,
            spillable: false,
            route: ids::RouteId(1),
            rank: ids::Rank(0),
            weight: 1,
            idempotent: true,
            rate_limit: None,
            fingerprint: Some(sent.fingerprint),
            seen_crashes: sent.seen_crashes,
        };
        self.step_owner(node, owner::Input::Arrived(incoming));
    }

    fn step_owner(&mut self, node: usize, input: owner::Input) {
        let mut effects = Vec::new();
        let owner = &mut self.nodes[node].owner;
        owner.step(Time(self.now), input, &mut self.random, &mut effects);
        self.execute_owner(node, effects);
    }

    fn execute_owner(&mut self, node: usize, effects: Vec<owner::Effect>) {
        for effect in effects {
            match effect {
                owner::Effect::Start { tag, .. } => self.start(node, tag),
                owner::Effect::Refuse { tag, refusal } => {
                    let report = AttemptReport {
                        retry_after: refusal.retry_after,
                        ..failure(refusal.verdict, refusal.reason)
                    };
                    self.report(node, tag, NETWORK_DELAY, report);
                }
                owner::Effect::RequestCrashed(crashed) => {
                    let input = control::Input::RequestCrashed {
                        fingerprint: crashed.fingerprint,
                        crash: crashed.crash,
                    };
                    self.schedule(0, Event::Control(node, input));
                }
                _ => {}
            }
        }
    }

    fn start(&mut self, node: usize, tag: u64) {
        let run = self.nodes[node].run;
        if self.nodes[node].down_until > self.now {
            self.report(
                node,
                tag,
                NETWORK_DELAY,
                failure(Verdict::NotRun, Reason::ConnectFailed),
            );
            let input = owner::Input::Finished {
                tag,
                verdict: Verdict::NotRun,
                shed: false,
                stored: false,
            };
            return self.step_owner(node, input);
        }
        self.nodes[node].running.push(tag);
        let pending = &self.nodes[node].pending;
        let sent = pending.iter().find(|(other, _)| *other == tag);
        if sent.is_some_and(|(_, sent)| sent.fingerprint.0 < FIRST_INNOCENT) {
            self.deadly_runs.push(self.now);
            self.schedule(CRASH_TIME, Event::Crash { node, run });
        }
        self.schedule(SERVICE_TIME, Event::End { node, tag, run });
    }

    fn end(&mut self, node: usize, tag: u64) {
        self.nodes[node].running.retain(|other| *other != tag);
        let sent = self.nodes[node].pending.iter();
        let fingerprint = sent
            .clone()
            .find(|it| it.0 == tag)
            .map(|it| it.1.fingerprint);
        let responded = owner::Input::UpstreamResponded {
            rate_limit: LimitNotice::Unlimited,
            served: fingerprint,
        };
        self.step_owner(node, responded);
        let input = owner::Input::Finished {
            tag,
            verdict: Verdict::Ran,
            shed: false,
            stored: false,
        };
        self.step_owner(node, input);
        let suspects = &self.nodes[node].topology.suspects;
        if let Some(fingerprint) = fingerprint.filter(|it| suspects.contains(*it)) {
            let input = control::Input::RequestCompleted { fingerprint };
            self.schedule(0, Event::Control(node, input));
        }
        let report = AttemptReport {
            reason: None,
            ..failure(Verdict::Ran, Reason::NoRoute)
        };
        self.report(node, tag, NETWORK_DELAY, report);
    }

    fn crash(&mut self, node: usize) {
        self.crashes.push(self.now);
        self.nodes[node].run += 1;
        self.nodes[node].down_until = self.now + DOWN_TIME;
        let noticed_at = self.now + DETECTION_TIME;
        for tag in std::mem::take(&mut self.nodes[node].running) {
            self.report(
                node,
                tag,
                DETECTION_TIME + NETWORK_DELAY,
                failure(Verdict::MayHaveRun, Reason::UpstreamCrashed),
            );
            // The owner notices the crash later; its slots stay occupied until then.
            let begun = std::mem::replace(&mut self.now, noticed_at);
            self.step_owner(node, owner::Input::UpstreamCrashed { tag });
            self.now = begun;
        }
    }

    fn report(&mut self, node: usize, tag: u64, delay: u64, report: AttemptReport) {
        let pending = &mut self.nodes[node].pending;
        if let Some(index) = pending.iter().position(|(other, _)| *other == tag) {
            let (_, sent) = pending.remove(index);
            self.schedule(delay, Event::Report(sent, report));
        }
    }

    fn execute_control(&mut self, node: usize, effects: Vec<control::Effect>) {
        let from = address(node);
        for effect in effects {
            let (to, input) = match effect {
                control::Effect::Send { to, message } => {
                    (to, control::Input::Datagram { from, message })
                }
                control::Effect::SendCrashReports { to, reports } => {
                    (to, control::Input::CrashReports { from, reports })
                }
                control::Effect::Publish(published) => {
                    let topology = Topology::clone(&self.nodes[node].topology);
                    let topology = topology.with_suspects(Arc::clone(&published.suspects));
                    self.nodes[node].topology = Arc::new(topology);
                    continue;
                }
                _ => continue,
            };
            let target = usize::from(to.port()) - 1_000;
            self.schedule(NETWORK_DELAY, Event::Control(target, input));
        }
    }
}

fn new_node(own: Member, snapshot: &Arc<Snapshot>, table: &MemberTable) -> Node {
    let params = Params::default();
    let id = own.id;
    let domain = own.domain.clone();
    let entry = entry::Machine::new(
        Box::new(PowerOfTwoChoices),
        Box::new(RetryBudget::from_params(&params).expect("valid")),
        Box::new(OutlierDetection::from_params(&params).expect("valid")),
    );
    let admission = RankedAdmission::from_params(&params).expect("valid");
    let mut owner = owner::Machine::new(id, Box::new(admission), UpstreamEnd::Stay);
    let ready = owner::Input::UpstreamAnnounced {
        stage: Stage::Ready,
        slots: SLOTS,
    };
    let random = &mut SeededRandom::new(1);
    owner.step(
        Time(0),
        owner::Input::UpstreamWarmed { warm: true },
        random,
        &mut Vec::new(),
    );
    owner.step(Time(0), ready, random, &mut Vec::new());
    let mut control = control::Machine::new(own, Vec::new(), Parameters::default(), Time(0));
    // All nodes know each other.
    let members = table.members().iter().map(|member| member::Update {
        member: Arc::clone(member),
        source: member.id,
    });
    for update in members {
        let from = update.member.addresses.peer;
        let gossip = member::Gossip {
            from: update.member.id,
            config_id: member::ConfigId::default(),
            updates: vec![update],
        };
        let message = member::Message::Nack {
            sequence: 0,
            gossip,
        };
        let input = control::Input::Datagram { from, message };
        control.step(Time(0), input, random, &mut Vec::new());
    }
    let stage = NodeStage::Serving;
    let topology = Topology::new(id, domain, stage, Some(Arc::clone(snapshot)), table, 1);
    Node {
        id,
        control,
        entry,
        owner,
        topology: Arc::new(topology),
        pending: Vec::new(),
        running: Vec::new(),
        run: 0,
        down_until: 0,
    }
}

fn failure(verdict: Verdict, reason: Reason) -> AttemptReport {
    AttemptReport {
        verdict,
        reason: Some(reason),
        retry_after: Duration::ZERO,
        load: None,
        rate_limit: None,
        upstream_failed: false,
    }
}

/// Guards against one request that crashes upstream after upstream: through retries, through copies that arrive at
/// nodes that saw no crash, or after the upstreams are back; and against other requests that are held for it.
#[rstest]
#[case::often(15, 1)]
#[case::often(15, 2)]
#[case::sometimes(2, 3)]
#[case::rarely(1, 4)]
fn arrive_deadly(#[case] deadly_per_second: u64, #[case] seed: u64) {
    let mut fleet = Fleet::new(10, seed);
    let end = 40 * SECOND;
    let (mut next_innocent, mut next_deadly) = (0, 5 * SECOND);
    let mut innocent = FIRST_INNOCENT;
    while fleet.now < end {
        let (at, fingerprint) = if next_innocent <= next_deadly {
            innocent += 1;
            let at = next_innocent;
            next_innocent += SECOND / 700;
            (at, Fingerprint(innocent))
        } else {
            let at = next_deadly;
            next_deadly += SECOND / deadly_per_second;
            (at, Fingerprint(7))
        };
        fleet.run_until(at);
        let node = fleet.random.below(10);
        fleet.handle(Event::Arrive(node, fingerprint));
    }
    let third = fleet.crashes.get(2).copied().unwrap_or(end);
    let later = fleet.deadly_runs.iter();
    let later = later.filter(|at| **at > third + 3 * SECOND).count();
    assert!(
        later <= 3,
        "{later} runs later than 3 s after the third crash"
    );
    let lost = |from: u64, to: u64| {
        let arrivals = fleet.innocents.iter();
        let arrivals = arrivals.filter(|(at, _)| (from..to).contains(at));
        let outcomes: Vec<bool> = arrivals.map(|(_, served)| *served).collect();
        let lost = outcomes.iter().filter(|served| !**served).count();
        lost as f64 / outcomes.len() as f64
    };
    // Each crash takes one of ten upstreams for 3 s, and the requests that it ran.
    let all = lost(5 * SECOND, end - SECOND);
    assert!(
        all <= 0.05,
        "{all} of the other requests were lost, {:?}",
        fleet.crashes
    );
    let after = lost(third.min(30 * SECOND) + 5 * SECOND, end - SECOND);
    assert!(
        after <= 0.002,
        "{after} of the other requests were lost afterwards"
    );
}
