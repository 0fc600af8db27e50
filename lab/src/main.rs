//! `medlar-lab`: stand-ins for the platform and the upstreams, load, and measurements.

use std::process::ExitCode;

fn main() -> ExitCode {
    medlar_lab::cli::run(argh::from_env())
}
