//! Shares of instances that are delegated to a granter.

use std::cmp::Ordering;
use std::time::Duration;

use crate::DELEGATION_TIME;
use crate::GroupSet;
use crate::Request;
use crate::Response;
use ids::NodeId;
use kernel::Time;

/// Time without a request after which a granter forgets a holder.
const FORGET_TIME: Duration = Duration::from_secs(10);
/// Largest number of holders that a granter keeps.
const MAX_HOLDERS: usize = 4_096;

/// What a granter knows of a holder.
#[derive(Debug)]
pub(crate) struct HolderRecord {
    id: NodeId,
    /// Response to the newest request, for repetitions of it.
    response: Response,
    heard: Time,
    shares: GroupSet,
    /// Time at which the shares no longer count.
    until: Time,
    instances: u32,
}

/// What the shares of one group amount to.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct GroupShares {
    /// Part of the whole that the granter has at present.
    pub(crate) fraction: f64,
    /// Sum of `fraction` over time, in seconds, up to `at`.
    pub(crate) integral: f64,
    at: Time,
    /// Time before which no share ends.
    next_end: Time,
}

/// The holders of a granter, sorted by id.
#[derive(Debug, Default)]
pub(crate) struct Holders {
    records: Vec<HolderRecord>,
}

/// How a request relates to those that came before it from its holder.
pub(crate) enum Arrival {
    /// A newer request was handled before.
    Overtaken,
    /// The newest request once more.
    Repeated(Response),
    New,
}

impl Holders {
    fn find(&self, id: NodeId) -> Result<usize, usize> {
        self.records.binary_search_by_key(&id, |it| it.id)
    }

    pub(crate) fn classify(&self, id: NodeId, number: u64) -> Arrival {
        let Ok(index) = self.find(id) else {
            return Arrival::New;
        };
        let record = &self.records[index];
        match number.cmp(&record.response.number) {
            Ordering::Less => Arrival::Overtaken,
            Ordering::Equal => Arrival::Repeated(record.response.clone()),
            Ordering::Greater => Arrival::New,
        }
    }

    /// Records the delegation that a request states; returns the groups whose sum it may change, `None` if there are
    /// too many holders.
    pub(crate) fn record(
        &mut self,
        now: Time,
        request: &Request,
        response: Response,
    ) -> Option<GroupSet> {
        self.forget_silent(now);
        let valid_from = request.echo.filter(|echo| *echo <= now);
        let until = valid_from.map_or(Time(0), |echo| echo + DELEGATION_TIME);
        let shares = if until > now {
            request.shares
        } else {
            GroupSet(0)
        };
        let instances = request.instances;
        match self.find(request.holder) {
            Ok(index) => {
                let record = &mut self.records[index];
                let before = if record.until > now {
                    record.shares.0
                } else {
                    0
                };
                let is_same_fleet = record.instances == instances;
                let changed = if is_same_fleet {
                    before ^ shares.0
                } else {
                    u8::MAX
                };
                record.response = response;
                record.heard = now;
                (record.shares, record.until, record.instances) = (shares, until, instances);
                Some(GroupSet(changed))
            }
            Err(_) if self.records.len() >= MAX_HOLDERS => None,
            Err(index) => {
                let id = request.holder;
                let heard = now;
                self.records.insert(
                    index,
                    HolderRecord {
                        id,
                        response,
                        heard,
                        shares,
                        until,
                        instances,
                    },
                );
                Some(shares)
            }
        }
    }

    /// Replaces the response that is kept for repetitions.
    pub(crate) fn keep_response(&mut self, response: &Response) {
        if let Ok(index) = self.find(response.holder) {
            self.records[index].response = response.clone();
        }
    }

    /// Ends all shares.
    pub(crate) fn release(&mut self) {
        for record in &mut self.records {
            record.shares = GroupSet(0);
        }
    }

    fn forget_silent(&mut self, now: Time) {
        if self.records.len() >= MAX_HOLDERS
            || self
                .records
                .iter()
                .any(|it| now.since(it.heard) > 2 * FORGET_TIME)
        {
            self.records
                .retain(|it| now.since(it.heard) <= FORGET_TIME || it.until > now);
        }
    }

    /// Part of the whole that the shares of a group amount to, and the time at which the next one ends. The whole is
    /// divided by the largest number of instances that this node or a holder knows, and never by less than the number
    /// of shares, so that member tables that differ do not make more than a whole.
    pub(crate) fn sum(&self, now: Time, group: usize, instances: u32) -> (f64, Time) {
        let (mut count, mut whole, mut end) = (0_u32, instances.max(1), Time(u64::MAX));
        for record in &self.records {
            if record.until > now && record.shares.contains(group) {
                count += 1;
                whole = whole.max(record.instances);
                end = end.min(record.until);
            }
        }
        (f64::from(count) / f64::from(whole.max(count)), end)
    }
}

impl GroupShares {
    /// Adds the time since the last call to the integral; returns whether the fraction has fallen, so that buckets
    /// have to be cut to their new size. A share that has ended meanwhile counts as if it had ended at the last call.
    pub(crate) fn advance(
        &mut self,
        now: Time,
        holders: &Holders,
        group: usize,
        instances: u32,
    ) -> bool {
        if now < self.next_end {
            self.add(now, self.fraction);
            return false;
        }
        self.recompute(now, holders, group, instances)
    }

    /// Like [`GroupShares::advance`], when shares or the number of instances have changed.
    pub(crate) fn recompute(
        &mut self,
        now: Time,
        holders: &Holders,
        group: usize,
        instances: u32,
    ) -> bool {
        let (fraction, next_end) = holders.sum(now, group, instances);
        self.add(now, fraction.min(self.fraction));
        let has_fallen = fraction < self.fraction;
        self.fraction = fraction;
        self.next_end = next_end;
        has_fallen
    }

    fn add(&mut self, now: Time, fraction: f64) {
        self.integral += fraction * now.since(self.at).as_secs_f64();
        self.at = self.at.max(now);
    }
}
