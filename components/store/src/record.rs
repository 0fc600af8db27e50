//! JSON encoding of the configuration record.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use config::Record;
use ids::Digest;
use ids::Version;

/// Store key of the configuration record.
pub const CONFIG_KEY: &str = "medlar/config";

/// Value of the configuration key; `edit`, `parent` and `digest` are hexadecimal hashes.
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
struct StoredRecord {
    version: u64,
    edit: String,
    parent: String,
    digest: String,
    format: u32,
    text: String,
}

/// Encodes a record as the value of the configuration key.
pub fn encode_record(record: &Record) -> Vec<u8> {
    let stored = StoredRecord {
        version: record.version.0,
        edit: format!("{:032x}", record.edit_hash),
        parent: record.parent_digest.to_string(),
        digest: record.digest.to_string(),
        format: record.format,
        text: record.text.as_ref().to_owned(),
    };
    serde_json::to_vec(&stored).unwrap_or_default()
}

/// Decodes the value of the configuration key; returns `None` if it is not a record.
pub fn decode_record(value: &[u8]) -> Option<Record> {
    let stored: StoredRecord = serde_json::from_slice(value).ok()?;
    Some(Record {
        version: Version(stored.version),
        edit_hash: u128::from_str_radix(&stored.edit, 16).ok()?,
        parent_digest: Digest(u64::from_str_radix(&stored.parent, 16).ok()?),
        digest: Digest(u64::from_str_radix(&stored.digest, 16).ok()?),
        format: stored.format,
        text: Arc::from(stored.text),
    })
}
