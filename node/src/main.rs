//! `medlar-node`: the process that runs beside each upstream.

mod cli;

use std::process::ExitCode;

fn main() -> ExitCode {
    cli::run(&argh::from_env())
}
