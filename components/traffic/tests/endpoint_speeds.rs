//! Load pattern: entries that send requests to endpoints whose speeds differ by more than two.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rstest::rstest;

use admit::RankedAdmission;
use balance::PowerOfTwoChoices;
use balance::SpeedWeighted;
use control::NodeStage;
use control::Topology;
use errors::Reason;
use errors::Verdict;
use health::OutlierDetection;
use ids::Domain;
use ids::Incarnation;
use ids::NodeId;
use ids::RequestId;
use ids::RouteId;
use ids::Version;
use kernel::Random;

use kernel::StateMachine as _;
use kernel::Time;
use kernel::plugin::Params;
use kernel::random::SeededRandom;
use member::ListenAddresses;
use member::Member;
use member::MemberTable;
use member::Stage;
use member::Status;
use member::Upstream;
use policy::Admission;
use policy::Balance;
use policy::Completion;
use policy::Decision;
use policy::Job;
use policy::Ticket;
use retry::RetryBudget;
use traffic::entry::Attempt;
use traffic::entry::AttemptReport;
use traffic::entry::CallKey;
use traffic::entry::Credential;
use traffic::entry::Effect;
use traffic::entry::Input;
use traffic::entry::Machine;
use traffic::entry::RequestHead;

const ENDPOINTS: usize = 20;
const ENTRIES: usize = 20;
const SLOTS: u32 = 4;
/// Mean service time at speed 1, and objective, in microseconds.
const WORK: f64 = 65_000.0;
const OBJECTIVE: u64 = 300_000;
const END: u64 = 16_000_000;
const WARM_UP: u64 = 6_000_000;
const CONFIG: &str = "services:\n  - name: s\nroutes:\n  - { host: h, prefix: /, rank: 0, deadline_ms: 800, \
                      objective_ms: 300, idempotent: true, targets: [{ service: s }] }\n";

#[derive(Clone, Copy)]
struct Request {
    arrived: u64,
    entry: usize,
    call: CallKey,
    attempt: Attempt,
    started: u64,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival,
    End(u64),
}

struct Fleet {
    entries: Vec<Machine>,
    endpoints: Vec<RankedAdmission>,
    topology: Arc<Topology>,
    random: SeededRandom,
    requests: Vec<Request>,
    events: Vec<(u64, Event)>,
}

/// Speed of an endpoint: from 0.55 to 1.2.
fn speed(endpoint: usize) -> f64 {
    0.55 + 0.65 * endpoint as f64 / (ENDPOINTS - 1) as f64
}

fn topology() -> Topology {
    let mut table = MemberTable::default();
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    for node in 0..ENDPOINTS as u64 {
        table.merge(Member {
            id: NodeId(node),
            addresses: ListenAddresses {
                peer: address,
                requests: address,
                admin: address,
            },
            domain: Domain::new("d"),
            incarnation: Incarnation(1),
            status: Status::Alive,
            stage: Stage::Ready,
            upstream: Some(Upstream {
                version: None,
                service: Arc::from("s"),
                run_id: None,
                slots: SLOTS,
                max_connections: 500,
            }),
        });
    }
    let snapshot = Arc::new(config::compile(CONFIG, Version(1)).expect("the text is valid"));
    let domain = Domain::new("d");
    Topology::new(
        NodeId(99),
        domain,
        NodeStage::Serving,
        Some(snapshot),
        &table,
        1,
    )
}

impl Fleet {
    fn new(new_balance: &dyn Fn() -> Box<dyn Balance>, seed: u64) -> Self {
        let params = Params::default();
        let new_entry = |_| {
            Machine::new(
                new_balance(),
                Box::new(RetryBudget::from_params(&params).expect("valid")),
                Box::new(OutlierDetection::from_params(&params).expect("valid")),
            )
        };
        let new_endpoint = |_| {
            let mut ranked = RankedAdmission::from_params(&params).expect("valid");
            ranked.set_slots(Time(0), SLOTS, &mut Vec::new());
            ranked
        };
        Self {
            entries: (0..ENTRIES).map(new_entry).collect(),
            endpoints: (0..ENDPOINTS).map(new_endpoint).collect(),
            topology: Arc::new(topology()),
            random: SeededRandom::new(seed),
            requests: Vec::new(),
            events: vec![(0, Event::Arrival)],
        }
    }

    fn step_entry(&mut self, now: u64, entry: usize, input: Input) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.entries[entry].step(Time(now), input, &mut self.random, &mut effects);
        effects
    }

    fn arrive(&mut self, now: u64) {
        let entry = self.random.below(ENTRIES);
        let head = RequestHead {
            id: RequestId(1),
            fingerprint: None,
            host: Some("h".to_owned()),
            method: "GET".to_owned(),
            path: "/".to_owned(),
            credential: Credential::None,
            time_left: None,
            outer_retries: false,
            replayable: true,
            allowed_while_leaving: false,
        };
        let topology = Arc::clone(&self.topology);
        let effects = self.step_entry(now, entry, Input::Arrived { topology, head });
        self.follow(now, now, entry, effects);
    }

    /// Offers a forwarded request to its endpoint.
    fn follow(&mut self, now: u64, arrived: u64, entry: usize, effects: Vec<Effect>) {
        let forwarded = effects.into_iter().find_map(|effect| match effect {
            Effect::Forward { call, attempt, .. } => Some((call, attempt)),
            _ => None,
        });
        let Some((call, attempt)) = forwarded else {
            return;
        };
        let ticket = Ticket(self.requests.len() as u64);
        self.requests.push(Request {
            arrived,
            entry,
            call,
            attempt,
            started: now,
        });
        let job = Job {
            ticket,
            route: RouteId(1),
            rank: ids::Rank(0),
            weight: 1,
            expires: attempt.deadline,
            objective: attempt.objective,
            spillable: attempt.spillable,
            onward: false,
            organisation: None,
        };
        let mut decisions = Vec::new();
        let endpoint = &mut self.endpoints[attempt.node.0 as usize];
        endpoint.wake(Time(now), &mut decisions);
        endpoint.offer(Time(now), job, &mut decisions);
        self.apply(now, decisions);
    }

    fn apply(&mut self, now: u64, decisions: Vec<Decision>) {
        for decision in decisions {
            match decision {
                Decision::Start(Ticket(ticket)) => {
                    let request = &mut self.requests[ticket as usize];
                    request.started = now;
                    let mean = (WORK / speed(request.attempt.node.0 as usize)) as usize;
                    let work = (mean / 2 + self.random.below(mean)) as u64;
                    self.events.push((now + work, Event::End(ticket)));
                }
                Decision::Refuse { ticket, reason, .. } => {
                    self.report(now, ticket.0, Verdict::NotRun, Some(reason));
                }
            }
        }
    }

    fn report(&mut self, now: u64, ticket: u64, verdict: Verdict, reason: Option<Reason>) {
        let request = self.requests[ticket as usize];
        let node = request.attempt.node.0 as usize;
        let report = AttemptReport {
            verdict,
            reason,
            retry_after: Duration::from_millis(50),
            load: Some(self.endpoints[node].load()),
            rate_limit: None,
            upstream_failed: false,
        };
        let (call, topology) = (request.call, Arc::clone(&self.topology));
        let input = Input::AttemptReported {
            call,
            topology,
            report,
        };
        let effects = self.step_entry(now, request.entry, input);
        if reason.is_none() {
            self.step_entry(now, request.entry, Input::CallEnded { call });
        } else {
            self.follow(now, request.arrived, request.entry, effects);
        }
    }

    /// Returns the share of the requests that end within their objective, with arrivals at `load` times the
    /// capacity.
    fn run(mut self, load: f64) -> f64 {
        let capacity: f64 = (0..ENDPOINTS).map(speed).sum::<f64>() * f64::from(SLOTS) / WORK;
        let (mut arrivals, mut in_time) = (0_u32, 0_u32);
        while let Some(position) = (0..self.events.len()).min_by_key(|it| self.events[*it]) {
            let (now, event) = self.events.swap_remove(position);
            if now > END {
                break;
            }
            match event {
                Event::Arrival => {
                    let uniform = (self.random.below(1_000_000) as f64 + 1.0) / 1_000_001.0;
                    let gap = (-uniform.ln() / (capacity * load)) as u64;
                    self.events.push((now + gap, Event::Arrival));
                    arrivals += u32::from(now >= WARM_UP);
                    self.arrive(now);
                }
                Event::End(ticket) => {
                    let request = self.requests[ticket as usize];
                    let counted = request.arrived >= WARM_UP;
                    in_time += u32::from(counted && now - request.arrived <= OBJECTIVE);
                    let latency = Duration::from_micros(now - request.started);
                    let completion = Completion {
                        latency,
                        shed: false,
                    };
                    let mut decisions = Vec::new();
                    let node = request.attempt.node.0 as usize;
                    self.endpoints[node].wake(Time(now), &mut decisions);
                    self.endpoints[node].finish(
                        Time(now),
                        Ticket(ticket),
                        completion,
                        &mut decisions,
                    );
                    self.report(now, ticket, Verdict::Ran, None);
                    self.apply(now, decisions);
                }
            }
        }
        f64::from(in_time) / f64::from(arrivals)
    }
}

/// Guards against slow endpoints that get as many requests as fast ones, which then miss their objective
/// there, and against weights that make an overload worse.
#[rstest]
#[case::below_capacity(0.85, 0.0)]
#[case::at_capacity(1.0, 0.002)]
#[case::overload(1.2, 0.0)]
fn choose_by_speed(#[case] load: f64, #[case] min_gain: f64) {
    let by_slots = Fleet::new(&|| Box::new(PowerOfTwoChoices), 1).run(load);
    let by_speed = Fleet::new(&|| Box::new(SpeedWeighted), 1).run(load);
    assert!(by_speed >= by_slots + min_gain, "{by_slots} -> {by_speed}");
}
