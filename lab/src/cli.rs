//! Command line of the lab.

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

/// Worker threads of a stand-in, of which many run at once.
const STAND_IN_THREADS: usize = 2;
/// Worker threads of the runner, which also offers the load.
const RUNNER_THREADS: usize = 4;
/// Exit code of a scenario that was interrupted.
const INTERRUPTED: u8 = 130;

/// Stand-ins, load and measurements for medlarusher. Exit codes: 0 done and no promise broken, 1 a
/// promise broken or an error, 130 interrupted.
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

/// Does what the command line says.
pub fn run(cli: Cli) -> ExitCode {
    let is_runner = !matches!(cli.verb, Verb::Store(_) | Verb::Upstream(_) | Verb::Link(_));
    let threads = if is_runner {
        RUNNER_THREADS
    } else {
        STAND_IN_THREADS
    };
    let runtime = runtime::Builder::new_multi_thread()
        .worker_threads(threads)
        .enable_all()
        .build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => return fail(&error.into()),
    };
    runtime.block_on(async {
        if !is_runner {
            return finish(start(cli.verb).await);
        }
        // Dropping the scenario ends its processes and removes its files.
        tokio::select! {
            done = start(cli.verb) => finish(done),
            () = interrupted() => ExitCode::from(INTERRUPTED),
        }
    })
}

async fn start(verb: Verb) -> Result<bool, Error> {
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

async fn interrupted() {
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

fn finish(done: Result<bool, Error>) -> ExitCode {
    match done {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => fail(&error),
    }
}

fn fail(error: &Error) -> ExitCode {
    eprintln!("medlar-lab: {error}");
    ExitCode::FAILURE
}
