//! Runs the holder and the granter of the organisations' rate limits, under a lock of their own.
//!
//! Called by the entries' tasks for tokens, by the transport for datagrams and by the control thread when the
//! topology changes. While no organisation has a limit, none of it sends or keeps anything.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::OnceLock;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::sync::oneshot;

use crate::driver::lock;
use crate::limit_log;
use config::Snapshot;
use control::NodeStage;
use control::Topology;
use ids::NodeId;
use ids::OrganisationId;
use kernel::Clock;
use kernel::Time;
use kernel::clock::BootClock;
use member::Stage;
use quota::Acquired;
use quota::Candidate;
use quota::Effect;
use quota::Granter;
use quota::Holder;
use quota::Limit;
use quota::Limits;
use quota::Refusal;
use quota::TokenLease;
use quota::Usage;
use quota::View;
use telemetry::Metrics;
use transport::Datagram;
use transport::Sender;
use wire::rate_limits::Message;

/// Upper bound on the time between two steps of the timers.
const MAX_TIMER_SLEEP: Duration = Duration::from_secs(1);
/// Number of organisations whose use of their limit a node reports.
const MAX_USAGES: usize = 16;

/// Result of a wait for a token.
type Answer = Result<TokenLease, Refusal>;

/// Both state machines and the requests that wait for tokens.
struct State {
    holder: Holder,
    granter: Granter,
    /// Sorted by the number of the ticket.
    waiters: Vec<(u64, oneshot::Sender<Answer>)>,
    /// Time at which the timers run next.
    timer_at: Time,
}

/// Limits compiled from a snapshot, and that snapshot.
#[derive(Default)]
struct Compiled {
    snapshot: Option<Arc<Snapshot>>,
    limits: Arc<Limits>,
}

/// Rate limits of organisations at one node.
pub(crate) struct RateLimits {
    node_id: NodeId,
    clock: BootClock,
    /// Whether an organisation has a limit.
    active: AtomicBool,
    state: Mutex<State>,
    /// Used by the control thread only.
    compiled: Mutex<Compiled>,
    timer_changed: Notify,
    transport: OnceLock<Transport>,
    metrics: Arc<Metrics>,
}

/// Sending side of the transport, and whether the fleet may be this node alone.
struct Transport {
    sender: Arc<dyn Sender>,
    may_be_alone: bool,
}

/// Datagrams that a step has produced; sent after the lock is released.
type Outgoing = Vec<(SocketAddr, Datagram)>;

/// What a request for a token leads to.
pub(crate) enum Wait {
    Unlimited,
    Token(TokenLease),
    Waiting(PendingToken),
    Refused(Refusal),
}

/// Answer that a request waits for.
pub(crate) struct PendingToken {
    pub(crate) ticket: quota::Ticket,
    pub(crate) answer: oneshot::Receiver<Answer>,
}

impl RateLimits {
    pub(crate) fn new(node_id: NodeId, metrics: Arc<Metrics>) -> Self {
        let clock = BootClock;
        let state = State {
            holder: Holder::new(node_id, clock.now()),
            granter: Granter::new(node_id),
            waiters: Vec::new(),
            timer_at: Time(u64::MAX),
        };
        Self {
            node_id,
            clock,
            active: AtomicBool::new(false),
            state: Mutex::new(state),
            compiled: Mutex::default(),
            timer_changed: Notify::new(),
            transport: OnceLock::new(),
            metrics,
        }
    }

    pub(crate) fn set_transport(&self, sender: Arc<dyn Sender>, may_be_alone: bool) {
        // There is one transport in the life of a process.
        let _ = self.transport.set(Transport {
            sender,
            may_be_alone,
        });
    }

    pub(crate) fn is_active(&self) -> bool {
        self.active.load(Ordering::Relaxed)
    }

    /// Takes the limits and the members of a new topology.
    pub(crate) fn refresh(&self, topology: &Topology) {
        let limits = self.compile(topology);
        if limits.is_empty() && !self.is_active() {
            return;
        }
        let view = self.view(topology);
        let now = self.clock.now();
        let mut outgoing = Vec::new();
        {
            let mut state = lock(&self.state);
            state.granter.update(now, &limits, view.instances);
            if limits.is_empty() {
                state.holder = Holder::new(self.node_id, now);
                // Those that wait see that their sender is gone and go on without a limit.
                state.waiters.clear();
            } else {
                let mut effects = Vec::new();
                state.holder.update(now, &limits, view, &mut effects);
                self.apply(now, &mut state, effects, &mut outgoing);
            }
            self.active.store(!limits.is_empty(), Ordering::Relaxed);
            self.schedule(now, &mut state);
        }
        self.send(outgoing);
    }

    pub(crate) fn acquire(&self, organisation: OrganisationId, wait: Duration) -> Wait {
        let now = self.clock.now();
        let mut outgoing = Vec::new();
        let result = {
            let mut state = lock(&self.state);
            let mut effects = Vec::new();
            let acquired = state
                .holder
                .acquire(now, organisation, now + wait, &mut effects);
            let result = match acquired {
                Acquired::Unlimited => Wait::Unlimited,
                Acquired::Token(lease) => Wait::Token(lease),
                Acquired::Refused(refusal) => Wait::Refused(refusal),
                Acquired::Waiting(ticket) => {
                    let (sender, answer) = oneshot::channel();
                    state.waiters.push((ticket.number(), sender));
                    Wait::Waiting(PendingToken { ticket, answer })
                }
            };
            self.apply(now, &mut state, effects, &mut outgoing);
            self.schedule(now, &mut state);
            result
        };
        self.send(outgoing);
        result
    }

    pub(crate) fn cancel(&self, ticket: quota::Ticket) {
        let mut state = lock(&self.state);
        state.holder.cancel(ticket);
        state.take_waiter(ticket.number());
    }

    pub(crate) fn give_back(&self, organisation: OrganisationId, lease: TokenLease) {
        self.step(|now, state, effects| {
            state.holder.give_back(now, organisation, lease, effects);
        });
    }

    /// Handles a datagram of another node.
    pub(crate) fn receive(&self, from: SocketAddr, message: &Message) {
        if !self.is_active() {
            return;
        }
        let mut response = None;
        self.step(|now, state, effects| match message {
            Message::Request(request) => response = state.granter.handle(now, request),
            Message::Response(response) => state.holder.receive(now, response, effects),
        });
        if let Some(response) = response {
            let message = Message::Response(response);
            self.send(vec![(from, Datagram::RateLimits(message))]);
        }
    }

    /// Hands back the shares that other nodes have delegated to this one, because it leaves.
    pub(crate) fn leave(&self) {
        if self.is_active() {
            self.step(|now, state, _| state.granter.leave(now));
        }
    }

    /// Use of the limits that this node grants tokens for, the most used first.
    pub(crate) fn list_usage(&self) -> Vec<Usage> {
        if !self.is_active() {
            return Vec::new();
        }
        lock(&self.state)
            .granter
            .list_usage(self.clock.now(), MAX_USAGES)
    }

    /// Runs the timers until the future is dropped.
    pub(crate) async fn run_timers(&self) {
        loop {
            if !self.is_active() {
                self.timer_changed.notified().await;
                continue;
            }
            self.step(|now, state, effects| state.holder.wake(now, effects));
            let (now, timer_at) = (self.clock.now(), lock(&self.state).timer_at);
            let sleep = now
                .until(timer_at)
                .clamp(Duration::from_millis(1), MAX_TIMER_SLEEP);
            tokio::select! {
                () = tokio::time::sleep(sleep) => {}
                () = self.timer_changed.notified() => {}
            }
        }
    }

    fn step(&self, change: impl FnOnce(Time, &mut State, &mut Vec<Effect>)) {
        let now = self.clock.now();
        let mut outgoing = Vec::new();
        {
            let mut state = lock(&self.state);
            let mut effects = Vec::new();
            change(now, &mut state, &mut effects);
            self.apply(now, &mut state, effects, &mut outgoing);
            self.schedule(now, &mut state);
        }
        self.send(outgoing);
    }

    /// Carries out effects. What the node asks itself as a granter is answered here, without a datagram.
    fn apply(&self, now: Time, state: &mut State, effects: Vec<Effect>, outgoing: &mut Outgoing) {
        let mut pending = effects;
        while !pending.is_empty() {
            let mut next = Vec::new();
            for effect in pending {
                match effect {
                    Effect::Send { request, .. } if request.granter == self.node_id => {
                        if let Some(response) = state.granter.handle(now, &request) {
                            state.holder.receive(now, &response, &mut next);
                        }
                    }
                    Effect::Send { to, request } => {
                        let message = Message::Request(request);
                        outgoing.push((to, Datagram::RateLimits(message)));
                    }
                    Effect::Resolve { ticket, result } => {
                        if let Some(sender) = state.take_waiter(ticket.number())
                            && let Err(Ok(lease)) = sender.send(result)
                        {
                            // The request has ended while it waited.
                            let organisation = ticket.organisation();
                            state.holder.give_back(now, organisation, lease, &mut next);
                        }
                    }
                    Effect::GranterChanged {
                        group,
                        granter,
                        silent,
                    } => {
                        let state = if silent { "silent" } else { "changed" };
                        self.metrics.count_state_change("granter", state);
                        limit_log::log_granter(group, granter, silent);
                    }
                }
            }
            pending = next;
        }
    }

    /// Wakes the timers if they have to run earlier than planned.
    fn schedule(&self, now: Time, state: &mut State) {
        let next = state.holder.next_wake(now).unwrap_or(Time(u64::MAX));
        let is_earlier = next < state.timer_at || state.timer_at <= now;
        state.timer_at = next;
        if is_earlier {
            self.timer_changed.notify_one();
        }
    }

    fn send(&self, outgoing: Outgoing) {
        if let Some(transport) = self.transport.get() {
            for (to, datagram) in outgoing {
                transport.sender.send(to, &datagram);
            }
        }
    }

    fn compile(&self, topology: &Topology) -> Arc<Limits> {
        let mut compiled = lock(&self.compiled);
        let snapshot = topology.snapshot.as_ref();
        let is_same = match (snapshot, &compiled.snapshot) {
            (Some(one), Some(other)) => Arc::ptr_eq(one, other),
            (None, None) => true,
            _ => false,
        };
        if !is_same {
            let organisations = snapshot.into_iter().flat_map(|it| it.organisations());
            let limits = organisations.filter_map(|(_, it)| {
                let limit = it.limit.filter(|limit| limit.per_second > 0.0)?;
                let (per_second, burst) = (limit.per_second, limit.burst);
                Some((it.id, Limit { per_second, burst }))
            });
            let limits = Limits::new(limits.collect());
            // Most versions change no limit; the buckets then stay as they are.
            if limits != *compiled.limits {
                compiled.limits = Arc::new(limits);
            }
            compiled.snapshot = snapshot.cloned();
        }
        Arc::clone(&compiled.limits)
    }

    fn view(&self, topology: &Topology) -> View {
        let instances = topology.count_present_instances();
        let may_be_alone = self.transport.get().is_some_and(|it| it.may_be_alone);
        let has_joined = topology.node_stage != NodeStage::Joining;
        let live = || topology.members().iter().filter(|it| it.is_live());
        let is_leaving = |stage| matches!(stage, Stage::Draining | Stage::Gone);
        let candidate = |it: &Arc<member::Member>| Candidate {
            node: it.id,
            address: it.addresses.peer,
        };
        let staying = live().filter(|it| !is_leaving(it.stage));
        let mut candidates: Vec<Candidate> = staying.map(candidate).collect();
        if candidates.is_empty() {
            candidates = live().map(candidate).collect();
        }
        View {
            instances: u32::try_from(instances).unwrap_or(u32::MAX),
            may_delegate: has_joined && (instances > 1 || may_be_alone),
            candidates,
        }
    }
}

impl State {
    fn take_waiter(&mut self, number: u64) -> Option<oneshot::Sender<Answer>> {
        let index = self.waiters.binary_search_by_key(&number, |it| it.0);
        Some(self.waiters.remove(index.ok()?).1)
    }
}
