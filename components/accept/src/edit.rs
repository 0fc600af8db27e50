//! An operator's edit and its identity.

use std::fmt;
use std::str::FromStr;

use xxhash_rust::xxh3::xxh3_128;

use config::Checked;
use config::Record;
use ids::Digest;
use ids::Version;
use member::Stamp;
use spread::Revision;

/// What the operator edited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Base {
    /// Whatever is accepted when the store is first read.
    Current,
    /// This version, and the hash of its text if that is known.
    Version {
        version: Version,
        digest: Option<Digest>,
    },
}

/// What an operator wants to have accepted.
#[derive(Clone, Debug)]
pub struct Edit {
    /// The new text.
    pub checked: Checked,
    /// What was edited.
    pub base: Base,
    /// Highest version that a node has, with the hash of its text; `None` if no node was asked.
    pub newest_in_fleet: Option<Stamp>,
}

impl Edit {
    /// Whether a record holds the new text.
    pub(crate) fn is_text_of(&self, record: &Record) -> bool {
        record.text == *self.checked.text()
    }

    /// Hash of the new text.
    pub(crate) fn digest(&self) -> Digest {
        Digest::of(self.checked.text().as_bytes())
    }

    /// The record that follows `base`.
    ///
    /// The edit id is a hash of base and text rather than random, so that a repeated `apply` of the
    /// same text to the same base is recognised as the same edit.
    pub(crate) fn to_record(&self, base: Option<&Record>) -> Record {
        let version = base.map_or(Version::NONE, |it| it.version);
        let parent = base.map_or(Digest::default(), |it| it.digest);
        let seen = format!("{version} {parent} {}", self.checked.text());
        let edit = xxh3_128(seen.as_bytes());
        self.checked
            .clone()
            .into_record(version.next(), edit, parent)
    }
}

/// Names one edit to `settle`: besides the id of the edit, what is needed to tell whether its write
/// took effect or still can.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EditId {
    /// Version that the edit would be.
    pub version: Version,
    /// Revision that its write expects.
    pub expected: Revision,
    /// Hash of its text.
    pub digest: Digest,
    /// Id of the edit in the record.
    pub edit: u128,
}

impl EditId {
    pub(crate) fn new(record: &Record, expected: Revision) -> Self {
        Self {
            version: record.version,
            expected,
            digest: record.digest,
            edit: record.edit,
        }
    }
}

impl fmt::Display for EditId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            version,
            expected,
            digest,
            edit,
        } = self;
        write!(f, "{version}-{}-{digest}-{edit:032x}", expected.0)
    }
}

impl FromStr for EditId {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let read = || {
            let mut parts = text.split('-');
            let id = Self {
                version: Version(parts.next()?.parse().ok()?),
                expected: Revision(parts.next()?.parse().ok()?),
                digest: Digest(u64::from_str_radix(parts.next()?, 16).ok()?),
                edit: u128::from_str_radix(parts.next()?, 16).ok()?,
            };
            parts.next().is_none().then_some(id)
        };
        read().ok_or_else(|| format!("{text:?} is not an edit id as apply prints it"))
    }
}
