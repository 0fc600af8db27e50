//! The member table.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::BUCKET_COUNT;
use crate::Member;
use ids::Digest;
use ids::NodeId;

/// What a merge changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MergeOutcome {
    /// Nothing.
    Unchanged,
    /// Only what membership itself uses.
    MembershipOnly,
    /// Something that requests are routed by.
    RoutingChanged,
}

/// Members sorted by id.
#[derive(Clone, Debug, Default)]
pub struct MemberTable {
    members: Vec<Arc<Member>>,
    /// Live members sorted by peer address.
    live: Vec<(SocketAddr, NodeId)>,
    revision: u64,
}

impl MemberTable {
    /// All members, sorted by id.
    pub fn members(&self) -> &[Arc<Member>] {
        &self.members
    }

    /// Number of live members.
    pub fn live_count(&self) -> usize {
        self.live.len()
    }

    /// Addresses and ids of the live members.
    pub fn live(&self) -> &[(SocketAddr, NodeId)] {
        &self.live
    }

    /// Number that differs after each change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Looks a member up.
    pub fn get(&self, id: NodeId) -> Option<&Arc<Member>> {
        self.find(id).ok().map(|at| &self.members[at])
    }

    /// A live member that listens on this peer address.
    pub fn live_member_at(&self, peer: SocketAddr) -> Option<NodeId> {
        let at = self.live.partition_point(|(known, _)| *known < peer);
        self.live
            .get(at)
            .filter(|(known, _)| *known == peer)
            .map(|(_, id)| *id)
    }

    fn find(&self, id: NodeId) -> Result<usize, usize> {
        self.members.binary_search_by_key(&id, |member| member.id)
    }

    /// Takes a statement in if it overrides what is known.
    pub fn merge(&mut self, statement: impl Into<Arc<Member>>) -> MergeOutcome {
        let statement = statement.into();
        let found = self.find(statement.id);
        let before = found.ok().map(|at| Arc::clone(&self.members[at]));
        if before
            .as_ref()
            .is_some_and(|before| !statement.overrides(before))
        {
            return MergeOutcome::Unchanged;
        }
        self.revision += 1;
        if let Some(before) = before.as_ref().filter(|before| before.is_live()) {
            self.unlist(before);
        }
        if statement.is_live() {
            let key = (statement.addresses.peer, statement.id);
            let at = self.live.partition_point(|known| *known < key);
            self.live.insert(at, key);
        }
        let merge = match &before {
            Some(before) if before.has_same_routing(&statement) => MergeOutcome::MembershipOnly,
            None if !statement.is_live() => MergeOutcome::MembershipOnly,
            _ => MergeOutcome::RoutingChanged,
        };
        match found {
            Ok(at) => self.members[at] = statement,
            Err(at) => self.members.insert(at, statement),
        }
        merge
    }

    /// Forgets a member.
    pub fn remove(&mut self, id: NodeId) {
        if let Ok(at) = self.find(id) {
            let member = self.members.remove(at);
            self.unlist(&member);
            self.revision += 1;
        }
    }

    fn unlist(&mut self, member: &Member) {
        let key = (member.addresses.peer, member.id);
        if let Ok(at) = self.live.binary_search(&key) {
            self.live.remove(at);
        }
    }

    /// One hash for each bucket, over the live members. Members that have ended are left out,
    /// because nodes forget them at different times.
    pub fn bucket_hashes(&self) -> Vec<u64> {
        let mut hashes = vec![0_u64; BUCKET_COUNT];
        for member in self.members.iter().filter(|member| member.is_live()) {
            let mut bytes = [0; 16];
            bytes[..8].copy_from_slice(&member.id.0.to_le_bytes());
            bytes[8..].copy_from_slice(&member.incarnation.0.to_le_bytes());
            hashes[bucket_of(member.id)] ^= Digest::of(&bytes).0;
        }
        hashes
    }

    /// The members of the buckets in the bit set.
    pub fn members_in_buckets(&self, buckets: u64) -> Vec<Arc<Member>> {
        let members = self.members.iter();
        members
            .filter(|member| buckets >> bucket_of(member.id) & 1 == 1)
            .cloned()
            .collect()
    }
}

fn bucket_of(id: NodeId) -> usize {
    // Ids are random, so that their low bits spread evenly.
    usize::try_from(id.0 % (BUCKET_COUNT as u64)).unwrap_or(0)
}
