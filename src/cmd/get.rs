//! `get`: prints the accepted configuration text, or writes it to a file.

use std::fs;
use std::path::Path;
use std::path::PathBuf;

use argh::FromArgs;
use serde_json::json;

use crate::edit_file::with_base_line;
use crate::edit_file::write_edit_file;
use crate::options::GlobalOptions;
use crate::output::ExitStatus;
use crate::output::OutputFormat;
use crate::output::print_line;
use crate::output::print_refusal;
use crate::output::print_result;
use crate::output::print_text;
use crate::store_client::read_accepted_record;
use config::Record;

/// Print the accepted configuration text, or write it to a file whose first line states the version for
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
    /// file to write, with the version in its first line; FILE.base gets a copy to show differences
    out: Option<PathBuf>,
    #[argh(switch)]
    /// overwrite an existing file
    force: bool,
}

pub(crate) async fn run(options: &GlobalOptions, args: &Args) -> ExitStatus {
    let record = match read_accepted_record(options.store_address).await {
        Ok(record) => record,
        Err(error) => return print_refusal(options.output_format, &error),
    };
    let version = record.version;
    if let Some(path) = &args.out {
        let file = path.display();
        if let Err(error) = save_record(path, &record, args.force) {
            return print_refusal(options.output_format, &format!("{file}: {error}"));
        }
        let value = json!({ "file": file.to_string(), "version": version.0 });
        print_result(
            options.output_format,
            &format!("{file}: version {version}"),
            &value,
        );
        return ExitStatus::Done;
    }
    match options.output_format {
        OutputFormat::Table => print_text(&record.text),
        OutputFormat::Json => print_line(
            &json!({
                "version": version.0,
                "digest": record.digest.to_string(),
                "text": &*record.text,
            })
            .to_string(),
        ),
    }
    ExitStatus::Done
}

/// Writes the text to a file with a base line. Without `force`, refuses to overwrite a file with other
/// content, because it may hold edits.
fn save_record(path: &Path, record: &Record, force: bool) -> Result<(), String> {
    let text = with_base_line(record.version, record.digest, &record.text);
    if !force && fs::read_to_string(path).is_ok_and(|old| old != text) {
        return Err("exists and differs; add --force to write over it".into());
    }
    write_edit_file(path, record.version, &record.text).map_err(|error| error.to_string())
}
