//! Selection of the nodes that a node asks for proofs.

use std::net::SocketAddr;

use ids::NodeId;
use kernel::Random;
use member::Member;
use member::MemberTable;
use spread::WATCHERS_PER_DOMAIN;
use spread::rank_members;

/// Nodes that ask one watcher, each about once a second. In larger failure domains, the others ask these nodes, so
/// that a watcher answers a few dozen datagrams a second at most.
const ASKERS_PER_WATCHER: usize = 24;

/// Nodes that one node asks, by its place in the order of its failure domain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Sources {
    /// Whether the node itself watches the store.
    pub is_watcher: bool,
    /// Peer addresses of the nodes that the node asks one at a time; none for a watcher.
    parents: Vec<SocketAddr>,
    /// Place of the node among those that ask the same parents.
    place: usize,
}

impl Sources {
    /// Selects the nodes that `own` asks: the watchers of its failure domain, or nodes that ask these.
    pub fn select(table: &MemberTable, own: NodeId) -> Self {
        let own_member = table.get(own);
        let ranked = own_member.map_or_else(Vec::new, |it| rank_members(table, &it.domain));
        let position = ranked.iter().position(|it| it.id == own);
        let position = position.unwrap_or(ranked.len());
        let direct_end = WATCHERS_PER_DOMAIN * (1 + ASKERS_PER_WATCHER);
        let first = if position < direct_end {
            0..WATCHERS_PER_DOMAIN
        } else {
            WATCHERS_PER_DOMAIN..direct_end
        };
        let is_watcher = position < WATCHERS_PER_DOMAIN;
        let parents = ranked.get(first.start..first.end.min(ranked.len()));
        let address = |it: &&Member| it.addresses.peer;
        let parents = parents.filter(|_| !is_watcher).unwrap_or_default();
        Self {
            is_watcher,
            parents: parents.iter().map(address).collect(),
            place: position,
        }
    }

    /// The node to ask after `shift` others have not answered or had nothing newer.
    pub fn parent(&self, shift: usize) -> Option<SocketAddr> {
        let index = self.place.wrapping_add(shift);
        self.parents
            .get(index.checked_rem(self.parents.len())?)
            .copied()
    }
}

/// Peer address of a random live member other than `own`; `None` if there is none, or if the random choice is `own`.
pub(crate) fn random_member(
    table: &MemberTable,
    own: NodeId,
    random: &mut dyn Random,
) -> Option<SocketAddr> {
    let live = table.live_addresses();
    let (address, id) = live.get(random.below(live.len()))?;
    (*id != own).then_some(*address)
}
