//! Service within the limits: no failures, loads of different shapes.

mod support;

use rstest::rstest;
use support::Fleet;
use support::MS;
use support::S;
use support::limits_of;
use support::zipf_rates;

use kernel::Random;

/// Time that a fleet needs from its start until its buckets are full.
const SETTLE: u64 = 5 * S;
const NODES: usize = 81;

/// The parcel tracking deployment with the usual load of its 83 organisations from `SETTLE` on.
fn loaded_fleet(seed: u64, duration: u64) -> (Fleet, Vec<f64>, (u64, u64)) {
    let rates = zipf_rates(83, 2_000.0);
    let mut fleet = Fleet::new(seed, NODES, limits_of(&rates));
    let span = (fleet.now + SETTLE, fleet.now + SETTLE + duration);
    fleet.run_until(span.0);
    (fleet, rates, span)
}

fn add_usual_load(fleet: &mut Fleet, rates: &[f64], first: usize, span: (u64, u64)) {
    for (organisation, rate) in rates.iter().enumerate().skip(first) {
        fleet.add_load(organisation, *rate, span, |_, random| random.below(NODES));
    }
}

/// Tokens that lapse unspent at many nodes would refuse requests far within the limit, and a message for each of them
/// would take the processors of small instances.
#[rstest]
fn load_zipf_usual() {
    let (mut fleet, rates, span) = loaded_fleet(1, 10 * S);
    add_usual_load(&mut fleet, &rates, 0, span);
    let before = fleet.messages;
    fleet.run_until(span.1 + S);
    fleet.check_bound();
    let per_node = (fleet.messages - before) as f64 / 10.0 / NODES as f64;
    let refused = fleet.refused.len();
    println!("{refused} refused, {per_node:.1} messages");
    assert!(refused <= 20, "{refused} refused of {}", fleet.runs.len());
    assert!(per_node < 70.0, "{per_node} messages a node a second");
}

/// A fixed share for each node would refuse nearly everything when an organisation uses one node, and one that lags
/// would when it moves from node to node.
#[rstest]
#[case::one_node(10_000)]
#[case::moving(1)]
#[case::moving_fast(0)]
fn load_concentrated(#[case] seconds_at_node: u64) {
    let (mut fleet, rates, span) = loaded_fleet(2, 10 * S);
    add_usual_load(&mut fleet, &rates, 1, span);
    let stay = (seconds_at_node * S).max(100 * MS);
    fleet.add_load(0, rates[0], span, |at, _| (at / stay) as usize % NODES);
    fleet.run_until(span.1 + S);
    fleet.check_bound();
    let refused = fleet.count_refused(0, span);
    println!("{refused} refused");
    assert!(refused <= 3, "{refused} refused");
}

/// Six times the usual load of one organisation: it gets what its limit allows, not less, others are not touched, and
/// the messages of its refused requests do not take the granter's processor.
#[rstest]
#[case::all_nodes(0, false)]
#[case::one_node(0, true)]
#[case::small_organisation(60, false)]
fn load_six_times(#[case] organisation: usize, #[case] one_node: bool) {
    let (mut fleet, rates, span) = loaded_fleet(3, 12 * S);
    fleet.retry = true;
    add_usual_load(&mut fleet, &rates, 0, span);
    let surge = (span.0 + 3 * S, span.0 + 8 * S);
    let rate = rates[organisation];
    fleet.add_load(organisation, 5.0 * rate, surge, |_, random| {
        if one_node { 7 } else { random.below(NODES) }
    });
    let before = fleet.messages;
    fleet.run_until(span.1 + S);
    fleet.check_bound();
    let per_node = (fleet.messages - before) as f64 / 12.0 / NODES as f64;
    let runs = fleet.count_runs(organisation, (surge.0 + S, surge.1)) as f64;
    let possible = 1.6 * rate * 4.0;
    let others = (0..83).filter(|it| *it != organisation);
    let refused: usize = others.map(|it| fleet.count_refused(it, span)).sum();
    println!("{runs} runs of {possible}, {refused} refused of others, {per_node:.1} messages");
    assert!(runs >= 0.93 * possible - 2.0, "{runs} of {possible} runs");
    assert!(refused <= 30, "{refused} requests of others refused");
    assert!(per_node < 90.0, "{per_node} messages a node a second");
}

/// A burst that the limit allows has to be served at the node where it comes, after one or two round trips.
#[rstest]
fn load_burst_one_node() {
    let (mut fleet, rates, span) = loaded_fleet(4, 2 * S);
    fleet.add_load(
        0,
        1.5 * rates[0] * 50.0,
        (span.0, span.0 + 20 * MS),
        |_, _| 5,
    );
    fleet.run_until(span.0 + 60 * MS);
    let refused = fleet.count_refused(0, span);
    let served = fleet.count_runs(0, span);
    println!("{served} served, {refused} refused");
    assert!(
        served >= 400 && refused == 0,
        "{served} served, {refused} refused"
    );
}

/// When the bucket is empty, a node must not take all because it asks first or most often.
#[rstest]
fn load_fair_between_nodes() {
    let (mut fleet, rates, span) = loaded_fleet(5, 6 * S);
    let demand = [3.0, 1.0, 1.0];
    for (node, part) in demand.iter().enumerate() {
        fleet.add_load(0, part * rates[0], span, |_, _| node + 10);
    }
    fleet.run_until(span.1);
    fleet.check_bound();
    let last = (span.1 - 4 * S, span.1);
    let runs = |node| {
        fleet
            .run_nodes
            .iter()
            .filter(|it| it.0 == node && (last.0..last.1).contains(&it.1))
            .count() as f64
    };
    let (large, small) = (runs(10), runs(11).min(runs(12)));
    println!("{large} {small}");
    assert!(
        small > 0.15 * (large + 2.0 * small),
        "{large} and {small} runs"
    );
}
