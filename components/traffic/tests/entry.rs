//! Guards the entry's choices: where a request goes, when it is shed, what becomes of a failure.

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
use retry::RetryBudget;
use traffic::Refusal;
use traffic::entry::Attempt;
use traffic::entry::AttemptReport;
use traffic::entry::CallKey;
use traffic::entry::Effect;
use traffic::entry::Input;
use traffic::entry::Machine;
use traffic::entry::RequestHead;
use traffic::ledger::Outcome;

const TEXT: &str = "services:
  - name: stock
    routes:
      - {method: GET, path: /flood, rank: 3, deadline_ms: 2000, idempotent: true}
      - {method: GET, path: /calm, rank: 3, deadline_ms: 2000, idempotent: true}
      - {method: POST, path: /once, rank: 0, deadline_ms: 2000, idempotent: false}
";
const SECOND: u64 = 1_000_000;

struct Rig {
    machine: Machine,
    random: SeededRandom,
    snapshot: Arc<Snapshot>,
    topology: Arc<Topology>,
    me: NodeId,
    generation: u32,
}

impl Rig {
    /// An entry that sees these nodes; every fourth of them is in its failure domain.
    fn new(me: u64, nodes: impl IntoIterator<Item = u64>) -> Self {
        let params = Params::default();
        let snapshot = Arc::new(config::compile(TEXT, Version(1)).expect("the text is valid"));
        let me = NodeId(me);
        let machine = Machine::new(
            Box::new(PowerOfTwoChoices),
            Box::new(RetryBudget::from_params(&params).expect("valid")),
            Box::new(OutlierDetection::from_params(&params).expect("valid")),
        );
        let domain = Domain::new("d0");
        let table = MemberTable::default();
        let topology = Topology::new(me, domain, NodeStage::Serving, None, &table, 0);
        let mut rig = Self {
            machine,
            random: SeededRandom::new(9),
            snapshot,
            topology: Arc::new(topology),
            me,
            generation: 0,
        };
        rig.see(nodes);
        rig
    }

    fn see(&mut self, nodes: impl IntoIterator<Item = u64>) {
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
                    slots: 10,
                    connections: 100,
                }),
            });
        }
        self.generation += 1;
        self.topology = Arc::new(Topology::new(
            self.me,
            Domain::new("d0"),
            NodeStage::Serving,
            Some(Arc::clone(&self.snapshot)),
            &table,
            self.generation,
        ));
    }

    fn step(&mut self, now: u64, input: Input) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.machine
            .step(Time(now), input, &mut self.random, &mut effects);
        effects
    }

    fn arrive(&mut self, now: u64, method: &str, path: &str) -> Vec<Effect> {
        let head = RequestHead {
            id: RequestId(1),
            host: None,
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

    fn answer(&mut self, now: u64, call: CallKey, report: AttemptReport) -> Vec<Effect> {
        let topology = Arc::clone(&self.topology);
        let input = Input::AttemptReported {
            call,
            topology,
            report,
        };
        self.step(now, input)
    }

    fn tell(&mut self, now: u64, call: CallKey, outcome: Outcome) -> Vec<Effect> {
        let topology = Arc::clone(&self.topology);
        let input = Input::OutcomeReceived {
            call,
            topology,
            outcome,
        };
        self.step(now, input)
    }

    /// Sends a request that is answered well at once; gives the node that served it.
    fn serve(&mut self, now: u64, path: &str, load: Option<Load>) -> NodeId {
        let (call, attempt) = forwarded(&self.arrive(now, "GET", path));
        let report = AttemptReport {
            verdict: Verdict::Ran,
            reason: None,
            retry_after: Duration::ZERO,
            load,
            upstream_failed: false,
        };
        self.answer(now, call, report);
        self.step(now, Input::CallEnded { call });
        attempt.node
    }
}

fn forwarded(effects: &[Effect]) -> (CallKey, Attempt) {
    let found = effects.iter().find_map(|effect| match effect {
        Effect::Forward { call, attempt, .. } => Some((*call, *attempt)),
        _ => None,
    });
    found.expect("the request is forwarded")
}

fn refused(effects: &[Effect]) -> Option<Refusal> {
    effects.iter().find_map(|effect| match effect {
        Effect::Refuse { refusal } => Some(*refusal),
        _ => None,
    })
}

fn failed(verdict: Verdict, reason: Reason) -> AttemptReport {
    AttemptReport {
        verdict,
        reason: Some(reason),
        retry_after: Duration::ZERO,
        load: None,
        upstream_failed: false,
    }
}

/// Guards against shedding that hits routes which do not flood, lasts after the reports are old, or
/// lets nothing through that would notice the recovery.
#[rstest]
#[case::flood("/flood", 1_000, 850..1_000)]
#[case::calm_route("/calm", 1_000, 0..1)]
#[case::old_reports("/flood", 300_000, 0..1)]
fn arrive_shed(#[case] path: &str, #[case] later: u64, #[case] shed: std::ops::Range<usize>) {
    let mut rig = Rig::new(99, [1, 2, 3]);
    let load = Load {
        running: 10,
        limit: 10,
        least_urgent_accepted: Rank(2),
        ..Load::default()
    };
    for _ in 0..100 {
        rig.serve(0, "/calm", Some(load));
    }
    let (call, _) = forwarded(&rig.arrive(0, "GET", "/flood"));
    let report = failed(Verdict::NotRun, Reason::QueueFull);
    let effects = rig.answer(0, call, report);
    if let Some(Effect::Forward { call, .. }) = effects.last() {
        rig.step(0, Input::CallEnded { call: *call });
    }
    let mut count = 0;
    for _ in 0..1_000 {
        let effects = rig.arrive(later, "GET", path);
        match refused(&effects) {
            Some(refusal) => {
                assert_eq!(refusal.reason, Reason::ShedEarly);
                count += 1;
            }
            None => {
                let (call, _) = forwarded(&effects);
                rig.step(later, Input::CallEnded { call });
            }
        }
    }
    assert!(shed.contains(&count), "{count}");
}

/// Guards against connections to all endpoints of a large service, against entries that all use the
/// same part of it, and against a part without endpoints of the own failure domain.
#[rstest]
fn arrive_subset() {
    let mut used = vec![0; 200];
    for me in 1_000..1_040 {
        let mut rig = Rig::new(me, 0..200);
        let mut nodes = Vec::new();
        for step in 0..400 {
            let (_, attempt) = forwarded(&rig.arrive(step, "GET", "/calm"));
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

/// Guards against memory of nodes that left the topology.
#[rstest]
fn arrive_churn() {
    let mut rig = Rig::new(99, 0..10);
    for round in 0..50 {
        rig.see(round * 10..round * 10 + 10);
        for _ in 0..20 {
            rig.serve(round * SECOND, "/calm", None);
        }
    }
    assert!(rig.machine.tracked_nodes() <= 10);
    assert_eq!(rig.machine.open_calls(), 0);
}

/// Guards against a rush to an endpoint that has just appeared, and one that never gets work.
#[rstest]
fn arrive_new_endpoint() {
    let mut rig = Rig::new(99, [1, 2, 3, 5]);
    rig.serve(0, "/calm", None);
    rig.see([1, 2, 3, 5, 6]);
    let mut share = |at: u64| {
        let nodes = (0..1_000).map(|_| rig.serve(at, "/calm", None));
        nodes.filter(|node| *node == NodeId(6)).count()
    };
    let shares = [share(SECOND), share(2 * SECOND), share(6 * SECOND)];
    assert!(shares[0] < 60 && shares[0] > 0, "{shares:?}");
    assert!(shares[1] < 120, "{shares:?}");
    assert!(shares[2] > 150, "{shares:?}");
}

/// Guards against new work for an endpoint that has said that it leaves.
#[rstest]
#[case::draining(Reason::Draining, 0)]
#[case::full(Reason::QueueFull, 1)]
fn answered_away(#[case] reason: Reason, #[case] least: usize) {
    let mut rig = Rig::new(99, [1, 2, 3]);
    let (call, attempt) = forwarded(&rig.arrive(0, "GET", "/calm"));
    let effects = rig.answer(0, call, failed(Verdict::NotRun, reason));
    let (_, second) = forwarded(&effects);
    assert_ne!(second.node, attempt.node);
    let nodes = (0..200).map(|step| rig.serve(1_000 + step, "/calm", None));
    let again = nodes.filter(|node| *node == attempt.node).count();
    assert!(again >= least && (least > 0 || again == 0), "{again}");
}

/// Guards against a silent node that keeps its place because deadlines pass before it is asked, and
/// against the ejection of one that is merely slow.
#[rstest]
#[case::never_heard(false, 0)]
#[case::slow(true, 1)]
fn answered_deadline(#[case] heard: bool, #[case] least: usize) {
    let mut rig = Rig::new(99, [1, 2, 3]);
    for _ in 0..30 {
        let (call, attempt) = forwarded(&rig.arrive(0, "POST", "/once"));
        if attempt.node == NodeId(1) {
            let load = heard.then(Load::default);
            let late = failed(Verdict::MayHaveRun, Reason::DeadlinePassed);
            rig.answer(0, call, AttemptReport { load, ..late });
        } else {
            rig.step(0, Input::CallEnded { call });
        }
    }
    let nodes = (0..100).map(|_| rig.serve(0, "/calm", None));
    let count = nodes.filter(|node| *node == NodeId(1)).count();
    assert!(count >= least && (least > 0 || count == 0), "{count}");
}

/// Guards against "not run" for a call whose earlier attempt may have run.
#[rstest]
fn answered_verdicts() {
    let mut rig = Rig::new(99, [1, 2, 3]);
    let (call, _) = forwarded(&rig.arrive(0, "GET", "/calm"));
    let broken = failed(Verdict::MayHaveRun, Reason::ConnectionBroken);
    let effects = rig.answer(1, call, broken);
    assert_eq!(forwarded(&effects).1.number, 2);
    let effects = rig.answer(2, call, failed(Verdict::NotRun, Reason::QueueFull));
    assert_eq!(forwarded(&effects).1.number, 3);
    let effects = rig.answer(3, call, failed(Verdict::NotRun, Reason::QueueFull));
    let denied = Effect::RetryDenied {
        reason: Reason::AttemptsSpent,
    };
    assert!(effects.contains(&denied));
    assert_eq!(
        refused(&effects).map(|it| it.verdict),
        Some(Verdict::MayHaveRun)
    );
}

/// Guards against giving up a queued attempt too soon, or where a lost answer would make it unknown.
#[rstest]
#[case::idempotent("GET", "/calm", [false, true])]
#[case::not_idempotent("POST", "/once", [false, false])]
fn silent_give_up(#[case] method: &str, #[case] path: &str, #[case] expected: [bool; 2]) {
    let mut rig = Rig::new(99, [1, 2, 3]);
    let (call, _) = forwarded(&rig.arrive(0, method, path));
    for (step, expected) in (1..).zip(expected) {
        let effects = rig.step(step, Input::SilenceTimeout { call });
        let [
            Effect::Query {
                cancel_if_queued, ..
            },
        ] = effects[..]
        else {
            panic!("not one query: {effects:?}");
        };
        assert_eq!(cancel_if_queued, expected);
        let effects = rig.tell(step, call, Outcome::Running);
        assert_eq!(effects, [Effect::Wait { call }]);
    }
}

/// Guards against an answer that is stored and not fetched, and one that is taken for lost while it
/// is on its way.
#[rstest]
#[case::found(true, true)]
#[case::lost(true, false)]
#[case::not_stored(false, false)]
fn told_done(#[case] stored: bool, #[case] found: bool) {
    let mut rig = Rig::new(99, [1, 2, 3]);
    let (call, attempt) = forwarded(&rig.arrive(0, "POST", "/once"));
    let done = Outcome::Done {
        verdict: Verdict::Ran,
        stored,
    };
    let mut effects = rig.tell(1, call, done);
    if stored {
        assert_eq!(effects, [Effect::Fetch { call, attempt }]);
        let topology = Arc::clone(&rig.topology);
        let fetched = Input::FetchCompleted {
            call,
            topology,
            found,
        };
        effects = rig.step(2, fetched.clone());
        if !found {
            assert_eq!(effects, [Effect::Fetch { call, attempt }]);
            effects = rig.step(3, fetched);
        }
    } else {
        assert_eq!(effects, [Effect::Wait { call }]);
        effects = rig.tell(3, call, done);
    }
    if found {
        assert_eq!(effects, [Effect::Deliver { call }]);
    } else {
        assert_eq!(refused(&effects).map(|it| it.verdict), Some(Verdict::Ran));
    }
}

/// Guards against an endpoint whose upstream answers 500 at once and draws work by looking idle.
#[rstest]
fn judge_upstream_failure() {
    let mut rig = Rig::new(100, 1..=6);
    let mut failing = None;
    let mut sent = 0;
    let mut judged = 0;
    for at in 0..300 {
        let now = at * SECOND / 100;
        let (call, attempt) = forwarded(&rig.arrive(now, "GET", "/calm"));
        let bad = *failing.get_or_insert(attempt.node) == attempt.node;
        sent += u32::from(bad);
        let report = AttemptReport {
            verdict: Verdict::Ran,
            reason: None,
            retry_after: Duration::ZERO,
            load: None,
            upstream_failed: bad,
        };
        let effects = rig.answer(now, call, report);
        let (last, before) = effects.split_last().expect("an effect");
        assert!(matches!(last, Effect::Deliver { .. }), "{effects:?}");
        for effect in before {
            assert!(
                matches!(effect, Effect::HealthChanged { node, .. } if *node == attempt.node && bad),
                "{effects:?}"
            );
            judged += 1;
        }
        rig.step(now, Input::CallEnded { call });
    }
    // Its share of 300 requests would be 50.
    assert!(sent <= 10, "{sent} requests to the failing endpoint");
    // In 3 s, and with twice as long an ejection each time, it is ejected once or twice.
    assert!((1..=2).contains(&judged), "{judged} judgements");
}

/// Guards against callers that were refused together and all come back at the same moment, or later
/// than the owner asked for.
#[rstest]
#[case::short(0, 75..=225)]
#[case::told(4_000, 2_000..=6_000)]
fn refuse_spread(#[case] told_ms: u64, #[case] range: RangeInclusive<u128>) {
    let mut rig = Rig::new(100, 1..=1);
    let mut times = Vec::new();
    for at in 0..20 {
        let now = at * 10 * SECOND;
        let mut effects = rig.arrive(now, "POST", "/once");
        let refusal = loop {
            if let Some(refusal) = refused(&effects) {
                break refusal;
            }
            let report = AttemptReport {
                verdict: Verdict::NotRun,
                reason: Some(Reason::QueueFull),
                retry_after: Duration::from_millis(told_ms),
                load: None,
                upstream_failed: false,
            };
            effects = rig.answer(now, forwarded(&effects).0, report);
        };
        assert!(range.contains(&refusal.retry_after.as_millis()));
        times.push(refusal.retry_after);
    }
    times.sort_unstable();
    times.dedup();
    assert!(times.len() > 10, "{times:?}");
}

/// Guards against a call that waits at another node while its own node ends: it is given up with the
/// owner's proof, also if it may run only once, and not tried again.
#[rstest]
#[case::waits(Outcome::Cancelled, Some(Verdict::NotRun))]
#[case::runs(Outcome::Running, None)]
fn silent_closing(#[case] outcome: Outcome, #[case] verdict: Option<Verdict>) {
    let mut rig = Rig::new(100, 1..=3);
    let (call, attempt) = forwarded(&rig.arrive(0, "POST", "/once"));
    rig.step(1, Input::Shutdown);
    let cancel_if_queued = true;
    let query = Effect::Query {
        call,
        attempt,
        cancel_if_queued,
    };
    assert_eq!(rig.step(2, Input::SilenceTimeout { call }), [query]);
    let effects = rig.tell(3, call, outcome);
    let refusal = refused(&effects);
    assert_eq!(refusal.map(|it| it.verdict), verdict);
    assert!(refusal.is_none_or(|it| it.reason == Reason::Draining));
    assert_eq!(effects.len(), 1);
}
