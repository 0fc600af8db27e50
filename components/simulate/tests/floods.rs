//! Guards the service of each route in floods beyond the capacity.

use rstest::rstest;

use simulate::flood::CAPACITY;
use simulate::flood::Result;
use simulate::flood::Setting;

const SLOTS: usize = 0;
const BOOKINGS: usize = 1;
const LOADS: usize = 2;
const PRICES: usize = 3;
const SHEETS: usize = 4;
const YIELDS: usize = 5;

fn measure(admission: &'static str, flood: Option<(usize, f64)>) -> Result {
    measure_long(admission, flood, 1)
}

fn measure_long(
    admission: &'static str,
    flood: Option<(usize, f64)>,
    sheets_length: u32,
) -> Result {
    let setting = Setting {
        admission,
        flood,
        sheets_length,
        seconds: 4,
        seed: 61,
    };
    let result = setting.measure();
    assert_eq!(result.broken, 0);
    result
}

/// Part of the calm goodput that a route keeps.
fn kept(calm: &Result, flood: &Result, route: usize) -> f64 {
    flood.routes[route].good as f64 / calm.routes[route].good as f64
}

/// Guards against urgent work that a flood of the least urgent harms.
#[rstest]
fn measure_low_flood(#[values(2.0, 5.0, 10.0)] times: f64) {
    let calm = measure("ranked", None);
    let flood = measure("ranked", Some((SHEETS, times)));
    for route in [SLOTS, BOOKINGS, PRICES, LOADS] {
        assert!(kept(&calm, &flood, route) >= 0.99);
        assert!(flood.routes[route].p99 <= calm.routes[route].p99 * 2);
    }
    assert!(kept(&calm, &flood, YIELDS) >= 0.95);
    assert!(flood.rate >= 0.9 * CAPACITY);
}

/// Guards against urgent work that waits for slots which long requests of a low rank hold.
#[rstest]
fn measure_long_flood(#[values(10, 50)] length: u32) {
    let calm = measure_long("ranked", None, length);
    let flood = measure_long("ranked", Some((SHEETS, 10.0)), length);
    for route in [SLOTS, BOOKINGS, PRICES] {
        assert!(kept(&calm, &flood, route) >= 0.99);
        assert!(flood.routes[route].p99 <= calm.routes[route].p99 * 2);
    }
}

/// Guards against urgent routes and lower ranks that a flood of one urgent route harms.
#[rstest]
fn measure_urgent_flood(#[values(2.0, 5.0, 10.0)] times: f64) {
    let calm = measure("ranked", None);
    let flood = measure("ranked", Some((SLOTS, times)));
    for route in [BOOKINGS, PRICES] {
        assert!(kept(&calm, &flood, route) >= 0.95);
    }
    let lower = [LOADS, SHEETS, YIELDS].map(|route| flood.routes[route].good);
    let seconds = 2.5;
    assert!(lower.iter().sum::<usize>() as f64 / seconds >= 0.04 * CAPACITY);
    assert!(flood.rate >= 0.9 * CAPACITY);
}

/// Guards against a comparison that shows nothing: without ranks, urgent work suffers.
#[rstest]
fn measure_fifo() {
    let calm = measure("fifo", None);
    let flood = measure("fifo", Some((SHEETS, 5.0)));
    assert!(kept(&calm, &flood, SLOTS) < 0.5);
}
