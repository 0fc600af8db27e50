//! What the command line prints, and its exit codes.

use std::fmt::Display;
use std::io::Write;
use std::process::ExitCode;
use std::str::FromStr;

use serde_json::Value;
use serde_json::json;

use config::ConfigError;

/// How a command ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum End {
    /// Done.
    Done,
    /// Refused, or not reached.
    Refused,
    /// The command line makes no sense.
    Usage,
    /// It is not known whether something took effect.
    Unknown,
}

impl From<End> for ExitCode {
    fn from(end: End) -> Self {
        Self::from(match end {
            End::Done => 0,
            End::Refused => 1,
            End::Usage => 2,
            End::Unknown => 3,
        })
    }
}

/// Form of the output.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Output {
    /// For people.
    Table,
    /// For programs: one JSON value on standard output.
    Json,
}

impl FromStr for Output {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "table" => Ok(Self::Table),
            "json" => Ok(Self::Json),
            _ => Err(format!("{text:?} is neither table nor json")),
        }
    }
}

/// Prints a line on standard output. A reader that left, such as `head`, is no error.
pub(crate) fn say(line: &str) {
    let _ = writeln!(std::io::stdout(), "{}", clean(line));
}

/// Prints text as it is on standard output.
pub(crate) fn say_text(text: &str) {
    let _ = std::io::stdout().write_all(text.as_bytes());
}

/// Prints a line on standard error.
pub(crate) fn warn(line: &str) {
    let _ = writeln!(std::io::stderr(), "{}", clean(line));
}

/// Keeps control characters that came from a node or the store away from the terminal.
fn clean(line: &str) -> String {
    line.replace(|c: char| c.is_control() && !matches!(c, '\n' | '\t'), "?")
}

/// Prints a result in the form that was asked for.
pub(crate) fn tell(output: Output, line: &str, value: &Value) {
    match output {
        Output::Table => say(line),
        Output::Json => say(&value.to_string()),
    }
}

/// Prints why something was refused.
pub(crate) fn refused(output: Output, error: &dyn Display) -> End {
    warn(&format!("medlarctl: {error}"));
    if output == Output::Json {
        say(&json!({ "refused": error.to_string() }).to_string());
    }
    End::Refused
}

/// Prints the errors of a configuration text.
pub(crate) fn print_config_errors(
    output: Output,
    file: &dyn Display,
    errors: &[ConfigError],
) -> End {
    for error in errors {
        warn(&format!("{file}: {error}"));
    }
    if output == Output::Json {
        let errors: Vec<_> = errors.iter().map(ToString::to_string).collect();
        let file = file.to_string();
        say(&json!({ "file": file, "valid": false, "faults": errors }).to_string());
    }
    End::Refused
}

/// Prints columns as wide as their widest cell.
pub(crate) fn print_table(head: &[&str], rows: &[Vec<String>]) {
    let clean = |cell: &String| cell.replace(char::is_control, "?");
    let rows: Vec<Vec<String>> = rows
        .iter()
        .map(|row| row.iter().map(clean).collect())
        .collect();
    let head: Vec<String> = head.iter().map(|cell| (*cell).to_owned()).collect();
    let width = |column: usize| {
        let cells = rows.iter().chain([&head]).filter_map(|row| row.get(column));
        cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..head.len()).map(width).collect();
    for row in [&head].into_iter().chain(&rows) {
        let cells = row.iter().zip(&widths);
        let cells: Vec<String> = cells
            .map(|(cell, width)| format!("{cell:<width$}"))
            .collect();
        say(cells.join("  ").trim_end());
    }
}
