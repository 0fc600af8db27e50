//! Runs the entry and owner state machines of a node for all connections of its front end.

use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use arc_swap::ArcSwap;
use tokio::sync::Notify;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio_util::sync::CancellationToken;

use crate::KeyValidity;
use crate::LinkPacer;
use crate::Permit;
use crate::health_log;
use crate::permit::Admitted;
use crate::rate_limits::RateLimits;
use crate::upstream_log;
use control::Topology;
use errors::Reason;
use ids::Fingerprint;
use ids::NodeId;
use ids::RequestId;
use ids::RouteId;
use kernel::Clock;
use kernel::StateMachine;
use kernel::Time;
use kernel::clock::MonotonicClock;
use kernel::random::SeededRandom;
use member::Stage;
use policy::Load;
use telemetry::Metrics;
use telemetry::TrafficGauges;
use traffic::Refusal;
use traffic::entry;
use traffic::ledger::Outcome;
use traffic::owner;
use transport::Sender;
use wire::rate_limits::Message;

/// Upper bound on the time between two steps of the owner timers. It also is the retry delay of a
/// request that the owner state machine drops without a decision.
const MAX_TIMER_SLEEP: Duration = Duration::from_secs(1);

/// Everything that a [`TrafficDriver`] is built from.
pub struct TrafficDriverParts {
    /// Identifier of this node.
    pub node_id: NodeId,
    /// Clock of the process.
    pub clock: MonotonicClock,
    /// View of the fleet that the control thread publishes.
    pub topology: Arc<ArcSwap<Topology>>,
    /// State machine that routes the requests of callers to owners.
    pub entry: entry::Machine,
    /// State machine that admits requests to this node's upstream.
    pub owner: owner::Machine,
    /// Metrics of the process.
    pub metrics: Arc<Metrics>,
    /// Inputs of the control thread.
    pub control_inputs: mpsc::Sender<control::Input>,
}

/// Entry state machine with its source of randomness.
struct EntryState {
    machine: entry::Machine,
    random: SeededRandom,
}

/// Recipient of the effects that the owner state machine addresses to one tag.
enum Waiter {
    /// A request that has not been admitted or refused yet.
    Admission(RequestId, oneshot::Sender<Result<Admitted, Refusal>>),
    /// An admitted request; the token is cancelled when the state machine aborts it.
    Running(RequestId, CancellationToken),
    /// An outcome query that has not been answered yet.
    Query(oneshot::Sender<Outcome>),
}

/// Owner state machine with the recipients of its effects.
struct OwnerState {
    machine: owner::Machine,
    random: SeededRandom,
    /// Sorted by tag.
    waiters: Vec<(u64, Waiter)>,
    last_tag: u64,
}

/// Steps the entry and owner state machines of a node under short locks and delivers their effects.
pub struct TrafficDriver {
    node_id: NodeId,
    clock: MonotonicClock,
    topology: Arc<ArcSwap<Topology>>,
    entry: Mutex<EntryState>,
    owner: Mutex<OwnerState>,
    /// Notified when the owner state machine is due earlier than before.
    owner_timers_changed: Notify,
    drain_announced: CancellationToken,
    leaving: CancellationToken,
    drained: CancellationToken,
    shutting_down: CancellationToken,
    abandoning_calls: CancellationToken,
    /// Notified when the last open call ends while the node is leaving.
    calls_ended: Notify,
    metrics: Arc<Metrics>,
    control_inputs: mpsc::Sender<control::Input>,
    /// `None` if the rate of the instance's link is not known.
    link: Option<Arc<LinkPacer>>,
    key_validity: Option<KeyValidity>,
    rate_limits: RateLimits,
}

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    // A poisoned lock is safe to use: no step panics halfway through a change that matters.
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl TrafficDriver {
    /// Creates a driver with random seeds from the operating system.
    pub fn new(parts: TrafficDriverParts) -> Self {
        let entry = EntryState {
            machine: parts.entry,
            random: SeededRandom::from_os_entropy(),
        };
        let owner = OwnerState {
            machine: parts.owner,
            random: SeededRandom::from_os_entropy(),
            waiters: Vec::new(),
            last_tag: 0,
        };
        let rate_limits = RateLimits::new(parts.node_id, Arc::clone(&parts.metrics));
        Self {
            node_id: parts.node_id,
            clock: parts.clock,
            topology: parts.topology,
            entry: Mutex::new(entry),
            owner: Mutex::new(owner),
            owner_timers_changed: Notify::new(),
            drain_announced: CancellationToken::new(),
            leaving: CancellationToken::new(),
            drained: CancellationToken::new(),
            shutting_down: CancellationToken::new(),
            abandoning_calls: CancellationToken::new(),
            calls_ended: Notify::new(),
            metrics: parts.metrics,
            control_inputs: parts.control_inputs,
            link: None,
            key_validity: None,
            rate_limits,
        }
    }

    /// Paces large responses on the instance's link, if its rate is known.
    pub fn with_link_rate(mut self, rate: Option<link::Rate>) -> Self {
        self.link = rate.map(|rate| Arc::new(LinkPacer::new(self.clock, rate)));
        if let Some(pacer) = self.link.clone() {
            self.metrics.register_link_gauges(move || pacer.gauges());
        }
        self
    }

    /// Pacer of the instance's link; `None` if its rate is not known.
    pub fn link(&self) -> Option<&Arc<LinkPacer>> {
        self.link.as_ref()
    }

    /// Pacer of the instance's link, where the configuration in force asks for it: a route has large responses.
    pub fn active_link(&self) -> Option<&Arc<LinkPacer>> {
        let link = self.link.as_ref()?;
        let topology = self.topology.load();
        let snapshot = topology.snapshot.as_ref();
        snapshot
            .is_some_and(|it| it.has_large_responses())
            .then_some(link)
    }

    /// Bytes that wait to be sent to other instances; 0 if the rate of the link is not known.
    pub fn link_backlog(&self) -> u64 {
        self.link.as_ref().map_or(0, |link| link.backlog())
    }

    /// Has the front end refuse requests with keys while these are not verified.
    #[must_use]
    pub fn with_key_validity(mut self, key_validity: KeyValidity) -> Self {
        self.key_validity = Some(key_validity);
        self
    }

    /// Whether the configuration is known at this moment to be new enough to accept keys by it. To be called before
    /// the configuration is read.
    pub fn keys_are_fresh(&self) -> bool {
        self.key_validity.as_ref().is_none_or(KeyValidity::is_fresh)
    }

    /// Time for which keys are still verified, without a newer proof; `None` if keys are not verified on this node.
    pub fn key_time_left(&self) -> Option<Duration> {
        self.key_validity.as_ref().map(KeyValidity::time_left)
    }

    /// Identifier of this node.
    pub fn node_id(&self) -> NodeId {
        self.node_id
    }

    /// Clock of the process.
    pub fn clock(&self) -> &MonotonicClock {
        &self.clock
    }

    /// Sets the transport that carries the messages of the organisations' rate limits. `may_be_alone` states that the
    /// fleet may be this node only; otherwise a node that knows no other one grants nothing.
    pub fn set_transport(&self, sender: Arc<dyn Sender>, may_be_alone: bool) {
        self.rate_limits.set_transport(sender, may_be_alone);
    }

    /// Takes the limits and members of the topology that was just published.
    pub fn refresh_rate_limits(&self) {
        self.rate_limits.refresh(&self.topology());
    }

    /// Handles a message that keeps the organisations' rate limits.
    pub fn receive_rate_limits(&self, from: SocketAddr, message: &Message) {
        self.rate_limits.receive(from, message);
    }

    /// Names of the organisations of which this node grants tokens, with the used part of their limits, the most used
    /// first.
    pub fn list_limit_usage(&self) -> Vec<(Arc<str>, f64)> {
        let topology = self.topology();
        let usages = self.rate_limits.list_usage();
        let named = usages.into_iter().filter_map(|usage| {
            let snapshot = topology.snapshot.as_ref()?;
            let key = snapshot.find_organisation(usage.organisation)?;
            Some((Arc::clone(&snapshot.organisation(key)?.name), usage.part))
        });
        named.collect()
    }

    pub(crate) fn rate_limits(&self) -> &RateLimits {
        &self.rate_limits
    }

    /// Current time of the process clock.
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// Latest view of the fleet that the control thread has published.
    pub fn topology(&self) -> Arc<Topology> {
        self.topology.load_full()
    }

    /// Whether a drain has begun: accepted requests are finished and new ones are refused.
    pub fn is_leaving(&self) -> bool {
        self.leaving.is_cancelled()
    }

    /// Metrics of the process.
    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// Reports this node as not ready for new callers from now on. Requests are still served, but none
    /// beyond `work_end`, since the process ends soon after that.
    pub fn announce_drain(&self, work_end: Time) {
        self.drain_announced.cancel();
        self.rate_limits.leave();
        self.step_entry(entry::Input::EndScheduled { work_end });
        self.step_owner(owner::Input::EndScheduled { work_end });
    }

    /// Whether this node reports that callers should use other nodes.
    pub fn is_drain_announced(&self) -> bool {
        self.drain_announced.is_cancelled() || self.is_leaving()
    }

    /// Begins the drain: new requests are refused and accepted ones are finished.
    pub fn drain(&self) {
        if !self.leaving.is_cancelled() {
            self.leaving.cancel();
            self.rate_limits.leave();
            self.step_owner(owner::Input::Drain);
        }
    }

    /// Reports that the run `run_id` of the upstream has stated in a response that it is leaving.
    pub fn report_leaving(&self, run_id: Option<Arc<str>>) {
        let topology = self.topology();
        let stage = topology.own_upstream.as_ref().map(|(stage, _)| *stage);
        // A leaving node shows its upstream as draining whatever the upstream has announced.
        let is_known = stage >= Some(Stage::Draining) && !self.is_leaving();
        if !is_known {
            upstream_log::log_leaving(stage, run_id.as_deref());
            self.report_to_control(control::Input::UpstreamLeaving { run_id });
        }
    }

    /// Reports that the upstream has served a suspect request.
    pub fn report_completion(&self, fingerprint: Fingerprint) {
        self.report_to_control(control::Input::RequestCompleted { fingerprint });
    }

    /// Passes a fact to the control thread without waiting. If its queue is full, the fact is dropped and
    /// counted.
    fn report_to_control(&self, input: control::Input) {
        if self.control_inputs.try_send(input).is_err() {
            self.metrics.count_drop(Reason::QueueOverflow);
        }
    }

    /// Token that is cancelled when a drain begins.
    pub fn leaving(&self) -> &CancellationToken {
        &self.leaving
    }

    /// Token that is cancelled when the last request accepted for the upstream has ended after a
    /// drain began.
    pub fn drained(&self) -> &CancellationToken {
        &self.drained
    }

    /// Resolves the requests that still wait here or at other nodes, because this process exits soon.
    pub fn shut_down(&self) {
        self.step_owner(owner::Input::Shutdown);
        self.step_entry(entry::Input::Shutdown);
        self.shutting_down.cancel();
    }

    /// Token that is cancelled by [`TrafficDriver::shut_down`].
    pub fn shutting_down(&self) -> &CancellationToken {
        &self.shutting_down
    }

    /// Answers the calls that have no answer yet, because this process exits now.
    pub fn abandon_calls(&self) {
        self.abandoning_calls.cancel();
    }

    /// Token that is cancelled by [`TrafficDriver::abandon_calls`].
    pub fn abandoning_calls(&self) -> &CancellationToken {
        &self.abandoning_calls
    }

    /// Waits until a drain has begun and all requests at the upstream and all open calls have ended.
    pub async fn wait_until_idle(&self) {
        self.drained.cancelled().await;
        loop {
            let mut ended = pin!(self.calls_ended.notified());
            ended.as_mut().enable();
            if self.open_calls() == 0 {
                return;
            }
            ended.await;
        }
    }

    /// Whether this node's owner state machine has the request queued or running. The upstream may make
    /// further calls on behalf of such a request while the node is leaving.
    pub fn is_queued_or_running(&self, id: RequestId) -> bool {
        lock(&self.owner).waiters.iter().any(|(_, waiter)| {
            matches!(waiter, Waiter::Admission(other_id, _) | Waiter::Running(other_id, _) if *other_id == id)
        })
    }

    /// Steps the entry state machine; health changes are logged and counted here, all effects are
    /// returned.
    pub fn step_entry(&self, input: entry::Input) -> Vec<entry::Effect> {
        let mut effects = Vec::new();
        let mut entry = lock(&self.entry);
        let EntryState { machine, random } = &mut *entry;
        machine.step(self.now(), input, random, &mut effects);
        if self.leaving.is_cancelled() && machine.open_calls() == 0 {
            self.calls_ended.notify_waiters();
        }
        drop(entry);
        for effect in &mut effects {
            if let entry::Effect::OutcomesCounted {
                service,
                order,
                tallies,
            } = effect
            {
                self.report_to_control(control::Input::RolloutOutcomes {
                    service: Arc::clone(service),
                    order: *order,
                    tallies: std::mem::take(tallies),
                });
            }
        }
        for effect in &effects {
            if let entry::Effect::HealthChanged {
                node,
                health_change,
            } = effect
            {
                health_log::record_health_change(
                    &self.topology(),
                    &self.metrics,
                    *node,
                    *health_change,
                );
            }
        }
        effects
    }

    /// Number of calls that the entry state machine has not finished.
    pub fn open_calls(&self) -> usize {
        lock(&self.entry).machine.open_calls()
    }

    /// Current load of the owner state machine.
    pub fn load(&self) -> Load {
        lock(&self.owner).machine.load(self.link_backlog())
    }

    /// Reports the length of a complete response of the upstream. Without a link rate, nothing uses it.
    pub fn report_response_length(&self, route: RouteId, bytes: u64) {
        if self.active_link().is_some() {
            self.step_owner(owner::Input::ResponseEnded { route, bytes });
        }
    }

    /// Current values for the gauges of the metrics.
    pub fn gauges(&self) -> TrafficGauges {
        let load = self.load();
        TrafficGauges {
            running: load.running.into(),
            queued: load.queued.into(),
            concurrency_limit: load.limit.into(),
            open_calls: self.open_calls() as u64,
        }
    }

    /// Waits until the request is admitted or refused. Dropping the future cancels the request.
    pub async fn admit(
        self: &Arc<Self>,
        mut incoming: owner::IncomingRequest,
    ) -> Result<Permit, Refusal> {
        let (sender, receiver) = oneshot::channel();
        let pending = {
            let mut owner = lock(&self.owner);
            incoming.link_backlog = self.link_backlog();
            incoming.tag = owner.add_waiter(Waiter::Admission(incoming.id, sender));
            self.step_owner_locked(&mut owner, owner::Input::Arrived(incoming));
            Permit::new(Arc::clone(self), incoming.tag)
        };
        match receiver.await {
            Ok(Ok(admitted)) => Ok(pending.start(admitted)),
            Ok(Err(refusal)) => {
                pending.disarm();
                Err(refusal)
            }
            Err(_) => Err(Refusal {
                reason: Reason::QueueOverflow,
                verdict: errors::Verdict::MayHaveRun,
                retry_after: MAX_TIMER_SLEEP,
            }),
        }
    }

    /// Waits for the outcome that another node queries.
    pub async fn report_outcome(&self, query: owner::OutcomeQuery) -> Outcome {
        let (sender, receiver) = oneshot::channel();
        {
            let mut owner = lock(&self.owner);
            let tag = owner.add_waiter(Waiter::Query(sender));
            self.step_owner_locked(&mut owner, owner::Input::OutcomeQueried { tag, query });
        }
        receiver.await.unwrap_or(Outcome::Unknown)
    }

    /// Steps the owner state machine and delivers its effects to their recipients.
    pub fn step_owner(&self, input: owner::Input) {
        let mut owner = lock(&self.owner);
        self.step_owner_locked(&mut owner, input);
    }

    /// Runs the timers of the owner state machine and of the rate limits until the future is dropped.
    pub async fn run_timers(&self) {
        tokio::join!(self.run_owner_timers(), self.rate_limits.run_timers());
    }

    async fn run_owner_timers(&self) {
        loop {
            let due = {
                let mut owner = lock(&self.owner);
                let OwnerState {
                    machine, random, ..
                } = &mut *owner;
                let mut effects = Vec::new();
                machine.wake(self.now(), random, &mut effects);
                self.apply_effects(&mut owner, effects);
                owner.machine.next_wake()
            };
            let sleep = due.map_or(MAX_TIMER_SLEEP, |due| self.now().until(due));
            let sleep = sleep.clamp(Duration::from_millis(1), MAX_TIMER_SLEEP);
            tokio::select! {
                () = tokio::time::sleep(sleep) => {}
                () = self.owner_timers_changed.notified() => {}
            }
        }
    }

    fn step_owner_locked(&self, owner: &mut OwnerState, input: owner::Input) {
        let before = owner.machine.next_wake();
        let mut effects = Vec::new();
        let OwnerState {
            machine, random, ..
        } = owner;
        machine.step(self.now(), input, random, &mut effects);
        self.apply_effects(owner, effects);
        let after = owner.machine.next_wake();
        if after.is_some_and(|after| before.is_none_or(|before| after < before)) {
            self.owner_timers_changed.notify_one();
        }
    }

    fn apply_effects(&self, owner: &mut OwnerState, effects: Vec<owner::Effect>) {
        for effect in effects {
            match effect {
                owner::Effect::Start { tag, deadline } => self.start(owner, tag, deadline),
                owner::Effect::Refuse { tag, refusal } => {
                    self.metrics.count_refusal("owner", refusal.reason);
                    if let Some(Waiter::Admission(_, sender)) = owner.take_waiter(tag) {
                        // Sending fails only if the request's future was dropped.
                        let _ = sender.send(Err(refusal));
                    }
                }
                owner::Effect::Abort { tag } => {
                    if let Ok(index) = owner.waiter_index(tag)
                        && let (_, Waiter::Running(_, cancelled)) = &owner.waiters[index]
                    {
                        cancelled.cancel();
                    }
                }
                owner::Effect::ReportOutcome { tag, outcome } => {
                    if let Some(Waiter::Query(sender)) = owner.take_waiter(tag) {
                        let _ = sender.send(outcome);
                    }
                }
                owner::Effect::RateLimitReported(report) => upstream_log::log_rate_limit(report),
                owner::Effect::RequestCrashed(crashed) => {
                    upstream_log::log_crashed(crashed);
                    self.report_to_control(control::Input::RequestCrashed {
                        fingerprint: crashed.fingerprint,
                        crash: crashed.crash,
                    });
                }
                owner::Effect::Drained => self.drained.cancel(),
            }
        }
    }

    /// Marks a waiting request as running and wakes its future with the token that aborts it.
    fn start(&self, owner: &mut OwnerState, tag: u64, deadline: Time) {
        let Ok(index) = owner.waiter_index(tag) else {
            return;
        };
        let Waiter::Admission(id, _) = owner.waiters[index].1 else {
            return;
        };
        let cancelled = CancellationToken::new();
        let running = Waiter::Running(id, cancelled.clone());
        let waiter = std::mem::replace(&mut owner.waiters[index].1, running);
        if let Waiter::Admission(_, sender) = waiter {
            // Sending fails only if the request's future was dropped; its permit cancels it then.
            let _ = sender.send(Ok(Admitted {
                cancelled,
                deadline,
            }));
        }
    }

    /// Steps the owner state machine with the end of a request and removes the request's waiter.
    pub(crate) fn end_request(&self, tag: u64, input: owner::Input) {
        let mut owner = lock(&self.owner);
        self.step_owner_locked(&mut owner, input);
        owner.take_waiter(tag);
    }
}

impl OwnerState {
    /// Adds a waiter under a new tag. Runs under the owner lock, so tags are added in ascending order.
    fn add_waiter(&mut self, waiter: Waiter) -> u64 {
        self.last_tag += 1;
        self.waiters.push((self.last_tag, waiter));
        self.last_tag
    }

    fn waiter_index(&self, tag: u64) -> Result<usize, usize> {
        self.waiters
            .binary_search_by_key(&tag, |(waiter_tag, _)| *waiter_tag)
    }

    fn take_waiter(&mut self, tag: u64) -> Option<Waiter> {
        self.waiter_index(tag)
            .ok()
            .map(|index| self.waiters.remove(index).1)
    }
}
