//! Selection of the nodes that watch the store.

use std::cmp::Reverse;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use ids::Domain;
use ids::NodeId;
use member::Member;
use member::MemberTable;
use member::Status;

/// Nodes that watch the store in each failure domain.
pub const WATCHERS_PER_DOMAIN: usize = 2;

/// The live members of a failure domain in the order in which they are selected as watchers.
pub fn rank_members<'a>(table: &'a MemberTable, domain: &Domain) -> Vec<&'a Member> {
    let members = table.members().iter().map(|it| &**it);
    let alive = members.filter(|it| it.status == Status::Alive && it.domain == *domain);
    let mut ranked: Vec<&Member> = alive.collect();
    ranked.sort_unstable_by_key(|it| Reverse((rendezvous_score(it.id), it.id)));
    ranked
}

/// Whether node `id` is one of the watchers of its failure domain, by rendezvous hashing over the
/// members that are alive. A suspect watcher is replaced before it is declared dead, because an
/// extra watcher costs little. Members whose tables differ may select too many or too few watchers
/// for a while, which only costs extra calls or delay.
pub fn is_watcher(table: &MemberTable, id: NodeId) -> bool {
    let Some(member) = table.get(id) else {
        return false;
    };
    let own_score = rendezvous_score(id);
    let higher_ranked = table
        .members()
        .iter()
        .filter(|it| it.status == Status::Alive && it.domain == member.domain)
        .filter(|it| (rendezvous_score(it.id), it.id) > (own_score, id))
        .count();
    higher_ranked < WATCHERS_PER_DOMAIN
}

/// Position of node `id` among all members that are alive, by the same order: the first ones of the fleet are
/// watchers of their failure domains too. `None` if the node is not alive.
pub fn fleet_position(table: &MemberTable, id: NodeId) -> Option<usize> {
    let alive = |it: &NodeId| {
        let member = table.get(*it);
        member.is_some_and(|it| it.status == Status::Alive)
    };
    let own_score = rendezvous_score(id);
    let members = table.members().iter();
    let higher_ranked = members
        .filter(|it| it.status == Status::Alive)
        .filter(|it| (rendezvous_score(it.id), it.id) > (own_score, id));
    alive(&id).then(|| higher_ranked.count())
}

pub(crate) fn rendezvous_score(id: NodeId) -> u64 {
    xxh3_64_with_seed(&id.0.to_le_bytes(), 0)
}
