//! Reads settings from YAML and prints them as YAML.

use std::fmt;
use std::fs;
use std::io;
use std::path::Path;
use std::path::PathBuf;

use quick_error::quick_error;

use crate::Settings;
use crate::check::check;
use crate::raw::RawSettings;
use config::describe_yaml_error;

/// Maximum size of a settings file.
const MAX_BYTES: u64 = 100_000;
/// Maximum nesting depth of the YAML; an ordinary file has 4 levels.
const MAX_DEPTH: usize = 16;
/// Maximum number of YAML nodes; an ordinary file has about 100.
const MAX_NODES: usize = 20_000;

/// One problem of a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// Line in the file, from 1.
    pub line: u64,
    /// Path of the setting, such as `listen.peer`; empty if the file could not be parsed.
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
    /// Why a settings file is refused.
    #[derive(Debug)]
    pub enum Error {
        /// The file cannot be read.
        Read { path: PathBuf, error: io::Error } {
            display("{}: {error}", path.display())
        }
        /// The file is larger than 100,000 bytes.
        TooLarge { path: PathBuf } {
            display("{}: larger than {MAX_BYTES} bytes", path.display())
        }
        /// The file is not valid YAML, or values in it are invalid.
        Invalid { path: PathBuf, problems: Vec<Problem> } {
            display("{}", list_problems(path, problems))
        }
    }
}

/// One line for each problem, with the path of the file.
fn list_problems(path: &Path, problems: &[Problem]) -> String {
    let to_line = |problem| format!("{}: {problem}", path.display());
    problems.iter().map(to_line).collect::<Vec<_>>().join("\n")
}

/// Reads and checks the settings file at `path`.
pub fn load(path: &Path) -> Result<Settings, Error> {
    let read_error = |error| Error::Read {
        path: path.to_owned(),
        error,
    };
    if fs::metadata(path).map_err(read_error)?.len() > MAX_BYTES {
        return Err(Error::TooLarge {
            path: path.to_owned(),
        });
    }
    parse(path, &fs::read_to_string(path).map_err(read_error)?)
}

/// Parses and checks the text of a settings file; `path` is used in error messages only.
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
    let raw: RawSettings = serde_saphyr::from_str_with_options(text, options).map_err(|error| {
        let error = error.without_snippet();
        let (message, hint) = describe_yaml_error(error);
        invalid(vec![Problem {
            line: error.location().map_or(1, |location| location.line()),
            key: String::new(),
            message,
            hint,
        }])
    })?;
    check(raw).map_err(invalid)
}

/// Returns the settings, including all defaults, in the format of a settings file.
pub fn to_yaml(settings: &Settings) -> String {
    serde_saphyr::to_string(settings).unwrap_or_else(|error| format!("# {error}\n"))
}
