//! An accepted text with its version.

use std::sync::Arc;

use ids::Digest;
use ids::Version;

/// Newest format of the text that this build understands.
pub const NEWEST_FORMAT: u32 = 1;

/// An accepted text as the store and the nodes hold it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Version; rises with each acceptance.
    pub version: Version,
    /// Random id of the edit; settles whether an edit was accepted.
    pub edit_hash: u128,
    /// Hash of the text that was edited.
    pub parent_digest: Digest,
    /// Hash of this text.
    pub digest: Digest,
    /// Format that a node needs to understand.
    pub format: u32,
    /// The operators' text.
    pub text: Arc<str>,
}
