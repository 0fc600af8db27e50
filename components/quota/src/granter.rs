//! Granting side: counts the shares that nodes delegate to this one and grants tokens from its buckets.

use std::sync::Arc;

use crate::Ask;
use crate::Grant;
use crate::Limits;
use crate::MAX_ASKS;
use crate::Request;
use crate::Response;
use crate::bucket::Bucket;
use crate::group::GROUP_COUNT;
use crate::group::group_of;
use crate::share::Arrival;
use crate::share::GroupShares;
use crate::share::Holders;
use ids::NodeId;
use ids::OrganisationId;
use kernel::Time;

/// How much of its limit an organisation uses.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Usage {
    /// The organisation.
    pub organisation: OrganisationId,
    /// Part of the limit that this node has granted over the last seconds; 1 is all of it.
    pub part: f64,
}

/// Granter of one node. Its state ends with the process.
#[derive(Debug)]
pub struct Granter {
    id: NodeId,
    instances: u32,
    leaving: bool,
    limits: Arc<Limits>,
    holders: Holders,
    groups: [GroupShares; GROUP_COUNT],
    /// One for each limit, sorted by organisation.
    buckets: Vec<Bucket>,
}

impl Granter {
    /// Creates the granter of the node `id`, which knows no limit yet.
    pub fn new(id: NodeId) -> Self {
        Self {
            id,
            instances: 1,
            leaving: false,
            limits: Arc::default(),
            holders: Holders::default(),
            groups: Default::default(),
            buckets: Vec::new(),
        }
    }

    /// Takes new limits or another number of instances.
    pub fn update(&mut self, now: Time, limits: &Arc<Limits>, instances: u32) {
        let is_new = !Arc::ptr_eq(limits, &self.limits);
        if !is_new && instances == self.instances {
            return;
        }
        self.instances = instances;
        for group in 0..GROUP_COUNT {
            self.recompute(now, group);
        }
        if is_new {
            self.replace_limits(limits);
        }
    }

    /// Counts no share any more, because the node leaves.
    pub fn leave(&mut self, now: Time) {
        self.leaving = true;
        self.holders.release();
        for group in 0..GROUP_COUNT {
            self.recompute(now, group);
        }
    }

    /// Handles a request; `None` if it is for another process or was overtaken by a newer one.
    pub fn handle(&mut self, now: Time, request: &Request) -> Option<Response> {
        if request.granter != self.id || request.asks.len() > MAX_ASKS {
            return None;
        }
        match self.holders.classify(request.holder, request.number) {
            Arrival::Overtaken => return None,
            Arrival::Repeated(response) if response.leaving == self.leaving => {
                return Some(response);
            }
            Arrival::Repeated(_) | Arrival::New => {}
        }
        let mut response = Response {
            granter: self.id,
            holder: request.holder,
            number: request.number,
            reading: now,
            leaving: self.leaving,
            grants: Vec::new(),
        };
        if self.leaving {
            return Some(response);
        }
        for group in 0..GROUP_COUNT {
            self.advance(now, group);
        }
        let changed = self.holders.record(now, request, response.clone())?;
        for group in changed.iter() {
            self.recompute(now, group);
        }
        let grants = request
            .asks
            .iter()
            .filter_map(|ask| self.grant(now, request.holder, ask));
        response.grants = grants.collect();
        self.holders.keep_response(&response);
        Some(response)
    }

    /// Use of each limit of which this node has granted tokens lately, the most used first; at most `count`.
    pub fn list_usage(&self, now: Time, count: usize) -> Vec<Usage> {
        let limited = self.buckets.iter().zip(self.limits.entries());
        let mut usage: Vec<Usage> = limited
            .map(|(bucket, (organisation, limit))| Usage {
                organisation: *organisation,
                part: bucket.used_part(now, *limit),
            })
            .filter(|usage| usage.part >= 0.001)
            .collect();
        usage.sort_unstable_by(|one, other| other.part.total_cmp(&one.part));
        usage.truncate(count);
        usage
    }

    /// Part of the whole that the shares of a group amount to here.
    pub fn fraction(&self, now: Time, group: usize) -> f64 {
        self.holders.sum(now, group, self.instances).0
    }

    fn grant(&mut self, now: Time, holder: NodeId, ask: &Ask) -> Option<Grant> {
        let shares = &self.groups[group_of(ask.organisation)];
        // Without a share the node knows nothing of the bucket, so it does not state that it is empty.
        if shares.fraction <= 0.0 {
            return None;
        }
        let index = self
            .buckets
            .binary_search_by_key(&ask.organisation, |it| it.organisation)
            .ok()?;
        let limit = self.limits.find(ask.organisation)?;
        Some(self.buckets[index].grant(now, limit, shares, holder, ask))
    }

    fn advance(&mut self, now: Time, group: usize) {
        let has_fallen = self.groups[group].advance(now, &self.holders, group, self.instances);
        self.cut_buckets(group, has_fallen);
    }

    fn recompute(&mut self, now: Time, group: usize) {
        let has_fallen = self.groups[group].recompute(now, &self.holders, group, self.instances);
        self.cut_buckets(group, has_fallen);
    }

    /// Cuts buckets when shares have ended. Done at once, since a share that returns brings no tokens with it.
    fn cut_buckets(&mut self, group: usize, has_fallen: bool) {
        if !has_fallen {
            return;
        }
        for (bucket, (_, limit)) in self.buckets.iter_mut().zip(self.limits.entries()) {
            if group_of(bucket.organisation) == group {
                bucket.settle(*limit, &self.groups[group]);
            }
        }
    }

    fn replace_limits(&mut self, limits: &Arc<Limits>) {
        for (bucket, (_, limit)) in self.buckets.iter_mut().zip(self.limits.entries()) {
            bucket.settle(*limit, &self.groups[group_of(bucket.organisation)]);
        }
        let mut old = std::mem::take(&mut self.buckets).into_iter().peekable();
        let buckets = limits.entries().iter().map(|(organisation, limit)| {
            let shares = &self.groups[group_of(*organisation)];
            while old.next_if(|it| it.organisation < *organisation).is_some() {}
            let kept = old.next_if(|it| it.organisation == *organisation);
            let mut bucket = kept.unwrap_or_else(|| Bucket::new(*organisation, shares));
            bucket.settle(*limit, shares);
            bucket
        });
        self.buckets = buckets.collect();
        self.limits = Arc::clone(limits);
    }
}
