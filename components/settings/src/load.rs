//! Reading and checking of a settings file.

use std::fs;
use std::io;
use std::path::Path;
use std::path::PathBuf;

use quick_error::quick_error;

use crate::Settings;

/// Longest accepted settings file.
const MAX_BYTES: u64 = 1_000_000;

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
        /// The content is not the expected YAML.
        Syntax { path: PathBuf, message: String } {
            display("{}: {message}", path.display())
        }
        /// A value cannot be used.
        Value { path: PathBuf, key: &'static str, message: String } {
            display("{}: {key}: {message}", path.display())
        }
    }
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
    let settings: Settings = serde_saphyr::from_str(text).map_err(|error| Error::Syntax {
        path: path.to_owned(),
        message: error.to_string(),
    })?;
    check(path, &settings)?;
    Ok(settings)
}

fn check(path: &Path, settings: &Settings) -> Result<(), Error> {
    let refuse = |key, message: &str| {
        Err(Error::Value {
            path: path.to_owned(),
            key,
            message: message.to_owned(),
        })
    };
    if settings.instance.is_empty() {
        return refuse("instance", "must not be empty");
    }
    if settings.domain.is_empty() || settings.domain.len() > 100 {
        return refuse("domain", "must have 1 to 100 bytes");
    }
    if !(1..=64).contains(&settings.traffic_threads) {
        return refuse("traffic_threads", "must be 1 to 64");
    }
    if !(1..=600_000).contains(&settings.drain_limit_ms) {
        return refuse("drain_limit_ms", "must be 1 to 600000 ms");
    }
    Ok(())
}
