//! Granted tokens of one organisation at a holder.

use ids::NodeId;
use kernel::Time;

/// Origin and end of a token: who granted it and when, and when it lapses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TokenLease {
    /// Time on the holder's clock from which the token may not be spent.
    pub lapses: Time,
    /// Node that granted the token.
    pub granter: NodeId,
    /// Reading of that node's clock when it granted the token.
    pub granted_at: Time,
}

/// Tokens of one grant.
#[derive(Clone, Copy, Debug)]
struct Batch {
    lease: TokenLease,
    tokens: u16,
}

/// Tokens that have not been spent and not lapsed.
#[derive(Debug, Default)]
pub(crate) struct Batches {
    /// Sorted by the time at which they lapse.
    batches: Vec<Batch>,
}

impl Batches {
    /// Removes what has lapsed and returns its number.
    pub(crate) fn expire(&mut self, now: Time) -> u64 {
        let end = self.batches.partition_point(|it| it.lease.lapses <= now);
        self.batches
            .drain(..end)
            .map(|it| u64::from(it.tokens))
            .sum()
    }

    pub(crate) fn add(&mut self, lease: TokenLease, tokens: u16) {
        let same = self.batches.iter_mut().find(|it| it.lease == lease);
        match same {
            Some(batch) => batch.tokens = batch.tokens.saturating_add(tokens),
            None if tokens > 0 => {
                let index = self
                    .batches
                    .partition_point(|it| it.lease.lapses <= lease.lapses);
                self.batches.insert(index, Batch { lease, tokens });
            }
            None => {}
        }
    }

    /// Takes the token that lapses first.
    pub(crate) fn take(&mut self, now: Time) -> Option<TokenLease> {
        self.expire(now);
        let first = self.batches.first_mut()?;
        first.tokens -= 1;
        let lease = first.lease;
        if first.tokens == 0 {
            self.batches.remove(0);
        }
        Some(lease)
    }

    pub(crate) fn count(&self, now: Time) -> u64 {
        let valid = self.batches.iter().filter(|it| it.lease.lapses > now);
        valid.map(|it| u64::from(it.tokens)).sum()
    }

    /// Takes the oldest tokens of `granter` beyond `keep`, if they reach it in time to be put back.
    pub(crate) fn take_surplus(
        &mut self,
        now: Time,
        granter: NodeId,
        keep: u64,
    ) -> Option<(u16, Time)> {
        let surplus = self.count(now).checked_sub(keep).filter(|it| *it > 0)?;
        let index = self
            .batches
            .iter()
            .position(|it| it.lease.granter == granter)?;
        let batch = &mut self.batches[index];
        let tokens = batch.tokens.min(u16::try_from(surplus).unwrap_or(u16::MAX));
        batch.tokens -= tokens;
        let granted_at = batch.lease.granted_at;
        if batch.tokens == 0 {
            self.batches.remove(index);
        }
        Some((tokens, granted_at))
    }
}
