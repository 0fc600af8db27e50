//! Overload of one route beyond the capacity of the fleet, and failing endpoints under normal load,
//! with the outcomes by rank.

use std::time::Duration;

use argh::FromArgs;
use serde_json::json;

use crate::Error;
use crate::fleet::Fleet;
use crate::fleet::Options;
use crate::load::LoadGenerator;
use crate::load::LoadProfile;
use crate::load::sample::SUMMARY_HEADER;
use crate::load::sample::summarize_by_rank;
use crate::process::Binaries;
use crate::topology;
use crate::topology::Topology;

/// Maximum number of requests that the load generator has in flight.
const MAX_IN_FLIGHT: usize = 8_000;
/// Time limit for all entries to serve requests after the start.
const SERVING_TIMEOUT: Duration = Duration::from_secs(15);
/// Pause after each load, in which the queues of the nodes empty.
const COOLDOWN: Duration = Duration::from_millis(1_500);
/// Factor on the execution times of the demo's requests. Longer execution times lower the capacity of
/// the fleet, so that one generator can offer ten times the capacity.
const WORK_FACTOR: f64 = 3.0;
/// Normal load as a fraction of the demo's. The result is about a third of the capacity with the longer
/// execution times.
const NORMAL_LOAD_FRACTION: f64 = 0.4;
/// Rates offered to the overloaded route, as multiples of its service's capacity.
const OVERLOAD_FACTORS: [f64; 3] = [2.0, 5.0, 10.0];

/// measure latency and outcomes of requests by rank under overload
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "flood")]
pub struct Args {
    /// secaderos, ogbonna or both (default)
    #[argh(positional, default = "String::from(\"secaderos,ogbonna\")")]
    topologies: String,
    /// seconds of each load, 1 to 30 (default 4)
    #[argh(option, default = "4")]
    seconds: u64,
    /// leave out the overload and measure only failing endpoints
    #[argh(switch)]
    only_failing: bool,
}

/// Plug-ins of one measured variant of the nodes; `None` means the node's default plug-in.
#[derive(Clone, Copy)]
struct PluginVariant {
    name: &'static str,
    admission: Option<&'static str>,
    balance: Option<&'static str>,
}

const PLUGIN_VARIANTS: [PluginVariant; 2] = [
    PluginVariant {
        name: "ranked, p2c",
        admission: None,
        balance: None,
    },
    PluginVariant {
        name: "fifo, round-robin",
        admission: Some("fifo"),
        balance: Some("round-robin"),
    },
];

/// Runs all loads for each topology and plug-in variant and prints a table of the outcomes of each.
pub async fn run(args: Args) -> Result<(), Error> {
    let binaries = Binaries::find().await?;
    let duration = Duration::from_secs(args.seconds.clamp(1, 30));
    for name in args.topologies.split(',') {
        let topology = topology::find(name)?;
        for variant in PLUGIN_VARIANTS {
            if !args.only_failing {
                run_overload(&binaries, topology, variant, duration).await?;
            }
            run_with_failing_endpoints(&binaries, topology, variant, duration).await?;
        }
    }
    Ok(())
}

/// Starts a fleet with execution times lengthened by [`WORK_FACTOR`] and waits until it serves.
async fn start_fleet(
    binaries: &Binaries,
    topology: &'static Topology,
    variant: PluginVariant,
) -> Result<Fleet, Error> {
    let mut options = Options::new(topology);
    options.admission = variant.admission;
    options.balance = variant.balance;
    let fleet = Fleet::start(binaries, options).await?;
    for instance in &fleet.serving {
        instance
            .set_upstream_behaviour(&json!({ "factor": WORK_FACTOR }))
            .await?;
    }
    fleet.wait_until_served(SERVING_TIMEOUT).await?;
    Ok(fleet)
}

/// Returns the normal load of a topology, scaled by [`NORMAL_LOAD_FRACTION`].
fn scaled_normal_load(topology: &Topology) -> Vec<LoadProfile> {
    let mut load_profiles = topology.normal_load();
    for profile in &mut load_profiles {
        profile.rate *= NORMAL_LOAD_FRACTION;
    }
    load_profiles
}

/// Offers a load and prints the outcomes by rank.
async fn run_load(
    fleet: &Fleet,
    load_profiles: &[LoadProfile],
    duration: Duration,
    title: &str,
) -> Result<(), Error> {
    let generator = LoadGenerator::new(&fleet.entries(), MAX_IN_FLIGHT);
    let before = fleet.counter_totals().await?;
    let samples = generator.run(load_profiles, duration).await;
    let after = fleet.counter_totals().await?;
    let retry_percent = (after.retries - before.retries) * 100.0 / samples.len().max(1) as f64;
    println!("\n{title}; retries {retry_percent:.1}% of offered\n\n{SUMMARY_HEADER}");
    for row in summarize_by_rank(&samples) {
        println!("{row}");
    }
    tokio::time::sleep(COOLDOWN).await;
    Ok(())
}

/// Offers the normal load, then overloads the least and the most urgent route in turn.
async fn run_overload(
    binaries: &Binaries,
    topology: &'static Topology,
    variant: PluginVariant,
    duration: Duration,
) -> Result<(), Error> {
    let fleet = start_fleet(binaries, topology, variant).await?;
    let title = format!("{}, {}", topology.name, variant.name);
    let load_profiles = scaled_normal_load(topology);
    run_load(&fleet, &load_profiles, duration, &format!("{title}, calm")).await?;
    let least_urgent = load_profiles
        .iter()
        .enumerate()
        .max_by_key(|(_, it)| it.rank);
    let most_urgent = load_profiles
        .iter()
        .enumerate()
        .min_by_key(|(_, it)| it.rank);
    for (index, profile) in [least_urgent, most_urgent].into_iter().flatten() {
        for factor in OVERLOAD_FACTORS {
            let mut overloaded = load_profiles.clone();
            overloaded[index].rate = topology.capacity(profile.name) / WORK_FACTOR * factor;
            let title = format!("{title}, {} at {factor} times capacity", profile.name);
            run_load(&fleet, &overloaded, duration, &title).await?;
        }
    }
    fleet.stop().await
}

/// Offers the normal load while endpoints are slow, failing or dead.
async fn run_with_failing_endpoints(
    binaries: &Binaries,
    topology: &'static Topology,
    variant: PluginVariant,
    duration: Duration,
) -> Result<(), Error> {
    let title = format!("{}, {}", topology.name, variant.name);
    let load_profiles = scaled_normal_load(topology);
    let mut fleet = start_fleet(binaries, topology, variant).await?;
    let slow = json!({ "factor": WORK_FACTOR * 6.0 });
    fleet.serving[0].set_upstream_behaviour(&slow).await?;
    run_load(
        &fleet,
        &load_profiles,
        duration,
        &format!("{title}, one endpoint 6 times slower"),
    )
    .await?;
    let failing = json!({ "factor": WORK_FACTOR, "hint": "lie", "failing": true });
    fleet.serving[0].set_upstream_behaviour(&failing).await?;
    run_load(
        &fleet,
        &load_profiles,
        duration,
        &format!("{title}, one endpoint failing, claims health"),
    )
    .await?;
    let healthy = json!({ "failing": false, "hint": "true" });
    fleet.serving[0].set_upstream_behaviour(&healthy).await?;
    let killed_count = topology.services[0].endpoints.div_ceil(3);
    for index in 0..killed_count {
        fleet.serving[index].kill_upstream().await?;
    }
    let title = format!(
        "{title}, {killed_count} upstreams of {} dead",
        topology.services[0].name
    );
    run_load(&fleet, &load_profiles, duration, &title).await?;
    fleet.stop().await
}
