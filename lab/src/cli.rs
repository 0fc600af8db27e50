//! Command line of the lab.

use std::process::ExitCode;

use argh::FromArgs;

use crate::cmd;

/// Stand-ins, load and measurements for medlarusher.
#[derive(Debug)]
#[derive(FromArgs)]
pub(crate) struct Cli {
    #[argh(subcommand)]
    verb: Verb,
}

#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand)]
enum Verb {
    Store(cmd::store::Args),
    Upstream(cmd::upstream::Args),
}

/// Does what the command line says.
pub(crate) fn run(cli: Cli) -> ExitCode {
    let runtime = match tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
    {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("medlar-lab: {error}");
            return ExitCode::FAILURE;
        }
    };
    let done = runtime.block_on(async {
        match cli.verb {
            Verb::Store(args) => cmd::store::run(args).await,
            Verb::Upstream(args) => cmd::upstream::run(args).await,
        }
    });
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("medlar-lab: {error}");
            ExitCode::FAILURE
        }
    }
}
