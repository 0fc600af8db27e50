//! Messages of the `sync` call, by which two nodes compare their member tables (anti-entropy).

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::Decoded;
use crate::MemberEntry;
use ids::Digest;
use ids::NodeId;
use ids::Version;
use member::BUCKET_COUNT;
use member::ConfigId;
use member::Member;

/// Maximum number of members in one message; several times the size of the largest fleet that the
/// system is designed for.
const MAX_MEMBERS: usize = 8_000;

/// Encoded form of [`member::SyncRequest`].
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub enum SyncRequest {
    /// Hash of each bucket; asks which buckets differ.
    Hashes(Vec<u64>),
    /// The members of the buckets in the bit set `buckets`; asks for those of the receiver.
    Members {
        buckets: u64,
        members: Vec<MemberEntry>,
    },
}

/// Encoded form of [`member::SyncResponse`].
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub struct SyncResponse {
    from: u64,
    version: u64,
    digest: u64,
    body: SyncResponseBody,
}

/// Encoded form of [`member::SyncResponseBody`].
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub enum SyncResponseBody {
    /// Bit set of the buckets that differ; answers [`SyncRequest::Hashes`].
    Differ(u64),
    /// The members of the requested buckets; answers [`SyncRequest::Members`].
    Members(Vec<MemberEntry>),
}

impl From<&member::SyncRequest> for SyncRequest {
    fn from(request: &member::SyncRequest) -> Self {
        match request {
            member::SyncRequest::Hashes { hashes } => Self::Hashes(hashes.clone()),
            member::SyncRequest::Members { buckets, members } => Self::Members {
                buckets: *buckets,
                members: encode_members(members),
            },
        }
    }
}

impl SyncRequest {
    /// Converts the request without the members that are out of range; returns `None` if it is
    /// malformed.
    pub fn into_request(self) -> Option<Decoded<member::SyncRequest>> {
        match self {
            Self::Hashes(hashes) if hashes.len() == BUCKET_COUNT => {
                Some(Decoded::complete(member::SyncRequest::Hashes { hashes }))
            }
            Self::Hashes(_) => None,
            Self::Members { buckets, members } => {
                let members = decode_members(members)?;
                Some(members.map(|members| member::SyncRequest::Members { buckets, members }))
            }
        }
    }
}

impl From<&member::SyncResponse> for SyncResponse {
    fn from(response: &member::SyncResponse) -> Self {
        Self {
            from: response.from.0,
            version: response.config_id.version.0,
            digest: response.config_id.digest.0,
            body: match &response.body {
                member::SyncResponseBody::Differ(buckets) => SyncResponseBody::Differ(*buckets),
                member::SyncResponseBody::Members(members) => {
                    SyncResponseBody::Members(encode_members(members))
                }
            },
        }
    }
}

impl SyncResponse {
    /// Converts the response without the members that are out of range; returns `None` if it is
    /// malformed.
    pub fn into_response(self) -> Option<Decoded<member::SyncResponse>> {
        let body = match self.body {
            SyncResponseBody::Differ(buckets) => {
                Decoded::complete(member::SyncResponseBody::Differ(buckets))
            }
            SyncResponseBody::Members(members) => {
                decode_members(members)?.map(member::SyncResponseBody::Members)
            }
        };
        Some(body.map(|body| member::SyncResponse {
            from: NodeId(self.from),
            config_id: ConfigId {
                version: Version(self.version),
                digest: Digest(self.digest),
            },
            body,
        }))
    }
}

/// Encodes the members of one message; leaves out those beyond [`MAX_MEMBERS`].
fn encode_members(members: &[Arc<Member>]) -> Vec<MemberEntry> {
    let members = members.iter().take(MAX_MEMBERS);
    members
        .map(|member| MemberEntry::from(member.as_ref()))
        .collect()
}

/// Decodes the members of one message; returns `None` if there are more than [`MAX_MEMBERS`].
fn decode_members(entries: Vec<MemberEntry>) -> Option<Decoded<Vec<Arc<Member>>>> {
    if entries.len() > MAX_MEMBERS {
        return None;
    }
    let members = entries.into_iter().map(MemberEntry::into_member);
    Some(Decoded::collect(members.map(|member| member.map(Arc::new))))
}
