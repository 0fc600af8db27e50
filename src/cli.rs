//! Arguments of the command line.

use std::net::SocketAddr;
use std::process::ExitCode;

use argh::FromArgs;

use crate::cmd;
use crate::options::GlobalOptions;
use crate::output::ExitStatus;
use crate::output::OutputFormat;
use crate::output::eprint_line;
use crate::output::print_line;
use crate::output::print_refusal;

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
    /// admin address of a node; can be repeated. apply and settle query all of these nodes, other verbs
    /// use the first that responds
    node: Vec<SocketAddr>,
    #[argh(option, default = "OutputFormat::Table")]
    /// output format: table (default) or json
    output: OutputFormat,
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

/// Options that can stand before or after the verb; each takes a value.
const GLOBAL_OPTIONS: [&str; 3] = ["--store", "--node", "--output"];

/// Parses the command line. After it has printed help or a usage error, it returns the exit code as the
/// error.
pub(crate) fn parse() -> Result<Cli, ExitCode> {
    let args = std::env::args_os().skip(1).map(|arg| arg.into_string());
    let Ok(args) = args.collect::<Result<Vec<_>, _>>() else {
        eprint_line("arguments are not UTF-8");
        return Err(ExitStatus::UsageError.into());
    };
    let ordered_args = move_global_options_first(args);
    let arg_refs: Vec<&str> = ordered_args.iter().map(String::as_str).collect();
    Cli::from_args(&["medlarctl"], &arg_refs).map_err(|exit| {
        if exit.status.is_ok() {
            print_line(exit.output.trim_end());
            return ExitStatus::Done.into();
        }
        // `argh::from_env` would exit with 1, which stands for a refusal here.
        eprint_line(exit.output.trim_end());
        eprint_line("run medlarctl --help for more");
        ExitStatus::UsageError.into()
    })
}

/// Moves the global options and their values before the verb, because argh accepts them only there.
/// Arguments after `--` stay in place.
fn move_global_options_first(args: Vec<String>) -> Vec<String> {
    let mut global_args = Vec::new();
    let mut other_args = Vec::new();
    let mut args = args.into_iter();
    while let Some(arg) = args.next() {
        if arg == "--" {
            other_args.push(arg);
            break;
        }
        if GLOBAL_OPTIONS.contains(&arg.as_str()) {
            global_args.push(arg);
            global_args.extend(args.next());
        } else {
            other_args.push(arg);
        }
    }
    global_args.extend(other_args);
    global_args.extend(args);
    global_args
}

/// Runs the verb and returns the exit code.
pub(crate) fn run(cli: Cli) -> ExitCode {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => return print_refusal(OutputFormat::Table, &error).into(),
    };
    let options = GlobalOptions {
        store_address: cli.store,
        admin_addresses: cli.node,
        output_format: cli.output,
    };
    let exit_status = runtime.block_on(async {
        match cli.verb {
            Verb::Apply(args) => cmd::apply::run(&options, args).await,
            Verb::Check(args) => cmd::check::run(&options, &args).await,
            Verb::Drain(args) => cmd::drain::run(&options, &args).await,
            Verb::Explain(args) => cmd::explain::run(&options, &args).await,
            Verb::Get(args) => cmd::get::run(&options, &args).await,
            Verb::Nodes(args) => cmd::nodes::run(&options, &args).await,
            Verb::Settle(args) => cmd::settle::run(&options, &args).await,
            Verb::Status(args) => cmd::status::run(&options, &args).await,
            Verb::Trace(args) => cmd::trace::run(&options, &args),
            Verb::Version(args) => cmd::version::run(&options, &args),
        }
    });
    exit_status.into()
}
