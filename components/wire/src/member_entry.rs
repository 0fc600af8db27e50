//! Encoding of the members in gossip and in comparisons of member tables.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use ids::Domain;
use ids::Incarnation;
use ids::NodeId;
use member::ListenAddresses;
use member::Member;
use member::Stage;
use member::Status;
use member::Upstream;

/// Maximum length of the name of a service or failure domain and of a run id, in bytes.
const MAX_NAME_BYTES: usize = 100;

/// Largest incarnation of a member. It rises by one with each refutation of its node, so that a larger one
/// is an error, and the largest number of all could never be refuted.
const MAX_INCARNATION: u64 = u64::MAX / 2;

/// Encoded form of [`Member`].
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct MemberEntry {
    id: u64,
    peer: SocketAddr,
    requests: SocketAddr,
    admin: SocketAddr,
    domain: String,
    incarnation: u64,
    /// Index into [`STATUSES`].
    status: u8,
    /// Index into [`STAGES`].
    stage: u8,
    upstream: Option<UpstreamFields>,
}

/// Separates the service of an upstream from its version in the encoded form. A service without a version is
/// encoded as by nodes that know no versions; these take a service with a version for one that they do not
/// know, and send it no requests.
const VERSION_SEPARATOR: char = '\n';

/// Encoded form of [`Upstream`]: service with version, run id, slots and connections.
type UpstreamFields = (String, Option<String>, u32, u32);

/// Statuses in the order of their encoded numbers.
const STATUSES: [Status; 4] = [Status::Alive, Status::Suspect, Status::Dead, Status::Left];
/// Stages in the order of their encoded numbers.
const STAGES: [Stage; 4] = [Stage::Warming, Stage::Ready, Stage::Draining, Stage::Gone];

impl From<&Member> for MemberEntry {
    fn from(member: &Member) -> Self {
        Self {
            id: member.id.0,
            peer: member.addresses.peer,
            requests: member.addresses.requests,
            admin: member.addresses.admin,
            domain: member.domain.as_str().to_owned(),
            incarnation: member.incarnation.0,
            status: member.status as u8,
            stage: member.stage as u8,
            upstream: member.upstream.as_ref().map(|it| {
                let run_id = it.run_id.as_deref().map(str::to_owned);
                (join_version(it), run_id, it.slots, it.max_connections)
            }),
        }
    }
}

impl MemberEntry {
    /// Converts the entry; returns `None` if a field is out of range.
    pub fn into_member(self) -> Option<Member> {
        if self.domain.len() > MAX_NAME_BYTES || self.incarnation > MAX_INCARNATION {
            return None;
        }
        let mut addresses = [self.peer, self.requests, self.admin].into_iter();
        if addresses.any(|address| address.port() == 0) {
            return None;
        }
        let upstream = match self.upstream {
            Some((_, Some(run_id), ..)) if run_id.len() > MAX_NAME_BYTES => return None,
            Some((name, run_id, slots, max_connections)) => {
                let (service, version) = split_version(&name)?;
                Some(Upstream {
                    service,
                    run_id: run_id.map(Arc::from),
                    version,
                    slots,
                    max_connections,
                })
            }
            None => None,
        };
        Some(Member {
            id: NodeId(self.id),
            addresses: ListenAddresses {
                peer: self.peer,
                requests: self.requests,
                admin: self.admin,
            },
            domain: Domain::new(&self.domain),
            incarnation: Incarnation(self.incarnation),
            status: *STATUSES.get(usize::from(self.status))?,
            stage: *STAGES.get(usize::from(self.stage))?,
            upstream,
        })
    }
}

fn join_version(upstream: &Upstream) -> String {
    let service = upstream.service.as_ref();
    match &upstream.version {
        Some(version) => format!("{service}{VERSION_SEPARATOR}{version}"),
        None => service.to_owned(),
    }
}

/// Splits the encoded name into service and version; `None` if one of them is too long.
fn split_version(name: &str) -> Option<(Arc<str>, Option<Arc<str>>)> {
    let (service, version) = match name.split_once(VERSION_SEPARATOR) {
        Some((service, version)) => (service, Some(version)),
        None => (name, None),
    };
    let is_valid = service.len() <= MAX_NAME_BYTES
        && version.is_none_or(|it| (1..=MAX_NAME_BYTES).contains(&it.len()));
    is_valid.then(|| (Arc::from(service), version.map(Arc::from)))
}
