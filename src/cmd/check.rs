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
use crate::output::OutputFormat;
use crate::output::print_config_errors;
use crate::output::print_refusal;
use crate::output::print_result;
use crate::store_client::read_accepted_record;
use accept::Base;
use config::Change;
use config::ChangeKind;
use config::CheckedConfig;
use config::ConfigError;
use config::DraftConfig;
use config::Finding;
use config::MAX_TEXT_BYTES;
use config::compile;
use config::lint;
use config::list_changes;
use ids::Version;

/// Check whether a configuration text is valid, and report entries without effect, limits that contradict each
/// other and, if asked for, what it changes.
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
    #[argh(option)]
    /// file with another configuration text; what the first one changes in it is listed
    against: Option<PathBuf>,
    #[argh(switch)]
    /// list what the text changes in the accepted configuration, which is read from the store
    accepted: bool,
    #[argh(switch)]
    /// exit with 1 if there is a finding, even if the text is valid
    strict: bool,
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

pub(crate) async fn run(options: &GlobalOptions, args: &Args) -> ExitStatus {
    let format = options.output_format;
    let file = args.file.display().to_string();
    let loaded = match load_file(options, &args.file) {
        Ok(loaded) => loaded,
        Err(exit_status) => return exit_status,
    };
    let line_offset = u64::from(loaded.base.is_some());
    let text = loaded.checked.text();
    // The text has just compiled, so it can be parsed again.
    let findings = lint(text).unwrap_or_default();
    let findings: Vec<Finding> = findings
        .into_iter()
        .map(|it| shift_finding(it, line_offset))
        .collect();
    let changes = match list_changes_against(options, args, text).await {
        Ok(changes) => changes,
        Err(error) => return print_refusal(format, &error),
    };
    print_report(format, &file, &findings, changes.as_deref());
    if args.strict && !findings.is_empty() {
        ExitStatus::Refused
    } else {
        ExitStatus::Done
    }
}

/// Compares the text with another file or with the accepted configuration; `None` if neither is asked for.
async fn list_changes_against(
    options: &GlobalOptions,
    args: &Args,
    text: &str,
) -> Result<Option<Vec<Change>>, String> {
    let (other, version) = match (&args.against, args.accepted) {
        (Some(path), _) => {
            let file = path.display();
            let other = read_bounded(path).map_err(|error| format!("{file}: {error}"))?;
            (split_base_line(&other).1.to_owned(), Version::NONE)
        }
        (None, true) => {
            let record = read_accepted_record(options.store_address).await?;
            (record.text.to_string(), record.version)
        }
        (None, false) => return Ok(None),
    };
    let compile_text = |text: &str, version| {
        let first_error = |errors: Vec<ConfigError>| errors.first().map(ToString::to_string);
        compile(text, version).map_err(|errors| first_error(errors).unwrap_or_default())
    };
    let other = compile_text(&other, version).map_err(|it| format!("the other text: {it}"))?;
    let new = compile_text(text, Version::NONE)?;
    Ok(Some(list_changes(&other, &new)))
}

fn shift_finding(finding: Finding, line_offset: u64) -> Finding {
    let line = match finding.line {
        0 => 0,
        line => line + line_offset,
    };
    Finding { line, ..finding }
}

fn print_report(
    format: OutputFormat,
    file: &str,
    findings: &[Finding],
    changes: Option<&[Change]>,
) {
    let finding_value =
        |it: &Finding| json!({ "line": it.line, "message": it.message, "hint": it.hint });
    let change_value = |it: &Change| {
        let kind = match it.kind {
            ChangeKind::Added => "added",
            ChangeKind::Removed => "removed",
            ChangeKind::Changed => "changed",
        };
        json!({ "kind": kind, "entry": it.entry, "values": it.values })
    };
    let value = json!({
        "file": file,
        "valid": true,
        "findings": findings.iter().map(finding_value).collect::<Vec<_>>(),
        "changes": changes.map(|it| it.iter().map(change_value).collect::<Vec<_>>()),
    });
    let mut lines = vec![format!("{file}: valid")];
    lines.extend(findings.iter().map(|it| format!("{file}: {it}")));
    match changes {
        Some([]) => lines.push("no differences".to_owned()),
        Some(changes) => lines.extend(changes.iter().map(ToString::to_string)),
        None => {}
    }
    print_result(format, &lines.join("\n"), &value);
}
