//! The record of an accepted configuration.

use std::sync::Arc;

use ids::Digest;
use ids::Version;

/// Newest format of configuration texts that this build understands.
pub const NEWEST_FORMAT: u32 = 1;

/// An accepted configuration as the store and the nodes hold it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Version of the configuration; each accepted edit gets a higher one.
    pub version: Version,
    /// Hash that identifies the edit. After a write without an answer, it shows whether a record in
    /// the store is that of the edit.
    pub edit_hash: u128,
    /// Hash of the text that this one replaced.
    pub parent_digest: Digest,
    /// Hash of this text.
    pub digest: Digest,
    /// Format of the text.
    pub format: u32,
    /// The configuration text.
    pub text: Arc<str>,
}
