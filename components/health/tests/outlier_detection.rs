//! Guards ejection by outcomes: when it begins, how far it goes and how it ends.

use rstest::rstest;

use health::OutlierDetection;
use ids::NodeId;
use kernel::Time;
use kernel::plugin::Params;
use policy::FULL_WEIGHT;
use policy::Health;
use policy::HealthChange;

const SECOND: u64 = 1_000_000;
const BAD: NodeId = NodeId(0);

fn new_outcomes() -> OutlierDetection {
    OutlierDetection::from_params(&Params::default()).expect("default params are valid")
}

fn record(health: &mut OutlierDetection, at: u64, node: NodeId, outcomes: &str) {
    for outcome in outcomes.chars() {
        health.record_outcome(Time(at), node, outcome == '+');
    }
}

fn healthy(health: &mut OutlierDetection, at: u64, count: u64) -> Vec<u64> {
    let mut nodes: Vec<_> = (0..count).map(NodeId).collect();
    health.retain_healthy(Time(at), &mut nodes);
    nodes.into_iter().map(|node| node.0).collect()
}

/// Guards against ejection for single failures, and against a node that fails half of the time.
#[rstest]
#[case::two_in_a_row("+++--", false)]
#[case::three_in_a_row("+++---", true)]
#[case::few_failures("++-++-++-++-+", false)]
#[case::half("+-+-+-+-+-", true)]
#[case::half_of_few("+-+-", false)]
fn record_failures(#[case] outcomes: &str, #[case] ejected: bool) {
    let mut health = new_outcomes();
    record(&mut health, 0, BAD, outcomes);
    assert_eq!(
        healthy(&mut health, 1, 3).len(),
        if ejected { 2 } else { 3 }
    );
}

/// Guards against old failures that count for ever.
#[rstest]
fn record_old_failures() {
    let mut health = new_outcomes();
    record(&mut health, 0, BAD, "++--++--");
    record(&mut health, 60 * SECOND, BAD, "++--++");
    assert_eq!(healthy(&mut health, 60 * SECOND, 3).len(), 3);
}

/// Guards against more than a third ejected, which would overload the rest.
#[rstest]
#[case::one(1, 0)]
#[case::two(2, 0)]
#[case::three(3, 1)]
#[case::five(5, 1)]
#[case::six(6, 2)]
fn retain_bound(#[case] count: u64, #[case] ejected: u64) {
    let mut health = new_outcomes();
    for node in 0..count {
        record(&mut health, node, NodeId(node), "---");
    }
    let left = healthy(&mut health, 10, count);
    assert_eq!(left.len() as u64, count - ejected);
    // Those that failed last are out; the spared ones get little.
    assert!(left.iter().all(|node| *node < count - ejected));
    assert!(health.weight(Time(10), BAD) < FULL_WEIGHT / 10);
}

/// Guards against ejections that do not grow, trials by more than one request, and a return at once
/// to the full share.
#[rstest]
fn record_trials() {
    let mut health = new_outcomes();
    let mut now = 0;
    record(&mut health, now, BAD, "---");
    for seconds in [2, 4, 8, 16, 32, 60, 60] {
        assert_eq!(healthy(&mut health, now + seconds * SECOND - 1, 3).len(), 2);
        now += seconds * SECOND;
        assert_eq!(healthy(&mut health, now, 3).len(), 3);
        assert!(health.is_trial_due(Time(now), BAD));
        health.record_sent(Time(now), BAD);
        assert_eq!(healthy(&mut health, now + 1, 3).len(), 2);
        record(&mut health, now, BAD, "-");
    }
    now += 60 * SECOND;
    health.record_sent(Time(now), BAD);
    assert_eq!(
        healthy(&mut health, now + 5 * SECOND, 3).len(),
        3,
        "a lost trial ends"
    );
    record(&mut health, now, BAD, "+");
    assert_eq!(healthy(&mut health, now, 3).len(), 3);
    let weights = [0, 1, 3, 5].map(|second| health.weight(Time(now + second * SECOND), BAD));
    assert_eq!(weights, [100, 280, 640, 1_000]);
}

/// Guards against records of nodes that have left.
#[rstest]
fn retain_nodes_left() {
    let mut health = new_outcomes();
    for node in 0..100 {
        record(&mut health, 0, NodeId(node), "-");
    }
    health.retain_nodes(&[NodeId(3), NodeId(5)]);
    assert_eq!(health.record_count(), 2);
}

/// Guards against work that goes on to an upstream that sheds half of it while others take all, and
/// against one that gets none any more.
#[rstest]
fn record_shed_weight() {
    let mut health =
        OutlierDetection::from_params(&Params::default()).expect("default params are valid");
    let node = NodeId(1);
    for at in 0..100 {
        health.record_shed(Time(at), node, at % 2 == 0);
    }
    assert!((150..400).contains(&health.weight(Time(100), node)));
    for at in 100..300 {
        health.record_shed(Time(at), node, true);
    }
    assert!((1..100).contains(&health.weight(Time(300), node)));
    for at in 300..400 {
        health.record_shed(Time(at), node, false);
    }
    assert!(health.weight(Time(400), node) > 950);
}

/// Guards against an ejection or a return that no log line tells, and against one told twice.
#[rstest]
fn record_told() {
    let mut health = new_outcomes();
    let mut told = Vec::new();
    for (at, good) in [
        (0, true),
        (0, false),
        (0, false),
        (0, false),
        (0, false),
        (3, false),
        (8, true),
        (8, true),
    ] {
        let health_change = health.record_outcome(Time(at * SECOND), BAD, good);
        told.push(match health_change {
            Some(HealthChange::Ejected {
                duration,
                consecutive_failures,
                failures,
                ..
            }) => format!(
                "out {}s {consecutive_failures} {failures}",
                duration.as_secs()
            ),
            Some(HealthChange::Readmitted) => "in".to_owned(),
            None => String::new(),
        });
    }
    assert_eq!(told, ["", "", "", "out 2s 3 3", "", "out 4s 2 2", "in", ""]);
}
