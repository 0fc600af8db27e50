//! Property tests: whatever happens to messages and nodes, no proof is valid for a replaced configuration.

mod support;

use std::time::Duration;

use proptest::prelude::ProptestConfig;
use proptest::prelude::any;
use proptest::prop_assert;
use proptest::proptest;
use support::Fleet;
use support::LIMIT;
use support::Network;

use ids::Version;
use kernel::Random;
use kernel::Time;

const NODES: usize = 7;

/// Lets something happen to a random node, or to the store.
fn disturb(fleet: &mut Fleet) {
    let index = fleet.random.below(NODES);
    let duration = fleet.random_time(Duration::from_secs(8));
    match fleet.random.below(7) {
        0 => fleet.nodes[index].frozen_until = fleet.now + duration,
        1 => fleet.restart(index),
        2 => fleet.nodes[index].cut_off ^= true,
        3 => fleet.nodes[index].rejected ^= true,
        4 => fleet.store_latency = duration / 10,
        _ => {
            let newest = fleet.stored_version(fleet.now);
            fleet.change(newest.next());
        }
    }
}

/// Whether a node accepts keys by a configuration that was replaced more than the limit ago.
fn accepts_withdrawn_keys(fleet: &Fleet) -> bool {
    let earlier = Time(fleet.now.0 - LIMIT.as_micros() as u64);
    let required = fleet.stored_version(earlier);
    let mut nodes = fleet.nodes.iter();
    nodes.any(|it| it.version < required && it.is_valid(fleet.now))
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 96, ..ProptestConfig::default() })]

    /// Lost, delayed, repeated and reordered messages, freezes, restarts and partitions must not make a proof younger
    /// than it is, by which a node would accept a key that was withdrawn longer ago than the limit.
    #[test]
    fn is_valid_disturbed(
        seed in any::<u64>(),
        loss in 0..60_usize,
        repetition in 0..60_usize,
        delay_ms in 1..6_000_u64,
        spread_ms in 1..12_000_u64,
    ) {
        let mut fleet = Fleet::new(NODES, 2, seed);
        fleet.network = Network { loss, repetition, delay: Duration::from_millis(delay_ms) };
        fleet.spread_time = Duration::from_millis(spread_ms);
        let mut violations = 0;
        for _ in 0..25 {
            disturb(&mut fleet);
            let time = fleet.random_time(Duration::from_secs(3));
            fleet.run(time, |fleet| violations += usize::from(accepts_withdrawn_keys(fleet)));
        }
        prop_assert!(violations == 0, "{violations} steps");
    }

    /// Changes of the configuration must not cost a node its proof while nothing fails.
    #[test]
    fn is_valid_calm(seed in any::<u64>(), delay_ms in 1..150_u64, latency_ms in 1..120_u64) {
        let mut fleet = Fleet::new(NODES, 2, seed);
        fleet.network.delay = Duration::from_millis(delay_ms);
        fleet.store_latency = Duration::from_millis(latency_ms);
        fleet.run(Duration::from_secs(3), |_| {});
        let mut invalid = 0;
        for version in 2..8 {
            fleet.change(Version(version));
            let time = fleet.random_time(Duration::from_secs(4));
            fleet.run(time, |fleet| {
                invalid += fleet.nodes.iter().filter(|it| !it.is_valid(fleet.now)).count();
            });
        }
        prop_assert!(invalid == 0, "{invalid} steps");
    }
}
