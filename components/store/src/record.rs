//! Encoding of the configuration record in the store: JSON.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use config::Record;
use ids::Digest;
use ids::Version;

/// Key of the operators' text.
pub const CONFIG_KEY: &str = "medlar/config";

#[derive(Debug)]
#[derive(Serialize, Deserialize)]
struct Stored {
    version: u64,
    edit: String,
    parent: String,
    digest: String,
    format: u32,
    text: String,
}

/// Encodes a record.
pub fn encode_record(record: &Record) -> Vec<u8> {
    let stored = Stored {
        version: record.version.0,
        edit: format!("{:032x}", record.edit_hash),
        parent: record.parent_digest.to_string(),
        digest: record.digest.to_string(),
        format: record.format,
        text: record.text.as_ref().to_owned(),
    };
    serde_json::to_vec(&stored).unwrap_or_default()
}

/// Decodes a record; `None` if the value is something else.
pub fn decode_record(value: &[u8]) -> Option<Record> {
    let stored: Stored = serde_json::from_slice(value).ok()?;
    Some(Record {
        version: Version(stored.version),
        edit_hash: u128::from_str_radix(&stored.edit, 16).ok()?,
        parent_digest: Digest(u64::from_str_radix(&stored.parent, 16).ok()?),
        digest: Digest(u64::from_str_radix(&stored.digest, 16).ok()?),
        format: stored.format,
        text: Arc::from(stored.text),
    })
}
