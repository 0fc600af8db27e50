//! Measures control traffic and convergence time by fleet size in the simulation. Run with
//! `cargo test --release -p control --test fleet measure -- --ignored --nocapture`.

use rstest::rstest;

use crate::driver::Fleet;
use crate::driver::Node;
use crate::driver::SECOND;
use crate::driver::TrafficCounters;
use crate::driver::checker::write_record;
use crate::driver::checker::write_text;
use control::Input;
use member::Stage;

const DOMAINS: usize = 6;
const SERVICES: usize = 230;
/// Factor by which configuration changes and replacements of nodes are more frequent here than on a
/// typical day; the traffic that they cause is divided by the same factor.
const SPEEDUP: f64 = 40.0;
/// Configuration changes per second on a typical day.
const CHANGES_PER_SECOND: f64 = 2_200.0 / 86_400.0;
/// Replaced nodes per second on a typical day.
const REPLACEMENTS_PER_SECOND: f64 = 280.0 / 86_400.0;
/// Duration of each traffic measurement, in seconds.
const WINDOW_SECONDS: f64 = 30.0;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Case {
    Calm,
    TenthKilled,
    StoreCut,
}

fn accept_version(fleet: &mut Fleet, version: u64, outage: bool) {
    let record = write_record(version, &write_text(SERVICES, version));
    let mut deliveries = fleet.store.put(Some(record));
    if outage {
        // Only one of the watchers receives the change before the outage.
        let failed = fleet.store.start_outage();
        deliveries.truncate(1);
        fleet.deliver_all(failed);
    }
    fleet.deliver_all(deliveries);
}

fn start_fleet(nodes: usize) -> Fleet {
    let mut fleet = Fleet::new(nodes as u64, DOMAINS, SERVICES);
    fleet.recording = false;
    accept_version(&mut fleet, 1, false);
    for _ in 0..nodes {
        fleet.add(Some(Stage::Ready));
        fleet.run(2.0 / nodes as f64);
    }
    for waited in 1..=120 {
        fleet.run(1.0);
        let complete = |it: &Node| it.machine.table().live_count() == nodes;
        if fleet.nodes.iter().all(complete) {
            println!("{nodes:>6} nodes: tables complete {waited} s after the last start");
            break;
        }
    }
    // After 60 s the updates that the start of the nodes caused have spread.
    fleet.run(60.0);
    fleet
}

/// Average rates over one window ([`WINDOW_SECONDS`]) between the counts `before` and `after`:
/// datagrams, bytes of datagrams and bytes of calls per node and second, and store calls of the whole
/// fleet per second.
fn traffic_rates(before: TrafficCounters, after: TrafficCounters, nodes: usize) -> [f64; 4] {
    let rate = |from: u64, to: u64| (to - from) as f64 / WINDOW_SECONDS;
    let nodes = nodes as f64;
    [
        rate(before.datagrams, after.datagrams) / nodes,
        rate(before.datagram_bytes, after.datagram_bytes) / nodes,
        rate(before.call_bytes, after.call_bytes) / nodes,
        rate(before.store_calls, after.store_calls),
    ]
}

/// Runs the fleet for one window ([`WINDOW_SECONDS`]), with configuration changes and replacements of
/// nodes at [`SPEEDUP`] times their typical rate.
fn run_with_changes(fleet: &mut Fleet, version: &mut u64) {
    let (mut changes, mut replacements) = (0.0, 0.0);
    let mut replaced = fleet.nodes.len() - 1;
    for _ in 0..(WINDOW_SECONDS * 10.0) as usize {
        changes += CHANGES_PER_SECOND * SPEEDUP / 10.0;
        replacements += REPLACEMENTS_PER_SECOND * SPEEDUP / 10.0;
        if changes >= 1.0 {
            changes -= 1.0;
            *version += 1;
            accept_version(fleet, *version, false);
        }
        if replacements >= 1.0 {
            replacements -= 1.0;
            fleet.drain(replaced);
            fleet.run(0.05);
            fleet.input(replaced, Input::Drained);
            fleet.run(0.05);
            fleet.restart(replaced);
            replaced -= 1;
        } else {
            fleet.run(0.1);
        }
    }
}

/// Milliseconds from acceptance until the version is in force on half, 99% and all of the nodes.
fn measure_convergence(fleet: &mut Fleet, version: u64, case: Case) -> [u64; 3] {
    let begin = fleet.now;
    accept_version(fleet, version, case == Case::StoreCut);
    if case == Case::TenthKilled {
        (0..fleet.nodes.len() / 10).for_each(|index| fleet.kill(index * 10 + 3));
    }
    let mut times = [0; 3];
    while fleet.now < begin + 60 * SECOND && times[2] == 0 {
        fleet.run(0.01);
        let up: Vec<_> = fleet.nodes.iter().filter(|it| it.up).collect();
        let version_of = |it: &Node| Some(it.topology.as_ref()?.snapshot.as_ref()?.version());
        let ready = up
            .iter()
            .filter(|it| version_of(it) == Some(ids::Version(version)));
        let ready = ready.count();
        let needed = [
            up.len().div_ceil(2),
            (up.len() * 99).div_ceil(100),
            up.len(),
        ];
        for (time, needed) in times.iter_mut().zip(needed) {
            if *time == 0 && ready >= needed {
                *time = (fleet.now - begin) / 1_000;
            }
        }
    }
    times
}

/// Milliseconds until no topology lists the endpoint of a drained or killed node as ready.
fn measure_withdrawal(fleet: &mut Fleet, index: usize, drain: bool) -> u64 {
    let id = fleet.nodes[index].machine.id();
    let begin = fleet.now;
    if drain {
        fleet.drain(index);
    } else {
        fleet.kill(index);
    }
    let lists = |node: &Node| {
        let topology = node.topology.as_ref()?;
        let services = topology.snapshot.as_ref()?.services();
        let mut endpoints = services.flat_map(|(key, _)| topology.endpoints_of(key));
        Some(endpoints.any(|(_, it)| it.node == id && it.stage == Stage::Ready))
    };
    while fleet.now < begin + 60 * SECOND {
        fleet.run(0.1);
        let mut others = fleet.nodes.iter().filter(|it| it.up);
        if others.all(|it| lists(it) != Some(true)) {
            break;
        }
    }
    (fleet.now - begin) / 1_000
}

/// Measures control traffic and convergence at each fleet size for docs/measurements-control.md, and
/// checks them against the targets.
#[rstest]
#[ignore = "takes minutes; run in release"]
fn measure_size(#[values(10, 50, 200, 800, 1_700)] nodes: usize) {
    let mut fleet = start_fleet(nodes);
    let mut version = 1;
    let before = fleet.counters;
    fleet.run(WINDOW_SECONDS);
    let idle = traffic_rates(before, fleet.counters, nodes);
    let before = fleet.counters;
    run_with_changes(&mut fleet, &mut version);
    let busy = traffic_rates(before, fleet.counters, nodes);
    let daily: Vec<f64> = idle
        .iter()
        .zip(busy)
        .map(|(idle, busy)| idle + (busy - idle) / SPEEDUP)
        .collect();
    println!(
        "{nodes:>6} nodes: idle       datagrams/s {:.2}, bytes/s {:.0} + {:.0} in calls, store calls/s {:.2}",
        idle[0], idle[1], idle[2], idle[3]
    );
    println!(
        "{nodes:>6} nodes: x{SPEEDUP} rate   datagrams/s {:.2}, bytes/s {:.0} + {:.0} in calls, store calls/s {:.2}",
        busy[0], busy[1], busy[2], busy[3]
    );
    println!(
        "{nodes:>6} nodes: a day's    datagrams/s {:.2}, bytes/s {:.0} + {:.0} in calls, store calls/s {:.2}",
        daily[0], daily[1], daily[2], daily[3]
    );
    // The target covers sent and received bytes, and each byte is both sent and received.
    assert!(2.0 * (daily[1] + daily[2]) <= 3_000.0, "control bytes");
    fleet.run(60.0);
    let drained = measure_withdrawal(&mut fleet, 5, true);
    let killed = measure_withdrawal(&mut fleet, 7, false);
    println!(
        "{nodes:>6} nodes: a draining node is known to all after {drained} ms, a killed one after {killed} ms"
    );
    for case in [Case::Calm, Case::StoreCut, Case::TenthKilled] {
        version += 1;
        let times = measure_convergence(&mut fleet, version, case);
        println!(
            "{nodes:>6} nodes: {case:?} in force after 50% {} ms, 99% {} ms, all {} ms",
            times[0], times[1], times[2]
        );
        assert!(times[2] > 0 && times[2] <= 4_000, "convergence");
        fleet.store.down = false;
        fleet.run(60.0);
    }
}
