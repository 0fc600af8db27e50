//! A reference user's mesh under load, with changes, a lost instance and a drain.

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

/// Requests open at once.
const MAX_IN_FLIGHT: usize = 4_000;
/// Time between two looks at the nodes' versions.
const WATCH_PERIOD: Duration = Duration::from_millis(100);
/// Longest wait for a change to be in force.
const CHANGE_LIMIT: Duration = Duration::from_secs(8);
const SERVED_LIMIT: Duration = Duration::from_secs(15);

/// run a mesh of real processes under load and check the promises
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

/// Runs the demo; false if a promise was broken.
pub async fn run(args: Args) -> Result<bool, Error> {
    let length = Duration::from_secs(args.seconds.clamp(10, 50));
    let topology = topology::find(&args.topology)?;
    let binaries = Binaries::find().await?;
    let mut options = Options::new(topology);
    options.links = Links::Callers;
    let began = Instant::now();
    let mut fleet = Fleet::start(&binaries, options).await?;
    fleet.wait_until_served(SERVED_LIMIT).await?;
    println!(
        "{}: {} instances serve after {:.1} s",
        topology.name,
        fleet.serving.len(),
        began.elapsed().as_secs_f64()
    );
    let load_profiles = topology.normal_load();
    let entries = fleet.entries();
    let generator = LoadGenerator::new(&entries, MAX_IN_FLIGHT);
    let poller = StatusPoller::start(fleet.admins(), WATCH_PERIOD);
    let offering = {
        let load_profiles = load_profiles.clone();
        let generator = Arc::clone(&generator);
        tokio::spawn(async move { generator.run(&load_profiles, length).await })
    };
    let changes = disturb(&mut fleet, &generator, &poller, length).await?;
    let samples = offering.await?;
    let store = fleet.store_counts().await?;
    fleet.end().await?;
    let mut record = ScenarioRecord {
        load_profiles,
        samples,
        upstreams: fleet.read_upstreams()?,
        node_statuses: poller.statuses(),
        changes,
    };
    let drained = &fleet.ended[1];
    let entry_index = entries.iter().position(|it| *it == drained.spec.place.link);
    record.upstreams[1].drain = Some(DrainRecord {
        entry_index: entry_index.unwrap_or(usize::MAX),
        requested_us: drained.requested_us,
        ended_us: drained.ended_us,
    });
    println!("store: {store}");
    Ok(print(&record))
}

/// Changes the text, replaces an instance, drains another and changes the text again.
async fn disturb(
    fleet: &mut Fleet,
    generator: &LoadGenerator,
    poller: &StatusPoller,
    length: Duration,
) -> Result<Vec<ConfigChange>, Error> {
    let began = Instant::now();
    let at = |share: f64| sleep_until(began + length.mul_f64(share));
    let before = fleet.totals().await?;
    at(0.15).await;
    let mut changes = vec![change(fleet).await?];
    at(0.3).await;
    let after = fleet.totals().await?;
    let node_seconds = began.elapsed().as_secs_f64() * fleet.serving.len() as f64;
    println!(
        "control: {:.0} B/s and {:.1} messages/s sent per node, with one change of the text",
        (after.control_bytes_sent - before.control_bytes_sent) / node_seconds,
        (after.control_messages_sent - before.control_messages_sent) / node_seconds,
    );
    let (service, domain) = (fleet.serving[0].spec.service, fleet.serving[0].spec.domain);
    let killed = fleet.kill(0).await?;
    generator.exclude_entry(killed.spec.place.link);
    println!("killed {}", killed.spec.name);
    let added = fleet.add(service, domain).await?;
    poller.add(fleet.serving[added].spec.place.admin);
    println!("{} replaces it", fleet.serving[added].spec.name);
    at(0.5).await;
    let drained = fleet.drain(0).await?;
    generator.exclude_entry(drained.spec.place.link);
    let millis = (drained.ended_us - drained.requested_us) / 1_000;
    println!("drained {} in {millis} ms", drained.spec.name);
    at(0.75).await;
    changes.push(change(fleet).await?);
    Ok(changes)
}

async fn change(fleet: &mut Fleet) -> Result<ConfigChange, Error> {
    let accepted = fleet.change_text().await?;
    let in_force = wait_for_version(&fleet.admins(), accepted.version, CHANGE_LIMIT).await;
    Ok(ConfigChange {
        version: accepted.version,
        accepted_us: accepted.at_us,
        in_force_us: in_force,
    })
}

fn print(record: &ScenarioRecord) -> bool {
    for change in &record.changes {
        let mut times: Vec<f64> = change
            .in_force_us
            .iter()
            .flatten()
            .map(|at| at.saturating_sub(change.accepted_us) as f64 / 1_000.0)
            .collect();
        times.sort_unstable_by(f64::total_cmp);
        println!(
            "version {} in force on {} of {} nodes: half after {:.0} ms, all after {:.0} ms",
            change.version,
            times.len(),
            change.in_force_us.len(),
            quantile(&times, 0.5),
            quantile(&times, 1.0)
        );
    }
    println!("\n{SUMMARY_HEADER}");
    for row in summarize_by_rank(&record.samples) {
        println!("{row}");
    }
    println!();
    check::print_report(record)
}
