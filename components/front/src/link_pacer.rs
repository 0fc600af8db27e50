//! Runs the scheduler of the instance's link for all connections of the front end.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::task::Context;
use std::task::Poll;
use std::task::Waker;

use tokio::sync::Notify;

use kernel::Clock;
use kernel::Time;
use kernel::clock::MonotonicClock;
use link::Body;
use link::BodyKey;
use link::Grant;
use link::Rate;
use link::Scheduler;
use telemetry::LinkGauges;

/// Scheduler with the tasks that wait for it.
struct PacerState {
    scheduler: Scheduler,
    /// Tasks of waiting bodies, sorted by key.
    wakers: Vec<(BodyKey, Waker)>,
    /// When [`LinkPacer::run`] steps the scheduler next; `None` while it waits for a notification.
    armed: Option<Time>,
    /// Bytes written to other instances, and those of them that belonged to granted pieces.
    written_bytes: u64,
    paced_bytes: u64,
}

/// Shared handle of the scheduler of the instance's link.
pub struct LinkPacer {
    clock: MonotonicClock,
    paced_above: u64,
    /// Held for a step of the scheduler only.
    state: Mutex<PacerState>,
    /// Notified when the scheduler is due earlier than before.
    due_earlier: Notify,
}

/// An open body of the scheduler; dropping it frees its place.
pub struct LinkSlot {
    pacer: Arc<LinkPacer>,
    key: BodyKey,
}

impl LinkSlot {
    /// Waits for the next piece: the number of bytes that may be written now, or `None` once the body's deadline has
    /// passed.
    pub fn poll_piece(&self, context: &mut Context<'_>) -> Poll<Option<u64>> {
        self.pacer.poll_piece(self.key, context)
    }
}

impl Drop for LinkSlot {
    fn drop(&mut self) {
        self.pacer.close(self.key);
    }
}

impl LinkPacer {
    /// Creates a pacer for a link of this rate.
    pub(crate) fn new(clock: MonotonicClock, rate: Rate) -> Self {
        let scheduler = Scheduler::new(rate);
        let paced_above = scheduler.paced_above();
        let state = PacerState {
            scheduler,
            wakers: Vec::new(),
            armed: None,
            written_bytes: 0,
            paced_bytes: 0,
        };
        Self {
            clock,
            paced_above,
            state: Mutex::new(state),
            due_earlier: Notify::new(),
        }
    }

    /// Length above which a body is paced, in bytes.
    pub fn paced_above(&self) -> u64 {
        self.paced_above
    }

    /// Adds a body that is to be sent in pieces.
    pub fn open(self: &Arc<Self>, body: Body) -> LinkSlot {
        let key = self.lock().scheduler.open(self.clock.now(), body);
        LinkSlot {
            pacer: Arc::clone(self),
            key,
        }
    }

    /// Counts bytes that were written to another instance, of which `paced` belong to granted pieces.
    pub fn record_written(&self, bytes: u64, paced: u64) {
        let mut state = self.lock();
        state.written_bytes += bytes;
        state.paced_bytes += paced;
        if bytes > paced {
            let now = self.clock.now();
            state.scheduler.record_written(now, bytes - paced);
        }
    }

    /// Bytes that wait to be sent.
    pub fn backlog(&self) -> u64 {
        self.lock().scheduler.backlog(self.clock.now())
    }

    /// Current values for the gauges of the metrics.
    pub(crate) fn gauges(&self) -> LinkGauges {
        let state = self.lock();
        LinkGauges {
            backlog_bytes: state.scheduler.backlog(self.clock.now()),
            open_bodies: state.scheduler.open_bodies() as u64,
            written_bytes: state.written_bytes,
            paced_bytes: state.paced_bytes,
        }
    }

    /// Wakes the bodies that the scheduler lets continue, until the future is dropped.
    pub async fn run(&self) {
        let mut woken = Vec::new();
        loop {
            let due = self.wake(&mut woken);
            let notified = self.due_earlier.notified();
            let Some(due) = due else {
                notified.await;
                continue;
            };
            tokio::select! {
                () = tokio::time::sleep_until(self.clock.to_instant(due).into()) => {}
                () = notified => {}
            }
        }
    }

    /// Steps the scheduler, wakes the bodies that can continue and returns when it is due again.
    fn wake(&self, woken: &mut Vec<BodyKey>) -> Option<Time> {
        let mut state = self.lock();
        state.scheduler.wake(self.clock.now(), woken);
        let mut due = state.scheduler.next_wake();
        if !woken.is_empty() {
            // The bodies that continue ask again soon; a timer set now saves a notification for each piece.
            due = due.or(Some(state.scheduler.next_turn()));
        }
        state.armed = due;
        let wakers: Vec<Waker> = woken
            .drain(..)
            .filter_map(|it| state.take_waker(it))
            .collect();
        drop(state);
        for waker in wakers {
            waker.wake();
        }
        due
    }

    fn poll_piece(&self, key: BodyKey, context: &mut Context<'_>) -> Poll<Option<u64>> {
        let mut state = self.lock();
        match state.scheduler.request(self.clock.now(), key) {
            Grant::Send(bytes) => Poll::Ready(Some(bytes)),
            Grant::Expired => Poll::Ready(None),
            Grant::Wait => {
                state.set_waker(key, context.waker());
                self.notify_if_earlier(&mut state);
                Poll::Pending
            }
        }
    }

    fn close(&self, key: BodyKey) {
        let mut state = self.lock();
        state.scheduler.close(key);
        state.take_waker(key);
        self.notify_if_earlier(&mut state);
    }

    /// Makes [`LinkPacer::run`] step the scheduler anew if it would do so too late.
    fn notify_if_earlier(&self, state: &mut PacerState) {
        let Some(due) = state.scheduler.next_wake() else {
            return;
        };
        if state.armed.is_none_or(|armed| due < armed) {
            state.armed = Some(due);
            self.due_earlier.notify_one();
        }
    }

    fn lock(&self) -> MutexGuard<'_, PacerState> {
        // A poisoned lock is safe to use: no step panics halfway through a change that matters.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl PacerState {
    fn set_waker(&mut self, key: BodyKey, waker: &Waker) {
        match self.wakers.binary_search_by_key(&key, |(it, _)| *it) {
            Ok(index) => self.wakers[index].1.clone_from(waker),
            Err(index) => self.wakers.insert(index, (key, waker.clone())),
        }
    }

    fn take_waker(&mut self, key: BodyKey) -> Option<Waker> {
        let index = self.wakers.binary_search_by_key(&key, |(it, _)| *it).ok()?;
        Some(self.wakers.remove(index).1)
    }
}
