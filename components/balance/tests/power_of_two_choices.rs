//! Guards the choice between two endpoints.

use rstest::rstest;

use balance::PowerOfTwoChoices;
use ids::NodeId;
use kernel::random::SeededRandom;
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
    }
}

/// How often each candidate is chosen out of `count`; choices stay in flight if `keep`.
fn choose(candidates: &mut [Candidate], count: usize, keep: bool) -> Vec<usize> {
    let mut random = SeededRandom::new(5);
    let mut chosen = vec![0; candidates.len()];
    for _ in 0..count {
        if let Some(at) = PowerOfTwoChoices.choose(candidates, &mut random) {
            chosen[at] += 1;
            candidates[at].in_flight += u32::from(keep);
        }
    }
    chosen
}

/// Guards against leaving the own failure domain without need, and against staying until it hurts.
#[rstest]
#[case::calm(3, 0, [0, 100])]
#[case::busy_here(9, 0, [100, 0])]
#[case::busy_everywhere(9, 9, [0, 100])]
#[case::little_gain(8, 7, [0, 100])]
#[case::some_gain(8, 6, [100, 0])]
fn choose_domain(#[case] same_domain: u32, #[case] far: u32, #[case] expected: [usize; 2]) {
    let mut candidates = [candidate(1, false, far), candidate(2, true, same_domain)];
    assert_eq!(choose(&mut candidates, 100, false), expected);
}

/// Guards against a reported load that is ignored, or that hides the sender's own requests.
#[rstest]
#[case::reported(0, 9, 1)]
#[case::own(9, 0, 1)]
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
    let chosen = choose(&mut candidates, 50, false);
    assert_eq!(chosen[expected], 50);
}

/// Guards against work spread by chance alone.
#[rstest]
fn choose_spread() {
    let mut candidates: Vec<_> = (0..20).map(|node| candidate(node, true, 0)).collect();
    let chosen = choose(&mut candidates, 2_000, true);
    assert!(chosen.iter().all(|count| (96..=104).contains(count)));
}

/// Guards against a rush to an endpoint that is new and therefore idle.
#[rstest]
fn choose_new_endpoint() {
    let mut candidates: Vec<_> = (0..5).map(|node| candidate(node, true, 4)).collect();
    (candidates[0].in_flight, candidates[0].weight) = (0, 100);
    let chosen = choose(&mut candidates, 1_000, false);
    assert!((1..100).contains(&chosen[0]), "{chosen:?}");
}

/// Guards against a panic where there is little to choose from.
#[rstest]
fn choose_few() {
    assert!(choose(&mut [], 1, false).is_empty());
    let cold = Candidate {
        weight: 0,
        slots: 0,
        ..candidate(1, false, u32::MAX - 1)
    };
    assert_eq!(choose(&mut [cold], 10, false), [10]);
}
