//! Output to the terminal, and exit codes.

use std::fmt::Display;
use std::io::Write;
use std::process::ExitCode;
use std::str::FromStr;

use serde_json::Value;
use serde_json::json;

use config::ConfigError;

/// Result of a command; determines the exit code.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ExitStatus {
    /// The command succeeded.
    Done,
    /// The command was refused or failed, for example because the store could not be reached.
    Refused,
    /// The arguments are invalid.
    UsageError,
    /// An edit may or may not have taken effect.
    OutcomeUnknown,
}

impl From<ExitStatus> for ExitCode {
    fn from(exit_status: ExitStatus) -> Self {
        Self::from(match exit_status {
            ExitStatus::Done => 0,
            ExitStatus::Refused => 1,
            ExitStatus::UsageError => 2,
            ExitStatus::OutcomeUnknown => 3,
        })
    }
}

/// Format of the results on standard output.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OutputFormat {
    /// Text and tables for people.
    Table,
    /// One JSON value for programs.
    Json,
}

impl FromStr for OutputFormat {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "table" => Ok(Self::Table),
            "json" => Ok(Self::Json),
            _ => Err(format!("{text:?} is neither table nor json")),
        }
    }
}

/// Prints a line on standard output. Ignores write errors, because a reader such as `head` may close
/// the pipe early.
pub(crate) fn print_line(line: &str) {
    let _ = writeln!(std::io::stdout(), "{}", replace_control_characters(line));
}

/// Prints text unchanged on standard output.
pub(crate) fn print_text(text: &str) {
    let _ = std::io::stdout().write_all(text.as_bytes());
}

/// Prints a line on standard error.
pub(crate) fn eprint_line(line: &str) {
    let _ = writeln!(std::io::stderr(), "{}", replace_control_characters(line));
}

/// Replaces control characters other than line feeds and tabs by `?`, so that text from a node or the
/// store cannot send escape sequences to the terminal.
fn replace_control_characters(line: &str) -> String {
    line.replace(|c: char| c.is_control() && !matches!(c, '\n' | '\t'), "?")
}

/// Prints a result on standard output: `line` as text, or `value` as JSON.
pub(crate) fn print_result(format: OutputFormat, line: &str, value: &Value) {
    match format {
        OutputFormat::Table => print_line(line),
        OutputFormat::Json => print_line(&value.to_string()),
    }
}

/// Prints why a command was refused or failed, and returns the exit status for it.
pub(crate) fn print_refusal(format: OutputFormat, error: &dyn Display) -> ExitStatus {
    eprint_line(&format!("medlarctl: {error}"));
    if format == OutputFormat::Json {
        print_line(&json!({ "refused": error.to_string() }).to_string());
    }
    ExitStatus::Refused
}

/// Prints the errors of a configuration text, and returns the exit status for it.
pub(crate) fn print_config_errors(
    format: OutputFormat,
    file: &dyn Display,
    errors: &[ConfigError],
) -> ExitStatus {
    for error in errors {
        eprint_line(&format!("{file}: {error}"));
    }
    if format == OutputFormat::Json {
        let errors: Vec<_> = errors.iter().map(ToString::to_string).collect();
        let file = file.to_string();
        print_line(&json!({ "file": file, "valid": false, "faults": errors }).to_string());
    }
    ExitStatus::Refused
}

/// Prints a table whose columns are as wide as their widest cell.
pub(crate) fn print_table(header: &[&str], rows: &[Vec<String>]) {
    let sanitize_cell = |cell: &String| cell.replace(char::is_control, "?");
    let rows: Vec<Vec<String>> = rows
        .iter()
        .map(|row| row.iter().map(sanitize_cell).collect())
        .collect();
    let header: Vec<String> = header.iter().map(|cell| (*cell).to_owned()).collect();
    let width = |column: usize| {
        let cells = rows
            .iter()
            .chain([&header])
            .filter_map(|row| row.get(column));
        cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..header.len()).map(width).collect();
    for row in [&header].into_iter().chain(&rows) {
        let cells = row.iter().zip(&widths);
        let cells: Vec<String> = cells
            .map(|(cell, width)| format!("{cell:<width$}"))
            .collect();
        print_line(cells.join("  ").trim_end());
    }
}
