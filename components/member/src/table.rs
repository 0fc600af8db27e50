//! The member table.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::BUCKET_COUNT;
use crate::Member;
use ids::Digest;
use ids::NodeId;

/// Effect of an update on the member table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MergeOutcome {
    /// Nothing, because the update does not override the entry.
    Unchanged,
    /// Only fields that the membership protocol uses.
    MembershipOnly,
    /// A field that affects the routing of requests.
    RoutingChanged,
}

/// Table of all known members, sorted by id.
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

    /// Peer addresses and ids of the live members, sorted by address.
    pub fn live_addresses(&self) -> &[(SocketAddr, NodeId)] {
        &self.live
    }

    /// Counter that grows with each change of the table.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The member with this id, if it is known.
    pub fn get(&self, id: NodeId) -> Option<&Arc<Member>> {
        self.find_index(id).ok().map(|index| &self.members[index])
    }

    /// The live member that listens on this peer address; if there are several, the one with the lowest
    /// id.
    pub fn live_member_at(&self, peer: SocketAddr) -> Option<NodeId> {
        let index = self.live.partition_point(|(known, _)| *known < peer);
        self.live
            .get(index)
            .filter(|(known, _)| *known == peer)
            .map(|(_, id)| *id)
    }

    fn find_index(&self, id: NodeId) -> Result<usize, usize> {
        self.members.binary_search_by_key(&id, |member| member.id)
    }

    /// Replaces the entry of a member if the update overrides it.
    pub fn merge(&mut self, update: impl Into<Arc<Member>>) -> MergeOutcome {
        let update = update.into();
        let position = self.find_index(update.id);
        let before = position.ok().map(|index| Arc::clone(&self.members[index]));
        if before
            .as_ref()
            .is_some_and(|before| !update.overrides(before))
        {
            return MergeOutcome::Unchanged;
        }
        self.revision += 1;
        if let Some(before) = before.as_ref().filter(|before| before.is_live()) {
            self.remove_live(before);
        }
        if update.is_live() {
            let key = (update.addresses.peer, update.id);
            let index = self.live.partition_point(|known| *known < key);
            self.live.insert(index, key);
        }
        let outcome = match &before {
            Some(before) if before.has_same_routing(&update) => MergeOutcome::MembershipOnly,
            None if !update.is_live() => MergeOutcome::MembershipOnly,
            _ => MergeOutcome::RoutingChanged,
        };
        match position {
            Ok(index) => self.members[index] = update,
            Err(index) => self.members.insert(index, update),
        }
        outcome
    }

    /// Removes a member from the table.
    pub fn remove(&mut self, id: NodeId) {
        if let Ok(index) = self.find_index(id) {
            let member = self.members.remove(index);
            self.remove_live(&member);
            self.revision += 1;
        }
    }

    fn remove_live(&mut self, member: &Member) {
        let key = (member.addresses.peer, member.id);
        if let Ok(index) = self.live.binary_search(&key) {
            self.live.remove(index);
        }
    }

    /// Hash of each bucket, over the ids and incarnations of its live members. Members that are dead or
    /// have left are skipped, because nodes remove them at different times.
    pub fn bucket_hashes(&self) -> Vec<u64> {
        let mut hashes = vec![0_u64; BUCKET_COUNT];
        for member in self.members.iter().filter(|member| member.is_live()) {
            let mut bytes = [0; 16];
            bytes[..8].copy_from_slice(&member.id.0.to_le_bytes());
            bytes[8..].copy_from_slice(&member.incarnation.0.to_le_bytes());
            hashes[bucket_index(member.id)] ^= Digest::of(&bytes).0;
        }
        hashes
    }

    /// The members of the buckets in the bit set `buckets`.
    pub fn members_in_buckets(&self, buckets: u64) -> Vec<Arc<Member>> {
        let members = self.members.iter();
        members
            .filter(|member| buckets >> bucket_index(member.id) & 1 == 1)
            .cloned()
            .collect()
    }
}

fn bucket_index(id: NodeId) -> usize {
    // Ids are random, so their low bits are evenly distributed.
    usize::try_from(id.0 % (BUCKET_COUNT as u64)).unwrap_or(0)
}
