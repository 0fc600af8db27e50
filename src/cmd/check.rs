//! `check`: tells whether a text would be accepted.

use std::fs;
use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;

use crate::messages;
use config::Draft;

/// tell whether a configuration text would be accepted
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
pub(crate) struct Args {
    /// file with the text
    #[argh(positional)]
    file: PathBuf,
}

pub(crate) fn run(args: &Args) -> ExitCode {
    let text = match fs::read_to_string(&args.file) {
        Ok(text) => text,
        Err(error) => return messages::refused(&format!("{}: {error}", args.file.display())),
    };
    match Draft::new(&text).check() {
        Ok(_) => {
            println!("{}: valid", args.file.display());
            ExitCode::SUCCESS
        }
        Err(faults) => messages::faults(&args.file.display(), &faults),
    }
}
