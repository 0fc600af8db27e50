//! Tests of the endpoints that an entry chooses by the versions of their upstreams.

use std::net::SocketAddr;
use std::ops::RangeInclusive;
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
use rollout::Phase;
use rollout::Revision;
use rollout::ServiceView;
use rollout::Trial;
use rollout::View;
use traffic::entry::Attempt;
use traffic::entry::AttemptReport;
use traffic::entry::CallKey;
use traffic::entry::Credential;
use traffic::entry::Effect;
use traffic::entry::Input;
use traffic::entry::Machine;
use traffic::entry::RequestHead;

const CONFIG: &str = "services:
  - name: desk
routes:
  - {host: desk, prefix: /, rank: 0, deadline_ms: 2000, objective_ms: 50, idempotent: true, targets: [{service: desk}]}
";

/// An entry and its topology.
struct Harness {
    machine: Machine,
    random: SeededRandom,
    topology: Arc<Topology>,
}

/// Topology of endpoints with these versions; their nodes are numbered from 1.
fn topology(versions: &[&str], view: View) -> Arc<Topology> {
    let mut table = MemberTable::default();
    for (index, version) in versions.iter().enumerate() {
        let address = SocketAddr::from(([127, 0, 0, 1], 1));
        table.merge(Member {
            id: NodeId(1 + index as u64),
            addresses: ListenAddresses {
                peer: address,
                requests: address,
                admin: address,
            },
            domain: Domain::new("d0"),
            incarnation: Incarnation(1),
            status: Status::Alive,
            stage: Stage::Ready,
            upstream: Some(Upstream {
                service: Arc::from("desk"),
                run_id: None,
                version: Some(Arc::from(*version)),
                slots: 10,
                max_connections: 100,
            }),
        });
    }
    let snapshot = config::compile(CONFIG, Version(1)).expect("the text is valid");
    let snapshot = Some(Arc::new(snapshot));
    let (id, domain) = (NodeId(99), Domain::new("d0"));
    let topology = Topology::new(id, domain, NodeStage::Serving, snapshot, &table, 1);
    Arc::new(topology.with_rollouts(Arc::new(view)))
}

/// A rollout of `v2` while `v1` is established, whose state is fresh until `fresh_until_us`.
fn running(phase: Phase, halted: bool, fresh_until_us: u64) -> View {
    let service = ServiceView {
        service: Arc::from("desk"),
        established: Some(Arc::from("v1")),
        trial: Some(Trial {
            order: Revision { era: 0, number: 5 },
            target: Arc::from("v2"),
            phase,
            halted,
            fresh_until: Time(fresh_until_us),
        }),
    };
    View::new(vec![service], false).with_canary_permille(70)
}

fn established(version: &str) -> View {
    let service = ServiceView {
        service: Arc::from("desk"),
        established: Some(Arc::from(version)),
        trial: None,
    };
    View::new(vec![service], false)
}

impl Harness {
    fn new(topology: Arc<Topology>) -> Self {
        let params = Params::default();
        Self {
            machine: Machine::new(
                Box::new(PowerOfTwoChoices),
                Box::new(RetryBudget::from_params(&params).expect("valid")),
                Box::new(OutlierDetection::from_params(&params).expect("valid")),
            ),
            random: SeededRandom::new(9),
            topology,
        }
    }

    fn step(&mut self, now: Time, input: Input) -> Option<(CallKey, Attempt)> {
        let mut effects = Vec::new();
        self.machine
            .step(now, input, &mut self.random, &mut effects);
        effects.iter().find_map(|effect| match effect {
            Effect::Forward { call, attempt, .. } => Some((*call, *attempt)),
            _ => None,
        })
    }

    fn arrive(&mut self, now: Time) -> Option<(CallKey, Attempt)> {
        let head = RequestHead {
            credential: Credential::None,
            fingerprint: None,
            id: RequestId(1),
            host: Some("desk".to_owned()),
            method: "GET".to_owned(),
            path: "/status".to_owned(),
            time_left: None,
            outer_retries: false,
            replayable: true,
            allowed_while_leaving: false,
        };
        let topology = Arc::clone(&self.topology);
        self.step(now, Input::Arrived { topology, head })
    }

    /// Answers the attempt, with a server error if `upstream_failed`.
    fn answer(&mut self, now: Time, call: CallKey, upstream_failed: bool) {
        let report = AttemptReport {
            verdict: Verdict::Ran,
            reason: None,
            retry_after: Duration::ZERO,
            load: None,
            rate_limit: None,
            upstream_failed,
        };
        self.report(now, call, report);
        self.step(now, Input::CallEnded { call });
    }

    fn fail(&mut self, now: Time, call: CallKey) -> Option<(CallKey, Attempt)> {
        let report = AttemptReport {
            verdict: Verdict::NotRun,
            reason: Some(Reason::ConnectFailed),
            retry_after: Duration::ZERO,
            load: None,
            rate_limit: None,
            upstream_failed: false,
        };
        self.report(now, call, report)
    }

    fn report(
        &mut self,
        now: Time,
        call: CallKey,
        report: AttemptReport,
    ) -> Option<(CallKey, Attempt)> {
        let topology = Arc::clone(&self.topology);
        let input = Input::AttemptReported {
            call,
            topology,
            report,
        };
        self.step(now, input)
    }
}

/// Guards against requests and retries at a version that no order has named, and against refusing a service of
/// which only such versions are left. The established endpoints fail all the time here.
#[rstest]
#[case::other_version(&["v1", "v1", "v2", "v2", "v2"], "v1", &[1, 2])]
#[case::none_left(&["v2", "v2", "v3"], "v1", &[1, 2, 3])]
fn arrive_established(#[case] versions: &[&str], #[case] version: &str, #[case] allowed: &[u64]) {
    let mut harness = Harness::new(topology(versions, established(version)));
    let mut used = Vec::new();
    for request in 0..500 {
        let now = Time(request * 10_000);
        let mut forwarded = harness.arrive(now);
        assert!(forwarded.is_some(), "an endpoint is left");
        while let Some((call, attempt)) = forwarded {
            used.push(attempt.node.0);
            forwarded = harness.fail(now, call);
        }
    }
    used.sort_unstable();
    used.dedup();
    assert_eq!(used, allowed);
}

/// Guards against requests at unknown versions from a node that has just started and was not told yet which
/// version is established.
#[rstest]
fn arrive_held() {
    let mut harness = Harness::new(topology(&["v1", "v2"], View::new(Vec::new(), true)));
    assert_eq!(harness.arrive(Time(0)), None);
}

/// Guards against a version on trial that gets more than its share of an entry's requests, gets them after a halt, a
/// silence of the coordinator or a verdict, or spreads them so thinly that its endpoints bear no load.
#[rstest]
#[case::running(Phase::Running, false, u64::MAX, 60..=70)]
#[case::halted(Phase::Running, true, u64::MAX, 0..=0)]
#[case::silent(Phase::Running, false, 0, 0..=0)]
#[case::rolled_back(Phase::RolledBack, false, u64::MAX, 0..=0)]
#[case::promoting(Phase::Promoting, false, 0, 1_000..=1_000)]
fn arrive_share(
    #[case] phase: Phase,
    #[case] halted: bool,
    #[case] fresh_until_us: u64,
    #[case] expected: RangeInclusive<usize>,
) {
    let versions = ["v1", "v1", "v1", "v1", "v2", "v2", "v2", "v2"];
    let view = running(phase, halted, fresh_until_us);
    let mut harness = Harness::new(topology(&versions, view));
    let mut nodes = Vec::new();
    for request in 0..1_000 {
        let now = Time(1 + request * 10_000);
        let (call, attempt) = harness.arrive(now).expect("an endpoint is left");
        let is_new = attempt.node.0 > 4;
        nodes.extend(is_new.then_some(attempt.node));
        harness.answer(now, call, is_new);
    }
    assert!(expected.contains(&nodes.len()), "{}", nodes.len());
    nodes.sort_unstable();
    nodes.dedup();
    assert!(phase == Phase::Promoting || nodes.len() <= 2, "{nodes:?}");
}

/// Guards against a retry of a request that failed at the version on trial at another endpoint of that version.
#[rstest]
fn retry_canary() {
    let versions = ["v1", "v1", "v2", "v2"];
    let mut harness = Harness::new(topology(
        &versions,
        running(Phase::Running, false, u64::MAX),
    ));
    let mut canaries = 0;
    for request in 0..500 {
        let now = Time(request * 10_000);
        let (call, attempt) = harness.arrive(now).expect("an endpoint is left");
        if attempt.node.0 < 3 {
            harness.answer(now, call, false);
            continue;
        }
        canaries += 1;
        let (_, retry) = harness.fail(now, call).expect("the request is retried");
        assert!(retry.node.0 < 3, "{:?}", retry.node);
    }
    assert!(canaries > 20, "{canaries}");
}

/// Guards against durations of retries that do not contain all of their attempt: the delay before it counted as part of
/// the attempt, so that the established version seemed faster than it is and slow answers of it went uncounted.
#[rstest]
fn measure_delayed_retry() {
    let view = running(Phase::Running, false, u64::MAX);
    // A retry waits only if no other endpoint is left.
    let mut harness = Harness::new(topology(&["v1", "v2"], view));
    let now = Time(1_000_000);
    let (call, _) = harness.arrive(now).expect("an endpoint is left");
    let refusal = AttemptReport {
        verdict: Verdict::NotRun,
        reason: Some(Reason::QueueFull),
        retry_after: Duration::from_millis(40),
        load: None,
        rate_limit: None,
        upstream_failed: false,
    };
    let answer = AttemptReport {
        verdict: Verdict::Ran,
        reason: None,
        ..refusal
    };
    let (_, retry) = harness
        .report(now, call, refusal)
        .expect("the request is retried");
    assert!(retry.delay >= Duration::from_millis(20), "{retry:?}");
    let answered = now + retry.delay + Duration::from_millis(60);
    let topology = Arc::clone(&harness.topology);
    let input = Input::AttemptReported {
        call,
        topology,
        report: answer,
    };
    let mut effects = Vec::new();
    harness
        .machine
        .step(answered, input, &mut harness.random, &mut effects);
    let slow = effects.iter().find_map(|effect| match effect {
        Effect::OutcomesCounted { tallies, .. } => Some(tallies[0].counts.slow),
        _ => None,
    });
    assert_eq!(slow, Some(1));
}
