//! `version`: prints the version of the program and of the text format.

use argh::FromArgs;
use serde_json::json;

use crate::options::GlobalOptions;
use crate::output::ExitStatus;
use crate::output::print_result;
use config::NEWEST_FORMAT;

/// Print the version of this program and the newest text format that it can read.
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "version",
    example = "$ medlarctl version\nmedlarctl 0.1.0, text format 1"
)]
pub(crate) struct Args {}

pub(crate) fn run(options: &GlobalOptions, _: &Args) -> ExitStatus {
    let program = env!("CARGO_PKG_VERSION");
    let value = json!({ "program": program, "format": NEWEST_FORMAT });
    let line = format!("medlarctl {program}, text format {NEWEST_FORMAT}");
    print_result(options.output_format, &line, &value);
    ExitStatus::Done
}
