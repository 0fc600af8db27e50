//! `medlar-node`: the node process, one for each upstream and on the same instance.

mod cli;

use std::process::ExitCode;

// Without this import the linker would drop the crate together with the plug-ins that it registers.
use platform as _;

fn main() -> ExitCode {
    match cli::parse() {
        Ok(cli) => cli::run(&cli),
        Err(code) => code,
    }
}
