//! `get`: prints the accepted text.

use std::fs;
use std::path::Path;
use std::path::PathBuf;

use argh::FromArgs;
use serde_json::json;

use crate::base::add_line;
use crate::base::write_file;
use crate::context::Context;
use crate::messages::End;
use crate::messages::Output;
use crate::messages::refused;
use crate::messages::say;
use crate::messages::say_text;
use crate::messages::tell;
use crate::stock::read_record;
use config::Record;

/// Print the accepted configuration text, or write it to a file that remembers its version for
/// apply.
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "get",
    example = "$ medlarctl get -o mesh.yaml\nmesh.yaml: version 7"
)]
pub(crate) struct Args {
    #[argh(option, short = 'o')]
    /// file to write, with the version in its first line; FILE.base gets a copy for the difference
    out: Option<PathBuf>,
    #[argh(switch)]
    /// write over a file that exists
    force: bool,
}

pub(crate) async fn run(context: &Context, args: &Args) -> End {
    let record = match read_record(context.store).await {
        Ok(record) => record,
        Err(error) => return refused(context.output, &error),
    };
    let version = record.version;
    if let Some(path) = &args.out {
        let file = path.display();
        if let Err(error) = write(path, &record, args.force) {
            return refused(context.output, &format!("{file}: {error}"));
        }
        let value = json!({ "file": file.to_string(), "version": version.0 });
        tell(
            context.output,
            &format!("{file}: version {version}"),
            &value,
        );
        return End::Done;
    }
    match context.output {
        Output::Table => say_text(&record.text),
        Output::Json => say(&json!({
            "version": version.0,
            "digest": record.digest.to_string(),
            "text": &*record.text,
        })
        .to_string()),
    }
    End::Done
}

/// Writes the file; edits that it may hold are not written over without the operator's word.
fn write(path: &Path, record: &Record, force: bool) -> Result<(), String> {
    let text = add_line(record.version, record.digest, &record.text);
    if !force && fs::read_to_string(path).is_ok_and(|old| old != text) {
        return Err("exists and differs; add --force to write over it".into());
    }
    write_file(path, record.version, &record.text).map_err(|error| error.to_string())
}
