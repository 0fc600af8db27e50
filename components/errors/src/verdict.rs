//! Knowledge about whether a request ran at an upstream.

use std::fmt;
use std::str::FromStr;

/// What is known about whether an upstream ran a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Verdict {
    /// The request did not run and will not run; sending it again is safe.
    NotRun,
    /// The request may have run, may be running or may run later.
    MayHaveRun,
    /// The request ran and its answer is known.
    Ran,
}

impl Verdict {
    /// All verdicts, from the one that rules out execution to the one that confirms it.
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
