//! Property test of rollouts under random orders, losses and deaths.

use std::time::Duration;

use proptest::prelude::ProptestConfig;
use proptest::prelude::Strategy;
use proptest::prop_assert;
use proptest::proptest;
use proptest::test_runner::RngSeed;

use crate::support::Behaviour;
use crate::support::Fleet;
use rollout::Role;

/// Something that happens during a run.
#[derive(Clone, Copy, Debug)]
enum Fault {
    KillCoordinator,
    FreezeCoordinator,
    TwoCoordinators,
    StoreDown,
    StoreUp,
    LoseAnswers,
    LoseMessages,
    StartNode,
    Replace,
}

const FAULTS: [Fault; 9] = [
    Fault::KillCoordinator,
    Fault::FreezeCoordinator,
    Fault::TwoCoordinators,
    Fault::StoreDown,
    Fault::StoreUp,
    Fault::LoseAnswers,
    Fault::LoseMessages,
    Fault::StartNode,
    Fault::Replace,
];

fn apply(fleet: &mut Fleet, fault: Fault) {
    let live = fleet.live();
    match fault {
        Fault::KillCoordinator if live.len() > 6 => {
            fleet.kill(live[0]);
            fleet.set_roles();
        }
        Fault::KillCoordinator => {}
        Fault::FreezeCoordinator => fleet.freeze(live[0], Duration::from_secs(3)),
        Fault::TwoCoordinators => fleet.set_role(fleet.now, live[1], Role::Coordinator),
        Fault::StoreDown => fleet.is_store_down = true,
        Fault::StoreUp => fleet.is_store_down = false,
        Fault::LoseAnswers => fleet.loses_answers = !fleet.loses_answers,
        Fault::LoseMessages => fleet.loss = 30 - fleet.loss,
        Fault::StartNode => fleet.start_node(),
        Fault::Replace => fleet.order("v2", 13_000),
    }
}

fn behaviours() -> impl Strategy<Value = Behaviour> {
    (0..6_usize).prop_map(|index| {
        [
            Behaviour::Good,
            Behaviour::Fails(0),
            Behaviour::Fails(2_500),
            Behaviour::Slow(0),
            Behaviour::OneRoute,
            Behaviour::Overload,
        ][index]
    })
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 40, max_shrink_iters: 40, failure_persistence: None, rng_seed: RngSeed::Fixed(7), ..ProptestConfig::default() })]

    /// Guards against a bound that holds in the expected order of events only: exposure before the promotion, one
    /// verdict for each order, and no `succeeded` before all live nodes route by it.
    #[test]
    fn run_random(
        seed in 0..1_000_u64,
        behaviour in behaviours(),
        faults in proptest::collection::vec((0..2_500_u64, 0..FAULTS.len()), 0..8),
    ) {
        let mut fleet = Fleet::new(16, 12, 12, behaviour, seed);
        fleet.order("v2", 13_000);
        let mut faults = faults.into_iter();
        let mut pause = 0;
        let mut next = faults.next();
        let is_bad = !matches!(behaviour, Behaviour::Good | Behaviour::Overload);
        let mut is_promoted = false;
        for _ in 0..2_600 {
            fleet.step();
            pause += 10;
            if let Some((_, fault)) = next.filter(|(after, _)| pause >= *after) {
                apply(&mut fleet, FAULTS[fault]);
                (pause, next) = (0, faults.next());
            }
            is_promoted |= fleet.is_promoted();
            prop_assert!(!(is_bad && is_promoted), "a bad version was promoted");
            let allowed = fleet.requests as f64 * 0.1 + 50.0;
            prop_assert!(is_promoted || fleet.exposed as f64 <= allowed, "{}", fleet.exposed);
            let late = fleet.bad_50_at.map(|at| fleet.last_exposed.since(at));
            prop_assert!(
                !is_bad || late.unwrap_or_default() <= Duration::from_secs(5),
                "sent {late:?} after"
            );
        }
        prop_assert!(fleet.late_old == 0, "{} at old endpoints", fleet.late_old);
        let statuses = &fleet.store.statuses;
        for (index, (order, phase)) in statuses.iter().enumerate() {
            let mut later = statuses[index + 1..].iter().filter(|it| it.0 == *order);
            prop_assert!(!phase.is_verdict() || later.all(|it| it.1 == *phase), "{statuses:?}");
        }
    }
}
