//! `medlarctl`: the operators' command line.
//!
//! `medlarctl` reads and writes the configuration in the store and queries the admin API of nodes.
//! The state machines of the crate `accept` decide whether an edit becomes the next version; this
//! program runs them against the store and maps their outcomes to messages and exit codes.

mod admin_client;
mod cli;
mod cmd;
mod edit_file;
mod fleet;
mod options;
mod output;
mod store_client;

use std::process::ExitCode;

fn main() -> ExitCode {
    match cli::parse() {
        Ok(cli) => cli::run(cli),
        Err(code) => code,
    }
}
