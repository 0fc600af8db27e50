//! Soak of real processes under random faults from outside them.
//!
//! Signals, restarts, changes of the text, and faults of links, store and upstreams come in series
//! and overlap, while callers go on. What callers and upstreams saw is checked against the promises
//! that hold under any fault; after the faults the fleet has to serve and agree again. Clocks are
//! left alone: the system decides nothing by the time of day, and setting it takes privileges. Gossip
//! and requests between nodes do not go over the link, since nodes are known by the addresses on
//! which they listen.

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

/// Requests open at once.
const MAX_IN_FLIGHT: usize = 2_000;
const WATCH_PERIOD: Duration = Duration::from_millis(200);
const SERVED_LIMIT: Duration = Duration::from_secs(15);
/// Longest wait for a call of the lab's own; a paused or ended process does not answer.
const CALL_LIMIT: Duration = Duration::from_secs(1);
/// Longest time after the faults within which the fleet serves as before; the users' bound for a
/// restart of all at once.
const MAX_RECOVER_S: u64 = 15;
/// Load after that time.
const CALM: Duration = Duration::from_secs(4);
/// Share of the requests after that time that have to be answered well, in percent.
const CALM_PERCENT: usize = 99;
/// Longest wait for the last text to be in force everywhere after the faults.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(4);
/// Tries of the last change, whose answers the store can still lose.
const CHANGE_TRIES: usize = 10;

static TOPOLOGY: Topology = Topology {
    name: "soak",
    domains: ["north", "east", "south"],
    slots: 8,
    connections: 60,
    callers: Duration::from_millis(1),
    services: &[
        Service {
            name: "front",
            endpoints: 5,
            depends: &["back"],
            routes: &[
                Route {
                    name: "read",
                    method: "GET",
                    prefix: "/read/",
                    path: "/read/{}",
                    rank: 0,
                    deadline_ms: 800,
                    work_ms: 15,
                    rate: 60.0,
                    onward: None,
                },
                Route {
                    name: "book",
                    method: "POST",
                    prefix: "/book/",
                    path: "/book/{}",
                    rank: 1,
                    deadline_ms: 1_500,
                    work_ms: 25,
                    rate: 40.0,
                    onward: Some("/stock/1"),
                },
            ],
        },
        Service {
            name: "back",
            endpoints: 4,
            depends: &[],
            routes: &[Route {
                name: "stock",
                method: "GET",
                prefix: "/stock/",
                path: "/stock/{}",
                rank: 1,
                deadline_ms: 500,
                work_ms: 10,
                rate: 20.0,
                onward: None,
            }],
        },
    ],
};

/// run real processes under random faults and check the promises
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

/// Runs the seeds; false if a promise was broken under one of them.
pub async fn run(args: Args) -> Result<bool, Error> {
    let binaries = Binaries::find().await?;
    let length = Duration::from_secs(args.seconds.clamp(2, 120));
    let recover = Duration::from_secs(args.recover.clamp(1, MAX_RECOVER_S));
    let mut broken = Vec::new();
    for seed in args.seed..args.seed.saturating_add(args.seeds) {
        println!("seed {seed}");
        if !soak(&binaries, seed, length, recover).await? {
            broken.push(seed);
        }
    }
    println!(
        "{} of {} seeds broke a promise: {broken:?}",
        broken.len(),
        args.seeds
    );
    Ok(broken.is_empty())
}

/// Runs one seed: faults for `length`, then `recover` until the fleet has to serve. False if a promise
/// was broken.
pub async fn soak(
    binaries: &Binaries,
    seed: u64,
    length: Duration,
    recover: Duration,
) -> Result<bool, Error> {
    let mut options = Options::new(&TOPOLOGY);
    options.links = Links::All;
    options.traffic_threads = 1;
    // A drain ends before the next start of the process.
    options.settings = json!({ "drain_limit_ms": 3_000, "upstream_end": "stay" });
    let mut fleet = Fleet::start(binaries, options).await?;
    fleet.wait_until_served(SERVED_LIMIT).await?;
    let load_profiles = TOPOLOGY.normal_load();
    let generator = LoadGenerator::new(&fleet.entries(), MAX_IN_FLIGHT);
    let poller = StatusPoller::start(fleet.admins(), WATCH_PERIOD);
    let whole = length + plan::LONGEST + recover + CALM;
    let offering = {
        let (load_profiles, generator) = (load_profiles.clone(), Arc::clone(&generator));
        tokio::spawn(async move { generator.run(&load_profiles, whole).await })
    };
    let began = Instant::now();
    let steps = plan::make_plan(seed, fleet.serving.len(), length);
    for step in steps {
        sleep_until(began + step.at).await;
        inject(&mut fleet, &step).await?;
    }
    sleep_until(began + length + plan::LONGEST).await;
    for action in plan::make_recovery(fleet.serving.len()) {
        perform(&mut fleet, &action).await?;
    }
    let recovered = Instant::now();
    let recovered_us = wall_clock_us();
    let change = change_last(&mut fleet, recovered + recover).await;
    let samples = offering.await?;
    fleet.end().await?;
    let upstreams = fleet.read_upstreams()?;
    let calm_us = recovered_us + recover.as_micros() as u64;
    let calm = report_calm(&samples, calm_us);
    let (changes, changed) = match change {
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
    Ok(kept && calm && changed)
}

async fn inject(fleet: &mut Fleet, step: &Step) -> Result<(), Error> {
    if std::env::var_os("MEDLAR_LAB_KEEP").is_some() {
        println!("{:>6} ms {:?}", step.at.as_millis(), step.action);
    }
    perform(fleet, &step.action).await
}

async fn perform(fleet: &mut Fleet, action: &Action) -> Result<(), Error> {
    match action {
        Action::Signal(at, part, name) => fleet.serving[*at].signal(*part, name).await,
        Action::Restart(at) => fleet.restart_ended(*at),
        Action::SignalStore(name) => fleet.signal_store(name).await,
        Action::Link(wire, body) => {
            let listen = match wire {
                LinkTarget::Callers(at) => fleet.serving[*at].spec.place.link,
                LinkTarget::Upstream(at) => fleet.serving[*at].spec.place.upstream_link,
                LinkTarget::Store => fleet.store_link(),
            };
            let mut body = body.clone();
            body["listen"] = json!(listen.to_string());
            fleet.set_link(&body).await
        }
        // A process that is paused or gone does not take the call.
        Action::Store(fault) => {
            let _ = timeout(CALL_LIMIT, fleet.set_store_fault(fault)).await;
            Ok(())
        }
        Action::Behave(at, body) => {
            let _ = timeout(CALL_LIMIT, fleet.serving[*at].behave(body)).await;
            Ok(())
        }
        // Without the store the text is not accepted, or its answer is lost.
        Action::Change => {
            let _ = timeout(CALL_LIMIT, fleet.change_text()).await;
            Ok(())
        }
    }
}

/// Has a last text accepted and waits until it is in force everywhere.
async fn change_last(fleet: &mut Fleet, until: Instant) -> Result<ConfigChange, Error> {
    let mut tries = 0;
    let accepted = loop {
        tries += 1;
        match fleet.change_text().await {
            Ok(accepted) => break accepted,
            Err(error) if tries == CHANGE_TRIES || Instant::now() > until => return Err(error),
            Err(_) => tokio::time::sleep(CALL_LIMIT).await,
        }
    };
    // A node that was just started needs its time to find the others first.
    sleep_until(until).await;
    let accepted_us = wall_clock_us();
    let admins = fleet.admins();
    let in_force_us = wait_for_version(&admins, accepted.version, IN_FORCE_LIMIT).await;
    Ok(ConfigChange {
        version: accepted.version,
        accepted_us,
        in_force_us,
    })
}

/// Whether nearly all requests were answered after the recovery.
fn report_calm(samples: &[Sample], from_us: u64) -> bool {
    let late: Vec<&Sample> = samples
        .iter()
        .filter(|it| it.scheduled_us >= from_us)
        .collect();
    let good = late.iter().filter(|it| it.outcome == Outcome::Good).count();
    let kept = !late.is_empty() && good * 100 >= late.len() * CALM_PERCENT;
    let word = if kept { "kept" } else { "BROKEN" };
    println!("serves-after-the-faults: {good} of {} {word}", late.len());
    for sample in late.iter().filter(|it| it.outcome != Outcome::Good).take(5) {
        println!("    request {}: {}", sample.request_number, sample.outcome);
    }
    kept
}
