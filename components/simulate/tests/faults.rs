//! Simulates faults of messages and owners with fixed seeds and checks the guarantees P4 to P8.

use std::time::Duration;

use rstest::rstest;

use kernel::Time;
use simulate::Simulation;
use simulate::message::MessageKind;
use simulate::plan::Fault;
use simulate::plan::Plan;
use simulate::plan::PlantedViolation;

const SECOND: u64 = 1_000_000;

/// Two seconds of load at about two thirds of the capacity; a third of the requests is not
/// idempotent.
fn plan(seed: u64) -> Plan {
    let mut plan = Plan::new(seed);
    for (route, rate) in [(0, 100.0), (1, 130.0), (2, 60.0), (4, 100.0)] {
        plan.add_load(route, rate, Time(0), Time(2 * SECOND));
    }
    plan.disconnect_per_mille = 10;
    plan.connection_break_per_mille = 10;
    plan.shed_per_mille = 10;
    plan
}

fn assert_no_violations(simulation: &Simulation) {
    let violations = simulation.history.check();
    assert!(violations.is_empty(), "{violations:?}");
    assert!(simulation.history.total_runs() > 300);
}

/// Checks that no fault of any kind of message violates a guarantee.
#[rstest]
fn run_message_fault(
    #[values(
        MessageKind::Request,
        MessageKind::Response,
        MessageKind::OutcomeQuery,
        MessageKind::OutcomeReport,
        MessageKind::Cancel,
        MessageKind::Fetch
    )]
    kind: MessageKind,
    #[values(Fault::Lost, Fault::Duplicated, Fault::Delayed, Fault::Reordered)] fault: Fault,
    #[values(11, 12, 13)] seed: u64,
) {
    let mut plan = plan(seed);
    plan.message_faults.push((kind, fault, 100));
    // The entry sends queries and fetches only if responses are missing.
    plan.message_faults
        .push((MessageKind::Response, Fault::Lost, 60));
    let simulation = Simulation::new(plan).run();
    assert_no_violations(&simulation);
    assert!(simulation.history.queries > 10);
    assert!(simulation.history.fetches > 0);
}

/// Checks that no fault of an owner's process violates a guarantee.
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
    assert_no_violations(&Simulation::new(plan).run());
}

/// Checks that faults which occur together violate no guarantee.
#[rstest]
fn run_all_faults(#[values(31, 32, 33, 34, 35, 36, 37, 38)] seed: u64) {
    let mut plan = plan(seed);
    for kind in [
        MessageKind::Request,
        MessageKind::Response,
        MessageKind::OutcomeQuery,
        MessageKind::OutcomeReport,
        MessageKind::Cancel,
    ] {
        for fault in [
            Fault::Lost,
            Fault::Duplicated,
            Fault::Delayed,
            Fault::Reordered,
        ] {
            plan.message_faults.push((kind, fault, 40));
        }
    }
    let pause = Fault::Paused(Duration::from_secs(2));
    plan.owner_faults = vec![
        (Time(SECOND / 4), 0, Fault::Replaced),
        (Time(SECOND / 2), 1, pause),
        (Time(SECOND), 2, Fault::Drained),
    ];
    assert_no_violations(&Simulation::new(plan).run());
}

/// Checks that the checker finds a planted violation of each guarantee.
#[rstest]
#[case::swapped_responses(PlantedViolation::SwappedResponses, "P4")]
#[case::false_not_run(PlantedViolation::FalseNotRun, "P5")]
#[case::run_twice(PlantedViolation::RunTwice, "P6")]
#[case::work_after_drain(PlantedViolation::IgnoreDrain, "P7")]
#[case::early_exit(PlantedViolation::ExitEarly, "P8")]
fn check_planted_violation(#[case] planted_violation: PlantedViolation, #[case] guarantee: &str) {
    let mut plan = plan(41);
    plan.owner_faults.push((Time(SECOND), 0, Fault::Drained));
    plan.planted_violation = Some(planted_violation);
    let violations = Simulation::new(plan).run().history.check();
    assert!(
        violations
            .iter()
            .any(|(violated, _)| *violated == guarantee)
    );
}

/// Checks that the state machines depend only on inputs, time and seeded random numbers: the same
/// seed gives the same effects, and another seed gives others.
#[rstest]
fn run_same_seed() {
    let trace_hash = |seed| {
        let mut plan = plan(seed);
        plan.message_faults
            .push((MessageKind::Response, Fault::Delayed, 100));
        Simulation::new(plan).run().trace_hash
    };
    assert_eq!(trace_hash(51), trace_hash(51));
    assert_ne!(trace_hash(51), trace_hash(52));
}
