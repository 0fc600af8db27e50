//! Spending side: delegates the share of this instance, asks granters for tokens and spends them.

mod delegate;

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::Candidate;
use crate::Limits;
use crate::Request;
use crate::Response;
use crate::START_DELAY;
use crate::TOKEN_LIFE;
use crate::TokenLease;
use crate::View;
use crate::demand::Demand;
use crate::demand::UNKNOWN_RETRY;
use crate::demand::Waiter;
use crate::group::GROUP_COUNT;
use crate::group::group_of;
use crate::link::Link;
use ids::NodeId;
use ids::OrganisationId;
use kernel::Time;

/// Largest number of requests that wait for tokens.
const MAX_WAITERS: usize = 4_096;
/// Time for which a silent or leaving granter is not chosen again.
const AVOID_TIME: Duration = Duration::from_secs(5);
/// Largest number of granters that are avoided.
const MAX_AVOIDED: usize = 64;

/// Request that waits for a token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ticket {
    organisation: OrganisationId,
    number: u64,
}

impl Ticket {
    /// Number of the ticket, unique at its holder; tickets are numbered in ascending order.
    pub fn number(self) -> u64 {
        self.number
    }

    /// Organisation whose token the request waits for.
    pub fn organisation(self) -> OrganisationId {
        self.organisation
    }
}

/// Why a request gets no token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The limit is reached; a token is likely to be free after this time.
    Reached(Duration),
    /// The granter cannot be asked; the request may come again after this time.
    Unknown(Duration),
}

/// Answer to a request for a token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Acquired {
    /// The organisation has no limit.
    Unlimited,
    /// The token is spent.
    Token(TokenLease),
    /// An [`Effect::Resolve`] with this ticket follows.
    Waiting(Ticket),
    /// The request gets no token.
    Refused(Refusal),
}

/// What the driver has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Send a request to a granter, which can be this node.
    Send { to: SocketAddr, request: Request },
    /// Answer a waiting request.
    Resolve {
        ticket: Ticket,
        result: Result<TokenLease, Refusal>,
    },
    /// The share of a group goes to another granter from now on; `silent` if the one before does not respond.
    GranterChanged {
        group: usize,
        granter: NodeId,
        silent: bool,
    },
}

/// Delegation of one group.
#[derive(Clone, Copy, Debug, Default)]
struct Delegation {
    granter: Option<NodeId>,
    /// Time until which a granter may count the share, and that granter.
    counted: Option<(NodeId, Time)>,
    /// Request to the present granter that ends the delegation, and the granter that follows.
    release: Option<(u64, NodeId)>,
}

/// Holder of one node. Its state ends with the process.
#[derive(Debug)]
pub struct Holder {
    id: NodeId,
    /// Time from which the node may delegate.
    start: Time,
    view: View,
    limits: Arc<Limits>,
    ranked: [Vec<Candidate>; GROUP_COUNT],
    groups: [Delegation; GROUP_COUNT],
    /// Sorted by node.
    links: Vec<Link>,
    /// Granters that are not chosen until a time.
    avoided: Vec<(NodeId, Time)>,
    /// Sorted by organisation.
    demands: Vec<Demand>,
    last_request: u64,
    last_ticket: u64,
    waiting: usize,
}

impl Holder {
    /// Creates the holder of the node `id`, whose process started at `now`.
    pub fn new(id: NodeId, now: Time) -> Self {
        Self {
            id,
            start: now + START_DELAY,
            view: View::default(),
            limits: Arc::default(),
            ranked: Default::default(),
            groups: Default::default(),
            links: Vec::new(),
            avoided: Vec::new(),
            demands: Vec::new(),
            last_request: 0,
            last_ticket: 0,
            waiting: 0,
        }
    }

    /// Takes new limits or another view of the fleet.
    pub fn update(
        &mut self,
        now: Time,
        limits: &Arc<Limits>,
        view: View,
        effects: &mut Vec<Effect>,
    ) {
        self.limits = Arc::clone(limits);
        if view.candidates != self.view.candidates {
            self.ranked = view.rank();
        }
        self.view = view;
        self.wake(now, effects);
    }

    /// Spends a token for a request, which waits for one until `give_up` if none is at hand.
    pub fn acquire(
        &mut self,
        now: Time,
        organisation: OrganisationId,
        give_up: Time,
        effects: &mut Vec<Effect>,
    ) -> Acquired {
        if self.limits.find(organisation).is_none() {
            return Acquired::Unlimited;
        }
        let is_full = self.waiting >= MAX_WAITERS;
        let demand = self.demand_mut(organisation);
        demand.record_arrival(now);
        if demand.waiters.is_empty()
            && let Some(lease) = demand.tokens.take(now)
        {
            if demand.is_low(now) {
                self.send_due(now, effects);
            }
            return Acquired::Token(lease);
        }
        if demand.paused_until > now && demand.paused_until >= give_up || is_full {
            let retry = demand.estimate_retry(now);
            return Acquired::Refused(refusal(retry));
        }
        self.last_ticket += 1;
        let number = self.last_ticket;
        self.waiting += 1;
        let demand = self.demand_mut(organisation);
        demand.waiters.push_back(Waiter { number, give_up });
        self.send_due(now, effects);
        Acquired::Waiting(Ticket {
            organisation,
            number,
        })
    }

    /// Ends the wait of a request whose caller has left.
    pub fn cancel(&mut self, ticket: Ticket) {
        if let Some(demand) = self.find_demand(ticket.organisation)
            && let Ok(index) = demand
                .waiters
                .binary_search_by_key(&ticket.number, |it| it.number)
        {
            demand.waiters.remove(index);
            self.waiting -= 1;
        }
    }

    /// Takes back the token of a request that has not run.
    pub fn give_back(
        &mut self,
        now: Time,
        organisation: OrganisationId,
        lease: TokenLease,
        effects: &mut Vec<Effect>,
    ) {
        if let Some(demand) = self
            .find_demand(organisation)
            .filter(|_| lease.lapses > now)
        {
            demand.tokens.add(lease, 1);
            self.serve_waiters(now, organisation, effects);
        }
    }

    /// Handles the response of a granter.
    pub fn receive(&mut self, now: Time, response: &Response, effects: &mut Vec<Effect>) {
        if response.holder != self.id {
            return;
        }
        let Ok(index) = self.find_link(response.granter) else {
            return;
        };
        let Some(sent_at) = self.links[index].record_response(now, response) else {
            return;
        };
        if response.leaving {
            self.forget_granter(now, response.granter);
        }
        self.complete_releases(response, effects);
        let lapses = sent_at + TOKEN_LIFE;
        for grant in &response.grants {
            let lease = TokenLease {
                lapses,
                granter: response.granter,
                granted_at: response.reading,
            };
            let Some(demand) = self.find_demand(grant.organisation) else {
                continue;
            };
            demand.record_grant(now, grant);
            if lapses > now {
                demand.tokens.add(lease, grant.tokens);
            }
            self.serve_waiters(now, grant.organisation, effects);
            self.refuse_hopeless(now, grant.organisation, effects);
        }
        self.wake(now, effects);
    }

    /// Handles all timers that are due.
    pub fn wake(&mut self, now: Time, effects: &mut Vec<Effect>) {
        self.expire_waiters(now, effects);
        self.choose_granters(now, effects);
        self.send_due(now, effects);
        self.demands.retain(|it| !it.is_idle(now));
        let groups = &self.groups;
        let ranked = &self.ranked;
        self.links.retain(|link| {
            let is_used = |it: &Delegation| it.granter == Some(link.node);
            let is_first = |it: &Vec<Candidate>| it.first().is_some_and(|it| it.node == link.node);
            groups.iter().any(is_used) || ranked.iter().any(is_first)
        });
    }

    /// Time at which [`Holder::wake`] has to be called next; `None` if there is nothing to do.
    pub fn next_wake(&self, now: Time) -> Option<Time> {
        if self.limits.is_empty() {
            return None;
        }
        let heartbeats = self.links.iter().map(Link::next_heartbeat);
        let waits = self.demands.iter().filter_map(|it| {
            let first = it.waiters.front()?;
            let granter = self.groups[group_of(it.organisation)].granter;
            let link = granter.and_then(|node| self.find_link(node).ok());
            let urgent = link.map(|index| self.links[index].next_urgent().max(it.paused_until));
            Some(urgent.map_or(first.give_up, |at| at.min(first.give_up)))
        });
        let due = self
            .links
            .iter()
            .filter(|it| self.is_delegation_due(now, it));
        heartbeats
            .chain(waits)
            .chain(due.map(Link::next_urgent))
            .min()
    }

    /// Granter that a group's share goes to.
    pub fn granter_of(&self, group: usize) -> Option<NodeId> {
        self.groups.get(group)?.granter
    }

    fn find_link(&self, node: NodeId) -> Result<usize, usize> {
        self.links.binary_search_by_key(&node, |it| it.node)
    }

    fn find_demand(&mut self, organisation: OrganisationId) -> Option<&mut Demand> {
        let index = self
            .demands
            .binary_search_by_key(&organisation, |it| it.organisation);
        Some(&mut self.demands[index.ok()?])
    }

    fn demand_mut(&mut self, organisation: OrganisationId) -> &mut Demand {
        let index = match self
            .demands
            .binary_search_by_key(&organisation, |it| it.organisation)
        {
            Ok(index) => index,
            Err(index) => {
                self.demands.insert(index, Demand::new(organisation));
                index
            }
        };
        &mut self.demands[index]
    }

    fn serve_waiters(
        &mut self,
        now: Time,
        organisation: OrganisationId,
        effects: &mut Vec<Effect>,
    ) {
        let Some(demand) = self.find_demand(organisation) else {
            return;
        };
        let mut served = 0;
        while let Some(first) = demand.waiters.front().copied()
            && let Some(lease) = demand.tokens.take(now)
        {
            demand.waiters.pop_front();
            served += 1;
            let ticket = Ticket {
                organisation,
                number: first.number,
            };
            effects.push(Effect::Resolve {
                ticket,
                result: Ok(lease),
            });
        }
        self.waiting -= served;
    }

    /// Refuses the requests that would not be served before their wait ends.
    fn refuse_hopeless(
        &mut self,
        now: Time,
        organisation: OrganisationId,
        effects: &mut Vec<Effect>,
    ) {
        self.refuse_waiters(now, organisation, effects, |demand, waiter| {
            demand.paused_until > now && waiter.give_up <= demand.paused_until
        });
    }

    fn expire_waiters(&mut self, now: Time, effects: &mut Vec<Effect>) {
        for index in 0..self.demands.len() {
            let organisation = self.demands[index].organisation;
            self.refuse_waiters(now, organisation, effects, |_, waiter| {
                waiter.give_up <= now
            });
        }
    }

    fn refuse_waiters(
        &mut self,
        now: Time,
        organisation: OrganisationId,
        effects: &mut Vec<Effect>,
        is_refused: impl Fn(&Demand, &Waiter) -> bool,
    ) {
        let Some(demand) = self.find_demand(organisation) else {
            return;
        };
        let waiters = std::mem::take(&mut demand.waiters);
        let (refused, kept) = waiters
            .into_iter()
            .partition::<VecDeque<_>, _>(|it| is_refused(demand, it));
        demand.waiters = kept;
        let count = refused.len();
        for waiter in refused {
            let retry = demand.estimate_retry(now);
            let ticket = Ticket {
                organisation,
                number: waiter.number,
            };
            effects.push(Effect::Resolve {
                ticket,
                result: Err(refusal(retry)),
            });
        }
        self.waiting -= count;
    }
}

fn refusal(retry: Option<Duration>) -> Refusal {
    retry.map_or(Refusal::Unknown(UNKNOWN_RETRY), Refusal::Reached)
}
