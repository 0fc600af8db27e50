//! A fleet of holders and granters over a simulated network, and checks of what it runs.

// Each test binary uses only some of these helpers.
#![allow(dead_code)]
// Clippy allows `unwrap` only in functions that are tests themselves, not in their helpers.
#![allow(clippy::unwrap_used)]

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use ids::NodeId;
use ids::OrganisationId;
use kernel::Random;
use kernel::Time;
use kernel::random::SeededRandom;
use quota::Acquired;
use quota::Candidate;
use quota::Effect;
use quota::Granter;
use quota::Holder;
use quota::Limit;
use quota::Limits;
use quota::Refusal;
use quota::Request;
use quota::Response;
use quota::Ticket;
use quota::TokenLease;
use quota::View;

/// Microseconds in a second and in a millisecond.
pub(crate) const S: u64 = 1_000_000;
pub(crate) const MS: u64 = 1_000;
/// Wait of a request for its token: a quarter of the usual objective.
const WAIT: Duration = Duration::from_millis(62);
/// Length of the windows in which runs are counted.
const WINDOW: u64 = 5 * S;

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Wake(usize),
    Arrive { node: usize, organisation: usize },
    Deliver(usize),
}

#[derive(Clone, Debug)]
enum Message {
    Request(Request),
    Response(Response),
}

struct SimNode {
    id: NodeId,
    holder: Holder,
    granter: Granter,
    /// Start of the process's clock; the clocks of two processes have nothing in common.
    epoch: u64,
    alive: bool,
    frozen_until: u64,
    wake_at: u64,
}

/// Network between nodes.
pub(crate) struct Network {
    pub(crate) loss_percent: usize,
    pub(crate) duplicate_percent: usize,
    pub(crate) min_delay: u64,
    pub(crate) max_delay: u64,
    /// Side of each node; nodes of different sides do not reach each other.
    pub(crate) sides: Vec<u8>,
}

pub(crate) struct Fleet {
    pub(crate) now: u64,
    pub(crate) random: SeededRandom,
    pub(crate) network: Network,
    pub(crate) limits: Arc<Limits>,
    pub(crate) organisations: Vec<(OrganisationId, Limit)>,
    nodes: Vec<SimNode>,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    in_transit: Vec<Option<(usize, SocketAddr, Message)>>,
    sequence: u64,
    next_id: u64,
    /// Organisation and time of each token that was spent and not given back.
    pub(crate) runs: Vec<(usize, u64)>,
    /// Node and time of each of them.
    pub(crate) run_nodes: Vec<(usize, u64)>,
    pub(crate) refused: Vec<(usize, u64, Refusal)>,
    pub(crate) messages: u64,
    /// Part of the requests that end as not run and give their token back, in percent.
    pub(crate) give_back_percent: usize,
    /// Whether the shares are summed up every 10 ms; only if all nodes know the same number of instances.
    pub(crate) checks_shares: bool,
    /// Whether refused requests come again when they were told to.
    pub(crate) retry: bool,
}

/// Sizes by a Zipf law: 83 organisations with 2,000 requests a second together, limits of 1.6 times the usual rate and
/// bursts of a second.
pub(crate) fn zipf_rates(count: usize, total: f64) -> Vec<f64> {
    let weights: Vec<f64> = (1..=count).map(|rank| (rank as f64).powf(-0.87)).collect();
    let sum: f64 = weights.iter().sum();
    weights.iter().map(|it| it / sum * total).collect()
}

pub(crate) fn limits_of(rates: &[f64]) -> Vec<(OrganisationId, Limit)> {
    let limit = |rate: f64| Limit {
        per_second: 1.6 * rate,
        burst: 1.6 * rate,
    };
    rates
        .iter()
        .enumerate()
        .map(|(index, rate)| {
            (
                OrganisationId::from_name(&format!("o{index}")),
                limit(*rate),
            )
        })
        .collect()
}

fn address(node: usize) -> SocketAddr {
    let [high, low] = (node as u16).to_be_bytes();
    SocketAddr::new(Ipv4Addr::new(10, 0, high, low).into(), 7_000)
}

fn index_of(address: SocketAddr) -> usize {
    let IpAddr::V4(ip) = address.ip() else {
        unreachable!()
    };
    let [_, _, high, low] = ip.octets();
    usize::from(high) * 256 + usize::from(low)
}

impl Fleet {
    pub(crate) fn new(
        seed: u64,
        nodes: usize,
        organisations: Vec<(OrganisationId, Limit)>,
    ) -> Self {
        let network = Network {
            loss_percent: 0,
            duplicate_percent: 0,
            min_delay: 500,
            max_delay: 1_500,
            sides: vec![0; nodes],
        };
        let mut fleet = Self {
            now: 100 * S,
            random: SeededRandom::new(seed),
            network,
            limits: Arc::new(Limits::new(organisations.clone())),
            organisations,
            nodes: Vec::new(),
            events: BinaryHeap::new(),
            in_transit: Vec::new(),
            sequence: 0,
            next_id: 1,
            runs: Vec::new(),
            run_nodes: Vec::new(),
            refused: Vec::new(),
            messages: 0,
            give_back_percent: 0,
            checks_shares: false,
            retry: false,
        };
        for _ in 0..nodes {
            let node = fleet.make_node();
            fleet.nodes.push(node);
        }
        let all: Vec<usize> = (0..nodes).collect();
        for observer in 0..nodes {
            fleet.set_view(observer, &all, nodes);
        }
        fleet
    }

    pub(crate) fn len(&self) -> usize {
        self.nodes.len()
    }

    fn make_node(&mut self) -> SimNode {
        let id = NodeId(self.next_id);
        self.next_id += 1;
        let epoch = self.now - 1 - self.random.below(50) as u64 * S;
        let now = Time(self.now - epoch);
        SimNode {
            id,
            holder: Holder::new(id, now),
            granter: Granter::new(id),
            epoch,
            alive: true,
            frozen_until: 0,
            wake_at: u64::MAX,
        }
    }

    /// Gives a node a member table with these live nodes.
    pub(crate) fn set_view(&mut self, observer: usize, live: &[usize], instances: usize) {
        let candidates = live.iter().map(|it| Candidate {
            node: self.nodes[*it].id,
            address: address(*it),
        });
        let view = View {
            instances: instances as u32,
            may_delegate: true,
            candidates: candidates.collect(),
        };
        let limits = Arc::clone(&self.limits);
        let now = self.time_of(observer);
        let mut effects = Vec::new();
        let node = &mut self.nodes[observer];
        node.granter.update(now, &limits, view.instances);
        node.holder.update(now, &limits, view, &mut effects);
        self.apply(observer, effects);
    }

    pub(crate) fn kill(&mut self, node: usize) {
        self.nodes[node].alive = false;
    }

    /// Starts a new process on an instance; it does not know the fleet yet.
    pub(crate) fn restart(&mut self, node: usize) {
        self.nodes[node] = self.make_node();
    }

    pub(crate) fn freeze(&mut self, node: usize, duration: u64) {
        self.nodes[node].frozen_until = self.now + duration;
        self.push(self.now + duration, Event::Wake(node));
    }

    /// Lets a granter hand its shares back.
    pub(crate) fn leave(&mut self, node: usize) {
        let now = self.time_of(node);
        self.nodes[node].granter.leave(now);
    }

    /// Node that grants the tokens of an organisation as most nodes see it.
    pub(crate) fn granter_of(&self, organisation: usize) -> usize {
        let group = (self.organisations[organisation].0.0 % quota::GROUP_COUNT as u64) as usize;
        let id = self
            .nodes
            .iter()
            .find_map(|it| it.holder.granter_of(group).filter(|_| it.alive))
            .unwrap();
        self.nodes.iter().position(|it| it.id == id).unwrap()
    }

    /// Adds requests of an organisation at random times with this mean rate; `node` chooses where.
    pub(crate) fn add_load(
        &mut self,
        organisation: usize,
        per_second: f64,
        (from, to): (u64, u64),
        mut node: impl FnMut(u64, &mut SeededRandom) -> usize,
    ) {
        let mut at = from as f64;
        loop {
            let uniform = (self.random.next_u64() >> 11) as f64 / (1_u64 << 53) as f64;
            at += -(1.0 - uniform).ln() / per_second * S as f64;
            if at >= to as f64 {
                return;
            }
            let node = node(at as u64, &mut self.random);
            self.push(at as u64, Event::Arrive { node, organisation });
        }
    }

    pub(crate) fn run_until(&mut self, end: u64) {
        while self
            .events
            .peek()
            .is_some_and(|Reverse((at, _, _))| *at <= end)
        {
            let Reverse((at, _, event)) = self.events.pop().unwrap();
            if self.checks_shares && at / (10 * MS) > self.now / (10 * MS) {
                self.check_shares();
            }
            self.now = self.now.max(at);
            let (Event::Wake(node) | Event::Arrive { node, .. }) = event else {
                let Event::Deliver(index) = event else {
                    unreachable!()
                };
                self.deliver(index);
                continue;
            };
            self.handle(node, event);
        }
        self.now = end;
    }

    fn handle(&mut self, node: usize, event: Event) {
        if !self.nodes[node].alive {
            return;
        }
        if self.nodes[node].frozen_until > self.now {
            return self.push(self.nodes[node].frozen_until, event);
        }
        let now = self.time_of(node);
        let mut effects = Vec::new();
        match event {
            Event::Arrive { organisation, .. } => {
                let id = self.organisations[organisation].0;
                let holder = &mut self.nodes[node].holder;
                match holder.acquire(now, id, now + WAIT, &mut effects) {
                    Acquired::Token(lease) => self.spend(node, organisation, lease),
                    Acquired::Refused(refusal) => self.refuse(organisation, refusal),
                    Acquired::Waiting(_) | Acquired::Unlimited => {}
                }
            }
            _ => {
                if self.nodes[node].wake_at <= self.now {
                    self.nodes[node].wake_at = u64::MAX;
                }
                self.nodes[node].holder.wake(now, &mut effects);
            }
        }
        self.apply(node, effects);
    }

    fn deliver(&mut self, index: usize) {
        let Some((node, from, message)) = self.in_transit[index].take() else {
            return;
        };
        if !self.nodes[node].alive {
            return;
        }
        if self.nodes[node].frozen_until > self.now {
            let at = self.nodes[node].frozen_until;
            self.in_transit[index] = Some((node, from, message));
            return self.push(at, Event::Deliver(index));
        }
        let now = self.time_of(node);
        let mut effects = Vec::new();
        match message {
            Message::Request(request) => {
                if let Some(response) = self.nodes[node].granter.handle(now, &request) {
                    self.transmit(node, from, Message::Response(response));
                }
            }
            Message::Response(response) => {
                self.nodes[node]
                    .holder
                    .receive(now, &response, &mut effects);
            }
        }
        self.apply(node, effects);
    }

    fn apply(&mut self, node: usize, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Send { to, request } if index_of(to) == node => {
                    let now = self.time_of(node);
                    let mut next = Vec::new();
                    if let Some(response) = self.nodes[node].granter.handle(now, &request) {
                        self.nodes[node].holder.receive(now, &response, &mut next);
                    }
                    self.apply(node, next);
                }
                Effect::Send { to, request } => self.transmit(node, to, Message::Request(request)),
                Effect::Resolve { ticket, result } => self.resolve(node, ticket, result),
                Effect::GranterChanged { .. } => {}
            }
        }
        let now = self.time_of(node);
        let epoch = self.nodes[node].epoch;
        if let Some(due) = self.nodes[node].holder.next_wake(now) {
            let at = (due.0.saturating_add(epoch)).max(self.now + MS);
            if at < self.nodes[node].wake_at {
                self.nodes[node].wake_at = at;
                self.push(at, Event::Wake(node));
            }
        }
    }

    fn resolve(&mut self, node: usize, ticket: Ticket, result: Result<TokenLease, Refusal>) {
        let organisation = self
            .organisations
            .iter()
            .position(|it| it.0 == ticket.organisation());
        let organisation = organisation.unwrap();
        match result {
            Ok(lease) => self.spend(node, organisation, lease),
            Err(refusal) => self.refuse(organisation, refusal),
        }
    }

    fn spend(&mut self, node: usize, organisation: usize, lease: TokenLease) {
        let now = self.time_of(node);
        assert!(lease.lapses > now, "a token is spent after it has lapsed");
        if self.random.below(100) < self.give_back_percent {
            let mut effects = Vec::new();
            let id = self.organisations[organisation].0;
            self.nodes[node]
                .holder
                .give_back(now, id, lease, &mut effects);
            return self.apply(node, effects);
        }
        self.runs.push((organisation, self.now));
        self.run_nodes.push((node, self.now));
    }

    fn refuse(&mut self, organisation: usize, refusal: Refusal) {
        self.refused.push((organisation, self.now, refusal));
        if self.retry {
            let (Refusal::Reached(wait) | Refusal::Unknown(wait)) = refusal;
            let node = self.random.below(self.nodes.len());
            self.push(
                self.now + wait.as_micros() as u64,
                Event::Arrive { node, organisation },
            );
        }
    }

    fn transmit(&mut self, from: usize, to: SocketAddr, message: Message) {
        self.messages += 1;
        let to = index_of(to);
        let cut = self.network.sides[from] != self.network.sides[to];
        if cut || self.random.below(100) < self.network.loss_percent {
            return;
        }
        let copies = 1 + usize::from(self.random.below(100) < self.network.duplicate_percent);
        for _ in 0..copies {
            let spread = (self.network.max_delay - self.network.min_delay + 1) as usize;
            let delay = self.network.min_delay + self.random.below(spread) as u64;
            self.in_transit
                .push(Some((to, address(from), message.clone())));
            self.push(self.now + delay, Event::Deliver(self.in_transit.len() - 1));
        }
    }

    fn time_of(&self, node: usize) -> Time {
        Time(self.now - self.nodes[node].epoch)
    }

    fn push(&mut self, at: u64, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    /// Checks the bound on windows of 5 s, and on shorter ones what the design promises if nodes agree on the number of
    /// instances: the burst, and the rate for the window and one token life.
    pub(crate) fn check_bound(&self) {
        self.check_windows(WINDOW, |limit| {
            (limit.per_second * 5.0 + limit.burst) * 1.1 + 20.0
        });
    }

    pub(crate) fn check_promise(&self) {
        self.check_bound();
        for window in [S / 2, S, 3 * S] {
            let time = window as f64 / S as f64 + quota::TOKEN_LIFE.as_secs_f64();
            self.check_windows(window, |limit| limit.per_second * time + limit.burst + 5.0);
        }
    }

    fn check_windows(&self, window: u64, bound: impl Fn(Limit) -> f64) {
        for (organisation, (_, limit)) in self.organisations.iter().enumerate() {
            let runs = self.runs.iter().filter(|it| it.0 == organisation);
            let mut times: Vec<u64> = runs.map(|it| it.1).collect();
            times.sort_unstable();
            let (bound, mut first) = (bound(*limit), 0);
            for (index, at) in times.iter().enumerate() {
                while *at - times[first] > window {
                    first += 1;
                }
                let count = index + 1 - first;
                assert!(
                    count as f64 <= bound,
                    "{count} runs of organisation {organisation} in {window} us, {bound} allowed"
                );
            }
        }
    }

    /// Checks that no share counts at two granters. Processes that have ended count nothing.
    fn check_shares(&self) {
        for group in 0..quota::GROUP_COUNT {
            let alive = (0..self.nodes.len()).filter(|it| self.nodes[*it].alive);
            let sum: f64 = alive
                .map(|it| self.nodes[it].granter.fraction(self.time_of(it), group))
                .sum();
            assert!(sum <= 1.000_001, "{sum} of the whole is delegated");
        }
    }

    pub(crate) fn count_runs(&self, organisation: usize, (from, to): (u64, u64)) -> usize {
        self.runs
            .iter()
            .filter(|it| it.0 == organisation && (from..to).contains(&it.1))
            .count()
    }

    pub(crate) fn count_refused(&self, organisation: usize, (from, to): (u64, u64)) -> usize {
        self.refused
            .iter()
            .filter(|it| it.0 == organisation && (from..to).contains(&it.1))
            .count()
    }
}
