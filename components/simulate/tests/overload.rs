//! Tests the response counts and latencies of each route while the load of one route exceeds the
//! capacity.

use rstest::rstest;

use simulate::overload::CAPACITY;
use simulate::overload::Measurement;
use simulate::overload::OverloadExperiment;

// Indices of the routes in `simulate::plan::ROUTES`.
const SLOTS_ROUTE: usize = 0;
const BOOKINGS_ROUTE: usize = 1;
const LOADS_ROUTE: usize = 2;
const PRICES_ROUTE: usize = 3;
const SHEETS_ROUTE: usize = 4;
const YIELDS_ROUTE: usize = 5;

fn measure(admission: &'static str, overload: Option<(usize, f64)>) -> Measurement {
    measure_long_sheets(admission, overload, 1)
}

fn measure_long_sheets(
    admission: &'static str,
    overload: Option<(usize, f64)>,
    sheets_time_factor: u32,
) -> Measurement {
    let experiment = OverloadExperiment {
        admission,
        overload,
        sheets_time_factor,
        seconds: 4,
        seed: 61,
    };
    let measurement = experiment.measure();
    assert_eq!(measurement.violations, 0);
    measurement
}

/// Responses of a route under overload as a share of those under normal load.
fn goodput_ratio(normal: &Measurement, overload: &Measurement, route: usize) -> f64 {
    overload.routes[route].responses as f64 / normal.routes[route].responses as f64
}

/// Checks that an overload by requests of the lowest rank hardly affects the other routes.
#[rstest]
fn measure_low_rank_overload(#[values(2.0, 5.0, 10.0)] multiple: f64) {
    let normal = measure("ranked", None);
    let overload = measure("ranked", Some((SHEETS_ROUTE, multiple)));
    for route in [SLOTS_ROUTE, BOOKINGS_ROUTE, PRICES_ROUTE, LOADS_ROUTE] {
        assert!(goodput_ratio(&normal, &overload, route) >= 0.99);
        assert!(overload.routes[route].p99 <= normal.routes[route].p99 * 2);
    }
    assert!(goodput_ratio(&normal, &overload, YIELDS_ROUTE) >= 0.95);
    assert!(overload.response_rate >= 0.9 * CAPACITY);
}

/// Checks that urgent requests do not wait for slots that long requests of a low rank occupy.
#[rstest]
fn measure_long_request_overload(#[values(10, 50)] factor: u32) {
    let normal = measure_long_sheets("ranked", None, factor);
    let overload = measure_long_sheets("ranked", Some((SHEETS_ROUTE, 10.0)), factor);
    for route in [SLOTS_ROUTE, BOOKINGS_ROUTE, PRICES_ROUTE] {
        assert!(goodput_ratio(&normal, &overload, route) >= 0.99);
        assert!(overload.routes[route].p99 <= normal.routes[route].p99 * 2);
    }
}

/// Checks that an overload of one urgent route hardly affects the other urgent routes, and that the
/// lower ranks together still get 4% of the capacity.
#[rstest]
fn measure_urgent_overload(#[values(2.0, 5.0, 10.0)] multiple: f64) {
    let normal = measure("ranked", None);
    let overload = measure("ranked", Some((SLOTS_ROUTE, multiple)));
    for route in [BOOKINGS_ROUTE, PRICES_ROUTE] {
        assert!(goodput_ratio(&normal, &overload, route) >= 0.95);
    }
    let lower_ranks =
        [LOADS_ROUTE, SHEETS_ROUTE, YIELDS_ROUTE].map(|route| overload.routes[route].responses);
    // 4 s of load without the warm-up of 1.5 s.
    let seconds = 2.5;
    assert!(lower_ranks.iter().sum::<usize>() as f64 / seconds >= 0.04 * CAPACITY);
    assert!(overload.response_rate >= 0.9 * CAPACITY);
}

/// Checks that the overload harms urgent requests if the admission ignores ranks. Otherwise the
/// tests above would show nothing about ranks.
#[rstest]
fn measure_fifo() {
    let normal = measure("fifo", None);
    let overload = measure("fifo", Some((SHEETS_ROUTE, 5.0)));
    assert!(goodput_ratio(&normal, &overload, SLOTS_ROUTE) < 0.5);
}
