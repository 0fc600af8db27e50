//! Token bucket of one organisation at its granter.

use std::time::Duration;

use crate::Ask;
use crate::Grant;
use crate::Limit;
use crate::RETURN_TIME;
use crate::share::GroupShares;
use ids::NodeId;
use ids::OrganisationId;
use kernel::Time;

/// Shortest and longest time for which a holder that did not get all that it asked for asks no more.
const MIN_PAUSE: Duration = Duration::from_millis(30);
const MAX_PAUSE: Duration = Duration::from_millis(250);
/// Time for which the demand that a node has reported counts.
const DEMAND_TIME: Duration = Duration::from_millis(300);
/// Longest time that a refused request is told to wait.
const MAX_RETRY: Duration = Duration::from_secs(5);
/// Part of the whole from which a bucket holds at least one token, so that a small burst does not refuse everything
/// while a few instances are missing. At most five granters can have it.
const WHOLE_TOKEN_FRACTION: f64 = 0.2;
/// Time over which the use of a limit is averaged.
const USE_TIME: Duration = Duration::from_secs(5);
/// Largest number of nodes whose demand is kept.
const MAX_DEMANDS: usize = 4_096;

/// Token bucket of one organisation.
#[derive(Debug)]
pub(crate) struct Bucket {
    pub(crate) organisation: OrganisationId,
    level: f64,
    /// Integral of the group's shares up to which the bucket is filled.
    filled: f64,
    /// Need of each node at its last ask, sorted by node.
    demands: Vec<(NodeId, u32, Time)>,
    /// Requests that were told to come back, less what has come in since.
    backlog: f64,
    backlog_at: Time,
    /// Tokens granted, averaged over [`USE_TIME`].
    used: f64,
    used_at: Time,
}

impl Bucket {
    /// Creates an empty bucket. It starts empty, because its predecessor at another granter may have granted a burst.
    pub(crate) fn new(organisation: OrganisationId, shares: &GroupShares) -> Self {
        Self {
            organisation,
            level: 0.0,
            filled: shares.integral,
            demands: Vec::new(),
            backlog: 0.0,
            backlog_at: Time(0),
            used: 0.0,
            used_at: Time(0),
        }
    }

    /// Fills the bucket up to the present and cuts it to its size.
    pub(crate) fn settle(&mut self, limit: Limit, shares: &GroupShares) {
        let gained = limit.per_second * (shares.integral - self.filled).max(0.0);
        self.filled = shares.integral;
        self.level = (self.level + gained).min(capacity(limit, shares.fraction));
    }

    /// Grants what an ask needs, or its part of what there is.
    pub(crate) fn grant(
        &mut self,
        now: Time,
        limit: Limit,
        shares: &GroupShares,
        holder: NodeId,
        ask: &Ask,
    ) -> Grant {
        self.settle(limit, shares);
        self.put_back(now, limit, shares, ask);
        let need = u32::from(ask.waiting) + u32::from(ask.forecast);
        let capacity = capacity(limit, shares.fraction);
        let rate = limit.per_second * shares.fraction;
        let pause = seconds(capacity / (2.0 * rate)).clamp(MIN_PAUSE, MAX_PAUSE);
        let total = f64::from(self.record_demand(now, holder, need));
        let tokens = if total <= self.level {
            need
        } else {
            let income = rate * pause.as_secs_f64();
            let part = self.level.max(income) * f64::from(need) / total;
            let least = u32::from(ask.waiting.min(1));
            whole(part).max(least).min(need).min(whole(self.level))
        };
        let tokens = u16::try_from(tokens).unwrap_or(u16::MAX);
        self.level -= f64::from(tokens);
        self.count_use(now, f64::from(tokens));
        let retry_after = self.estimate_wait(now, rate, need.saturating_sub(tokens.into()));
        Grant {
            organisation: ask.organisation,
            tokens,
            retry_after,
            pause: if retry_after.is_zero() {
                Duration::ZERO
            } else {
                retry_after.clamp(MIN_PAUSE, pause)
            },
        }
    }

    /// Part of the limit that was used in the last seconds; 1 is all of it.
    pub(crate) fn used_part(&self, now: Time, limit: Limit) -> f64 {
        let decay = (-now.since(self.used_at).as_secs_f64() / USE_TIME.as_secs_f64()).exp();
        self.used * decay / USE_TIME.as_secs_f64() / limit.per_second
    }

    fn put_back(&mut self, now: Time, limit: Limit, shares: &GroupShares, ask: &Ask) {
        let in_time = ask.granted_at <= now && now.since(ask.granted_at) <= RETURN_TIME;
        if ask.returned > 0 && in_time {
            let returned = f64::from(ask.returned);
            let room = (capacity(limit, shares.fraction) - self.level).max(0.0);
            self.level += returned.min(room);
            self.count_use(now, -returned);
        }
    }

    /// Records what a node needs and returns what all need that have asked lately.
    fn record_demand(&mut self, now: Time, holder: NodeId, need: u32) -> u32 {
        self.demands
            .retain(|(_, _, at)| now.since(*at) <= DEMAND_TIME);
        match self.demands.binary_search_by_key(&holder, |it| it.0) {
            Ok(index) => self.demands[index] = (holder, need, now),
            Err(index) if self.demands.len() < MAX_DEMANDS => {
                self.demands.insert(index, (holder, need, now));
            }
            Err(_) => {}
        }
        let needs = self.demands.iter().map(|(_, need, _)| *need);
        needs.fold(0, u32::saturating_add).max(need)
    }

    /// Time until a request that is refused now is likely to get a token, after those refused before it.
    fn estimate_wait(&mut self, now: Time, rate: f64, unmet: u32) -> Duration {
        let came_in = rate * now.since(self.backlog_at).as_secs_f64();
        self.backlog = (self.backlog - came_in).max(0.0);
        self.backlog_at = now;
        if unmet == 0 {
            return Duration::ZERO;
        }
        self.backlog = (self.backlog + f64::from(unmet)).min(rate * MAX_RETRY.as_secs_f64() + 1.0);
        let missing = (self.backlog - self.level).max(1.0 - self.level.fract());
        seconds(missing / rate).clamp(Duration::from_millis(1), MAX_RETRY)
    }

    fn count_use(&mut self, now: Time, tokens: f64) {
        let decay = (-now.since(self.used_at).as_secs_f64() / USE_TIME.as_secs_f64()).exp();
        self.used = (self.used * decay + tokens).max(0.0);
        self.used_at = now;
    }
}

fn capacity(limit: Limit, fraction: f64) -> f64 {
    let burst = limit.burst * fraction;
    if fraction >= WHOLE_TOKEN_FRACTION {
        burst.max(1.0)
    } else {
        burst
    }
}

/// Converts a number of seconds that can be too large or not a number.
fn seconds(value: f64) -> Duration {
    Duration::try_from_secs_f64(value)
        .unwrap_or(MAX_RETRY)
        .min(MAX_RETRY)
}

/// Number of whole tokens in `value`.
fn whole(value: f64) -> u32 {
    value as u32
}
