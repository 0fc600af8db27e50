//! JSON encoding of the contacts of a failure domain: peer addresses of some of its nodes, which the
//! store keeps so that other nodes can find them.
//!
//! Several writers put such lists into the store. An entry that cannot be used is left out, whatever it
//! is, and the others hold.

use std::fmt;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;
use serde::de::Deserializer;
use serde::de::IgnoredAny;
use serde::de::MapAccess;
use serde::de::Visitor;
use serde_json::value::RawValue;

use ids::Domain;

/// Maximum number of addresses that are decoded from a value; further ones are ignored.
const MAX_ADDRESSES: usize = 64;
/// Key of the list in a value.
const ADDRESSES_KEY: &str = "addresses";

/// Value of a contacts key.
#[derive(Debug)]
#[derive(Serialize)]
struct StoredContacts {
    addresses: Vec<SocketAddr>,
}

/// Addresses that were decoded from the value of a contacts key.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Contacts {
    /// At most 64 addresses to which a node can connect.
    pub addresses: Vec<SocketAddr>,
    /// Number of entries that are no such address. A value that is not a list of contacts counts as
    /// one.
    pub malformed: usize,
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

/// Decodes the value of a contacts key.
pub fn decode_contacts(value: &[u8]) -> Contacts {
    // Bytes that are not UTF-8 then spoil only the entry in which they stand.
    let text = String::from_utf8_lossy(value);
    let Ok(Entries(entries)) = serde_json::from_str(&text) else {
        return Contacts {
            addresses: Vec::new(),
            malformed: 1,
        };
    };
    let decoded = entries.iter().filter_map(|entry| decode_address(entry));
    let addresses: Vec<SocketAddr> = decoded.collect();
    let malformed = entries.len() - addresses.len();
    Contacts {
        addresses: addresses.into_iter().take(MAX_ADDRESSES).collect(),
        malformed,
    }
}

/// Decodes one entry; `None` if it is not an address with a port other than 0.
fn decode_address(entry: &RawValue) -> Option<SocketAddr> {
    let address: SocketAddr = serde_json::from_str(entry.get()).ok()?;
    (address.port() != 0).then_some(address)
}

/// Undecoded entries of a value. A raw value is skipped without recursion, so that a deeply nested entry
/// does not end the reading of the list.
struct Entries(Vec<Box<RawValue>>);

impl<'de> Deserialize<'de> for Entries {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_map(EntriesVisitor)
    }
}

struct EntriesVisitor;

impl<'de> Visitor<'de> for EntriesVisitor {
    type Value = Entries;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a list of contacts")
    }

    /// Reads the list; if its key appears twice, the entries of both lists count.
    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Entries, A::Error> {
        let mut entries: Option<Vec<Box<RawValue>>> = None;
        while let Some(key) = map.next_key::<String>()? {
            if key == ADDRESSES_KEY {
                let listed: Vec<Box<RawValue>> = map.next_value()?;
                entries.get_or_insert_default().extend(listed);
            } else {
                map.next_value::<IgnoredAny>()?;
            }
        }
        let missing = || serde::de::Error::missing_field(ADDRESSES_KEY);
        entries.map(Entries).ok_or_else(missing)
    }
}
