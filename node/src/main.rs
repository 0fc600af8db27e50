//! `medlar-node`: the process that runs beside each upstream.

mod cli;

use std::process::ExitCode;

// Without this the linker would drop the plug-ins with their registrations.
use platform as _;

fn main() -> ExitCode {
    match cli::parse() {
        Ok(cli) => cli::run(&cli),
        Err(code) => code,
    }
}
