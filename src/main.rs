//! `medlarctl`: the operators' command line.

mod cli;
mod cmd;
mod messages;

use std::process::ExitCode;

fn main() -> ExitCode {
    cli::run(argh::from_env())
}
