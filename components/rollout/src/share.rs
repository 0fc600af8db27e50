//! The share of a version on trial, as one entry counts it.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::Revision;
use ids::NodeId;
use ids::ServiceId;

/// Smallest number of endpoints on trial, so that one bad neighbour does not decide on the version.
const MIN_CANARIES: usize = 2;
/// Maximum number of services that are counted at once.
const MAX_SERVICES: usize = 64;

/// Requests of one service during one order.
#[derive(Clone, Copy, Debug)]
struct Share {
    service: ServiceId,
    order: Revision,
    /// Requests that the established version has answered.
    answered: u64,
    /// Requests sent to the version on trial.
    sent: u64,
}

/// Requests of all services with an order.
#[derive(Debug, Default)]
pub struct Shares {
    /// Sorted by service.
    shares: Vec<Share>,
}

impl Shares {
    /// Counts a request that the established version has answered since the order was known.
    pub fn record_answer(&mut self, service: ServiceId, order: Revision) {
        if let Some(share) = self.share_mut(service, order) {
            share.answered += 1;
        }
    }

    /// Whether another request may be sent to the version on trial. Counted, not drawn at random, and without a
    /// start credit, so that the sum over all entries is bound whatever their number.
    pub fn allows(&mut self, service: ServiceId, order: Revision, permille: u32) -> bool {
        self.share_mut(service, order).is_some_and(|share| {
            (share.sent + 1).saturating_mul(1_000)
                <= share.answered.saturating_mul(u64::from(permille))
        })
    }

    /// Counts a request sent to the version on trial.
    pub fn record_sent(&mut self, service: ServiceId, order: Revision) {
        if let Some(share) = self.share_mut(service, order) {
            share.sent += 1;
        }
    }

    /// The counts of this order, which begin with it.
    fn share_mut(&mut self, service: ServiceId, order: Revision) -> Option<&mut Share> {
        let new = Share {
            service,
            order,
            answered: 0,
            sent: 0,
        };
        let index = match self.shares.binary_search_by_key(&service, |it| it.service) {
            Ok(index) => {
                if self.shares[index].order != order {
                    self.shares[index] = new;
                }
                index
            }
            Err(_) if self.shares.len() >= MAX_SERVICES => return None,
            Err(index) => {
                self.shares.insert(index, new);
                index
            }
        };
        self.shares.get_mut(index)
    }
}

/// Chooses the endpoints on trial from all that run the target: as many as its share of the established ones, so
/// that each of them bears the same load as an established one. All entries choose the same.
pub fn choose_canaries(
    order: Revision,
    mut candidates: Vec<NodeId>,
    established: usize,
    permille: u32,
) -> Vec<NodeId> {
    let share = established.saturating_mul(permille as usize);
    let count = ((share + 500) / 1_000).max(MIN_CANARIES);
    candidates.sort_unstable_by_key(|node| {
        (
            xxh3_64_with_seed(&node.0.to_le_bytes(), order.number),
            *node,
        )
    });
    candidates.truncate(count);
    candidates
}
