//! `medlarctl`: the operators' command line.
//!
//! Works over the store and the admin addresses of nodes. The decisions about an edit are in
//! `accept`; this program translates between them, the store, the terminal and exit codes.

mod base;
mod cli;
mod cmd;
mod context;
mod fleet;
mod http;
mod messages;
mod stock;

use std::process::ExitCode;

fn main() -> ExitCode {
    match cli::parse() {
        Ok(cli) => cli::run(cli),
        Err(code) => code,
    }
}
