//! `check`: validates a configuration text.

use std::fs;
use std::io::Read;
use std::path::Path;
use std::path::PathBuf;

use argh::FromArgs;
use serde_json::json;

use crate::edit_file::split_base_line;
use crate::options::GlobalOptions;
use crate::output::ExitStatus;
use crate::output::print_config_errors;
use crate::output::print_refusal;
use crate::output::print_result;
use accept::Base;
use config::CheckedConfig;
use config::ConfigError;
use config::DraftConfig;
use config::MAX_TEXT_BYTES;

/// Check whether a configuration text is valid.
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "check",
    example = "$ medlarctl check mesh.yaml\nmesh.yaml: line 4: unknown field \"methd\"; did you mean \"method\"?"
)]
pub(crate) struct Args {
    #[argh(positional)]
    /// file with the configuration text
    file: PathBuf,
}

/// A valid configuration text from a file, with the base that its first line states.
pub(crate) struct CheckedFile {
    pub(crate) base: Option<Base>,
    pub(crate) checked: CheckedConfig,
}

/// Reads and checks a configuration file. Errors are printed, and the exit status for them is returned.
pub(crate) fn load_file(options: &GlobalOptions, path: &Path) -> Result<CheckedFile, ExitStatus> {
    let format = options.output_format;
    let file = path.display();
    let text =
        read_bounded(path).map_err(|error| print_refusal(format, &format!("{file}: {error}")))?;
    let (base, body) = split_base_line(&text);
    let line_offset = u64::from(base.is_some());
    match DraftConfig::new(body).check() {
        Ok(checked) => Ok(CheckedFile { base, checked }),
        Err(errors) => {
            let errors: Vec<ConfigError> = errors
                .into_iter()
                .map(|it| shift_line_number(it, line_offset))
                .collect();
            Err(print_config_errors(format, &file, &errors))
        }
    }
}

/// Reads a file; refuses one that exceeds the longest text by more than 1000 bytes, the allowance for
/// the base line. A text that is too long by less is refused when it is checked.
fn read_bounded(path: &Path) -> std::io::Result<String> {
    let mut text = String::new();
    let max_bytes = MAX_TEXT_BYTES as u64 + 1_000;
    let file = fs::File::open(path)?;
    let bytes = file.metadata()?.len();
    if bytes > max_bytes {
        let message = format!("{bytes} bytes; at most {MAX_TEXT_BYTES} are accepted");
        return Err(std::io::Error::other(message));
    }
    file.take(max_bytes).read_to_string(&mut text)?;
    Ok(text)
}

/// Adds `line_offset` to the line number of an error. The base line is not part of the checked text,
/// but counts as a line of the file.
fn shift_line_number(error: ConfigError, line_offset: u64) -> ConfigError {
    match error {
        ConfigError::Invalid {
            line,
            message,
            hint,
        } => ConfigError::Invalid {
            line: line + line_offset,
            message,
            hint,
        },
        other => other,
    }
}

pub(crate) fn run(options: &GlobalOptions, args: &Args) -> ExitStatus {
    let file = args.file.display().to_string();
    match load_file(options, &args.file) {
        Ok(_) => {
            let value = json!({ "file": file, "valid": true });
            print_result(options.output_format, &format!("{file}: valid"), &value);
            ExitStatus::Done
        }
        Err(exit_status) => exit_status,
    }
}
