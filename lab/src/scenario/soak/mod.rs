//! Soak of real processes under random faults from outside them.
//!
//! Signals, restarts, changes of the configuration, and faults of links, of the store and of
//! upstreams overlap and come in series while the load continues. The outcomes at callers and
//! upstreams are checked against the guarantees that hold under any fault. After the faults, the fleet
//! must serve again and all nodes must have the same configuration.
//!
//! Clocks are not changed, since the system makes no decision by the time of day and setting the
//! clock requires privileges. Gossip and requests between nodes do not pass through the link, since
//! nodes are known by the addresses on which they listen.

pub mod plan;

use std::sync::Arc;
use std::time::Duration;

use argh::FromArgs;
use plan::Action;
use plan::LinkTarget;
use plan::Step;
use serde_json::json;
use tokio::time::Instant;
use tokio::time::sleep_until;
use tokio::time::timeout;

use crate::Error;
use crate::check;
use crate::check::ConfigChange;
use crate::check::ScenarioRecord;
use crate::fleet::Fleet;
use crate::fleet::Links;
use crate::fleet::Options;
use crate::fleet::watch::StatusPoller;
use crate::fleet::watch::wait_for_version;
use crate::load::LoadGenerator;
use crate::load::sample::Outcome;
use crate::load::sample::SUMMARY_HEADER;
use crate::load::sample::Sample;
use crate::load::sample::summarize_by_rank;
use crate::process::Binaries;
use crate::time::wall_clock_us;
use crate::topology::Route;
use crate::topology::Service;
use crate::topology::Topology;

/// Maximum number of requests that the load generator has in flight.
const MAX_IN_FLIGHT: usize = 2_000;
/// Time between two readings of the status of each node.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Time limit for all entries to serve requests after the start.
const SERVING_TIMEOUT: Duration = Duration::from_secs(15);
/// Timeout of the scenario's control calls to a process; a paused or ended process does not respond.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum time in seconds after the faults within which the fleet must serve as before. It is the
/// recovery time that users require after a restart of all processes at once.
const MAX_RECOVERY_S: u64 = 15;
/// Duration of the load after the recovery time.
const FINAL_LOAD_TIME: Duration = Duration::from_secs(4);
/// Percentage of the requests after the recovery time that must have good responses.
const MIN_GOOD_PERCENT: usize = 99;
/// Time limit for the final configuration to be in force on all nodes after the recovery time.
const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(4);
/// Maximum number of attempts to apply the final change. An attempt can still fail because a response
/// of the store is lost.
const MAX_CHANGE_ATTEMPTS: usize = 10;

static TOPOLOGY: Topology = Topology {
    name: "soak",
    domains: ["north", "east", "south"],
    slots: 8,
    max_connections: 60,
    caller_delay: Duration::from_millis(1),
    services: &[
        Service {
            name: "front",
            endpoints: 5,
            dependencies: &["back"],
            routes: &[
                Route {
                    name: "read",
                    method: "GET",
                    prefix: "/read/",
                    path: "/read/{}",
                    rank: 0,
                    deadline_ms: 800,
                    work_ms: 15,
                    normal_rate: 60.0,
                    onward_path: None,
                },
                Route {
                    name: "book",
                    method: "POST",
                    prefix: "/book/",
                    path: "/book/{}",
                    rank: 1,
                    deadline_ms: 1_500,
                    work_ms: 25,
                    normal_rate: 40.0,
                    onward_path: Some("/stock/1"),
                },
            ],
        },
        Service {
            name: "back",
            endpoints: 4,
            dependencies: &[],
            routes: &[Route {
                name: "stock",
                method: "GET",
                prefix: "/stock/",
                path: "/stock/{}",
                rank: 1,
                deadline_ms: 500,
                work_ms: 10,
                normal_rate: 20.0,
                onward_path: None,
            }],
        },
    ],
};

/// run real processes under random faults and check the guarantees
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "soak")]
pub struct Args {
    /// first seed (default 1)
    #[argh(option, default = "1")]
    seed: u64,
    /// number of seeds in a row (default 1)
    #[argh(option, default = "1")]
    seeds: u64,
    /// seconds of faults for each seed, 2 to 120 (default 12)
    #[argh(option, default = "12")]
    seconds: u64,
    /// seconds after the faults within which the fleet has to serve again, 1 to 15 (default 15)
    #[argh(option, default = "15")]
    recover: u64,
}

/// Runs all seeds and returns whether all guarantees were kept under each of them.
pub async fn run(args: Args) -> Result<bool, Error> {
    let binaries = Binaries::find().await?;
    let fault_duration = Duration::from_secs(args.seconds.clamp(2, 120));
    let recovery_time = Duration::from_secs(args.recover.clamp(1, MAX_RECOVERY_S));
    let mut broken = Vec::new();
    for seed in args.seed..args.seed.saturating_add(args.seeds) {
        println!("seed {seed}");
        if !soak(&binaries, seed, fault_duration, recovery_time).await? {
            broken.push(seed);
        }
    }
    println!(
        "{} of {} seeds broke a guarantee: {broken:?}",
        broken.len(),
        args.seeds
    );
    Ok(broken.is_empty())
}

/// Runs the soak with one seed: faults for `fault_duration`, then `recovery_time` after which the fleet
/// must serve again. Returns whether all guarantees were kept.
pub async fn soak(
    binaries: &Binaries,
    seed: u64,
    fault_duration: Duration,
    recovery_time: Duration,
) -> Result<bool, Error> {
    let mut options = Options::new(&TOPOLOGY);
    options.links = Links::All;
    options.traffic_threads = 1;
    // The drain limit is shorter than the time from SIGTERM to the restart of a process, so a drain
    // has ended before the restart.
    options.settings = json!({ "drain_limit_ms": 3_000, "upstream_end": "stay" });
    let mut fleet = Fleet::start(binaries, options).await?;
    fleet.wait_until_served(SERVING_TIMEOUT).await?;
    let load_profiles = TOPOLOGY.normal_load();
    let generator = LoadGenerator::new(&fleet.entries(), MAX_IN_FLIGHT);
    let poller = StatusPoller::start(fleet.admins(), POLL_INTERVAL);
    let load_duration = fault_duration + plan::MAX_FAULT_DURATION + recovery_time + FINAL_LOAD_TIME;
    let load_task = {
        let (load_profiles, generator) = (load_profiles.clone(), Arc::clone(&generator));
        tokio::spawn(async move { generator.run(&load_profiles, load_duration).await })
    };
    let started = Instant::now();
    let steps = plan::make_plan(seed, fleet.serving.len(), fault_duration);
    for step in steps {
        sleep_until(started + step.at).await;
        inject_step(&mut fleet, &step).await?;
    }
    sleep_until(started + fault_duration + plan::MAX_FAULT_DURATION).await;
    for action in plan::recovery_actions(fleet.serving.len()) {
        perform_action(&mut fleet, &action).await?;
    }
    let reverted = Instant::now();
    let reverted_us = wall_clock_us();
    let final_change = apply_final_change(&mut fleet, reverted + recovery_time).await;
    let samples = load_task.await?;
    fleet.kill_all().await?;
    let upstreams = fleet.read_upstreams()?;
    let final_load_us = reverted_us + recovery_time.as_micros() as u64;
    let served_again = report_final_load(&samples, final_load_us);
    let (changes, final_change_accepted) = match final_change {
        Ok(change) => (vec![change], true),
        Err(error) => {
            println!("the last change was not accepted: {error}");
            (Vec::new(), false)
        }
    };
    let record = ScenarioRecord {
        load_profiles,
        samples,
        upstreams,
        node_statuses: poller.statuses(),
        changes,
    };
    println!("{SUMMARY_HEADER}");
    summarize_by_rank(&record.samples)
        .iter()
        .for_each(|row| println!("{row}"));
    let kept = check::print_report(&record);
    fleet.stop().await?;
    Ok(kept && served_again && final_change_accepted)
}

/// Performs a step of the plan, and prints it if `MEDLAR_LAB_KEEP` is set.
async fn inject_step(fleet: &mut Fleet, step: &Step) -> Result<(), Error> {
    if std::env::var_os("MEDLAR_LAB_KEEP").is_some() {
        println!("{:>6} ms {:?}", step.at.as_millis(), step.action);
    }
    perform_action(fleet, &step.action).await
}

async fn perform_action(fleet: &mut Fleet, action: &Action) -> Result<(), Error> {
    match action {
        Action::Signal(index, role, name) => fleet.serving[*index].signal(*role, name).await,
        Action::Restart(index) => fleet.restart_ended(*index),
        Action::SignalStore(name) => fleet.signal_store(name).await,
        Action::Link(link_target, body) => {
            let listen = match link_target {
                LinkTarget::Callers(index) => fleet.serving[*index].spec.addresses.callers_link,
                LinkTarget::Upstream(index) => fleet.serving[*index].spec.addresses.upstream_link,
                LinkTarget::Store => fleet.store_link_address(),
            };
            let mut body = body.clone();
            body["listen"] = json!(listen.to_string());
            fleet.set_link(&body).await
        }
        // The call fails if the process is paused or has ended.
        Action::Store(fault) => {
            let _ = timeout(CALL_TIMEOUT, fleet.set_store_fault(fault)).await;
            Ok(())
        }
        Action::Behave(index, body) => {
            let _ = timeout(
                CALL_TIMEOUT,
                fleet.serving[*index].set_upstream_behaviour(body),
            )
            .await;
            Ok(())
        }
        // The change fails while the store is unavailable, and its outcome is unknown if the
        // store's response is lost.
        Action::Change => {
            let _ = timeout(CALL_TIMEOUT, fleet.apply_new_config()).await;
            Ok(())
        }
    }
}

/// Applies a final change of the configuration and waits until it is in force on all nodes. The time
/// limit for that counts from `recovered_at`, the time at which the fleet must serve again.
async fn apply_final_change(
    fleet: &mut Fleet,
    recovered_at: Instant,
) -> Result<ConfigChange, Error> {
    let mut attempts = 0;
    let accepted = loop {
        attempts += 1;
        match fleet.apply_new_config().await {
            Ok(accepted) => break accepted,
            Err(error) if attempts == MAX_CHANGE_ATTEMPTS || Instant::now() > recovered_at => {
                return Err(error);
            }
            Err(_) => tokio::time::sleep(CALL_TIMEOUT).await,
        }
    };
    // A restarted node must find the other nodes before it can get the configuration.
    sleep_until(recovered_at).await;
    let accepted_us = wall_clock_us();
    let admins = fleet.admins();
    let in_force_us = wait_for_version(&admins, accepted.version, CONVERGENCE_TIMEOUT).await;
    Ok(ConfigChange {
        version: accepted.version,
        accepted_us,
        in_force_us,
    })
}

/// Prints and returns whether at least [`MIN_GOOD_PERCENT`] of the requests scheduled since `from_us`
/// (microseconds since 1970) had good responses.
fn report_final_load(samples: &[Sample], from_us: u64) -> bool {
    let final_samples: Vec<&Sample> = samples
        .iter()
        .filter(|it| it.scheduled_us >= from_us)
        .collect();
    let good = final_samples
        .iter()
        .filter(|it| it.outcome == Outcome::Good)
        .count();
    let kept = !final_samples.is_empty() && good * 100 >= final_samples.len() * MIN_GOOD_PERCENT;
    let verdict = if kept { "kept" } else { "BROKEN" };
    println!(
        "serves-after-the-faults: {good} of {} {verdict}",
        final_samples.len()
    );
    for sample in final_samples
        .iter()
        .filter(|it| it.outcome != Outcome::Good)
        .take(5)
    {
        println!("    request {}: {}", sample.request_number, sample.outcome);
    }
    kept
}
