//! Whether a request may have run at an upstream.

use std::fmt;
use std::str::FromStr;

/// What is known about the execution of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Verdict {
    /// It did not run and will not run; sending it again is safe.
    NotRun,
    /// It may have run, may be running or may run later.
    MayHaveRun,
    /// It ran and its answer is known.
    Ran,
}

impl Verdict {
    /// All verdicts, in order of what is known to have happened.
    pub const ALL: [Self; 3] = [Self::NotRun, Self::MayHaveRun, Self::Ran];

    /// Value of the `medlar-verdict` header.
    pub fn name(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::MayHaveRun => "may-have-run",
            Self::Ran => "ran",
        }
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

impl FromStr for Verdict {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Self::ALL
            .into_iter()
            .find(|verdict| verdict.name() == text)
            .ok_or(())
    }
}
