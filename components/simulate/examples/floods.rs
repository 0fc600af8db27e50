//! Prints the service of each route in calm and in floods, for `ranked` and `fifo`.

use simulate::flood::Service;
use simulate::flood::Setting;
use simulate::plan::PATHS;

const SECONDS: u64 = 10;
const SEED: u64 = 7;
const FLOODS: [f64; 3] = [2.0, 5.0, 10.0];

fn print(name: &str, admission: &'static str, flood: Option<(usize, f64)>, sheets_length: u32) {
    let setting = Setting {
        admission,
        flood,
        sheets_length,
        seconds: SECONDS,
        seed: SEED,
    };
    let result = setting.measure();
    let cells: Vec<String> = result.routes.iter().map(cell).collect();
    println!(
        "| {name} | {admission} | {} | {:.0} | {:.1}% | {} |",
        cells.join(" | "),
        result.rate,
        100.0 * result.shed_early,
        result.broken
    );
}

fn cell(service: &Service) -> String {
    format!(
        "{:.1}%, {:.0} ms",
        100.0 * service.good as f64 / service.offered.max(1) as f64,
        service.p99.as_secs_f64() * 1e3
    )
}

fn main() {
    let paths: Vec<&str> = PATHS.iter().map(|(_, path)| *path).collect();
    println!(
        "| load | plug-in | {} | answers/s | shed early | broken |",
        paths.join(" | ")
    );
    println!("|---|---|{}---|---|---|", "---|".repeat(paths.len()));
    for admission in ["ranked", "fifo"] {
        print("calm", admission, None, 1);
        for (route, name) in [(4, "/sheets"), (0, "/slots")] {
            for times in FLOODS {
                print(
                    &format!("{name} x{times}"),
                    admission,
                    Some((route, times)),
                    1,
                );
            }
        }
        for length in [10, 50] {
            let name = format!("calm, /sheets {length} times as long");
            print(&name, admission, None, length);
            let name = format!("/sheets x10, {length} times as long");
            print(&name, admission, Some((4, 10.0)), length);
        }
    }
}
