//! Prints a table of the response counts and latencies of each route under normal load and under
//! overload, with the admission plug-ins `ranked` and `fifo`.

use simulate::overload::OverloadExperiment;
use simulate::overload::RouteStats;
use simulate::plan::ROUTES;

const SECONDS: u64 = 10;
const SEED: u64 = 7;
/// Additional load of the overloaded route, as multiples of the capacity.
const OVERLOADS: [f64; 3] = [2.0, 5.0, 10.0];

/// Runs an experiment and prints its results as a row of the table.
fn print_row(
    load: &str,
    admission: &'static str,
    overload: Option<(usize, f64)>,
    sheets_time_factor: u32,
) {
    let experiment = OverloadExperiment {
        admission,
        overload,
        sheets_time_factor,
        seconds: SECONDS,
        seed: SEED,
    };
    let measurement = experiment.measure();
    let cells: Vec<String> = measurement.routes.iter().map(format_stats).collect();
    println!(
        "| {load} | {admission} | {} | {:.0} | {:.1}% | {} |",
        cells.join(" | "),
        measurement.response_rate,
        100.0 * measurement.shed_early,
        measurement.violations
    );
}

/// Formats the share of calls with a response and the 99th percentile of their latency.
fn format_stats(stats: &RouteStats) -> String {
    format!(
        "{:.1}%, {:.0} ms",
        100.0 * stats.responses as f64 / stats.calls.max(1) as f64,
        stats.p99.as_secs_f64() * 1e3
    )
}

fn main() {
    let paths: Vec<&str> = ROUTES.iter().map(|(_, path)| *path).collect();
    println!(
        "| load | plug-in | {} | responses/s | shed early | violations |",
        paths.join(" | ")
    );
    println!("|---|---|{}---|---|---|", "---|".repeat(paths.len()));
    for admission in ["ranked", "fifo"] {
        print_row("normal", admission, None, 1);
        for (route, path) in [(4, "/sheets"), (0, "/slots")] {
            for multiple in OVERLOADS {
                print_row(
                    &format!("{path} x{multiple}"),
                    admission,
                    Some((route, multiple)),
                    1,
                );
            }
        }
        for factor in [10, 50] {
            let load = format!("normal, /sheets {factor} times as long");
            print_row(&load, admission, None, factor);
            let load = format!("/sheets x10, {factor} times as long");
            print_row(&load, admission, Some((4, 10.0)), factor);
        }
    }
}
