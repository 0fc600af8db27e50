//! The shared traffic state of a node.

use std::pin::pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use arc_swap::ArcSwap;
use tokio::sync::Notify;
use tokio::sync::oneshot;
use tokio_util::sync::CancellationToken;

use crate::Permit;
use crate::judgement;
use control::Topology;
use ids::NodeId;
use ids::RequestId;
use kernel::Clock;
use kernel::StateMachine;
use kernel::Time;
use kernel::clock::MonotonicClock;
use kernel::random::SeededRandom;
use policy::Load;
use telemetry::Counters;
use telemetry::Gauges;
use traffic::Refusal;
use traffic::entry;
use traffic::ledger::Outcome;
use traffic::owner;

/// Longest sleep of the timer task.
const LONGEST_SLEEP: Duration = Duration::from_secs(1);

/// What a driver is made of.
pub struct TrafficDriverParts {
    /// The node itself.
    pub node_id: NodeId,
    /// Clock of the process.
    pub clock: MonotonicClock,
    /// View published by the control thread.
    pub topology: Arc<ArcSwap<Topology>>,
    /// Entry machine.
    pub entry: entry::Machine,
    /// Owner machine.
    pub owner: owner::Machine,
    /// Counters.
    pub counters: Arc<Counters>,
}

struct Entry {
    machine: entry::Machine,
    random: SeededRandom,
}

/// A sender that waits for a decision of the owner machine.
enum Waiter {
    Admission(
        RequestId,
        oneshot::Sender<Result<CancellationToken, Refusal>>,
    ),
    Running(RequestId, CancellationToken),
    Query(oneshot::Sender<Outcome>),
}

struct Owner {
    machine: owner::Machine,
    random: SeededRandom,
    /// Sorted by tag.
    waiters: Vec<(u64, Waiter)>,
    last_tag: u64,
}

/// Runs the traffic machines of a node.
pub struct TrafficDriver {
    node_id: NodeId,
    clock: MonotonicClock,
    topology: Arc<ArcSwap<Topology>>,
    entry: Mutex<Entry>,
    owner: Mutex<Owner>,
    owner_changed: Notify,
    drain_announced: CancellationToken,
    leaving: CancellationToken,
    drained: CancellationToken,
    shutting_down: CancellationToken,
    /// Notified while the node leaves and no call is open.
    calls_ended: Notify,
    counters: Arc<Counters>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    // Steps do not panic halfway through a change that matters.
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl TrafficDriver {
    /// A driver of these parts.
    pub fn new(parts: TrafficDriverParts) -> Self {
        let entry = Entry {
            machine: parts.entry,
            random: SeededRandom::from_os_entropy(),
        };
        let owner = Owner {
            machine: parts.owner,
            random: SeededRandom::from_os_entropy(),
            waiters: Vec::new(),
            last_tag: 0,
        };
        Self {
            node_id: parts.node_id,
            clock: parts.clock,
            topology: parts.topology,
            entry: Mutex::new(entry),
            owner: Mutex::new(owner),
            owner_changed: Notify::new(),
            drain_announced: CancellationToken::new(),
            leaving: CancellationToken::new(),
            drained: CancellationToken::new(),
            shutting_down: CancellationToken::new(),
            calls_ended: Notify::new(),
            counters: parts.counters,
        }
    }

    /// Identity of the node.
    pub fn node_id(&self) -> NodeId {
        self.node_id
    }

    /// Clock of the process.
    pub fn clock(&self) -> &MonotonicClock {
        &self.clock
    }

    /// The present time.
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// The present view of the fleet.
    pub fn topology(&self) -> Arc<Topology> {
        self.topology.load_full()
    }

    /// Whether the node finishes what runs and takes no new requests.
    pub fn is_leaving(&self) -> bool {
        self.leaving.is_cancelled()
    }

    /// Counters of the node.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Tells from now on that callers should go elsewhere; all goes on as before.
    pub fn announce_drain(&self) {
        self.drain_announced.cancel();
    }

    /// Whether callers should go elsewhere.
    pub fn is_drain_announced(&self) -> bool {
        self.drain_announced.is_cancelled() || self.is_leaving()
    }

    /// Refuses new requests from now on; what was accepted is finished.
    pub fn drain(&self) {
        if !self.leaving.is_cancelled() {
            self.leaving.cancel();
            self.step_owner(owner::Input::Drain);
        }
    }

    /// Fires when a drain begins.
    pub fn leaving(&self) -> &CancellationToken {
        &self.leaving
    }

    /// Fires when all that was accepted for the upstream has ended after a drain.
    pub fn drained(&self) -> &CancellationToken {
        &self.drained
    }

    /// Gives the calls that still wait at other nodes their answers, because the node ends soon.
    pub fn shut_down(&self) {
        self.step_entry(entry::Input::Shutdown);
        self.shutting_down.cancel();
    }

    /// Fires when calls that wait at other nodes are to be answered.
    pub fn shutting_down(&self) -> &CancellationToken {
        &self.shutting_down
    }

    /// Waits until all that runs here and all that is forwarded from here has ended.
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

    /// Whether a request waits or runs at the upstream; one that does may call on.
    pub fn is_queued_or_running(&self, id: RequestId) -> bool {
        lock(&self.owner).waiters.iter().any(|(_, waiter)| {
            matches!(waiter, Waiter::Admission(known, _) | Waiter::Running(known, _) if *known == id)
        })
    }

    /// Steps the entry machine.
    pub fn step_entry(&self, input: entry::Input) -> Vec<entry::Effect> {
        let mut effects = Vec::new();
        let mut entry = lock(&self.entry);
        let Entry { machine, random } = &mut *entry;
        machine.step(self.now(), input, random, &mut effects);
        if self.leaving.is_cancelled() && machine.open_calls() == 0 {
            self.calls_ended.notify_waiters();
        }
        drop(entry);
        for effect in &effects {
            if let entry::Effect::HealthChanged {
                node,
                health_change,
            } = effect
            {
                judgement::note(&self.topology(), &self.counters, *node, *health_change);
            }
        }
        effects
    }

    /// Calls that have not ended.
    pub fn open_calls(&self) -> usize {
        lock(&self.entry).machine.open_calls()
    }

    /// The present load of the owner.
    pub fn load(&self) -> Load {
        lock(&self.owner).machine.load()
    }

    /// The present numbers, for the counters.
    pub fn gauges(&self) -> Gauges {
        let load = self.load();
        Gauges {
            running: load.running.into(),
            queued: load.queued.into(),
            limit: load.limit.into(),
            forwarded: self.open_calls() as u64,
        }
    }

    /// Waits for admission; the request is cancelled if the future is dropped.
    pub async fn admit(
        self: &Arc<Self>,
        mut offer: owner::IncomingRequest,
    ) -> Result<Permit, Refusal> {
        let (sender, receiver) = oneshot::channel();
        let pending = {
            let mut owner = lock(&self.owner);
            offer.tag = owner.add(Waiter::Admission(offer.id, sender));
            self.step_locked(&mut owner, owner::Input::Arrived(offer));
            Permit::new(Arc::clone(self), offer.tag)
        };
        match receiver.await {
            Ok(Ok(cancelled)) => Ok(pending.start(cancelled)),
            Ok(Err(refusal)) => {
                pending.forget();
                Err(refusal)
            }
            Err(_) => Err(Refusal {
                reason: errors::Reason::QueueOverflow,
                verdict: errors::Verdict::MayHaveRun,
                retry_after: LONGEST_SLEEP,
            }),
        }
    }

    /// Answers an outcome query of another node.
    pub async fn report_outcome(&self, query: owner::OutcomeQuery) -> Outcome {
        let (sender, receiver) = oneshot::channel();
        {
            let mut owner = lock(&self.owner);
            let tag = owner.add(Waiter::Query(sender));
            self.step_locked(&mut owner, owner::Input::OutcomeQueried { tag, query });
        }
        receiver.await.unwrap_or(Outcome::Unknown)
    }

    /// Steps the owner machine and wakes those that waited for its effects.
    pub fn step_owner(&self, input: owner::Input) {
        let mut owner = lock(&self.owner);
        self.step_locked(&mut owner, input);
    }

    /// Does what is due at the owner until the future is dropped.
    pub async fn run_timers(&self) {
        loop {
            let due = {
                let mut owner = lock(&self.owner);
                let Owner {
                    machine, random, ..
                } = &mut *owner;
                let mut effects = Vec::new();
                machine.wake(self.now(), random, &mut effects);
                self.deliver(&mut owner, effects);
                owner.machine.next_wake()
            };
            let sleep = due.map_or(LONGEST_SLEEP, |due| self.now().until(due));
            let sleep = sleep.clamp(Duration::from_millis(1), LONGEST_SLEEP);
            tokio::select! {
                () = tokio::time::sleep(sleep) => {}
                () = self.owner_changed.notified() => {}
            }
        }
    }

    fn step_locked(&self, owner: &mut Owner, input: owner::Input) {
        let before = owner.machine.next_wake();
        let mut effects = Vec::new();
        let Owner {
            machine, random, ..
        } = owner;
        machine.step(self.now(), input, random, &mut effects);
        self.deliver(owner, effects);
        let after = owner.machine.next_wake();
        if after.is_some_and(|after| before.is_none_or(|before| after < before)) {
            self.owner_changed.notify_one();
        }
    }

    fn deliver(&self, owner: &mut Owner, effects: Vec<owner::Effect>) {
        for effect in effects {
            match effect {
                owner::Effect::Start { tag } => self.start(owner, tag),
                owner::Effect::Refuse { tag, refusal } => {
                    self.counters.count_refusal("owner", refusal.reason);
                    if let Some(Waiter::Admission(_, sender)) = owner.take(tag) {
                        // The sender has left if nobody receives this.
                        let _ = sender.send(Err(refusal));
                    }
                }
                owner::Effect::Abort { tag } => {
                    if let Ok(at) = owner.position(tag)
                        && let (_, Waiter::Running(_, cancelled)) = &owner.waiters[at]
                    {
                        cancelled.cancel();
                    }
                }
                owner::Effect::ReportOutcome { tag, outcome } => {
                    if let Some(Waiter::Query(sender)) = owner.take(tag) {
                        let _ = sender.send(outcome);
                    }
                }
                owner::Effect::Drained => self.drained.cancel(),
            }
        }
    }

    fn start(&self, owner: &mut Owner, tag: u64) {
        let Ok(at) = owner.position(tag) else {
            return;
        };
        let Waiter::Admission(id, _) = owner.waiters[at].1 else {
            return;
        };
        let cancelled = CancellationToken::new();
        let running = Waiter::Running(id, cancelled.clone());
        let waiter = std::mem::replace(&mut owner.waiters[at].1, running);
        if let Waiter::Admission(_, sender) = waiter {
            // If nobody receives this, the dropped permit cancels the request.
            let _ = sender.send(Ok(cancelled));
        }
    }

    /// Removes what is kept for a request that has ended.
    pub(crate) fn end(&self, tag: u64, input: owner::Input) {
        let mut owner = lock(&self.owner);
        self.step_locked(&mut owner, input);
        owner.take(tag);
    }
}

impl Owner {
    /// Adds a waiter under a new tag. The tag is taken under the lock, so the list stays sorted.
    fn add(&mut self, waiter: Waiter) -> u64 {
        self.last_tag += 1;
        self.waiters.push((self.last_tag, waiter));
        self.last_tag
    }

    fn position(&self, tag: u64) -> Result<usize, usize> {
        self.waiters.binary_search_by_key(&tag, |(known, _)| *known)
    }

    fn take(&mut self, tag: u64) -> Option<Waiter> {
        self.position(tag).ok().map(|at| self.waiters.remove(at).1)
    }
}
