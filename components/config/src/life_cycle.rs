//! Life cycle of a configuration text: draft, checked, accepted.

use std::sync::Arc;

use crate::ConfigError;
use crate::NEWEST_FORMAT;
use crate::Record;
use crate::Snapshot;
use crate::compile;
use ids::Digest;
use ids::Version;

/// A configuration text that has not been checked.
#[derive(Clone, Debug)]
pub struct DraftConfig {
    text: Arc<str>,
}

/// A configuration text that compiles.
#[derive(Clone, Debug)]
pub struct CheckedConfig {
    text: Arc<str>,
}

/// A record with its compiled text, which a node can put in force.
#[derive(Clone, Debug)]
pub struct AcceptedConfig {
    record: Record,
    snapshot: Arc<Snapshot>,
}

impl DraftConfig {
    /// Starts from a configuration text as the operator wrote it.
    pub fn new(text: &str) -> Self {
        Self {
            text: Arc::from(text),
        }
    }

    /// Checks whether the configuration compiles.
    pub fn check(self) -> Result<CheckedConfig, Vec<ConfigError>> {
        compile(&self.text, Version::NONE)?;
        Ok(CheckedConfig { text: self.text })
    }
}

impl CheckedConfig {
    /// The configuration text.
    pub fn text(&self) -> &Arc<str> {
        &self.text
    }

    /// Builds the record of this text. `edit_hash` identifies the edit, and `parent_digest` is the
    /// hash of the text that this one replaces.
    pub fn into_record(self, version: Version, edit_hash: u128, parent_digest: Digest) -> Record {
        let digest = Digest::of(self.text.as_bytes());
        Record {
            version,
            edit_hash,
            parent_digest,
            digest,
            format: NEWEST_FORMAT,
            text: self.text,
        }
    }
}

impl AcceptedConfig {
    /// Verifies and compiles a record from the store or from another node.
    pub fn from_record(record: Record) -> Result<Self, Vec<ConfigError>> {
        if record.format > NEWEST_FORMAT {
            return Err(vec![ConfigError::NewerFormat {
                found: u64::from(record.format),
            }]);
        }
        if Digest::of(record.text.as_bytes()) != record.digest {
            return Err(vec![ConfigError::DigestMismatch]);
        }
        let snapshot = Arc::new(compile(&record.text, record.version)?);
        Ok(Self { record, snapshot })
    }

    /// The record.
    pub fn record(&self) -> &Record {
        &self.record
    }

    /// The compiled text.
    pub fn snapshot(&self) -> &Arc<Snapshot> {
        &self.snapshot
    }
}
