//! Statements that still have to spread.

use ids::NodeId;

/// Statements that spread at once; more would take minutes to send. When very many members change
/// together, the comparison of tables carries the rest.
const MAX_RUMORS: usize = 100;

/// A statement about a member, by its first source.
#[derive(Clone, Copy, Debug)]
struct Rumor {
    about: NodeId,
    source: NodeId,
    sends_left: u32,
}

/// Statements that still have to spread, those sent least first.
#[derive(Debug, Default)]
pub(crate) struct Rumors {
    list: Vec<Rumor>,
}

impl Rumors {
    /// Spreads the present statement about a member in place of earlier ones.
    pub(crate) fn replace(&mut self, about: NodeId, source: NodeId, members: usize) {
        self.list.retain(|rumor| rumor.about != about);
        self.add(about, source, members);
    }

    /// Spreads a statement of one more source.
    pub(crate) fn add(&mut self, about: NodeId, source: NodeId, members: usize) {
        let sends_left = count_sends(members);
        if self.list.len() == MAX_RUMORS {
            let oldest = self
                .list
                .iter()
                .enumerate()
                .min_by_key(|(_, it)| it.sends_left);
            if let Some(at) = oldest.map(|(at, _)| at) {
                self.list.swap_remove(at);
            }
        }
        self.list.push(Rumor {
            about,
            source,
            sends_left,
        });
    }

    /// Takes up to `limit` statements for one message.
    pub(crate) fn pick(&mut self, limit: usize) -> Vec<(NodeId, NodeId)> {
        self.list
            .sort_by_key(|rumor| std::cmp::Reverse(rumor.sends_left));
        let picked = self.list.iter_mut().take(limit).map(|rumor| {
            rumor.sends_left -= 1;
            (rumor.about, rumor.source)
        });
        let picked = picked.collect();
        self.list.retain(|rumor| rumor.sends_left > 0);
        picked
    }
}

/// Sends of one statement by one node. Four a decade of members reach all but about one in 3,000
/// nodes in ten, and fewer in larger fleets; anti-entropy reaches the rest.
fn count_sends(members: usize) -> u32 {
    4 * (members.max(10).ilog10() + 1)
}
