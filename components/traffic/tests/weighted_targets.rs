//! Tests of routes whose requests are split between services by weight: what a service has no room for is
//! refused, not moved to another one.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rstest::rstest;

use balance::PowerOfTwoChoices;
use control::NodeStage;
use control::Topology;
use errors::Reason;
use errors::Verdict;
use health::OutlierDetection;
use ids::Domain;
use ids::Incarnation;
use ids::NodeId;
use ids::RequestId;
use ids::Version;

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
use retry::RetryBudget;
use traffic::Refusal;
use traffic::entry::Attempt;
use traffic::entry::AttemptReport;
use traffic::entry::CallKey;
use traffic::entry::Effect;
use traffic::entry::Input;
use traffic::entry::Machine;
use traffic::entry::RequestHead;

const REQUESTS: usize = 4_000;
/// Largest difference between the share of a service and that of its weight.
const MAX_DIFFERENCE: f64 = 0.03;

/// Nodes below this id belong to the service `old`, the others to `new`.
const FIRST_NEW_NODE: u64 = 10;

struct Entry {
    machine: Machine,
    random: SeededRandom,
    topology: Arc<Topology>,
    generation: u32,
}

impl Entry {
    /// Creates an entry with these weights of `old` and `new`, and the stages of three endpoints each.
    fn new(weights: (u32, u32), old_stage: Stage, new_stage: Stage) -> Self {
        let params = Params::default();
        let mut entry = Self {
            machine: Machine::new(
                Box::new(PowerOfTwoChoices),
                Box::new(RetryBudget::from_params(&params).expect("valid")),
                Box::new(OutlierDetection::from_params(&params).expect("valid")),
            ),
            random: SeededRandom::new(4),
            topology: Arc::new(Topology::new(
                NodeId(99),
                Domain::new("d"),
                NodeStage::Serving,
                None,
                &MemberTable::default(),
                0,
            )),
            generation: 0,
        };
        entry.configure(weights, old_stage, new_stage);
        entry
    }

    fn configure(&mut self, (old, new): (u32, u32), old_stage: Stage, new_stage: Stage) {
        let text = format!(
            "services: [{{name: old}}, {{name: new}}]
routes:
  - {{host: h, prefix: /, rank: 0, deadline_ms: 2000, idempotent: true, targets: [{{service: old, weight: {old}}}, {{service: new, weight: {new}}}]}}
"
        );
        self.generation += 1;
        let version = Version(u64::from(self.generation));
        let snapshot = config::compile(&text, version).expect("the text is valid");
        let mut table = MemberTable::default();
        for (service, first, stage) in [("old", 1, old_stage), ("new", FIRST_NEW_NODE, new_stage)] {
            for node in first..first + 3 {
                table.merge(member(node, service, stage));
            }
        }
        self.topology = Arc::new(Topology::new(
            NodeId(99),
            Domain::new("d"),
            NodeStage::Serving,
            Some(Arc::new(snapshot)),
            &table,
            self.generation,
        ));
    }

    fn step(&mut self, input: Input) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.machine
            .step(Time(0), input, &mut self.random, &mut effects);
        effects
    }

    fn arrive(&mut self) -> Vec<Effect> {
        let head = RequestHead {
            credential: traffic::entry::Credential::None,
            fingerprint: None,
            id: RequestId(1),
            host: Some("h".to_owned()),
            method: "GET".to_owned(),
            path: "/x".to_owned(),
            time_left: None,
            outer_retries: false,
            replayable: true,
            allowed_while_leaving: false,
        };
        let topology = Arc::clone(&self.topology);
        self.step(Input::Arrived { topology, head })
    }

    fn report(&mut self, call: CallKey, reason: Reason) -> Vec<Effect> {
        let topology = Arc::clone(&self.topology);
        let report = AttemptReport {
            verdict: Verdict::NotRun,
            reason: Some(reason),
            retry_after: Duration::ZERO,
            load: None,
            rate_limit: None,
            upstream_failed: false,
        };
        self.step(Input::AttemptReported {
            call,
            topology,
            report,
        })
    }

    /// Sends many requests; returns the shares that go to `old`, go to `new` and are refused.
    fn split(&mut self) -> [f64; 3] {
        let mut counts = [0; 3];
        for _ in 0..REQUESTS {
            let effects = self.arrive();
            match find_forwarded(&effects) {
                Some((call, attempt)) => {
                    counts[usize::from(attempt.node.0 >= FIRST_NEW_NODE)] += 1;
                    self.step(Input::CallEnded { call });
                }
                None => {
                    let refusal = find_refusal(&effects).expect("the request is refused");
                    assert_eq!(refusal.reason, Reason::NoEndpoint);
                    assert_eq!(refusal.verdict, Verdict::NotRun);
                    counts[2] += 1;
                }
            }
        }
        counts.map(|count| f64::from(count) / REQUESTS as f64)
    }
}

fn member(node: u64, service: &str, stage: Stage) -> Member {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    Member {
        id: NodeId(node),
        addresses: ListenAddresses {
            peer: address,
            requests: address,
            admin: address,
        },
        domain: Domain::new("d"),
        incarnation: Incarnation(1),
        status: Status::Alive,
        stage,
        upstream: Some(Upstream {
            service: Arc::from(service),
            run_id: None,
            version: None,
            slots: 10,
            max_connections: 100,
        }),
    }
}

fn find_forwarded(effects: &[Effect]) -> Option<(CallKey, Attempt)> {
    effects.iter().find_map(|effect| match effect {
        Effect::Forward { call, attempt, .. } => Some((*call, *attempt)),
        _ => None,
    })
}

fn find_refusal(effects: &[Effect]) -> Option<Refusal> {
    effects.iter().find_map(|effect| match effect {
        Effect::Refuse { refusal } => Some(*refusal),
        _ => None,
    })
}

/// Guards against shares that do not follow the weights, and against the requests of a service without
/// ready endpoints being moved to the other one.
#[rstest]
#[case::both_ready((70, 30), Stage::Ready, Stage::Ready, [0.7, 0.3, 0.0])]
#[case::small_part((95, 5), Stage::Ready, Stage::Ready, [0.95, 0.05, 0.0])]
#[case::draining((70, 30), Stage::Ready, Stage::Draining, [0.7, 0.0, 0.3])]
#[case::warming((70, 30), Stage::Ready, Stage::Warming, [0.7, 0.0, 0.3])]
#[case::gone((70, 30), Stage::Gone, Stage::Ready, [0.0, 0.3, 0.7])]
#[case::all_gone((70, 30), Stage::Gone, Stage::Gone, [0.0, 0.0, 1.0])]
fn arrive_weights(
    #[case] weights: (u32, u32),
    #[case] old_stage: Stage,
    #[case] new_stage: Stage,
    #[case] expected: [f64; 3],
) {
    let mut entry = Entry::new(weights, old_stage, new_stage);
    let shares = entry.split();
    for (share, expected) in shares.iter().zip(expected) {
        assert!((share - expected).abs() < MAX_DIFFERENCE, "{shares:?}");
    }
}

/// Guards against a request that moves to the other service when the endpoints of its own are full,
/// leaving or refuse it for its objective.
#[rstest]
#[case::full(Reason::QueueFull)]
#[case::deadline(Reason::DeadlineTooShort)]
#[case::objective(Reason::ObjectiveTooShort)]
#[case::draining(Reason::Draining)]
#[case::unreachable(Reason::ConnectFailed)]
fn report_refused_part(#[case] reason: Reason) {
    let mut entry = Entry::new((50, 50), Stage::Ready, Stage::Ready);
    for _ in 0..100 {
        let mut effects = entry.arrive();
        let mut service = None;
        let mut attempts = 0;
        while let Some((call, attempt)) = find_forwarded(&effects) {
            attempts += 1;
            assert!(attempts <= 5, "the request is sent without end");
            let is_new = attempt.node.0 >= FIRST_NEW_NODE;
            assert_eq!(*service.get_or_insert(is_new), is_new);
            effects = entry.report(call, reason);
        }
        let refusal = find_refusal(&effects).expect("the request is refused in the end");
        assert_eq!(refusal.verdict, Verdict::NotRun);
    }
}

/// Guards against requests that wait at a service while the weights change: they stay with that service,
/// and are refused if it has no endpoint any more.
#[rstest]
#[case::shifted((1, 99), Stage::Ready, true)]
#[case::emptied((99, 1), Stage::Gone, false)]
fn report_changed_weights(
    #[case] weights: (u32, u32),
    #[case] new_stage: Stage,
    #[case] forwarded: bool,
) {
    let mut entry = Entry::new((50, 50), Stage::Ready, Stage::Ready);
    let waiting: Vec<(CallKey, Attempt)> = (0..50)
        .filter_map(|_| find_forwarded(&entry.arrive()))
        .filter(|(_, attempt)| attempt.node.0 >= FIRST_NEW_NODE)
        .collect();
    assert!(waiting.len() > 10);
    entry.configure(weights, Stage::Ready, new_stage);
    for (call, _) in waiting {
        let effects = entry.report(call, Reason::ConnectFailed);
        let next = find_forwarded(&effects);
        assert_eq!(next.is_some(), forwarded);
        assert!(next.is_none_or(|(_, attempt)| attempt.node.0 >= FIRST_NEW_NODE));
        assert_eq!(find_refusal(&effects).is_none(), forwarded);
    }
    let expected = f64::from(weights.0) / 100.0;
    assert!((entry.split()[0] - expected).abs() < MAX_DIFFERENCE);
}
