//! Time of compilation, search and difference at the target size: `cargo bench -p config`.

use std::fmt::Write;
use std::hint::black_box;
use std::time::Instant;

use config::Delta;
use config::compile;
use ids::Version;

const SERVICES: usize = 230;
const ROUTES: usize = 1_000;

fn main() {
    let text = make_text();
    let snapshot = compile(&text, Version(1)).expect("the text is valid");
    println!(
        "text: {} bytes, {SERVICES} services, {ROUTES} routes",
        text.len()
    );
    measure("compile", 50, || {
        drop(black_box(compile(&text, Version(1))))
    });
    let paths: Vec<String> = (0..ROUTES)
        .map(|n| format!("/api/v1/s{}/r{n}/77/state", n % SERVICES))
        .collect();
    let mut at = 0;
    measure("find_route", 200_000, || {
        at = (at + 7) % ROUTES;
        assert!(black_box(snapshot.find_route(None, "GET", &paths[at])).is_some());
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

fn make_text() -> String {
    let mut text = "format: 1\nservices:\n".to_owned();
    for service in 0..SERVICES {
        let _ = write!(text, "  - name: service-{service}\n    routes:\n");
        for route in (service..ROUTES).step_by(SERVICES) {
            let _ = write!(
                text,
                "      - method: GET\n        path: /api/v1/s{service}/r{route}/{{id}}/state\n        rank: 1\n        deadline_ms: 100\n"
            );
        }
    }
    text
}

fn measure(what: &str, times: u32, mut run: impl FnMut()) {
    let start = Instant::now();
    (0..times).for_each(|_| run());
    println!("{what}: {:?} each, {times} times", start.elapsed() / times);
}
