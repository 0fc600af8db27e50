//! Encoding of the contacts of a failure domain in the store: JSON.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use ids::Domain;

/// Most addresses that are taken from a key.
const MAX_ADDRESSES: usize = 64;

#[derive(Debug)]
#[derive(Serialize, Deserialize)]
struct Stored {
    addresses: Vec<SocketAddr>,
}

/// Key of the contacts of a failure domain.
pub fn contacts_key(domain: &Domain) -> String {
    format!("medlar/contacts/{domain}")
}

/// Encodes peer addresses.
pub fn encode_contacts(addresses: &[SocketAddr]) -> Vec<u8> {
    let addresses = addresses.to_vec();
    serde_json::to_vec(&Stored { addresses }).unwrap_or_default()
}

/// Decodes peer addresses; `None` if the value is something else.
pub fn decode_contacts(value: &[u8]) -> Option<Vec<SocketAddr>> {
    let mut stored: Stored = serde_json::from_slice(value).ok()?;
    stored.addresses.truncate(MAX_ADDRESSES);
    Some(stored.addresses)
}
