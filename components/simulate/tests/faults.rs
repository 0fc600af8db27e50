//! Guards the promises on requests against faults at each step, by runs with fixed seeds.

use std::time::Duration;

use rstest::rstest;

use kernel::Time;
use simulate::World;
use simulate::message::Kind;
use simulate::plan::Fault;
use simulate::plan::Plan;
use simulate::plan::Plant;

const SECOND: u64 = 1_000_000;

/// Two seconds of load at about two thirds of the capacity, a third of it not repeatable.
fn plan(seed: u64) -> Plan {
    let mut plan = Plan::new(seed);
    for (route, rate) in [(0, 100.0), (1, 130.0), (2, 60.0), (4, 100.0)] {
        plan.add_load(route, rate, Time(0), Time(2 * SECOND));
    }
    plan.leaving = 10;
    plan.breaking = 10;
    plan.shedding = 10;
    plan
}

fn assert_kept(world: &World) {
    let broken = world.history.check();
    assert!(broken.is_empty(), "{broken:?}");
    assert!(world.history.total_runs() > 300);
}

/// Guards each message of a request's life against each thing that can befall it.
#[rstest]
fn run_message_fault(
    #[values(
        Kind::Offer,
        Kind::Answer,
        Kind::Query,
        Kind::Tell,
        Kind::Cancel,
        Kind::Fetch
    )]
    kind: Kind,
    #[values(Fault::Lost, Fault::Duplicate, Fault::Late, Fault::Crossed)] fault: Fault,
    #[values(11, 12, 13)] seed: u64,
) {
    let mut plan = plan(seed);
    plan.message_faults.push((kind, fault, 100));
    // Queries and fetches need silent connections to happen at all.
    plan.message_faults.push((Kind::Answer, Fault::Lost, 60));
    let world = World::new(plan).run();
    assert_kept(&world);
    assert!(world.history.queries > 10);
    assert!(world.history.fetches > 0);
}

/// Guards the requests at an owner against each thing that can befall its process.
#[rstest]
fn run_owner_fault(
    #[values(
        Fault::Replaced,
        Fault::Paused(Duration::from_millis(700)),
        Fault::Paused(Duration::from_secs(30)),
        Fault::Drained
    )]
    fault: Fault,
    #[values(21, 22, 23, 24)] seed: u64,
) {
    let mut plan = plan(seed);
    plan.owner_faults.push((Time(SECOND / 2), 0, fault.clone()));
    plan.owner_faults.push((Time(SECOND), 1, fault));
    assert_kept(&World::new(plan).run());
}

/// Guards against promises that hold only while faults come alone.
#[rstest]
fn run_all_faults(#[values(31, 32, 33, 34, 35, 36, 37, 38)] seed: u64) {
    let mut plan = plan(seed);
    for kind in [
        Kind::Offer,
        Kind::Answer,
        Kind::Query,
        Kind::Tell,
        Kind::Cancel,
    ] {
        for fault in [Fault::Lost, Fault::Duplicate, Fault::Late, Fault::Crossed] {
            plan.message_faults.push((kind, fault, 40));
        }
    }
    let pause = Fault::Paused(Duration::from_secs(2));
    plan.owner_faults = vec![
        (Time(SECOND / 4), 0, Fault::Replaced),
        (Time(SECOND / 2), 1, pause),
        (Time(SECOND), 2, Fault::Drained),
    ];
    assert_kept(&World::new(plan).run());
}

/// Guards against a checker that finds nothing.
#[rstest]
#[case::wrong_answer(Plant::Swap, "P4")]
#[case::false_not_run(Plant::FalseNotRun, "P5")]
#[case::ran_twice(Plant::RunTwice, "P6")]
#[case::work_after_drain(Plant::IgnoreDrain, "P7")]
#[case::cut(Plant::ExitEarly, "P8")]
fn check_planted(#[case] plant: Plant, #[case] promise: &str) {
    let mut plan = plan(41);
    plan.owner_faults.push((Time(SECOND), 0, Fault::Drained));
    plan.plant = Some(plant);
    let broken = World::new(plan).run().history.check();
    assert!(broken.iter().any(|(found, _)| *found == promise));
}

/// Guards against decisions that depend on anything but inputs, time and random numbers.
#[rstest]
fn run_same_seed() {
    let trace = |seed| {
        let mut plan = plan(seed);
        plan.message_faults.push((Kind::Answer, Fault::Late, 100));
        World::new(plan).run().trace
    };
    assert_eq!(trace(51), trace(51));
    assert_ne!(trace(51), trace(52));
}
