//! Tests of power-of-two-choices balancing.

use std::time::Duration;

use rstest::rstest;

use balance::PowerOfTwoChoices;
use ids::NodeId;
use kernel::random::SeededRandom;
use policy::AVERAGE_SLOWNESS;
use policy::Balance;
use policy::Candidate;
use policy::FULL_WEIGHT;
use policy::Load;

fn candidate(node: u64, same_domain: bool, in_flight: u32) -> Candidate {
    Candidate {
        node: NodeId(node),
        same_domain,
        in_flight,
        slots: 10,
        load: None,
        weight: FULL_WEIGHT,
        slowness: AVERAGE_SLOWNESS,
    }
}

/// Returns how often each candidate is chosen in `count` choices. With `keep_in_flight`, each
/// chosen request stays in flight and counts in later choices.
fn count_choices(candidates: &mut [Candidate], count: usize, keep_in_flight: bool) -> Vec<usize> {
    let mut random = SeededRandom::new(5);
    let mut chosen = vec![0; candidates.len()];
    for _ in 0..count {
        if let Some(index) = PowerOfTwoChoices.choose(candidates, &mut random) {
            chosen[index] += 1;
            candidates[index].in_flight += u32::from(keep_in_flight);
        }
    }
    chosen
}

/// A request leaves the local failure domain only if the local endpoint is busy and the remote one
/// is clearly less utilized. Leaving earlier costs latency; leaving later makes requests queue.
#[rstest]
#[case::local_idle(3, 0, [0, 100])]
#[case::local_busy(9, 0, [100, 0])]
#[case::both_busy(9, 9, [0, 100])]
#[case::remote_slightly_better(8, 7, [0, 100])]
#[case::local_free_slots(8, 0, [0, 100])]
#[case::remote_clearly_better(9, 7, [100, 0])]
fn choose_domain(#[case] local: u32, #[case] remote: u32, #[case] expected: [usize; 2]) {
    let mut candidates = [candidate(1, false, remote), candidate(2, true, local)];
    assert_eq!(count_choices(&mut candidates, 100, false), expected);
}

/// The load that an endpoint reports counts, but does not hide the sender's own requests that the
/// report lacks.
#[rstest]
#[case::reported(0, 9, 1)]
#[case::in_flight(9, 0, 1)]
#[case::none(0, 0, 0)]
fn choose_load(#[case] in_flight: u32, #[case] running: u32, #[case] expected: usize) {
    let load = Load {
        running,
        limit: 10,
        ..Load::default()
    };
    let loaded = Candidate {
        load: Some(load),
        ..candidate(1, true, in_flight)
    };
    let mut candidates = [loaded, candidate(2, true, 1)];
    let chosen = count_choices(&mut candidates, 50, false);
    assert_eq!(chosen[expected], 50);
}

/// Guards against large responses that are sent for to an instance whose link is busy while another one has
/// room.
#[rstest]
#[case::busy_link(400, 0, 1)]
#[case::less_busy_than_slots(200, 5, 0)]
fn choose_link(#[case] busy_ms: u64, #[case] other_in_flight: u32, #[case] expected: usize) {
    let load = Load {
        link_busy: Duration::from_millis(busy_ms),
        ..Load::default()
    };
    let loaded = Candidate {
        load: Some(load),
        ..candidate(1, true, 1)
    };
    let mut candidates = [loaded, candidate(2, true, other_in_flight)];
    assert_eq!(count_choices(&mut candidates, 50, false)[expected], 50);
}

/// Choices by utilization spread requests almost evenly, unlike purely random choices.
#[rstest]
fn choose_spread() {
    let mut candidates: Vec<_> = (0..20).map(|node| candidate(node, true, 0)).collect();
    let chosen = count_choices(&mut candidates, 2_000, true);
    assert!(chosen.iter().all(|count| (96..=104).contains(count)));
}

/// A new endpoint with a low weight gets few requests, although it is the only idle one.
#[rstest]
fn choose_new_endpoint() {
    let mut candidates: Vec<_> = (0..5).map(|node| candidate(node, true, 4)).collect();
    (candidates[0].in_flight, candidates[0].weight) = (0, 100);
    let chosen = count_choices(&mut candidates, 1_000, false);
    assert!((1..100).contains(&chosen[0]), "{chosen:?}");
}

/// Empty candidates, and a single one without slots and weight, must not cause a panic.
#[rstest]
fn choose_few_candidates() {
    assert!(count_choices(&mut [], 1, false).is_empty());
    let without_slots = Candidate {
        weight: 0,
        slots: 0,
        ..candidate(1, false, u32::MAX - 1)
    };
    assert_eq!(count_choices(&mut [without_slots], 10, false), [10]);
}
