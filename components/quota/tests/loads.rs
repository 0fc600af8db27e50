//! Service within the limits: no failures, loads of different shapes.

mod support;

use rstest::rstest;
use support::Fleet;
use support::S;
use support::limits_of;
use support::zipf_rates;

use kernel::Random;

/// Time that a fleet needs from its start until its buckets are full.
const SETTLE: u64 = 5 * S;

/// The parcel tracking deployment with `organisations` organisations, settled.
fn settled_fleet(seed: u64) -> (Fleet, Vec<f64>) {
    let rates = zipf_rates(83, 2_000.0);
    let mut fleet = Fleet::new(seed, 81, limits_of(&rates));
    let start = fleet.now;
    fleet.run_until(start + SETTLE);
    (fleet, rates)
}

/// Tokens that lapse unspent at many nodes would refuse requests far within the limit.
#[rstest]
fn load_zipf_usual() {
    let (mut fleet, rates) = settled_fleet(1);
    let span = (fleet.now, fleet.now + 10 * S);
    for (organisation, rate) in rates.iter().enumerate() {
        fleet.add_load(organisation, *rate, span, |_, random| random.below(81));
    }
    let before = fleet.messages;
    fleet.run_until(span.1 + S);
    fleet.check_bound();
    let per_node = (fleet.messages - before) as f64 / 11.0 / 81.0;
    println!("{per_node}");
}
