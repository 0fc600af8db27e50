//! `medlar-lab`: fakes of the platform and the upstreams, load generation and measurements.

use std::process::ExitCode;

fn main() -> ExitCode {
    medlar_lab::cli::run(argh::from_env())
}
