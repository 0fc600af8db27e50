//! What the configuration and the membership say: limits, instances and possible granters.

use std::net::SocketAddr;

use crate::group::GROUP_COUNT;
use crate::group::GroupSet;
use crate::group::group_of;
use ids::Digest;
use ids::NodeId;
use ids::OrganisationId;

/// Limit on the requests of one organisation at all nodes together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// Requests a second; greater than 0.
    pub per_second: f64,
    /// Requests beyond the rate that may come at once.
    pub burst: f64,
}

/// Limits of the configuration in force.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Limits {
    /// Sorted by organisation.
    limits: Vec<(OrganisationId, Limit)>,
    groups: GroupSet,
}

impl Limits {
    /// Creates limits from those of each organisation that has one.
    pub fn new(mut limits: Vec<(OrganisationId, Limit)>) -> Self {
        limits.sort_unstable_by_key(|(organisation, _)| *organisation);
        limits.dedup_by_key(|(organisation, _)| *organisation);
        let mut groups = GroupSet::default();
        for (organisation, _) in &limits {
            groups.insert(group_of(*organisation));
        }
        Self { limits, groups }
    }

    /// Whether no organisation has a limit.
    pub fn is_empty(&self) -> bool {
        self.limits.is_empty()
    }

    /// Limit of an organisation; `None` if it has none.
    pub fn find(&self, organisation: OrganisationId) -> Option<Limit> {
        let index = self.limits.binary_search_by_key(&organisation, |it| it.0);
        Some(self.limits[index.ok()?].1)
    }

    /// All limits, sorted by organisation.
    pub fn entries(&self) -> &[(OrganisationId, Limit)] {
        &self.limits
    }

    /// Groups that contain an organisation with a limit.
    pub fn groups(&self) -> GroupSet {
        self.groups
    }
}

/// A node that can be a granter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Id of the node.
    pub node: NodeId,
    /// Address at which it receives datagrams.
    pub address: SocketAddr,
}

/// What a node knows of the fleet.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct View {
    /// Number of known instances, dead ones included and those that have left not.
    pub instances: u32,
    /// Whether this node may delegate its share: it has joined the fleet.
    pub may_delegate: bool,
    /// Nodes that can be granters, this one included.
    pub candidates: Vec<Candidate>,
}

impl View {
    /// Candidates of each group, the first choice first. Addresses decide, so that a restart changes nothing.
    pub(crate) fn rank(&self) -> [Vec<Candidate>; GROUP_COUNT] {
        std::array::from_fn(|group| {
            let mut ranked: Vec<_> = self
                .candidates
                .iter()
                .map(|it| (score(group, it), *it))
                .collect();
            ranked.sort_unstable_by_key(|(score, it)| (*score, it.node));
            ranked.into_iter().map(|(_, it)| it).collect()
        })
    }
}

fn score(group: usize, candidate: &Candidate) -> Digest {
    Digest::of(format!("{group} {}", candidate.address).as_bytes())
}
