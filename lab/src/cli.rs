//! Command line of `medlar-lab`.

use std::process::ExitCode;

use argh::FromArgs;
use tokio::runtime;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

use crate::Error;
use crate::link;
use crate::scenario;
use crate::store;
use crate::upstream;

/// Worker threads of a fake store, link or upstream; few, since a scenario runs many of these
/// processes.
const FAKE_THREADS: usize = 2;
/// Worker threads of a scenario, which also generates the load.
const SCENARIO_THREADS: usize = 4;
/// Exit code of a scenario that was interrupted by a signal.
const INTERRUPTED_EXIT_CODE: u8 = 130;

/// Fake services, load and measurements for medlarusher. Exit codes: 0 done and no guarantee
/// violated, 1 a guarantee violated or an error, 130 interrupted.
#[derive(Debug)]
#[derive(FromArgs)]
pub struct Cli {
    #[argh(subcommand)]
    verb: Verb,
}

#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand)]
enum Verb {
    Store(store::Args),
    Upstream(upstream::Args),
    Link(link::Args),
    Demo(scenario::demo::Args),
    Converge(scenario::converge::Args),
    Flood(scenario::overload::Args),
    Soak(scenario::soak::Args),
}

/// Runs the verb of the command line and returns the exit code.
pub fn run(cli: Cli) -> ExitCode {
    let is_scenario = !matches!(cli.verb, Verb::Store(_) | Verb::Upstream(_) | Verb::Link(_));
    let threads = if is_scenario {
        SCENARIO_THREADS
    } else {
        FAKE_THREADS
    };
    let runtime = runtime::Builder::new_multi_thread()
        .worker_threads(threads)
        .enable_all()
        .build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => return print_error(&error.into()),
    };
    runtime.block_on(async {
        if !is_scenario {
            return exit_code(run_verb(cli.verb).await);
        }
        // If a signal arrives first, the scenario is dropped, which kills its processes and removes
        // its files.
        tokio::select! {
            result = run_verb(cli.verb) => exit_code(result),
            () = wait_for_interrupt() => ExitCode::from(INTERRUPTED_EXIT_CODE),
        }
    })
}

/// Runs a verb. Returns false if a scenario found a violated guarantee.
async fn run_verb(verb: Verb) -> Result<bool, Error> {
    match verb {
        Verb::Store(args) => store::run(args).await.map(|()| true),
        Verb::Upstream(args) => upstream::run(args).await.map(|()| true),
        Verb::Link(args) => link::run(args).await.map(|()| true),
        Verb::Demo(args) => scenario::demo::run(args).await,
        Verb::Converge(args) => scenario::converge::run(args).await.map(|()| true),
        Verb::Soak(args) => scenario::soak::run(args).await,
        Verb::Flood(args) => scenario::overload::run(args).await.map(|()| true),
    }
}

/// Waits for SIGINT or SIGTERM; forever if the handlers can't be installed.
async fn wait_for_interrupt() {
    match (
        signal(SignalKind::interrupt()),
        signal(SignalKind::terminate()),
    ) {
        (Ok(mut interrupt), Ok(mut terminate)) => {
            tokio::select! {
                _ = interrupt.recv() => {}
                _ = terminate.recv() => {}
            }
        }
        _ => futures::future::pending().await,
    }
}

fn exit_code(result: Result<bool, Error>) -> ExitCode {
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => print_error(&error),
    }
}

fn print_error(error: &Error) -> ExitCode {
    eprintln!("medlar-lab: {error}");
    ExitCode::FAILURE
}
