//! JSON encoding of the contacts of a failure domain: peer addresses of some of its nodes, which the
//! store keeps so that other nodes can find them.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use ids::Domain;

/// Maximum number of addresses that are decoded from a value; further ones are ignored.
const MAX_ADDRESSES: usize = 64;

/// Value of a contacts key.
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
struct StoredContacts {
    addresses: Vec<SocketAddr>,
}

/// Returns the store key of the contacts of a failure domain.
pub fn contacts_key(domain: &Domain) -> String {
    format!("medlar/contacts/{domain}")
}

/// Encodes peer addresses as the value of a contacts key.
pub fn encode_contacts(addresses: &[SocketAddr]) -> Vec<u8> {
    let addresses = addresses.to_vec();
    serde_json::to_vec(&StoredContacts { addresses }).unwrap_or_default()
}

/// Decodes the value of a contacts key; returns `None` if it is not a list of contacts.
pub fn decode_contacts(value: &[u8]) -> Option<Vec<SocketAddr>> {
    let mut stored: StoredContacts = serde_json::from_slice(value).ok()?;
    stored.addresses.truncate(MAX_ADDRESSES);
    Some(stored.addresses)
}
