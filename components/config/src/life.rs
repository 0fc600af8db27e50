//! Life cycle of a configuration: draft, checked, accepted.

use std::sync::Arc;

use crate::FORMAT;
use crate::Fault;
use crate::Record;
use crate::Snapshot;
use crate::compile;
use ids::Digest;
use ids::Version;

/// A text that nothing is known about.
#[derive(Clone, Debug)]
pub struct Draft {
    text: Arc<str>,
}

/// A text that compiles.
#[derive(Clone, Debug)]
pub struct Checked {
    text: Arc<str>,
}

/// A record whose text compiles: what a node can put in force.
#[derive(Clone, Debug)]
pub struct Accepted {
    record: Record,
    snapshot: Arc<Snapshot>,
}

impl Draft {
    /// Takes a text as the operator wrote it.
    pub fn new(text: &str) -> Self {
        Self {
            text: Arc::from(text),
        }
    }

    /// Compiles the text.
    pub fn check(self) -> Result<Checked, Vec<Fault>> {
        compile(&self.text, Version::NONE)?;
        Ok(Checked { text: self.text })
    }
}

impl Checked {
    /// The text.
    pub fn text(&self) -> &Arc<str> {
        &self.text
    }

    /// The record by which this text becomes `version`.
    pub fn into_record(self, version: Version, edit: u128, parent: Digest) -> Record {
        let digest = Digest::of(self.text.as_bytes());
        Record {
            version,
            edit,
            parent,
            digest,
            format: FORMAT,
            text: self.text,
        }
    }
}

impl Accepted {
    /// Compiles a record that came from the store or another node.
    pub fn from_record(record: Record) -> Result<Self, Vec<Fault>> {
        if record.format > FORMAT {
            return Err(vec![Fault::NewerFormat {
                found: u64::from(record.format),
            }]);
        }
        if Digest::of(record.text.as_bytes()) != record.digest {
            return Err(vec![Fault::Damaged]);
        }
        let snapshot = Arc::new(compile(&record.text, record.version)?);
        Ok(Self { record, snapshot })
    }

    /// The record.
    pub fn record(&self) -> &Record {
        &self.record
    }

    /// What the text compiles to.
    pub fn snapshot(&self) -> &Arc<Snapshot> {
        &self.snapshot
    }
}
