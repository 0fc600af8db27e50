//! `medlar-lab`: stand-ins for the platform and the upstreams, load, and measurements.

mod cli;
mod cmd;
mod http;

use std::process::ExitCode;

fn main() -> ExitCode {
    cli::run(argh::from_env())
}
