//! Choice of the nodes that watch the store.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use ids::NodeId;
use member::MemberTable;
use member::Status;

/// Nodes that watch in each failure domain.
const WATCHERS_PER_DOMAIN: usize = 2;

/// Whether `id` is among the watchers of its failure domain, by rendezvous hashing over the members
/// that are alive. A suspected watcher is replaced before it is dead, because an extra watcher costs
/// little. Members that disagree about the table may choose too many or too few for a while, which
/// costs calls or delay and nothing else.
pub fn is_watcher(table: &MemberTable, id: NodeId) -> bool {
    let Some(me) = table.get(id) else {
        return false;
    };
    let own = score(id);
    let better = table
        .members()
        .iter()
        .filter(|it| it.status == Status::Alive && it.domain == me.domain)
        .filter(|it| (score(it.id), it.id) > (own, id))
        .count();
    better < WATCHERS_PER_DOMAIN
}

pub(crate) fn score(id: NodeId) -> u64 {
    xxh3_64_with_seed(&id.0.to_le_bytes(), 0)
}
