//! Tests of outlier detection: when a node is ejected, how many are, and how a node is readmitted.

use rstest::rstest;

use health::OutlierDetection;
use ids::NodeId;
use kernel::Time;
use kernel::plugin::Params;
use policy::FULL_WEIGHT;
use policy::Health;
use policy::HealthChange;

/// One second in the microseconds of [`Time`].
const SECOND: u64 = 1_000_000;
const FAILING_NODE: NodeId = NodeId(0);

fn new_detection() -> OutlierDetection {
    OutlierDetection::from_params(&Params::default()).expect("default params are valid")
}

/// Records one outcome per character of `outcomes`: `+` is a success, `-` a failure.
fn record_outcomes(health: &mut OutlierDetection, at: u64, node: NodeId, outcomes: &str) {
    for outcome in outcomes.chars() {
        health.record_outcome(Time(at), node, outcome == '+');
    }
}

/// Returns which of the nodes 0 to `count - 1` are retained as healthy at `at`.
fn retained_nodes(health: &mut OutlierDetection, at: u64, count: u64) -> Vec<u64> {
    let mut nodes: Vec<_> = (0..count).map(NodeId).collect();
    health.retain_healthy(Time(at), &mut nodes);
    nodes.into_iter().map(|node| node.0).collect()
}

/// Three consecutive failures or a failure rate of one half eject a node; fewer failures, or a high
/// rate among few outcomes, do not.
#[rstest]
#[case::two_consecutive("+++--", false)]
#[case::three_consecutive("+++---", true)]
#[case::low_rate("++-++-++-++-+", false)]
#[case::half_rate("+-+-+-+-+-", true)]
#[case::half_rate_few_outcomes("+-+-", false)]
fn record_outcome_failures(#[case] outcomes: &str, #[case] ejected: bool) {
    let mut health = new_detection();
    record_outcomes(&mut health, 0, FAILING_NODE, outcomes);
    assert_eq!(
        retained_nodes(&mut health, 1, 3).len(),
        if ejected { 2 } else { 3 }
    );
}

/// Failures from a minute ago must not count towards the failure rate any more.
#[rstest]
fn record_outcome_old_failures() {
    let mut health = new_detection();
    record_outcomes(&mut health, 0, FAILING_NODE, "++--++--");
    record_outcomes(&mut health, 60 * SECOND, FAILING_NODE, "++--++");
    assert_eq!(retained_nodes(&mut health, 60 * SECOND, 3).len(), 3);
}

/// At most a third of the nodes is ejected, since more would overload the others.
#[rstest]
#[case::one(1, 0)]
#[case::two(2, 0)]
#[case::three(3, 1)]
#[case::five(5, 1)]
#[case::six(6, 2)]
fn retain_healthy_bound(#[case] count: u64, #[case] ejected: u64) {
    let mut health = new_detection();
    for node in 0..count {
        record_outcomes(&mut health, node, NodeId(node), "---");
    }
    let retained = retained_nodes(&mut health, 10, count);
    assert_eq!(retained.len() as u64, count - ejected);
    // The nodes that were ejected last are left out; a retained ejected node gets a low weight.
    assert!(retained.iter().all(|node| *node < count - ejected));
    assert!(health.weight(Time(10), FAILING_NODE) < FULL_WEIGHT / 10);
}

/// The length of ejections doubles up to its bound, a single trial request follows each of them,
/// and the weight of a readmitted node rises gradually.
#[rstest]
fn record_outcome_trials() {
    let mut health = new_detection();
    let mut now = 0;
    record_outcomes(&mut health, now, FAILING_NODE, "---");
    for seconds in [2, 4, 8, 16, 32, 60, 60] {
        assert_eq!(
            retained_nodes(&mut health, now + seconds * SECOND - 1, 3).len(),
            2
        );
        now += seconds * SECOND;
        assert_eq!(retained_nodes(&mut health, now, 3).len(), 3);
        assert!(health.is_trial_due(Time(now), FAILING_NODE));
        health.record_sent(Time(now), FAILING_NODE);
        assert_eq!(retained_nodes(&mut health, now + 1, 3).len(), 2);
        record_outcomes(&mut health, now, FAILING_NODE, "-");
    }
    now += 60 * SECOND;
    health.record_sent(Time(now), FAILING_NODE);
    assert_eq!(
        retained_nodes(&mut health, now + 5 * SECOND, 3).len(),
        3,
        "a trial request without an outcome times out"
    );
    record_outcomes(&mut health, now, FAILING_NODE, "+");
    assert_eq!(retained_nodes(&mut health, now, 3).len(), 3);
    let weights =
        [0, 1, 3, 5].map(|second| health.weight(Time(now + second * SECOND), FAILING_NODE));
    assert_eq!(weights, [100, 280, 640, 1_000]);
}

/// The records of nodes that have left are dropped.
#[rstest]
fn retain_nodes_left() {
    let mut health = new_detection();
    for node in 0..100 {
        record_outcomes(&mut health, 0, NodeId(node), "-");
    }
    health.retain_nodes(&[NodeId(3), NodeId(5)]);
    assert_eq!(health.record_count(), 2);
}

/// The weight of a node falls well below the share of requests that its upstream accepts, never
/// reaches zero, and recovers when the upstream stops shedding.
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

/// Each ejection and readmission is returned exactly once, since every returned change is logged.
#[rstest]
fn record_outcome_changes() {
    let mut health = new_detection();
    let mut changes = Vec::new();
    for (second, success) in [
        (0, true),
        (0, false),
        (0, false),
        (0, false),
        (0, false),
        (3, false),
        (8, true),
        (8, true),
    ] {
        let health_change = health.record_outcome(Time(second * SECOND), FAILING_NODE, success);
        changes.push(match health_change {
            Some(HealthChange::Ejected {
                duration,
                consecutive_failures,
                failures,
                ..
            }) => format!(
                "ejected {}s {consecutive_failures} {failures}",
                duration.as_secs()
            ),
            Some(HealthChange::Readmitted) => "readmitted".to_owned(),
            None => String::new(),
        });
    }
    assert_eq!(
        changes,
        [
            "",
            "",
            "",
            "ejected 2s 3 3",
            "",
            "ejected 4s 2 2",
            "readmitted",
            ""
        ]
    );
}
