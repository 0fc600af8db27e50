//! Mean response lengths by route.

use rstest::rstest;

use ids::RouteId;
use link::Sizes;

/// Guards against a mean that one exceptional response decides, and against one that never follows a change.
#[rstest]
#[case::steady(&[90_000; 100], 90_000..90_001)]
#[case::one_exception(&[90_000, 90_000, 540_000], 110_000..125_000)]
#[case::changed(&[[5_000; 50], [90_000; 50]].concat(), 85_000..90_000)]
fn record_mean(#[case] lengths: &[u64], #[case] expected: std::ops::Range<u64>) {
    let mut sizes = Sizes::default();
    for bytes in lengths {
        sizes.record(RouteId(1), *bytes);
    }
    let mean = sizes.mean(RouteId(1)).expect("the route is known");
    assert!(expected.contains(&(mean as u64)), "{mean}");
    assert_eq!(sizes.mean(RouteId(2)), None);
}

/// Guards against memory that grows with each configuration, and against small routes that push out those
/// for which the table exists.
#[rstest]
fn record_many_routes() {
    let mut sizes = Sizes::default();
    sizes.record(RouteId(0), 90_000);
    for route in 1..20_000 {
        sizes.record(RouteId(route), 1_000);
    }
    sizes.record(RouteId(20_000), 50_000);
    let known = (0..=20_000).filter(|it| sizes.mean(RouteId(*it)).is_some());
    assert_eq!(known.count(), 4_096);
    assert!(sizes.mean(RouteId(0)).is_some() && sizes.mean(RouteId(20_000)).is_some());
}
