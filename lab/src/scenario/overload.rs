//! Service by rank when one kind of work floods in beyond the capacity of the fleet.

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

/// Requests open at once.
const MAX_IN_FLIGHT: usize = 8_000;
const SERVED_LIMIT: Duration = Duration::from_secs(15);
/// Time for queues to empty between two loads.
const PAUSE: Duration = Duration::from_millis(1_500);
/// The work takes this many times longer than in the demo, so that ten times the capacity of a
/// fleet can be offered by one generator.
const WORK_FACTOR: f64 = 3.0;
/// Calm rates as a share of the demo's, about a third of the capacity with the longer work.
const CALM_SHARE: f64 = 0.4;
/// Floods as multiples of the capacity.
const FLOODS: [f64; 3] = [2.0, 5.0, 10.0];

/// measure service by rank under floods
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
    /// leave out the floods and measure only failing endpoints
    #[argh(switch)]
    only_failing: bool,
}

/// Plug-ins that are compared.
#[derive(Clone, Copy)]
struct Variant {
    name: &'static str,
    admission: Option<&'static str>,
    balance: Option<&'static str>,
}

const VARIANTS: [Variant; 2] = [
    Variant {
        name: "ranked, p2c",
        admission: None,
        balance: None,
    },
    Variant {
        name: "fifo, round-robin",
        admission: Some("fifo"),
        balance: Some("round-robin"),
    },
];

/// Measures and prints tables.
pub async fn run(args: Args) -> Result<(), Error> {
    let binaries = Binaries::find().await?;
    let length = Duration::from_secs(args.seconds.clamp(1, 30));
    for name in args.topologies.split(',') {
        let topology = topology::find(name)?;
        for variant in VARIANTS {
            if !args.only_failing {
                run_floods(&binaries, topology, variant, length).await?;
            }
            run_failing(&binaries, topology, variant, length).await?;
        }
    }
    Ok(())
}

async fn start(
    binaries: &Binaries,
    topology: &'static Topology,
    variant: Variant,
) -> Result<Fleet, Error> {
    let mut options = Options::new(topology);
    options.admission = variant.admission;
    options.balance = variant.balance;
    let fleet = Fleet::start(binaries, options).await?;
    for instance in &fleet.serving {
        instance.behave(&json!({ "factor": WORK_FACTOR })).await?;
    }
    fleet.wait_until_served(SERVED_LIMIT).await?;
    Ok(fleet)
}

fn normal_load(topology: &Topology) -> Vec<LoadProfile> {
    let mut load_profiles = topology.normal_load();
    for profile in &mut load_profiles {
        profile.rate *= CALM_SHARE;
    }
    load_profiles
}

/// Offers a load and prints the service by rank.
async fn offer(
    fleet: &Fleet,
    load_profiles: &[LoadProfile],
    length: Duration,
    title: &str,
) -> Result<(), Error> {
    let generator = LoadGenerator::new(&fleet.entries(), MAX_IN_FLIGHT);
    let before = fleet.totals().await?;
    let samples = generator.run(load_profiles, length).await;
    let after = fleet.totals().await?;
    let retries = (after.retries - before.retries) * 100.0 / samples.len().max(1) as f64;
    println!("\n{title}; retries {retries:.1}% of offered\n\n{SUMMARY_HEADER}");
    for row in summarize_by_rank(&samples) {
        println!("{row}");
    }
    tokio::time::sleep(PAUSE).await;
    Ok(())
}

async fn run_floods(
    binaries: &Binaries,
    topology: &'static Topology,
    variant: Variant,
    length: Duration,
) -> Result<(), Error> {
    let fleet = start(binaries, topology, variant).await?;
    let title = format!("{}, {}", topology.name, variant.name);
    let load_profiles = normal_load(topology);
    offer(&fleet, &load_profiles, length, &format!("{title}, calm")).await?;
    let least = load_profiles
        .iter()
        .enumerate()
        .max_by_key(|(_, it)| it.rank);
    let most = load_profiles
        .iter()
        .enumerate()
        .min_by_key(|(_, it)| it.rank);
    for (at, profile) in [least, most].into_iter().flatten() {
        for times in FLOODS {
            let mut flooded = load_profiles.clone();
            flooded[at].rate = topology.capacity(profile.name) / WORK_FACTOR * times;
            let title = format!("{title}, {} at {times} times capacity", profile.name);
            offer(&fleet, &flooded, length, &title).await?;
        }
    }
    fleet.stop().await
}

/// Calm load with endpoints that fail in different ways.
async fn run_failing(
    binaries: &Binaries,
    topology: &'static Topology,
    variant: Variant,
    length: Duration,
) -> Result<(), Error> {
    let title = format!("{}, {}", topology.name, variant.name);
    let load_profiles = normal_load(topology);
    let mut fleet = start(binaries, topology, variant).await?;
    let cold = json!({ "factor": WORK_FACTOR * 6.0 });
    fleet.serving[0].behave(&cold).await?;
    offer(
        &fleet,
        &load_profiles,
        length,
        &format!("{title}, one endpoint 6 times slower"),
    )
    .await?;
    let lying = json!({ "factor": WORK_FACTOR, "hint": "lie", "failing": true });
    fleet.serving[0].behave(&lying).await?;
    offer(
        &fleet,
        &load_profiles,
        length,
        &format!("{title}, one endpoint failing, claims health"),
    )
    .await?;
    let well = json!({ "failing": false, "hint": "true" });
    fleet.serving[0].behave(&well).await?;
    let third = topology.services[0].endpoints.div_ceil(3);
    for at in 0..third {
        fleet.serving[at].kill_upstream().await?;
    }
    let title = format!(
        "{title}, {third} upstreams of {} dead",
        topology.services[0].name
    );
    offer(&fleet, &load_profiles, length, &title).await?;
    fleet.stop().await
}
