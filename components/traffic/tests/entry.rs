//! Tests of the entry's decisions: endpoint selection, early shedding, retries and outcome queries.

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::sync::Arc;
use std::time::Duration;

use rstest::rstest;

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
use ids::Rank;
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
use policy::Load;
use policy::RequestRate;
use quarantine::Crash;
use quarantine::Table;
use retry::RetryBudget;
use traffic::Refusal;
use traffic::entry::Attempt;
use traffic::entry::AttemptReport;
use traffic::entry::CallKey;
use traffic::entry::Credential;
use traffic::entry::Effect;
use traffic::entry::Input;
use traffic::entry::Machine;
use traffic::entry::RequestHead;
use traffic::ledger::Outcome;

const CONFIG: &str = "services:
  - name: stock
    routes:
      - {method: GET, path: /flood, rank: 3, deadline_ms: 2000, idempotent: true}
      - {method: GET, path: /calm, rank: 3, deadline_ms: 2000, idempotent: true}
      - {method: POST, path: /once, rank: 0, deadline_ms: 2000, idempotent: false}
routes:
  - {host: h, prefix: /bulk/, rank: 2, deadline_ms: 1200, idempotent: true, large_responses: true, targets: [{service: stock}]}
  - {host: h, prefix: /timed/, rank: 0, deadline_ms: 2000, idempotent: false, objective_ms: 500, targets: [{service: stock}]}
";
/// A configuration without large responses and organisations.
const SMALL_CONFIG: &str = "services:
  - name: stock
    routes:
      - {method: GET, path: /calm, rank: 3, deadline_ms: 2000, idempotent: true}
";
const SECOND_US: u64 = 1_000_000;
/// Fingerprint of all requests.
const FINGERPRINT: Fingerprint = Fingerprint(7);

/// An entry with its configuration and the topology that it is given.
struct Harness {
    machine: Machine,
    random: SeededRandom,
    snapshot: Arc<Snapshot>,
    topology: Arc<Topology>,
    node_id: NodeId,
    generation: u32,
    /// Credential of all requests.
    credential: Credential,
}

impl Harness {
    /// Creates an entry on node `node_id` with these ready endpoints; node ids that are multiples
    /// of four are in the entry's failure domain.
    fn new(node_id: u64, nodes: impl IntoIterator<Item = u64>) -> Self {
        Self::with_config(CONFIG, node_id, nodes)
    }

    fn with_config(config: &str, node_id: u64, nodes: impl IntoIterator<Item = u64>) -> Self {
        let params = Params::default();
        let snapshot = Arc::new(config::compile(config, Version(1)).expect("the text is valid"));
        let node_id = NodeId(node_id);
        let machine = Machine::new(
            Box::new(PowerOfTwoChoices),
            Box::new(RetryBudget::from_params(&params).expect("valid")),
            Box::new(OutlierDetection::from_params(&params).expect("valid")),
        );
        let domain = Domain::new("d0");
        let table = MemberTable::default();
        let topology = Topology::new(node_id, domain, NodeStage::Serving, None, &table, 0);
        let mut harness = Self {
            machine,
            random: SeededRandom::new(9),
            snapshot,
            topology: Arc::new(topology),
            node_id,
            generation: 0,
            credential: Credential::None,
        };
        harness.set_nodes(nodes);
        harness
    }

    fn set_nodes(&mut self, nodes: impl IntoIterator<Item = u64>) {
        let mut table = MemberTable::default();
        for node in nodes {
            let address = SocketAddr::from(([127, 0, 0, 1], 1));
            table.merge(Member {
                id: NodeId(node),
                addresses: ListenAddresses {
                    peer: address,
                    requests: address,
                    admin: address,
                },
                domain: Domain::new(&format!("d{}", node % 4)),
                incarnation: Incarnation(1),
                status: Status::Alive,
                stage: Stage::Ready,
                upstream: Some(Upstream {
                    service: Arc::from("stock"),
                    run_id: None,
                    version: None,
                    slots: 10,
                    max_connections: 100,
                }),
            });
        }
        self.generation += 1;
        self.topology = Arc::new(Topology::new(
            self.node_id,
            Domain::new("d0"),
            NodeStage::Serving,
            Some(Arc::clone(&self.snapshot)),
            &table,
            self.generation,
        ));
    }

    /// Publishes that the request was suspect in this number of crashes at time 0.
    fn set_crashes(&mut self, crashes: u32) {
        let mut table = Table::new(NodeId(1));
        for node in 1..=crashes {
            let crash = Crash {
                node: NodeId(node.into()),
                number: 1,
            };
            table.record_crash(Time(0), FINGERPRINT, crash);
        }
        let topology = Topology::clone(&self.topology);
        self.topology = Arc::new(topology.with_suspects(Arc::new(table.view())));
    }

    fn step(&mut self, now: u64, input: Input) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.machine
            .step(Time(now), input, &mut self.random, &mut effects);
        effects
    }

    fn arrive(&mut self, now: u64, method: &str, path: &str) -> Vec<Effect> {
        let head = RequestHead {
            credential: self.credential,
            fingerprint: Some(FINGERPRINT),
            id: RequestId(1),
            host: Some("h".to_owned()),
            method: method.to_owned(),
            path: path.to_owned(),
            time_left: None,
            outer_retries: false,
            replayable: true,
            allowed_while_leaving: false,
        };
        let topology = Arc::clone(&self.topology);
        self.step(now, Input::Arrived { topology, head })
    }

    fn report_attempt(&mut self, now: u64, call: CallKey, report: AttemptReport) -> Vec<Effect> {
        let topology = Arc::clone(&self.topology);
        let input = Input::AttemptReported {
            call,
            topology,
            report,
        };
        self.step(now, input)
    }

    fn report_outcome(&mut self, now: u64, call: CallKey, outcome: Outcome) -> Vec<Effect> {
        let topology = Arc::clone(&self.topology);
        let input = Input::OutcomeReceived {
            call,
            topology,
            outcome,
        };
        self.step(now, input)
    }

    /// Sends a request that succeeds at once; returns the node that served it.
    fn serve(&mut self, now: u64, path: &str, load: Option<Load>) -> NodeId {
        let (call, attempt) = find_forwarded(&self.arrive(now, "GET", path));
        let report = AttemptReport {
            verdict: Verdict::Ran,
            reason: None,
            retry_after: Duration::ZERO,
            load,
            rate_limit: None,
            upstream_failed: false,
        };
        self.report_attempt(now, call, report);
        self.step(now, Input::CallEnded { call });
        attempt.node
    }
}

fn find_forwarded(effects: &[Effect]) -> (CallKey, Attempt) {
    let found = effects.iter().find_map(|effect| match effect {
        Effect::Forward { call, attempt, .. } => Some((*call, *attempt)),
        _ => None,
    });
    found.expect("the request is forwarded")
}

fn find_refusal(effects: &[Effect]) -> Option<Refusal> {
    effects.iter().find_map(|effect| match effect {
        Effect::Refuse { refusal } => Some(*refusal),
        _ => None,
    })
}

fn failure_report(verdict: Verdict, reason: Reason) -> AttemptReport {
    AttemptReport {
        verdict,
        reason: Some(reason),
        retry_after: Duration::ZERO,
        load: None,
        rate_limit: None,
        upstream_failed: false,
    }
}

/// Guards against early shedding that hits routes without recent refusals, that goes on after the
/// load reports are out of date, or that sends no requests by which the entry would notice the
/// recovery.
#[rstest]
#[case::flood("/flood", 1_000, 850..1_000)]
#[case::calm_route("/calm", 1_000, 0..1)]
#[case::old_reports("/flood", 300_000, 0..1)]
fn arrive_shed(#[case] path: &str, #[case] later_us: u64, #[case] shed: std::ops::Range<usize>) {
    let mut harness = Harness::new(99, [1, 2, 3]);
    let load = Load {
        running: 10,
        limit: 10,
        least_urgent_accepted: Rank(2),
        ..Load::default()
    };
    for _ in 0..100 {
        harness.serve(0, "/calm", Some(load));
    }
    let (call, _) = find_forwarded(&harness.arrive(0, "GET", "/flood"));
    let report = failure_report(Verdict::NotRun, Reason::QueueFull);
    let effects = harness.report_attempt(0, call, report);
    if let Some(Effect::Forward { call, .. }) = effects.last() {
        harness.step(0, Input::CallEnded { call: *call });
    }
    let mut count = 0;
    for _ in 0..1_000 {
        let effects = harness.arrive(later_us, "GET", path);
        match find_refusal(&effects) {
            Some(refusal) => {
                assert_eq!(refusal.reason, Reason::ShedEarly);
                count += 1;
            }
            None => {
                let (call, _) = find_forwarded(&effects);
                harness.step(later_us, Input::CallEnded { call });
            }
        }
    }
    assert!(shed.contains(&count), "{count}");
}

/// Guards against connections to all endpoints of a large service, against entries that all select
/// the same subset, and against a subset without endpoints of the entry's own failure domain.
#[rstest]
fn arrive_subset() {
    let mut used = vec![0; 200];
    for node_id in 1_000..1_040 {
        let mut harness = Harness::new(node_id, 0..200);
        let mut nodes = Vec::new();
        for step in 0..400 {
            let (_, attempt) = find_forwarded(&harness.arrive(step, "GET", "/calm"));
            nodes.push(attempt.node);
        }
        nodes.sort_unstable();
        nodes.dedup();
        assert!(nodes.len() <= 20);
        assert_eq!(nodes.iter().filter(|node| node.0 % 4 == 0).count(), 10);
        nodes.iter().for_each(|node| used[node.0 as usize] += 1);
    }
    let unused = used.iter().filter(|count| **count == 0).count();
    assert!(unused < 20, "{unused} of 200");
}

/// Guards against state that is kept for nodes which have left the topology.
#[rstest]
fn arrive_churn() {
    let mut harness = Harness::new(99, 0..10);
    for round in 0..50 {
        harness.set_nodes(round * 10..round * 10 + 10);
        for _ in 0..20 {
            harness.serve(round * SECOND_US, "/calm", None);
        }
    }
    assert!(harness.machine.tracked_nodes() <= 10);
    assert_eq!(harness.machine.open_calls(), 0);
}

/// Guards against too many requests to an endpoint that has just become ready, and against an
/// endpoint that never gets its full share.
#[rstest]
fn arrive_new_endpoint() {
    let mut harness = Harness::new(99, [1, 2, 3, 5]);
    harness.serve(0, "/calm", None);
    harness.set_nodes([1, 2, 3, 5, 6]);
    let mut share = |at: u64| {
        let nodes = (0..1_000).map(|_| harness.serve(at, "/calm", None));
        nodes.filter(|node| *node == NodeId(6)).count()
    };
    let shares = [share(SECOND_US), share(2 * SECOND_US), share(6 * SECOND_US)];
    assert!(shares[0] < 60 && shares[0] > 0, "{shares:?}");
    assert!(shares[1] < 120, "{shares:?}");
    assert!(shares[2] > 150, "{shares:?}");
}

/// Guards against new requests to an endpoint that has reported that it is leaving.
#[rstest]
#[case::draining(Reason::Draining, 0)]
#[case::full(Reason::QueueFull, 1)]
fn report_unavailable(#[case] reason: Reason, #[case] min_requests: usize) {
    let mut harness = Harness::new(99, [1, 2, 3]);
    let (call, attempt) = find_forwarded(&harness.arrive(0, "GET", "/calm"));
    let effects = harness.report_attempt(0, call, failure_report(Verdict::NotRun, reason));
    let (_, second) = find_forwarded(&effects);
    assert_ne!(second.node, attempt.node);
    let nodes = (0..200).map(|step| harness.serve(1_000 + step, "/calm", None));
    let later_requests = nodes.filter(|node| *node == attempt.node).count();
    assert!(
        later_requests >= min_requests && (min_requests > 0 || later_requests == 0),
        "{later_requests}"
    );
}

/// Guards against an unreachable node that is never ejected because the deadlines pass before the
/// first outcome query, and against the ejection of a node that is only slow.
#[rstest]
#[case::unreachable(false, 0)]
#[case::slow(true, 1)]
fn report_deadline_passed(#[case] with_load: bool, #[case] min_requests: usize) {
    let mut harness = Harness::new(99, [1, 2, 3]);
    for _ in 0..30 {
        let (call, attempt) = find_forwarded(&harness.arrive(0, "POST", "/once"));
        if attempt.node == NodeId(1) {
            let load = with_load.then(Load::default);
            let deadline_passed = failure_report(Verdict::MayHaveRun, Reason::DeadlinePassed);
            harness.report_attempt(
                0,
                call,
                AttemptReport {
                    load,
                    ..deadline_passed
                },
            );
        } else {
            harness.step(0, Input::CallEnded { call });
        }
    }
    let nodes = (0..100).map(|_| harness.serve(0, "/calm", None));
    let count = nodes.filter(|node| *node == NodeId(1)).count();
    assert!(
        count >= min_requests && (min_requests > 0 || count == 0),
        "{count}"
    );
}

/// Guards against the verdict "not run" for a call of which an earlier attempt may have run.
#[rstest]
fn report_combined_verdict() {
    let mut harness = Harness::new(99, [1, 2, 3]);
    let (call, _) = find_forwarded(&harness.arrive(0, "GET", "/calm"));
    let broken = failure_report(Verdict::MayHaveRun, Reason::ConnectionBroken);
    let effects = harness.report_attempt(1, call, broken);
    assert_eq!(find_forwarded(&effects).1.number, 2);
    let effects =
        harness.report_attempt(2, call, failure_report(Verdict::NotRun, Reason::QueueFull));
    assert_eq!(find_forwarded(&effects).1.number, 3);
    let effects =
        harness.report_attempt(3, call, failure_report(Verdict::NotRun, Reason::QueueFull));
    let retry_denied = Effect::RetryDenied {
        reason: Reason::AttemptsSpent,
    };
    assert!(effects.contains(&retry_denied));
    assert_eq!(
        find_refusal(&effects).map(|it| it.verdict),
        Some(Verdict::MayHaveRun)
    );
}

/// Guards against cancelling a queued attempt too early, or on a route that is not idempotent,
/// where a lost answer to the query would leave the outcome unknown.
#[rstest]
#[case::idempotent("GET", "/calm", [false, true])]
#[case::not_idempotent("POST", "/once", [false, false])]
fn silence_cancel_queued(#[case] method: &str, #[case] path: &str, #[case] expected: [bool; 2]) {
    let mut harness = Harness::new(99, [1, 2, 3]);
    let (call, _) = find_forwarded(&harness.arrive(0, method, path));
    for (step, expected) in (1..).zip(expected) {
        let effects = harness.step(step, Input::SilenceTimeout { call });
        let [
            Effect::Query {
                cancel_if_queued, ..
            },
        ] = effects[..]
        else {
            panic!("not one query: {effects:?}");
        };
        assert_eq!(cancel_if_queued, expected);
        let effects = harness.report_outcome(step, call, Outcome::Running);
        assert_eq!(effects, [Effect::Wait { call }]);
    }
}

/// Guards against a stored answer that is not fetched, and against an answer that counts as lost
/// while it is still in transit.
#[rstest]
#[case::found(true, true)]
#[case::lost(true, false)]
#[case::not_stored(false, false)]
fn outcome_done(#[case] stored: bool, #[case] found: bool) {
    let mut harness = Harness::new(99, [1, 2, 3]);
    let (call, attempt) = find_forwarded(&harness.arrive(0, "POST", "/once"));
    let done = Outcome::Done {
        verdict: Verdict::Ran,
        stored,
    };
    let mut effects = harness.report_outcome(1, call, done);
    if stored {
        assert_eq!(effects, [Effect::Fetch { call, attempt }]);
        let topology = Arc::clone(&harness.topology);
        let fetched = Input::FetchCompleted {
            call,
            topology,
            found,
        };
        effects = harness.step(2, fetched.clone());
        if !found {
            assert_eq!(effects, [Effect::Fetch { call, attempt }]);
            effects = harness.step(3, fetched);
        }
    } else {
        assert_eq!(effects, [Effect::Wait { call }]);
        effects = harness.report_outcome(3, call, done);
    }
    if found {
        assert_eq!(effects, [Effect::Deliver { call }]);
    } else {
        assert_eq!(
            find_refusal(&effects).map(|it| it.verdict),
            Some(Verdict::Ran)
        );
    }
}

/// Guards against an endpoint whose upstream answers 500 at once and which attracts requests
/// because it looks idle.
#[rstest]
fn report_upstream_failure() {
    let mut harness = Harness::new(100, 1..=6);
    let mut failing_node = None;
    let mut sent_to_failing = 0;
    let mut health_changes = 0;
    for at in 0..300 {
        let now = at * SECOND_US / 100;
        let (call, attempt) = find_forwarded(&harness.arrive(now, "GET", "/calm"));
        let failing = *failing_node.get_or_insert(attempt.node) == attempt.node;
        sent_to_failing += u32::from(failing);
        let report = AttemptReport {
            verdict: Verdict::Ran,
            reason: None,
            retry_after: Duration::ZERO,
            load: None,
            rate_limit: None,
            upstream_failed: failing,
        };
        let effects = harness.report_attempt(now, call, report);
        let (last, before) = effects.split_last().expect("an effect");
        assert!(matches!(last, Effect::Deliver { .. }), "{effects:?}");
        for effect in before {
            assert!(
                matches!(effect, Effect::HealthChanged { node, .. } if *node == attempt.node && failing),
                "{effects:?}"
            );
            health_changes += 1;
        }
        harness.step(now, Input::CallEnded { call });
    }
    // An equal share of 300 requests would be 50.
    assert!(
        sent_to_failing <= 10,
        "{sent_to_failing} requests to the failing endpoint"
    );
    // In 3 s, with each ejection twice as long as the one before, there are one or two ejections.
    assert!(
        (1..=2).contains(&health_changes),
        "{health_changes} health changes"
    );
}

/// Guards against callers that were refused together and all retry at the same moment, and against
/// a `retry_after` that is out of proportion to the one of the owner.
#[rstest]
#[case::short(0, 75..=225)]
#[case::by_owner(4_000, 2_000..=6_000)]
fn refuse_jitter(#[case] retry_after_ms: u64, #[case] range: RangeInclusive<u128>) {
    let mut harness = Harness::new(100, 1..=1);
    let mut times = Vec::new();
    for at in 0..20 {
        let now = at * 10 * SECOND_US;
        let mut effects = harness.arrive(now, "POST", "/once");
        let refusal = loop {
            if let Some(refusal) = find_refusal(&effects) {
                break refusal;
            }
            let report = AttemptReport {
                verdict: Verdict::NotRun,
                reason: Some(Reason::QueueFull),
                retry_after: Duration::from_millis(retry_after_ms),
                load: None,
                rate_limit: None,
                upstream_failed: false,
            };
            effects = harness.report_attempt(now, find_forwarded(&effects).0, report);
        };
        assert!(range.contains(&refusal.retry_after.as_millis()));
        times.push(refusal.retry_after);
    }
    times.sort_unstable();
    times.dedup();
    assert!(times.len() > 10, "{times:?}");
}

/// Guards against a call that stays queued at another node while the entry's node exits. Its
/// outcome query asks for the cancellation, even on a route that is not idempotent, and the
/// cancelled call is refused as not run and not retried.
#[rstest]
#[case::waits(Outcome::Cancelled, Some(Verdict::NotRun))]
#[case::runs(Outcome::Running, None)]
fn silence_shutting_down(#[case] outcome: Outcome, #[case] verdict: Option<Verdict>) {
    let mut harness = Harness::new(100, 1..=3);
    let (call, attempt) = find_forwarded(&harness.arrive(0, "POST", "/once"));
    harness.step(1, Input::Shutdown);
    let cancel_if_queued = true;
    let query = Effect::Query {
        call,
        attempt,
        cancel_if_queued,
    };
    assert_eq!(harness.step(2, Input::SilenceTimeout { call }), [query]);
    let effects = harness.report_outcome(3, call, outcome);
    let refusal = find_refusal(&effects);
    assert_eq!(refusal.map(|it| it.verdict), verdict);
    assert!(refusal.is_none_or(|it| it.reason == Reason::Draining));
    assert_eq!(effects.len(), 1);
}

/// Guards against a request that is given up or waits past its objective because the first owners
/// refused it for its objective: it goes to endpoints that were not tried, without using the retry
/// budget, and the last one may not refuse it.
#[rstest]
#[case::many_endpoints(5, &[true, true, false])]
#[case::two_endpoints(2, &[true, false])]
#[case::one_endpoint(1, &[false])]
fn report_objective_too_short(#[case] nodes: u64, #[case] spillable: &[bool]) {
    let mut harness = Harness::new(99, 1..=nodes);
    for step in 0..50 {
        let mut effects = harness.arrive(step, "POST", "/timed/");
        let mut tried = Vec::new();
        loop {
            let (call, attempt) = find_forwarded(&effects);
            assert!(!tried.contains(&attempt.node));
            assert_eq!(attempt.spillable, spillable[tried.len()]);
            tried.push(attempt.node);
            if !attempt.spillable {
                harness.step(step, Input::CallEnded { call });
                break;
            }
            let report = failure_report(Verdict::NotRun, Reason::ObjectiveTooShort);
            effects = harness.report_attempt(step, call, report);
        }
        assert_eq!(tried.len(), spillable.len());
    }
    assert_eq!(harness.machine.open_calls(), 0);
}

/// Guards against spills of a request whose objective has passed, since no endpoint can meet it.
#[rstest]
fn report_objective_passed() {
    let mut harness = Harness::new(99, 1..=5);
    let (call, attempt) = find_forwarded(&harness.arrive(0, "POST", "/timed/"));
    assert!(attempt.spillable);
    let report = failure_report(Verdict::NotRun, Reason::Draining);
    let effects = harness.report_attempt(600_000, call, report);
    assert!(!find_forwarded(&effects).1.spillable);
}

/// Guards against a request that a leaving node accepts for longer than it exists: the upstream has to be
/// done in time, retries included, and a request that comes too late is refused as not run.
#[rstest]
fn forward_end_scheduled() {
    let mut harness = Harness::new(100, 1..=3);
    let (_, before) = find_forwarded(&harness.arrive(0, "GET", "/calm"));
    assert_eq!(before.deadline, Time(2 * SECOND_US));
    assert_eq!(before.give_up_at, before.deadline);
    let work_end = Time(SECOND_US);
    harness.step(1, Input::EndScheduled { work_end });
    let (call, first) = find_forwarded(&harness.arrive(2, "GET", "/calm"));
    assert_eq!(first.deadline, work_end);
    assert!(first.give_up_at > work_end);
    let report = failure_report(Verdict::NotRun, Reason::QueueFull);
    let (_, second) = find_forwarded(&harness.report_attempt(3, call, report));
    assert_eq!(second.deadline, work_end);
    let refusal = find_refusal(&harness.arrive(SECOND_US, "GET", "/calm")).expect("refused");
    assert_eq!(
        (refusal.reason, refusal.verdict),
        (Reason::Draining, Verdict::NotRun)
    );
}

/// Guards against an upstream that is told to work beyond the end of a leaving entry although the caller's
/// own deadline comes first.
#[rstest]
fn forward_deadline_before_end() {
    let mut harness = Harness::new(100, 1..=3);
    let work_end = Time(3 * SECOND_US);
    harness.step(0, Input::EndScheduled { work_end });
    let (_, attempt) = find_forwarded(&harness.arrive(1, "GET", "/calm"));
    assert_eq!(attempt.deadline, Time(2 * SECOND_US + 1));
    assert_eq!(attempt.give_up_at, attempt.deadline);
}

/// Guards against a call without an answer at the exit of its node, and against an answer "not run" for an
/// attempt that reached an owner.
#[rstest]
#[case::unsent(None, false, Verdict::NotRun)]
#[case::sent(None, true, Verdict::MayHaveRun)]
#[case::retry_unsent(Some(Verdict::MayHaveRun), false, Verdict::MayHaveRun)]
fn abandon_call(
    #[case] earlier_attempt: Option<Verdict>,
    #[case] sent: bool,
    #[case] expected: Verdict,
) {
    let mut harness = Harness::new(100, 1..=3);
    let (mut call, _) = find_forwarded(&harness.arrive(0, "GET", "/calm"));
    if let Some(verdict) = earlier_attempt {
        let report = failure_report(verdict, Reason::ConnectionBroken);
        call = find_forwarded(&harness.report_attempt(1, call, report)).0;
    }
    let topology = Arc::clone(&harness.topology);
    let abandoned = Input::Abandoned {
        call,
        topology,
        sent,
    };
    let refusal = find_refusal(&harness.step(2, abandoned)).expect("refused");
    assert_eq!(
        (refusal.reason, refusal.verdict),
        (Reason::Draining, expected)
    );
    assert_eq!(harness.machine.open_calls(), 0);
}

/// Guards against an owner that has just started and does not learn of its upstream's limit from the entries
/// that know it, and against an entry that repeats a limit which has ended or is old.
#[rstest]
#[case::named(&[Some(7.5)], 1, Some(7.5))]
#[case::changed(&[Some(7.5), Some(3.0)], 1, Some(3.0))]
#[case::ended(&[Some(7.5), None], 1, None)]
#[case::old(&[Some(7.5)], 10 * SECOND_US, None)]
fn forward_rate_limit(
    #[case] named: &[Option<f64>],
    #[case] later_us: u64,
    #[case] expected: Option<f64>,
) {
    let mut harness = Harness::new(99, [1]);
    for named in named {
        let (call, _) = find_forwarded(&harness.arrive(0, "GET", "/calm"));
        let report = AttemptReport {
            verdict: Verdict::Ran,
            reason: None,
            rate_limit: named.and_then(RequestRate::from_per_second),
            ..failure_report(Verdict::Ran, Reason::NoRoute)
        };
        harness.report_attempt(0, call, report);
        harness.step(0, Input::CallEnded { call });
        // A refusal by the owner itself says nothing of the upstream.
        let (call, _) = find_forwarded(&harness.arrive(0, "GET", "/calm"));
        let report = failure_report(Verdict::NotRun, Reason::QueueFull);
        harness.report_attempt(0, call, report);
    }
    let (_, attempt) = find_forwarded(&harness.arrive(later_us, "GET", "/calm"));
    assert_eq!(attempt.rate_limit.map(RequestRate::per_second), expected);
}

/// Guards against a request that waits for an upstream, or crashes one more, though the node knows that it has
/// crashed several; and against one that is held for ever.
#[rstest]
#[case::unknown(0, 0, false)]
#[case::once(1, SECOND_US / 4, true)]
#[case::once_passed(1, SECOND_US * 3 / 5, false)]
#[case::three_times(3, 100 * SECOND_US, true)]
#[case::three_times_passed(3, 1_300 * SECOND_US, false)]
fn arrive_quarantined(#[case] crashes: u32, #[case] now: u64, #[case] expected: bool) {
    let mut harness = Harness::new(99, [1, 2, 3]);
    harness.set_crashes(crashes);
    let refusal = find_refusal(&harness.arrive(now, "GET", "/calm"));
    let reason = refusal.map(|it| (it.reason, it.verdict));
    let quarantined = expected.then_some((Reason::Quarantined, Verdict::NotRun));
    assert_eq!(reason, quarantined);
}

/// Guards against retries that crash one upstream after the other, and against an innocent request that is lost
/// because another one crashed the upstream at which it ran: the first crash allows one retry, though the
/// other nodes hold copies of the request by then, and the second one none.
#[rstest]
fn report_attempt_crashed() {
    let mut harness = Harness::new(99, [1, 2, 3, 4]);
    let (call, first) = find_forwarded(&harness.arrive(0, "GET", "/calm"));
    assert_eq!(first.seen_crashes, 0);
    harness.set_crashes(1);
    let crashed = failure_report(Verdict::MayHaveRun, Reason::UpstreamCrashed);
    let (call, second) = find_forwarded(&harness.report_attempt(1_000, call, crashed));
    assert_eq!(second.seen_crashes, 1);
    assert_ne!(second.node, first.node);
    let delays = Duration::from_millis(50)..Duration::from_millis(300);
    assert!(delays.contains(&second.delay), "{:?}", second.delay);
    let refusal = find_refusal(&harness.report_attempt(60_000, call, crashed));
    let refusal = refusal.expect("the request is not sent again");
    assert_eq!(refusal.reason, Reason::UpstreamCrashed);
    assert_eq!(refusal.verdict, Verdict::MayHaveRun);
}

/// Guards against an entry that has not heard of the crashes and sends a request to all owners in turn, each of
/// which refuses it; and against "not run" about a request that has run in an earlier attempt.
#[rstest]
#[case::first_attempt(false, Verdict::NotRun)]
#[case::after_crash(true, Verdict::MayHaveRun)]
fn report_attempt_quarantined(#[case] crashed: bool, #[case] verdict: Verdict) {
    let mut harness = Harness::new(99, [1, 2, 3, 4]);
    let (mut call, _) = find_forwarded(&harness.arrive(0, "GET", "/calm"));
    if crashed {
        let report = failure_report(Verdict::MayHaveRun, Reason::UpstreamCrashed);
        (call, _) = find_forwarded(&harness.report_attempt(1_000, call, report));
    }
    let held = AttemptReport {
        retry_after: Duration::from_secs(600),
        ..failure_report(Verdict::NotRun, Reason::Quarantined)
    };
    let refusal = find_refusal(&harness.report_attempt(2_000, call, held));
    let refusal = refusal.expect("the request is not sent again");
    assert_eq!(
        (refusal.reason, refusal.verdict),
        (Reason::Quarantined, verdict)
    );
    assert!(refusal.retry_after >= Duration::from_secs(300));
}

/// Guards against the requests of one crash that are all retried at the same moment, so that the cause takes the
/// others down once more.
#[rstest]
fn report_attempt_crashed_spread() {
    let mut delays = Vec::new();
    for seed in 0..20 {
        let mut harness = Harness::new(99, [1, 2, 3, 4]);
        harness.random = SeededRandom::new(seed);
        let (call, _) = find_forwarded(&harness.arrive(0, "GET", "/calm"));
        let crashed = failure_report(Verdict::MayHaveRun, Reason::UpstreamCrashed);
        let effects = harness.report_attempt(1_000, call, crashed);
        if let Some(Effect::Forward { attempt, .. }) = effects.last() {
            delays.push(attempt.delay.as_millis());
        }
    }
    let early = delays.iter().filter(|it| **it < 110).count();
    let late = delays.iter().filter(|it| **it > 170).count();
    assert!(early >= 2 && late >= 2, "{delays:?}");
}

/// Guards against deployments without a link rate, large responses and organisations whose requests change, and
/// against callers' requests that go before those of others as if a run depended on them.
#[rstest]
#[case::onward_call(true, CONFIG, Credential::Onward, true)]
#[case::caller(true, CONFIG, Credential::None, false)]
#[case::no_link_rate(false, CONFIG, Credential::Onward, false)]
#[case::no_large_responses(true, SMALL_CONFIG, Credential::Onward, false)]
fn arrive_onward(
    #[case] preferred: bool,
    #[case] config: &str,
    #[case] credential: Credential,
    #[case] expected: bool,
) {
    let mut harness = Harness::with_config(config, 1, [2]);
    if preferred {
        harness.machine.prefer_onward_calls();
    }
    harness.credential = credential;
    let effects = harness.arrive(0, "GET", "/calm");
    let is_expected =
        |it: &Effect| matches!(it, Effect::Forward { route, .. } if route.onward == expected);
    assert!(effects.iter().any(is_expected), "{effects:?}");
}

/// Load: a burst of downloads at one owner while others have room. Guards against an entry that goes on to
/// send downloads to the owner with the busy link, that gives up after its refusal, or that keeps small
/// requests away from it.
#[rstest]
#[case::large("/bulk/x", false)]
#[case::small("/calm", true)]
fn forward_busy_link(#[case] path: &str, #[case] reaches_busy: bool) {
    let mut harness = Harness::new(99, [1, 2, 3]);
    let busy = NodeId(1);
    let mut reached = 0;
    for request in 0..200 {
        let (call, attempt) = find_forwarded(&harness.arrive(request, "GET", path));
        reached += u32::from(request >= 20 && attempt.node == busy);
        let link_busy = Duration::from_millis(if attempt.node == busy { 900 } else { 0 });
        let load = Some(Load {
            limit: 10,
            least_urgent_accepted: Rank(3),
            link_busy,
            ..Load::default()
        });
        let mut report = failure_report(Verdict::NotRun, Reason::LinkBusy);
        report.load = load;
        if attempt.node != busy || reaches_busy {
            report.reason = None;
        }
        let effects = harness.report_attempt(request, call, report);
        if report.reason.is_some() {
            let (_, next) = find_forwarded(&effects);
            assert_ne!(next.node, busy);
        }
        harness.step(request, Input::CallEnded { call });
    }
    assert_eq!(reached > 0, reaches_busy, "{reached}");
}

/// Guards against early shedding of downloads while one link has room, and of requests with small responses
/// because of busy links.
#[rstest]
#[case::all_busy("/bulk/x", [2_000, 2_000, 2_000], true)]
#[case::one_free("/bulk/x", [2_000, 2_000, 300], false)]
#[case::small("/calm", [2_000, 2_000, 2_000], false)]
fn arrive_busy_links(#[case] path: &str, #[case] busy_ms: [u64; 3], #[case] expected: bool) {
    let mut harness = Harness::new(99, [1, 2, 3]);
    for request in 0..100 {
        let (call, attempt) = find_forwarded(&harness.arrive(0, "GET", "/calm"));
        let mut report = failure_report(Verdict::NotRun, Reason::LinkBusy);
        report.reason = None;
        report.load = Some(Load {
            limit: 10,
            least_urgent_accepted: Rank(3),
            link_busy: Duration::from_millis(busy_ms[attempt.node.0 as usize - 1]),
            ..Load::default()
        });
        harness.report_attempt(request, call, report);
        harness.step(0, Input::CallEnded { call });
    }
    let (call, _) = find_forwarded(&harness.arrive(0, "GET", path));
    harness.report_attempt(0, call, failure_report(Verdict::NotRun, Reason::LinkBusy));
    let is_shed =
        |effects: &[Effect]| find_refusal(effects).is_some_and(|it| it.reason == Reason::ShedEarly);
    let shed = (0..100).filter(|_| is_shed(&harness.arrive(0, "GET", path)));
    assert_eq!(shed.count() > 80, expected);
}
