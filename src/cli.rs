//! Arguments of the command line.

use std::net::SocketAddr;
use std::process::ExitCode;

use argh::FromArgs;

use crate::cmd;
use crate::context::Context;
use crate::messages::End;
use crate::messages::Output;
use crate::messages::refused;
use crate::messages::say;
use crate::messages::warn;

/// Check, accept and watch the configuration of a medlarusher fleet.
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(
    note = "Exit codes: 0 done, 1 refused, 2 wrong usage, 3 outcome unknown.",
    note = "--store, --node and --output can stand before or after the verb.",
    example = "Change the text that is in force:\n$ medlarctl --store 127.33.0.100:2379 get -o mesh.yaml\n$ vi mesh.yaml\n$ medlarctl --store 127.33.0.100:2379 --node 127.33.0.1:7003 apply mesh.yaml\naccepted as version 8\n$ medlarctl --store 127.33.0.100:2379 --node 127.33.0.1:7003 status --wait"
)]
pub(crate) struct Cli {
    #[argh(option, default = "SocketAddr::from(([127, 0, 0, 1], 2379))")]
    /// address of the store (default 127.0.0.1:2379)
    store: SocketAddr,
    #[argh(option)]
    /// admin address of a node; repeat it for more, the first that answers is asked
    node: Vec<SocketAddr>,
    #[argh(option, default = "Output::Table")]
    /// table (default) or json
    output: Output,
    #[argh(subcommand)]
    verb: Verb,
}

#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand)]
enum Verb {
    Apply(cmd::apply::Args),
    Check(cmd::check::Args),
    Drain(cmd::drain::Args),
    Explain(cmd::explain::Args),
    Get(cmd::get::Args),
    Nodes(cmd::nodes::Args),
    Settle(cmd::settle::Args),
    Status(cmd::status::Args),
    Trace(cmd::trace::Args),
    Version(cmd::version::Args),
}

/// Options that can stand on either side of the verb; each has a value.
const COMMON: [&str; 3] = ["--store", "--node", "--output"];

/// Reads the command line; the error is the exit code after help or a message was printed.
pub(crate) fn parse() -> Result<Cli, ExitCode> {
    let given = std::env::args_os().skip(1).map(|arg| arg.into_string());
    let Ok(given) = given.collect::<Result<Vec<_>, _>>() else {
        warn("arguments are not UTF-8");
        return Err(End::Usage.into());
    };
    let ordered = hoist_common(given);
    let arguments: Vec<&str> = ordered.iter().map(String::as_str).collect();
    Cli::from_args(&["medlarctl"], &arguments).map_err(|exit| {
        if exit.status.is_ok() {
            say(exit.output.trim_end());
            return End::Done.into();
        }
        // argh's own entry point ends with 1 here, which means a refusal.
        warn(exit.output.trim_end());
        warn("run medlarctl --help for more");
        End::Usage.into()
    })
}

/// Moves the common options and their values before the verb.
fn hoist_common(given: Vec<String>) -> Vec<String> {
    let mut front = Vec::new();
    let mut rest = Vec::new();
    let mut given = given.into_iter();
    while let Some(arg) = given.next() {
        if arg == "--" {
            rest.push(arg);
            break;
        }
        if COMMON.contains(&arg.as_str()) {
            front.push(arg);
            front.extend(given.next());
        } else {
            rest.push(arg);
        }
    }
    front.extend(rest);
    front.extend(given);
    front
}

/// Does what the command line says.
pub(crate) fn run(cli: Cli) -> ExitCode {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => return refused(Output::Table, &error).into(),
    };
    let context = Context {
        store: cli.store,
        nodes: cli.node,
        output: cli.output,
    };
    let end = runtime.block_on(async {
        match cli.verb {
            Verb::Apply(args) => cmd::apply::run(&context, args).await,
            Verb::Check(args) => cmd::check::run(&context, &args),
            Verb::Drain(args) => cmd::drain::run(&context, &args).await,
            Verb::Explain(args) => cmd::explain::run(&context, &args).await,
            Verb::Get(args) => cmd::get::run(&context, &args).await,
            Verb::Nodes(args) => cmd::nodes::run(&context, &args).await,
            Verb::Settle(args) => cmd::settle::run(&context, &args).await,
            Verb::Status(args) => cmd::status::run(&context, &args).await,
            Verb::Trace(args) => cmd::trace::run(&context, &args),
            Verb::Version(args) => cmd::version::run(&context, &args),
        }
    });
    end.into()
}
