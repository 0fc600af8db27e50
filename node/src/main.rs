//! `medlar-node`: the process that runs beside each upstream.

mod cli;

use std::process::ExitCode;

fn main() -> ExitCode {
    match cli::parse() {
        Ok(cli) => cli::run(&cli),
        Err(code) => code,
    }
}
