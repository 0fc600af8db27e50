//! Mesh of a reference user under load, with changes of the configuration, the loss of an instance
//! and a drain.

use std::sync::Arc;
use std::time::Duration;

use argh::FromArgs;
use tokio::time::Instant;
use tokio::time::sleep_until;

use super::quantile;
use crate::Error;
use crate::check;
use crate::check::ConfigChange;
use crate::check::DrainRecord;
use crate::check::ScenarioRecord;
use crate::fleet::Fleet;
use crate::fleet::Links;
use crate::fleet::Options;
use crate::fleet::watch::StatusPoller;
use crate::fleet::watch::wait_for_version;
use crate::load::LoadGenerator;
use crate::load::sample::SUMMARY_HEADER;
use crate::load::sample::summarize_by_rank;
use crate::process::Binaries;
use crate::topology;

/// Maximum number of requests that the load generator has in flight.
const MAX_IN_FLIGHT: usize = 4_000;
/// Time between two readings of the status of each node.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Time limit for a configuration change to be in force on all nodes.
const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(8);
/// Time limit for all entries to serve requests after the start.
const SERVING_TIMEOUT: Duration = Duration::from_secs(15);

/// run a mesh of real processes under load and check the guarantees
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "demo")]
pub struct Args {
    /// secaderos (default) or ogbonna
    #[argh(positional, default = "String::from(\"secaderos\")")]
    topology: String,
    /// seconds of load, 10 to 50 (default 22)
    #[argh(option, default = "22")]
    seconds: u64,
}

/// Runs the demo and returns whether all guarantees were kept.
pub async fn run(args: Args) -> Result<bool, Error> {
    let duration = Duration::from_secs(args.seconds.clamp(10, 50));
    let topology = topology::find(&args.topology)?;
    let binaries = Binaries::find().await?;
    let mut options = Options::new(topology);
    options.links = Links::Callers;
    let started = Instant::now();
    let mut fleet = Fleet::start(&binaries, options).await?;
    fleet.wait_until_served(SERVING_TIMEOUT).await?;
    println!(
        "{}: {} instances serve after {:.1} s",
        topology.name,
        fleet.serving.len(),
        started.elapsed().as_secs_f64()
    );
    let load_profiles = topology.normal_load();
    let entries = fleet.entries();
    let generator = LoadGenerator::new(&entries, MAX_IN_FLIGHT);
    let poller = StatusPoller::start(fleet.admins(), POLL_INTERVAL);
    let load_task = {
        let load_profiles = load_profiles.clone();
        let generator = Arc::clone(&generator);
        tokio::spawn(async move { generator.run(&load_profiles, duration).await })
    };
    let changes = inject_events(&mut fleet, &generator, &poller, duration).await?;
    let samples = load_task.await?;
    let store = fleet.store_counts().await?;
    fleet.kill_all().await?;
    let mut record = ScenarioRecord {
        load_profiles,
        samples,
        upstreams: fleet.read_upstreams()?,
        node_statuses: poller.statuses(),
        changes,
    };
    let drained = &fleet.ended[1];
    let entry_index = entries
        .iter()
        .position(|it| *it == drained.spec.addresses.callers_link);
    record.upstreams[1].drain = Some(DrainRecord {
        entry_index: entry_index.unwrap_or(usize::MAX),
        requested_us: drained.requested_us,
        ended_us: drained.ended_us,
    });
    println!("store: {store}");
    Ok(print_results(&record))
}

/// Changes the configuration, kills and replaces an instance, drains another instance and changes
/// the configuration again, at fixed fractions of `duration`. Returns the two changes.
async fn inject_events(
    fleet: &mut Fleet,
    generator: &LoadGenerator,
    poller: &StatusPoller,
    duration: Duration,
) -> Result<Vec<ConfigChange>, Error> {
    let started = Instant::now();
    let sleep_until_fraction = |fraction: f64| sleep_until(started + duration.mul_f64(fraction));
    let before = fleet.counter_totals().await?;
    sleep_until_fraction(0.15).await;
    let mut changes = vec![apply_change(fleet).await?];
    sleep_until_fraction(0.3).await;
    let after = fleet.counter_totals().await?;
    let node_seconds = started.elapsed().as_secs_f64() * fleet.serving.len() as f64;
    println!(
        "control: {:.0} B/s and {:.1} messages/s sent per node, with one change of the text",
        (after.control_bytes_sent - before.control_bytes_sent) / node_seconds,
        (after.control_messages_sent - before.control_messages_sent) / node_seconds,
    );
    let (service, domain) = (fleet.serving[0].spec.service, fleet.serving[0].spec.domain);
    let killed = fleet.kill(0).await?;
    generator.exclude_entry(killed.spec.addresses.callers_link);
    println!("killed {}", killed.spec.name);
    let added = fleet.add(service, domain).await?;
    poller.add(fleet.serving[added].spec.addresses.admin);
    println!("{} replaces it", fleet.serving[added].spec.name);
    sleep_until_fraction(0.5).await;
    let drained = fleet.drain(0).await?;
    generator.exclude_entry(drained.spec.addresses.callers_link);
    let drain_ms = (drained.ended_us - drained.requested_us) / 1_000;
    println!("drained {} in {drain_ms} ms", drained.spec.name);
    sleep_until_fraction(0.75).await;
    changes.push(apply_change(fleet).await?);
    Ok(changes)
}

/// Applies a changed configuration and records the time at which it is in force on each node.
async fn apply_change(fleet: &mut Fleet) -> Result<ConfigChange, Error> {
    let accepted = fleet.apply_new_config().await?;
    let in_force_us =
        wait_for_version(&fleet.admins(), accepted.version, CONVERGENCE_TIMEOUT).await;
    Ok(ConfigChange {
        version: accepted.version,
        accepted_us: accepted.accepted_us,
        in_force_us,
    })
}

/// Prints the results of a demo and returns whether all guarantees were kept.
fn print_results(record: &ScenarioRecord) -> bool {
    for change in &record.changes {
        let mut delays_ms: Vec<f64> = change
            .in_force_us
            .iter()
            .flatten()
            .map(|at| at.saturating_sub(change.accepted_us) as f64 / 1_000.0)
            .collect();
        delays_ms.sort_unstable_by(f64::total_cmp);
        println!(
            "version {} in force on {} of {} nodes: half after {:.0} ms, all after {:.0} ms",
            change.version,
            delays_ms.len(),
            change.in_force_us.len(),
            quantile(&delays_ms, 0.5),
            quantile(&delays_ms, 1.0)
        );
    }
    println!("\n{SUMMARY_HEADER}");
    for row in summarize_by_rank(&record.samples) {
        println!("{row}");
    }
    println!();
    check::print_report(record)
}
