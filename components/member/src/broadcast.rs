//! Queue of updates that this node still has to send to other nodes.

use ids::NodeId;

/// Maximum number of queued updates; more would take minutes to send. If more members change at the
/// same time, anti-entropy distributes the updates that are dropped from the queue.
const MAX_QUEUED_UPDATES: usize = 100;

/// An update about a member. The queue holds ids only: the content is read from the member table
/// when the update is sent.
#[derive(Clone, Copy, Debug)]
struct QueuedUpdate {
    member_id: NodeId,
    /// Node that originated the update.
    source: NodeId,
    remaining_sends: u32,
}

/// Updates to be sent, those sent least often first.
#[derive(Debug, Default)]
pub(crate) struct BroadcastQueue {
    updates: Vec<QueuedUpdate>,
}

impl BroadcastQueue {
    /// Queues the current update about a member in place of earlier ones. `members` is the number of
    /// live members.
    pub(crate) fn replace(&mut self, member_id: NodeId, source: NodeId, members: usize) {
        self.updates.retain(|queued| queued.member_id != member_id);
        self.add(member_id, source, members);
    }

    /// Queues the current update about a member from a further source, beside the updates that are
    /// already queued.
    pub(crate) fn add(&mut self, member_id: NodeId, source: NodeId, members: usize) {
        let remaining_sends = send_limit(members);
        if self.updates.len() == MAX_QUEUED_UPDATES {
            let most_sent = self
                .updates
                .iter()
                .enumerate()
                .min_by_key(|(_, it)| it.remaining_sends);
            if let Some(index) = most_sent.map(|(index, _)| index) {
                self.updates.swap_remove(index);
            }
        }
        self.updates.push(QueuedUpdate {
            member_id,
            source,
            remaining_sends,
        });
    }

    /// Takes up to `limit` updates for one message, each as the id of the member and its source.
    pub(crate) fn take_batch(&mut self, limit: usize) -> Vec<(NodeId, NodeId)> {
        self.updates
            .sort_by_key(|queued| std::cmp::Reverse(queued.remaining_sends));
        let batch = self.updates.iter_mut().take(limit).map(|queued| {
            queued.remaining_sends -= 1;
            (queued.member_id, queued.source)
        });
        let batch = batch.collect();
        self.updates.retain(|queued| queued.remaining_sends > 0);
        batch
    }
}

/// Number of times that one node sends an update: four for each decimal digit in the number of members.
/// In a fleet of ten, about one node in 3,000 does not receive an update that is sent this often, and
/// fewer in larger fleets; anti-entropy brings the update to those nodes.
fn send_limit(members: usize) -> u32 {
    4 * (members.max(10).ilog10() + 1)
}
