//! Tokens of one organisation at a holder, and the requests that wait for them.

use std::collections::VecDeque;
use std::time::Duration;

use crate::Ask;
use crate::Grant;
use crate::batch::Batches;
use ids::NodeId;
use ids::OrganisationId;
use kernel::Time;

/// Time over which the rate of requests is averaged.
const AVERAGE_TIME: Duration = Duration::from_millis(500);
/// Time for which tokens are asked in advance: longer than the longest pause between two asks takes effect.
const FORECAST_TIME: Duration = Duration::from_millis(250);
/// Time without requests after which nothing is kept of an organisation.
const IDLE_TIME: Duration = Duration::from_secs(10);
/// `retry_after` of a request whose limit is not known.
pub(crate) const UNKNOWN_RETRY: Duration = Duration::from_millis(300);
/// Longest `retry_after`.
const MAX_RETRY: Duration = Duration::from_secs(5);

/// A request that waits for a token.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Waiter {
    pub(crate) number: u64,
    pub(crate) give_up: Time,
}

/// State of one organisation at a holder.
#[derive(Debug)]
pub(crate) struct Demand {
    pub(crate) organisation: OrganisationId,
    pub(crate) tokens: Batches,
    pub(crate) waiters: VecDeque<Waiter>,
    /// Requests that have come, averaged over [`AVERAGE_TIME`].
    arrivals: f64,
    arrived_at: Time,
    /// Time before which the granter wants no further ask.
    pub(crate) paused_until: Time,
    /// Time at which the granter expects tokens for what it did not grant.
    retry_at: Time,
    /// Additional wait of each request that is refused after those the granter knows of.
    retry_step: Duration,
    /// Need at the last ask.
    asked: u32,
    refused: u32,
}

impl Demand {
    pub(crate) fn new(organisation: OrganisationId) -> Self {
        Self {
            organisation,
            tokens: Batches::default(),
            waiters: VecDeque::new(),
            arrivals: 0.0,
            arrived_at: Time(0),
            paused_until: Time(0),
            retry_at: Time(0),
            retry_step: Duration::ZERO,
            asked: 0,
            refused: 0,
        }
    }

    pub(crate) fn record_arrival(&mut self, now: Time) {
        self.arrivals = self.average(now) + 1.0;
        self.arrived_at = now;
    }

    fn average(&self, now: Time) -> f64 {
        let elapsed = now.since(self.arrived_at).as_secs_f64();
        self.arrivals * (-elapsed / AVERAGE_TIME.as_secs_f64()).exp()
    }

    /// Requests that are likely to come until the next ask.
    pub(crate) fn forecast(&self, now: Time) -> u64 {
        let per_second = self.average(now) / AVERAGE_TIME.as_secs_f64();
        (per_second * FORECAST_TIME.as_secs_f64()) as u64
    }

    /// Whether fewer tokens are left than half of what is likely to be needed.
    pub(crate) fn is_low(&self, now: Time) -> bool {
        now >= self.paused_until && self.tokens.count(now) * 2 < self.forecast(now)
    }

    /// Whether a request that waits could get a token by asking now.
    pub(crate) fn is_urgent(&self, now: Time) -> bool {
        !self.waiters.is_empty() && now >= self.paused_until
    }

    pub(crate) fn is_idle(&self, now: Time) -> bool {
        self.waiters.is_empty() && now.since(self.arrived_at) > IDLE_TIME
    }

    /// What to ask `granter` for; `None` if nothing is needed or to be returned.
    pub(crate) fn make_ask(&mut self, now: Time, granter: NodeId) -> Option<Ask> {
        self.tokens.expire(now);
        let forecast = self.forecast(now);
        let waiting = self.waiters.len() as u64;
        // Twice the forecast allows for the variation of arrivals; one token more is not worth a return.
        let keep = if waiting == 0 {
            2 * forecast + 1
        } else {
            u64::MAX
        };
        let surplus = self.tokens.take_surplus(now, granter, keep);
        let (returned, granted_at) = surplus.unwrap_or_default();
        let may_ask = now >= self.paused_until;
        let missing = forecast.saturating_sub(self.tokens.count(now));
        let ask = Ask {
            organisation: self.organisation,
            waiting: saturate(if may_ask { waiting } else { 0 }),
            forecast: saturate(if may_ask { missing } else { 0 }),
            returned,
            granted_at,
        };
        let need = u32::from(ask.waiting) + u32::from(ask.forecast);
        if need > 0 {
            self.asked = need;
        }
        (need > 0 || returned > 0).then_some(ask)
    }

    /// Records what the granter has decided. The tokens are added by the caller.
    pub(crate) fn record_grant(&mut self, now: Time, grant: &Grant) {
        self.paused_until = now + grant.pause;
        self.retry_at = now + grant.retry_after;
        let unmet = self.asked.saturating_sub(grant.tokens.into()).max(1);
        self.retry_step = grant.retry_after / unmet;
        self.refused = 0;
    }

    /// Time until a request that is refused at present should come again; `None` if the granter has not stated that the
    /// limit is reached.
    pub(crate) fn estimate_retry(&mut self, now: Time) -> Option<Duration> {
        if self.retry_at <= now {
            return None;
        }
        self.refused = self.refused.saturating_add(1);
        // The granter counted the requests of the last ask; only those beyond them wait longer.
        let beyond = self.refused.saturating_sub(self.asked);
        let wait = now.until(self.retry_at) + self.retry_step.saturating_mul(beyond);
        Some(wait.min(MAX_RETRY))
    }
}

fn saturate(value: u64) -> u16 {
    u16::try_from(value).unwrap_or(u16::MAX)
}
