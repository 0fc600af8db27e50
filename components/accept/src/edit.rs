//! An operator's edit and its identifier.

use std::fmt;
use std::str::FromStr;

use xxhash_rust::xxh3::xxh3_128;

use config::CheckedConfig;
use config::Record;
use ids::Digest;
use ids::Version;
use member::ConfigId;
use spread::Revision;

/// The accepted configuration that the operator edited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Base {
    /// The record that the store holds at the first read.
    Current,
    /// This version, with the hash of its text if that is known.
    Version {
        version: Version,
        digest: Option<Digest>,
    },
}

/// A new configuration text that an operator wants to have accepted.
#[derive(Clone, Debug)]
pub struct Edit {
    /// The new text, checked for errors.
    pub checked: CheckedConfig,
    /// The configuration from which the text was edited.
    pub base: Base,
    /// Highest version that any node reported, with the hash of its text; `None` if no node was
    /// asked.
    pub newest_in_fleet: Option<ConfigId>,
}

impl Edit {
    /// Whether `record` already holds the new configuration text.
    pub(crate) fn has_same_text(&self, record: &Record) -> bool {
        record.text == *self.checked.text()
    }

    /// Hash of the new text.
    pub(crate) fn digest(&self) -> Digest {
        Digest::of(self.checked.text().as_bytes())
    }

    /// Builds the record that replaces `base`.
    ///
    /// The edit's identifier in the record is a hash of base and text rather than a random number,
    /// so that a repeated `apply` of the same text to the same base is recognised as the same edit.
    pub(crate) fn to_record(&self, base: Option<&Record>) -> Record {
        let version = base.map_or(Version::NONE, |it| it.version);
        let parent = base.map_or(Digest::default(), |it| it.digest);
        let hash_input = format!("{version} {parent} {}", self.checked.text());
        let edit_hash = xxh3_128(hash_input.as_bytes());
        self.checked
            .clone()
            .into_record(version.next(), edit_hash, parent)
    }
}

/// Identifies one edit for `medlarctl settle`, with the data needed to determine whether its write
/// took effect or still can.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EditId {
    /// Version that the edit gets if it is accepted.
    pub version: Version,
    /// Revision of the key that the edit's write expects.
    pub expected: Revision,
    /// Hash of the edit's text.
    pub digest: Digest,
    /// Hash that identifies the edit in its record.
    pub edit_hash: u128,
}

impl EditId {
    pub(crate) fn new(record: &Record, expected: Revision) -> Self {
        Self {
            version: record.version,
            expected,
            digest: record.digest,
            edit_hash: record.edit_hash,
        }
    }
}

impl fmt::Display for EditId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            version,
            expected,
            digest,
            edit_hash,
        } = self;
        write!(f, "{version}-{}-{digest}-{edit_hash:032x}", expected.number)
    }
}

impl FromStr for EditId {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let parse = || {
            let mut parts = text.split('-');
            let id = Self {
                version: Version(parts.next()?.parse().ok()?),
                expected: Revision::from(parts.next()?.parse::<u64>().ok()?),
                digest: Digest(u64::from_str_radix(parts.next()?, 16).ok()?),
                edit_hash: u128::from_str_radix(parts.next()?, 16).ok()?,
            };
            parts.next().is_none().then_some(id)
        };
        parse().ok_or_else(|| format!("{text:?} is not an edit id as apply prints it"))
    }
}
