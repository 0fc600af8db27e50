//! What the command line prints.

use std::fmt::Display;
use std::process::ExitCode;

use config::Fault;

/// Exit code of a refusal.
const REFUSED: u8 = 1;
/// Exit code of an outcome that is not known.
const UNKNOWN: u8 = 3;

/// Prints why something was refused.
pub(crate) fn refused(error: &dyn Display) -> ExitCode {
    eprintln!("medlarctl: {error}");
    ExitCode::from(REFUSED)
}

/// Prints that it is not known whether something took effect.
pub(crate) fn unknown(error: &dyn Display) -> ExitCode {
    eprintln!("medlarctl: outcome unknown: {error}");
    ExitCode::from(UNKNOWN)
}

/// Prints the broken rules of a text.
pub(crate) fn faults(file: &dyn Display, faults: &[Fault]) -> ExitCode {
    for fault in faults {
        eprintln!("{file}: {fault}");
    }
    ExitCode::from(REFUSED)
}
