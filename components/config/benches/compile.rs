//! Times of compilation, route lookup and deltas at the target size: `cargo bench -p config`.

use std::fmt::Write;
use std::hint::black_box;
use std::time::Instant;

use config::Delta;
use config::compile;
use ids::Version;

/// Services of the configuration; the design target.
const SERVICE_COUNT: usize = 230;
/// Routes of the configuration; the design target.
const ROUTE_COUNT: usize = 1_000;

fn main() {
    let text = config_text();
    let snapshot = compile(&text, Version(1)).expect("the text is valid");
    println!(
        "text: {} bytes, {SERVICE_COUNT} services, {ROUTE_COUNT} routes",
        text.len()
    );
    measure("compile", 50, || {
        drop(black_box(compile(&text, Version(1))))
    });
    let paths: Vec<String> = (0..ROUTE_COUNT)
        .map(|n| format!("/api/v1/s{}/r{n}/77/state", n % SERVICE_COUNT))
        .collect();
    let mut index = 0;
    measure("find_route", 200_000, || {
        index = (index + 7) % ROUTE_COUNT;
        assert!(black_box(snapshot.find_route(None, "GET", &paths[index])).is_some());
    });
    measure("find_route, no route", 200_000, || {
        assert!(black_box(snapshot.find_route(None, "GET", "/api/v1/s5/none/77/state")).is_none());
    });
    let new = text
        .replace("r500/", "changed/")
        .replace("r3/", "changed3/");
    measure("delta, two changes", 50, || {
        drop(black_box(Delta::from_texts(&text, &new)))
    });
    let other = text.replace("deadline_ms: 100", "deadline_ms: 200");
    measure("delta, all routes change", 50, || {
        drop(black_box(Delta::from_texts(&text, &other)))
    });
}

/// A configuration text with the target numbers of services and routes.
fn config_text() -> String {
    let mut text = "format: 1\nservices:\n".to_owned();
    for service in 0..SERVICE_COUNT {
        let _ = write!(text, "  - name: service-{service}\n    routes:\n");
        for route in (service..ROUTE_COUNT).step_by(SERVICE_COUNT) {
            let _ = write!(
                text,
                "      - method: GET\n        path: /api/v1/s{service}/r{route}/{{id}}/state\n        rank: 1\n        deadline_ms: 100\n"
            );
        }
    }
    text
}

/// Prints the mean time of `iterations` calls of `run`.
fn measure(name: &str, iterations: u32, mut run: impl FnMut()) {
    let start = Instant::now();
    (0..iterations).for_each(|_| run());
    println!(
        "{name}: {:?} each, {iterations} times",
        start.elapsed() / iterations
    );
}
