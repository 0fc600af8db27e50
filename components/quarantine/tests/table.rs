//! Tests of how long a suspect request is held, and of what nodes learn from each other about it.

use std::time::Duration;

use rstest::rstest;

use ids::Fingerprint;
use ids::NodeId;
use kernel::Time;
use quarantine::Crash;
use quarantine::Merge;
use quarantine::Report;
use quarantine::Table;

const DEADLY: Fingerprint = Fingerprint(7);
const SECOND: u64 = 1_000_000;

fn crash(node: u64, number: u32) -> Crash {
    Crash {
        node: NodeId(node),
        number,
    }
}

/// Whether a copy of the request, or the retry of one that crashed `seen` upstreams, is held.
fn is_held(table: &Table, now: u64, seen: u32) -> bool {
    table.view().hold(Time(now), DEADLY, seen).is_some()
}

fn report(clearances: u32, crashes: &[Crash], age: Duration) -> Report {
    Report {
        fingerprint: DEADLY,
        clearances,
        crashes: crashes.to_vec(),
        age,
    }
}

/// Guards against a request that crashes one upstream after the other, and against an innocent request that
/// is held for long because another one crashed the upstream at which it ran, or that is not even retried.
#[rstest]
#[case::one(1, SECOND / 4, true)]
#[case::one_passed(1, SECOND * 3 / 5, false)]
#[case::two(2, 9 * SECOND, true)]
#[case::two_passed(2, 20 * SECOND, false)]
#[case::three(3, 590 * SECOND, true)]
#[case::many(9, 590 * SECOND, true)]
fn record_crash_hold(#[case] crashes: u32, #[case] later: u64, #[case] expected: bool) {
    let mut table = Table::new(NodeId(1));
    for node in 1..=crashes {
        assert!(table.record_crash(Time(0), DEADLY, crash(node.into(), 1)) || node > 3);
    }
    assert_eq!(is_held(&table, later, 0), expected);
    assert_eq!(is_held(&table, 0, 1), crashes > 1);
}

/// Guards against several reports of one crash that count as several crashes.
#[rstest]
fn record_crash_repeated() {
    let mut table = Table::new(NodeId(1));
    assert!(table.record_crash(Time(0), DEADLY, crash(1, 1)));
    assert!(!table.record_crash(Time(1), DEADLY, crash(1, 1)));
    let reported = report(0, &[crash(1, 1)], Duration::ZERO);
    assert_eq!(table.merge(Time(2), reported), Merge::Known);
    assert!(!is_held(&table, 2 * SECOND, 0));
}

/// Guards against a request that is held though it has completed, and against reports from before that hold it
/// again.
#[rstest]
fn record_completion_cleared() {
    let mut table = Table::new(NodeId(1));
    for node in 1..=2 {
        table.record_crash(Time(0), DEADLY, crash(node, 1));
    }
    assert!(table.record_completion(Time(SECOND), DEADLY));
    assert!(!is_held(&table, SECOND, 0));
    assert!(!table.record_completion(Time(SECOND), DEADLY));
    let before = report(0, &[crash(1, 1), crash(2, 1)], Duration::ZERO);
    assert_eq!(table.merge(Time(SECOND), before), Merge::Outdated);
    assert!(!is_held(&table, SECOND, 0));
    // Another node learns of the clearance although it knows more crashes.
    let mut other = Table::new(NodeId(2));
    for node in 1..=3 {
        other.record_crash(Time(0), DEADLY, crash(node, 1));
    }
    let reported = table.report(Time(SECOND), DEADLY).expect("known");
    assert_eq!(other.merge(Time(SECOND), reported), Merge::News);
    assert!(!is_held(&other, SECOND, 0));
}

/// Guards against nodes that count the crashes of their own upstreams only, and against a trial after the
/// longest backoff whose crash is taken for an old one.
#[rstest]
fn merge_crashes() {
    let mut table = Table::new(NodeId(1));
    table.record_crash(Time(0), DEADLY, crash(1, 1));
    let reported = report(0, &[crash(2, 1), crash(3, 1)], Duration::from_millis(300));
    assert_eq!(table.merge(Time(SECOND), reported.clone()), Merge::News);
    assert_eq!(table.merge(Time(SECOND), reported), Merge::Known);
    assert!(is_held(&table, 500 * SECOND, 0));
    // After the trial, at 1,210 s, the backoff begins again, here and at nodes that are told.
    let mut other = table.clone();
    table.record_crash(Time(1_210 * SECOND), DEADLY, crash(9, 1));
    assert!(is_held(&table, 1_700 * SECOND, 0));
    let reported = table.report(Time(1_211 * SECOND), DEADLY).expect("known");
    assert_eq!(other.merge(Time(1_211 * SECOND), reported), Merge::News);
    assert!(is_held(&other, 1_700 * SECOND, 0));
}

/// Guards against records without bound: many requests that each crash an upstream once must not displace
/// one that is known to crash them.
#[rstest]
fn record_crash_bounded() {
    let mut table = Table::new(NodeId(1));
    for node in 1..=3 {
        table.record_crash(Time(0), DEADLY, crash(node, 1));
    }
    for other in 100..5_000 {
        table.record_crash(Time(SECOND), Fingerprint(other), crash(4, 1));
    }
    assert_eq!(table.len(), 1_024);
    assert!(is_held(&table, 2 * SECOND, 0));
    // Only what is known for more than one crash is repeated to other nodes.
    assert_eq!(table.repeated_suspects(Time(SECOND)).len(), 1);
    table.expire(Time(3_000 * SECOND));
    assert_eq!(table.len(), 0);
}

/// Guards against nodes that all run a request again at the same moment once its backoff has passed.
#[rstest]
fn record_crash_spread() {
    let held = (1..=20).filter(|node| {
        let mut table = Table::new(NodeId(node * 49));
        for crashed in 1..=2 {
            table.record_crash(Time(0), DEADLY, crash(crashed, 1));
        }
        is_held(&table, 15 * SECOND, 0)
    });
    assert!((5..=15).contains(&held.count()));
}

/// Guards against a backoff that starts anew with each node that starts: a process whose clock has run for less
/// time than has passed since the crashes would report them as younger than they are.
#[rstest]
fn merge_before_start() {
    let mut table = Table::new(NodeId(1_000));
    let crashes = [crash(1, 1), crash(2, 1), crash(3, 1)];
    let reported = report(0, &crashes, Duration::from_secs(500));
    assert_eq!(table.merge(Time(5 * SECOND), reported), Merge::News);
    assert!(is_held(&table, 100 * SECOND, 0));
    assert!(!is_held(&table, 106 * SECOND, 0));
    let reported = table.report(Time(6 * SECOND), DEADLY).expect("known");
    assert_eq!(reported.age, Duration::from_secs(501));
}
