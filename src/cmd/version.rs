//! `version`: prints the version of the program.

use argh::FromArgs;
use serde_json::json;

use crate::context::Context;
use crate::messages::End;
use crate::messages::tell;
use config::NEWEST_FORMAT;

/// Print the version of this program and the newest format of texts that it knows.
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "version",
    example = "$ medlarctl version\nmedlarctl 0.1.0, text format 1"
)]
pub(crate) struct Args {}

pub(crate) fn run(context: &Context, _: &Args) -> End {
    let program = env!("CARGO_PKG_VERSION");
    let value = json!({ "program": program, "format": NEWEST_FORMAT });
    let line = format!("medlarctl {program}, text format {NEWEST_FORMAT}");
    tell(context.output, &line, &value);
    End::Done
}
