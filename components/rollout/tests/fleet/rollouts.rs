//! Tests of whole rollouts in a simulated fleet with a store.

use std::time::Duration;

use rstest::rstest;

use crate::support::Behaviour;
use crate::support::Fleet;
use kernel::Time;
use rollout::Phase;
use rollout::Role;

const DURATION_MS: u64 = 12_000;
/// Longest time in which a verdict is awaited.
const PATIENCE: Duration = Duration::from_secs(30);

/// A fleet with an order for the new version.
fn ordered(load: Behaviour, seed: u64) -> Fleet {
    let mut fleet = Fleet::new(81, 42, 42, load, seed);
    fleet.order("v2", DURATION_MS);
    fleet
}

/// Checks the bounds on what a bad version may get.
fn check_exposure(fleet: &Fleet) {
    let allowed = fleet.requests as f64 * 0.1 + 50.0;
    assert!(fleet.exposed as f64 <= allowed, "{} exposed", fleet.exposed);
    if let Some(at) = fleet.bad_50_at {
        let late = fleet.last_exposed.since(at);
        assert!(late <= Duration::from_secs(5), "sent {late:?} after");
    }
}

fn check_exposure_of(fleet: &Fleet, load: Behaviour) {
    if load != Behaviour::Good {
        check_exposure(fleet);
    }
}

/// Checks that each order has one verdict at most, and nothing after it.
fn check_verdicts(fleet: &Fleet) {
    let statuses = &fleet.store.statuses;
    for (index, (order, phase)) in statuses.iter().enumerate() {
        let mut later = statuses[index + 1..].iter().filter(|it| it.0 == *order);
        assert!(
            !phase.is_verdict() || later.all(|it| it.1 == *phase),
            "{statuses:?}"
        );
    }
}

/// Guards against a bad version that is not rolled back or gets more than its share, whichever way it is bad.
#[rstest]
#[case::fails_at_once(Behaviour::Fails(0))]
#[case::fails_late(Behaviour::Fails(3_000))]
#[case::slow_at_once(Behaviour::Slow(0))]
#[case::slow_late(Behaviour::Slow(2_500))]
#[case::under_load(Behaviour::UnderLoad)]
#[case::one_route(Behaviour::OneRoute)]
fn roll_back_bad(#[case] load: Behaviour, #[values(1, 2)] seed: u64) {
    let mut fleet = ordered(load, seed);
    assert_eq!(
        fleet.run_to_verdict("v2", PATIENCE),
        Some(Phase::RolledBack)
    );
    fleet.run(Duration::from_secs(6));
    check_exposure(&fleet);
    let live = fleet.live();
    assert!(
        live.iter()
            .all(|it| fleet.established(*it).as_deref() == Some("v1"))
    );
}

/// Guards against a good version that is rolled back because of a neighbour, an overload or a cold start, against a
/// verdict that comes late, and against requests at old endpoints once these may stop.
#[rstest]
#[case::good(Behaviour::Good)]
#[case::bad_neighbour(Behaviour::BadNeighbour)]
#[case::overload(Behaviour::Overload)]
#[case::cold_start(Behaviour::ColdStart)]
fn succeed_good(#[case] load: Behaviour, #[values(1, 2)] seed: u64) {
    let mut fleet = ordered(load, seed);
    assert_eq!(fleet.run_to_verdict("v2", PATIENCE), Some(Phase::Succeeded));
    assert!(fleet.elapsed_ms() < DURATION_MS, "{}", fleet.elapsed_ms());
    fleet.run(Duration::from_secs(6));
    assert_eq!(fleet.late_old, 0);
    let live = fleet.live();
    assert!(
        live.iter()
            .all(|it| fleet.established(*it).as_deref() == Some("v2"))
    );
}

/// Guards against a rollout that ends wrongly or not at all because its coordinator dies, at any step of it. The
/// others learn of the death by gossip 4 s later.
#[rstest]
#[case::good(Behaviour::Good, Phase::Succeeded)]
#[case::bad(Behaviour::Fails(0), Phase::RolledBack)]
fn verdict_coordinator_killed(
    #[case] load: Behaviour,
    #[case] expected: Phase,
    #[values(5, 60, 1_300, 7_150, 8_700, 9_550)] killed_ms: u64,
) {
    let mut fleet = Fleet::new(40, 20, 20, load, killed_ms);
    fleet.order("v2", 16_000);
    fleet.run(Duration::from_millis(killed_ms));
    fleet.kill(0);
    fleet.run(Duration::from_secs(4));
    fleet.set_roles();
    let phase = fleet.store.phase("v2").filter(|it| it.is_verdict());
    let phase = phase.or_else(|| fleet.run_to_verdict("v2", PATIENCE));
    assert_eq!(phase, Some(expected));
    fleet.run(Duration::from_secs(6));
    assert_eq!(fleet.store.phase("v2"), Some(expected), "a verdict stays");
    check_verdicts(&fleet);
    check_exposure_of(&fleet, load);
}

/// Guards against two coordinators that write different verdicts, or undo each other's steps.
#[rstest]
#[case::good(Behaviour::Good, Phase::Succeeded)]
#[case::bad(Behaviour::Slow(0), Phase::RolledBack)]
fn verdict_two_coordinators(
    #[case] load: Behaviour,
    #[case] expected: Phase,
    #[values(1, 2)] seed: u64,
) {
    let mut fleet = Fleet::new(40, 20, 20, load, seed);
    fleet.set_role(fleet.now, 1, Role::Coordinator);
    fleet.order("v2", DURATION_MS);
    assert_eq!(fleet.run_to_verdict("v2", PATIENCE), Some(expected));
    fleet.run(Duration::from_secs(6));
    check_verdicts(&fleet);
}

/// Guards against a coordinator that was frozen and goes on with what it knew before, when the other one has
/// ended the rollout.
#[rstest]
fn verdict_frozen_coordinator(#[values(100, 1_000, 7_500)] frozen_ms: u64) {
    let mut fleet = Fleet::new(40, 20, 20, Behaviour::Fails(0), frozen_ms);
    fleet.order("v2", 16_000);
    fleet.run(Duration::from_millis(frozen_ms));
    fleet.freeze(0, Duration::from_secs(12));
    fleet.run(Duration::from_secs(25));
    assert_eq!(fleet.store.phase("v2"), Some(Phase::RolledBack));
    check_verdicts(&fleet);
    check_exposure(&fleet);
}

/// Guards against a bad version that gets requests for as long as the store is away, and against a verdict that is
/// never written after that.
#[rstest]
#[case::bad(Behaviour::Fails(0), 300)]
#[case::good(Behaviour::Good, 300)]
#[case::good_later(Behaviour::Good, 3_000)]
fn verdict_store_away(#[case] load: Behaviour, #[case] away_ms: u64) {
    let mut fleet = ordered(load, away_ms);
    fleet.run(Duration::from_millis(away_ms));
    fleet.is_store_down = true;
    fleet.run(Duration::from_secs(20));
    check_exposure(&fleet);
    assert!(!fleet.store.phase("v2").is_some_and(Phase::is_verdict));
    fleet.is_store_down = false;
    assert_eq!(
        fleet.run_to_verdict("v2", PATIENCE),
        Some(Phase::RolledBack)
    );
    check_verdicts(&fleet);
}

/// Guards against writes that are made twice or are given up because the answer to the first was lost, and against
/// a slow store that delays or changes a verdict.
#[rstest]
#[case::lost_good(Behaviour::Good, true, 4, Phase::Succeeded)]
#[case::lost_bad(Behaviour::Fails(0), true, 4, Phase::RolledBack)]
#[case::slow_good(Behaviour::Good, false, 400, Phase::Succeeded)]
#[case::slow_bad(Behaviour::Slow(0), false, 400, Phase::RolledBack)]
fn verdict_store_faulty(
    #[case] load: Behaviour,
    #[case] loses_answers: bool,
    #[case] delay_ms: u64,
    #[case] expected: Phase,
) {
    let mut fleet = ordered(load, 7);
    fleet.loses_answers = loses_answers;
    fleet.store_delay = Duration::from_millis(delay_ms);
    assert_eq!(fleet.run_to_verdict("v2", PATIENCE), Some(expected));
    assert!(fleet.elapsed_ms() < DURATION_MS, "{}", fleet.elapsed_ms());
    fleet.run(Duration::from_secs(6));
    check_verdicts(&fleet);
    check_exposure_of(&fleet, load);
}

/// Guards against an order that takes over counts, a halt or a verdict of the one that it replaces.
#[rstest]
#[case::running(Behaviour::Good, 3_000)]
#[case::rolled_back(Behaviour::Fails(0), 5_000)]
fn replace_order(#[case] load: Behaviour, #[case] replaced_ms: u64) {
    let mut fleet = ordered(load, 3);
    fleet.run(Duration::from_millis(replaced_ms));
    fleet.load = Behaviour::Good;
    fleet.order("v2", DURATION_MS);
    fleet.run(Duration::from_millis(DURATION_MS));
    assert_eq!(fleet.store.phase("v2"), Some(Phase::Succeeded));
    assert_eq!(fleet.late_old, 0);
}

/// Guards against a fleet that restarts as a whole between two orders and takes the version of most endpoints for the
/// established one, whatever the store says.
#[rstest]
fn order_after_restart() {
    let mut fleet = ordered(Behaviour::Fails(0), 5);
    assert_eq!(
        fleet.run_to_verdict("v2", PATIENCE),
        Some(Phase::RolledBack)
    );
    let store = std::mem::take(&mut fleet.store);
    let mut fleet = Fleet::new(20, 0, 30, Behaviour::Fails(0), 6);
    assert_eq!(fleet.established(0).as_deref(), Some("v2"));
    fleet.set_endpoints(8, 30);
    fleet.store = store;
    fleet.order("v2", DURATION_MS);
    fleet.run(Duration::from_secs(2));
    let live = fleet.live();
    assert!(
        live.iter()
            .all(|it| fleet.established(*it).as_deref() == Some("v1"))
    );
}

/// Guards against a release of the established version that disturbs a rollout: its endpoints come and go.
#[rstest]
fn succeed_beside_release() {
    let mut fleet = ordered(Behaviour::Good, 4);
    for old in [38, 30, 25, 36, 42, 41] {
        fleet.run(Duration::from_secs(1));
        fleet.set_endpoints(old, 42);
    }
    assert_eq!(fleet.run_to_verdict("v2", PATIENCE), Some(Phase::Succeeded));
    assert_eq!(fleet.late_old, 0);
}

/// Guards against a promotion that never ends because nodes start all the time, and against a verdict without
/// the confirmation of the newest of them.
#[rstest]
fn succeed_while_nodes_start() {
    let mut fleet = Fleet::new(30, 20, 20, Behaviour::Good, 8);
    fleet.order("v2", DURATION_MS);
    for _ in 0..26 {
        fleet.run(Duration::from_millis(450));
        fleet.start_node();
    }
    assert_eq!(fleet.store.phase("v2"), Some(Phase::Succeeded));
    assert_eq!(fleet.late_old, 0);
}

/// Guards against a node that starts during a rollout or after its end and routes by the number of endpoints.
#[rstest]
#[case::running(Behaviour::Good, 2_000, "v1")]
#[case::rolled_back(Behaviour::Fails(0), 6_000, "v1")]
#[case::succeeded(Behaviour::Good, 14_000, "v2")]
fn start_during_rollout(#[case] load: Behaviour, #[case] started_ms: u64, #[case] expected: &str) {
    let mut fleet = Fleet::new(20, 20, 30, load, 6);
    fleet.order("v2", DURATION_MS);
    fleet.run(Duration::from_millis(started_ms));
    fleet.start_node();
    fleet.run(Duration::from_millis(500));
    assert_eq!(fleet.established(20).as_deref(), Some(expected));
    assert!(fleet.late_old == 0);
}

/// Guards against a promotion that certainly overloads the few endpoints of the new version.
#[rstest]
fn roll_back_without_endpoints() {
    let mut fleet = Fleet::new(20, 20, 3, Behaviour::Good, 5);
    fleet.order("v2", DURATION_MS);
    assert_eq!(
        fleet.run_to_verdict("v2", PATIENCE),
        Some(Phase::RolledBack)
    );
}

/// Guards against calls to the store that grow with the fleet or go on without an order: one watch in 2 s for each
/// of the two nodes.
#[rstest]
fn watch_without_order() {
    let mut fleet = Fleet::new(20, 8, 8, Behaviour::Good, 1);
    let before = fleet.store.calls;
    fleet.run(Duration::from_secs(20));
    let calls = fleet.store.calls - before;
    assert!(calls <= 22, "{calls} calls");
    assert_eq!(fleet.exposed, 0);
    assert_ne!(fleet.now, Time(0));
}
