//! Runs a small mesh of separate processes that serves requests while its configuration changes and a
//! node drains.

use std::time::Duration;

use serde_json::json;

use medlar_lab::check;
use medlar_lab::check::ScenarioRecord;
use medlar_lab::fleet::Fleet;
use medlar_lab::fleet::Links;
use medlar_lab::fleet::Options;
use medlar_lab::fleet::watch::wait_for_version;
use medlar_lab::load::LoadGenerator;
use medlar_lab::load::sample::Outcome;
use medlar_lab::process::Binaries;
use medlar_lab::topology::Route;
use medlar_lab::topology::Service;
use medlar_lab::topology::Topology;

static SMALL: Topology = Topology {
    name: "small",
    domains: ["north", "east", "south"],
    slots: 4,
    max_connections: 20,
    caller_delay: Duration::from_millis(1),
    services: &[Service {
        name: "echo",
        endpoints: 3,
        dependencies: &[],
        routes: &[
            Route {
                name: "read",
                method: "GET",
                prefix: "/read/",
                path: "/read/{}",
                rank: 0,
                deadline_ms: 2_000,
                work_ms: 5,
                normal_rate: 50.0,
                onward_path: None,
            },
            Route {
                name: "book",
                method: "POST",
                prefix: "/book/",
                path: "/book/{}",
                rank: 1,
                deadline_ms: 2_000,
                work_ms: 5,
                normal_rate: 50.0,
                onward_path: Some("/read/1"),
            },
        ],
    }],
};

/// Duration of each load.
const LOAD_DURATION: Duration = Duration::from_secs(1);
/// Time limit of each wait for the fleet.
const TIMEOUT: Duration = Duration::from_secs(10);

async fn start_fleet() -> Fleet {
    let binaries = Binaries::find().await.expect("the executables are built");
    let mut options = Options::new(&SMALL);
    options.links = Links::Callers;
    let fleet = Fleet::start(&binaries, options)
        .await
        .expect("the fleet starts");
    fleet
        .wait_until_served(TIMEOUT)
        .await
        .expect("the fleet serves");
    fleet
}

async fn wait_until_in_force(fleet: &Fleet, version: u64) {
    let in_force_us = wait_for_version(&fleet.admins(), version, TIMEOUT).await;
    assert!(
        in_force_us.iter().all(Option::is_some),
        "{version}: {in_force_us:?}"
    );
}

/// Checks that nodes serve requests, apply changes and drain as separate processes behind a link,
/// with the built binaries.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn serve_three_nodes() {
    let mut fleet = start_fleet().await;
    let load_profiles = SMALL.normal_load();
    let generator = LoadGenerator::new(&fleet.entries(), 100);
    let mut samples = generator.run(&load_profiles, LOAD_DURATION).await;

    let accepted = fleet
        .apply_new_config()
        .await
        .expect("the configuration is accepted");
    wait_until_in_force(&fleet, accepted.version).await;
    // The store's response is lost after the write took effect.
    let fault = json!({ "lose_answers": 1 });
    fleet
        .set_store_fault(&fault)
        .await
        .expect("the fault is set");
    let _ = fleet.apply_new_config().await;
    wait_until_in_force(&fleet, accepted.version + 1).await;

    let drained = fleet.drain(0).await.expect("the instance drains");
    generator.exclude_entry(drained.spec.addresses.callers_link);
    samples.extend(generator.run(&load_profiles, LOAD_DURATION).await);

    fleet.kill_all().await.expect("all processes end");
    let good = samples
        .iter()
        .filter(|it| it.outcome == Outcome::Good)
        .count();
    assert!(good > 100, "{good} of {}: {samples:?}", samples.len());
    let record = ScenarioRecord {
        load_profiles,
        samples,
        upstreams: fleet.read_upstreams().expect("the ledgers are complete"),
        ..ScenarioRecord::default()
    };
    assert!(check::print_report(&record));
}
