//! Arguments of the command line.

use std::net::SocketAddr;
use std::process::ExitCode;

use argh::FromArgs;

use crate::cmd;
use crate::messages;

/// Check, apply and read the configuration of a medlarusher fleet. Exit codes: 0 done, 1 refused,
/// 2 wrong usage, 3 outcome unknown.
#[derive(Debug)]
#[derive(FromArgs)]
pub(crate) struct Cli {
    /// address of the store (default 127.0.0.1:2379)
    #[argh(option, default = "SocketAddr::from(([127, 0, 0, 1], 2379))")]
    pub(crate) store: SocketAddr,
    #[argh(subcommand)]
    verb: Verb,
}

#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand)]
enum Verb {
    Apply(cmd::apply::Args),
    Check(cmd::check::Args),
    Get(cmd::get::Args),
}

/// Does what the command line says.
pub(crate) fn run(cli: Cli) -> ExitCode {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => return messages::refused(&error),
    };
    let store = cli.store;
    runtime.block_on(async move {
        match cli.verb {
            Verb::Apply(args) => cmd::apply::run(store, args).await,
            Verb::Check(args) => cmd::check::run(&args),
            Verb::Get(args) => cmd::get::run(store, args).await,
        }
    })
}
