//! Reading and printing of a settings file.

use std::fmt;
use std::fs;
use std::io;
use std::path::Path;
use std::path::PathBuf;

use quick_error::quick_error;

use crate::Settings;
use crate::check::check;
use crate::written::Written;
use config::describe_yaml_error;

/// Longest accepted settings file.
const MAX_BYTES: u64 = 100_000;
/// Deepest nesting and most nodes; a file has 4 levels and about 100 nodes.
const MAX_DEPTH: usize = 16;
const MAX_NODES: usize = 20_000;

/// One thing that is wrong with a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// Line in the file.
    pub line: u64,
    /// The setting, such as `listen.peer`; empty if the file could not be read so far.
    pub key: String,
    /// What is wrong.
    pub message: String,
    /// What to write instead.
    pub hint: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: ", self.line)?;
        if !self.key.is_empty() {
            write!(f, "{}: ", self.key)?;
        }
        f.write_str(&self.message)?;
        if !self.hint.is_empty() {
            write!(f, "; {}", self.hint)?;
        }
        Ok(())
    }
}

quick_error! {
    /// Why settings are refused.
    #[derive(Debug)]
    pub enum Error {
        /// The file cannot be read.
        Read { path: PathBuf, error: io::Error } {
            display("{}: {error}", path.display())
        }
        /// The file is too long.
        TooLong { path: PathBuf } {
            display("{}: longer than {MAX_BYTES} bytes", path.display())
        }
        /// Something in the file is wrong.
        Invalid { path: PathBuf, problems: Vec<Problem> } {
            display("{}", list_problems(path, problems))
        }
    }
}

fn list_problems(path: &Path, problems: &[Problem]) -> String {
    let line = |problem| format!("{}: {problem}", path.display());
    problems.iter().map(line).collect::<Vec<_>>().join("\n")
}

/// Reads and checks the file at `path`.
pub fn load(path: &Path) -> Result<Settings, Error> {
    let read = |error| Error::Read {
        path: path.to_owned(),
        error,
    };
    if fs::metadata(path).map_err(read)?.len() > MAX_BYTES {
        return Err(Error::TooLong {
            path: path.to_owned(),
        });
    }
    parse(path, &fs::read_to_string(path).map_err(read)?)
}

/// Checks `text`; `path` is for error messages.
pub fn parse(path: &Path, text: &str) -> Result<Settings, Error> {
    let invalid = |problems| Error::Invalid {
        path: path.to_owned(),
        problems,
    };
    let options = serde_saphyr::options! {
        with_snippet: false,
        budget: serde_saphyr::budget! {
            max_depth: MAX_DEPTH,
            max_nodes: MAX_NODES,
            max_documents: 1,
        },
    };
    let written: Written = serde_saphyr::from_str_with_options(text, options).map_err(|error| {
        let error = error.without_snippet();
        let (message, hint) = describe_yaml_error(error);
        invalid(vec![Problem {
            line: error.location().map_or(1, |location| location.line()),
            key: String::new(),
            message,
            hint,
        }])
    })?;
    check(written).map_err(invalid)
}

/// The settings with all defaults, in the form of a settings file.
pub fn to_yaml(settings: &Settings) -> String {
    serde_saphyr::to_string(settings).unwrap_or_else(|error| format!("# {error}\n"))
}
