//! `check`: tells whether a text would be accepted.

use std::fs;
use std::io::Read;
use std::path::Path;
use std::path::PathBuf;

use argh::FromArgs;
use serde_json::json;

use crate::base::split_line;
use crate::context::Context;
use crate::messages::End;
use crate::messages::print_config_errors;
use crate::messages::refused;
use crate::messages::tell;
use accept::Base;
use config::CheckedConfig;
use config::ConfigError;
use config::DraftConfig;
use config::MAX_TEXT_BYTES;

/// Tell whether a configuration text would be accepted.
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "check",
    example = "$ medlarctl check mesh.yaml\nmesh.yaml: line 4: unknown field \"methd\"; did you mean \"method\"?"
)]
pub(crate) struct Args {
    #[argh(positional)]
    /// file with the text
    file: PathBuf,
}

/// A file that holds a valid text.
pub(crate) struct Loaded {
    pub(crate) base: Option<Base>,
    pub(crate) checked: CheckedConfig,
}

/// Reads and checks a file; what is wrong is printed.
pub(crate) fn load(context: &Context, path: &Path) -> Result<Loaded, End> {
    let output = context.output;
    let file = path.display();
    let text = read_bounded(path).map_err(|error| refused(output, &format!("{file}: {error}")))?;
    let (base, body) = split_line(&text);
    let shift = u64::from(base.is_some());
    match DraftConfig::new(body).check() {
        Ok(checked) => Ok(Loaded { base, checked }),
        Err(found) => {
            let found: Vec<ConfigError> =
                found.into_iter().map(|it| move_line(it, shift)).collect();
            Err(print_config_errors(output, &file, &found))
        }
    }
}

/// Reads at most a little more than the longest text, which the check then refuses.
fn read_bounded(path: &Path) -> std::io::Result<String> {
    let mut text = String::new();
    let limit = MAX_TEXT_BYTES as u64 + 1_000;
    let file = fs::File::open(path)?;
    let bytes = file.metadata()?.len();
    if bytes > limit {
        let message = format!("{bytes} bytes; at most {MAX_TEXT_BYTES} are accepted");
        return Err(std::io::Error::other(message));
    }
    file.take(limit).read_to_string(&mut text)?;
    Ok(text)
}

/// Counts the base line of the file, which is no part of the text.
fn move_line(error: ConfigError, shift: u64) -> ConfigError {
    match error {
        ConfigError::Invalid {
            line,
            message,
            hint,
        } => ConfigError::Invalid {
            line: line + shift,
            message,
            hint,
        },
        other => other,
    }
}

pub(crate) fn run(context: &Context, args: &Args) -> End {
    let file = args.file.display().to_string();
    match load(context, &args.file) {
        Ok(_) => {
            let value = json!({ "file": file, "valid": true });
            tell(context.output, &format!("{file}: valid"), &value);
            End::Done
        }
        Err(end) => end,
    }
}
