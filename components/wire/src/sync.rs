//! Comparison of member tables, as it is encoded.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::Entry;
use ids::Digest;
use ids::NodeId;
use ids::Version;
use member::BUCKETS;
use member::Member;
use member::Stamp;

/// Most members of one message; several times the target size of the fleet.
const MAX_MEMBERS: usize = 8_000;

/// A [`member::Ask`] as it is encoded.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub enum Ask {
    /// Hashes of the buckets.
    Hashes(Vec<u64>),
    /// Members of the buckets in the bit set.
    Members { buckets: u64, members: Vec<Entry> },
}

/// A [`member::Answer`] as it is encoded.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub struct Answer {
    from: u64,
    version: u64,
    digest: u64,
    body: Body,
}

/// A [`member::Body`] as it is encoded.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub enum Body {
    /// Bit set of the buckets that differ.
    Differ(u64),
    /// Members of the buckets.
    Members(Vec<Entry>),
}

impl From<&member::Ask> for Ask {
    fn from(ask: &member::Ask) -> Self {
        match ask {
            member::Ask::Hashes { hashes } => Self::Hashes(hashes.clone()),
            member::Ask::Members { buckets, members } => Self::Members {
                buckets: *buckets,
                members: encode_members(members),
            },
        }
    }
}

impl Ask {
    /// The question; `None` if it is malformed.
    pub fn into_ask(self) -> Option<member::Ask> {
        match self {
            Self::Hashes(hashes) if hashes.len() == BUCKETS => Some(member::Ask::Hashes { hashes }),
            Self::Hashes(_) => None,
            Self::Members { buckets, members } => Some(member::Ask::Members {
                buckets,
                members: decode_members(members)?,
            }),
        }
    }
}

impl From<&member::Answer> for Answer {
    fn from(answer: &member::Answer) -> Self {
        Self {
            from: answer.from.0,
            version: answer.stamp.version.0,
            digest: answer.stamp.digest.0,
            body: match &answer.body {
                member::Body::Differ(buckets) => Body::Differ(*buckets),
                member::Body::Members(members) => Body::Members(encode_members(members)),
            },
        }
    }
}

impl Answer {
    /// The answer; `None` if it is malformed.
    pub fn into_answer(self) -> Option<member::Answer> {
        let body = match self.body {
            Body::Differ(buckets) => member::Body::Differ(buckets),
            Body::Members(members) => member::Body::Members(decode_members(members)?),
        };
        Some(member::Answer {
            from: NodeId(self.from),
            stamp: Stamp {
                version: Version(self.version),
                digest: Digest(self.digest),
            },
            body,
        })
    }
}

fn encode_members(members: &[Arc<Member>]) -> Vec<Entry> {
    let members = members.iter().take(MAX_MEMBERS);
    members.map(|member| Entry::from(member.as_ref())).collect()
}

fn decode_members(entries: Vec<Entry>) -> Option<Vec<Arc<Member>>> {
    if entries.len() > MAX_MEMBERS {
        return None;
    }
    let members = entries.into_iter().map(Entry::into_member);
    members.map(|member| member.map(Arc::new)).collect()
}
