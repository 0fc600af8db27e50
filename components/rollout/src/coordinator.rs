//! Coordination of rollouts by one node of the fleet, and by a second one that stands by.
//!
//! Every step of an order is a compare-and-swap of its state on the revision that was read. A second coordinator
//! therefore does no harm, and a node that takes over continues from what the store holds.

use std::sync::Arc;
use std::time::Duration;

use crate::Order;
use crate::Phase;
use crate::Record;
use crate::Report;
use crate::Revision;
use crate::StoreCall;
use crate::StoreEvent;
use crate::Table;
use crate::job::Job;
use ids::NodeId;
use kernel::Time;

/// Interval between two examinations of the orders that run.
const TICK: Duration = Duration::from_millis(250);
/// Delay of an examination after a report, so that the reports of many nodes are examined together.
const REPORT_DELAY: Duration = Duration::from_millis(50);
/// Shortest time between the starts of two watches if nothing has changed.
const MIN_WATCH_INTERVAL: Duration = Duration::from_secs(2);
/// Delay of a watch after one that has failed.
const WATCH_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Part of a node in the coordination.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Role {
    /// It takes no part.
    #[default]
    None,
    /// It watches the orders and takes over once the coordinator is silent.
    StandBy,
    /// It coordinates.
    Coordinator,
}

/// Facts about the fleet that the decisions depend on.
#[derive(Clone, Copy, Debug, Default)]
pub struct Fleet<'a> {
    /// Live members, sorted.
    pub live: &'a [NodeId],
    /// Longest deadline of a request.
    pub longest_deadline: Duration,
}

/// Coordinating state of one node.
#[derive(Debug)]
pub struct Coordinator {
    own_id: NodeId,
    role: Role,
    /// Sorted by service.
    jobs: Vec<Job>,
    /// Revision of the store up to which the orders are known; `None` until they were read.
    watched_to: Option<Revision>,
    is_watching: bool,
    watch_due: Time,
    tick_due: Option<Time>,
    /// A point in time and the same in milliseconds of Unix time.
    unix: Option<(Time, u64)>,
}

impl Coordinator {
    /// Creates the state of the node with this id, which takes no part yet.
    pub fn new(own_id: NodeId) -> Self {
        Self {
            own_id,
            role: Role::None,
            jobs: Vec::new(),
            watched_to: None,
            is_watching: false,
            watch_due: Time(0),
            tick_due: None,
            unix: None,
        }
    }

    /// Part of this node in the coordination.
    pub fn role(&self) -> Role {
        self.role
    }

    /// Sets the part of this node, and the services of the configuration in force, sorted.
    pub fn configure(&mut self, now: Time, role: Role, services: &[Arc<str>]) {
        if role == Role::None {
            if self.role != Role::None {
                self.jobs.clear();
                (self.watched_to, self.role, self.tick_due) = (None, Role::None, None);
            }
            return;
        }
        self.role = role;
        self.jobs
            .retain(|job| services.binary_search(&job.service).is_ok());
        for service in services {
            if let Err(index) = self.position(service) {
                self.jobs.insert(index, Job::new(Arc::clone(service)));
                self.watched_to = None;
            }
        }
        self.tick_due.get_or_insert(now);
    }

    /// When [`Self::wake`] is due next.
    pub fn next_wake(&self) -> Option<Time> {
        if self.role == Role::None {
            return None;
        }
        let can_watch = !self.is_watching && self.watched_to.is_some();
        let watch_due = can_watch.then_some(self.watch_due);
        watch_due.into_iter().chain(self.tick_due).min()
    }

    /// Handles the result of a call, which arrived at `unix_ms` of Unix time.
    pub fn handle(&mut self, now: Time, unix_ms: u64, event: StoreEvent) {
        self.unix = Some((now, unix_ms));
        match event {
            StoreEvent::OrdersWatched {
                orders,
                store_revision,
            } => {
                self.is_watching = false;
                let has_changed = !orders.is_empty();
                if has_changed {
                    self.watch_due = now;
                }
                if self.role == Role::None {
                    return;
                }
                // A store that has returned from an older copy can have lost orders, or have others.
                if self
                    .watched_to
                    .is_some_and(|it| it.era != store_revision.era)
                {
                    return self.forget_orders();
                }
                self.watched_to = Some(store_revision);
                for (service, order) in orders {
                    if let Ok(index) = self.position(&service) {
                        self.jobs[index].set_order(Some(order), unix_ms);
                    }
                }
            }
            StoreEvent::WatchFailed { is_history_lost } => {
                self.is_watching = false;
                self.watch_due = now + WATCH_RETRY_DELAY;
                if is_history_lost {
                    self.forget_orders();
                }
            }
            StoreEvent::OrderRead {
                service,
                order,
                store_revision,
            } => {
                if let Ok(index) = self.position(&service) {
                    self.jobs[index].finish_order_read(order, store_revision, unix_ms);
                }
            }
            StoreEvent::StateRead { ref service, .. }
            | StoreEvent::StateWritten { ref service, .. }
            | StoreEvent::StatusWritten { ref service, .. }
            | StoreEvent::StatusConflict { ref service, .. }
            | StoreEvent::Failed { ref service, .. } => {
                if let Ok(index) = self.position(service) {
                    self.jobs[index].handle(now, event);
                }
            }
        }
        if self.role != Role::None {
            self.tick_due = Some(now);
        }
    }

    /// Takes the report of a node.
    pub fn add_report(&mut self, now: Time, report: Report) {
        if let Ok(index) = self.position(&report.service) {
            self.jobs[index].add_report(report);
            self.tick_due = self.tick_due.map(|due| due.min(now + REPORT_DELAY));
        }
    }

    /// Makes the decisions that are due, and appends the calls to the store.
    pub fn wake(
        &mut self,
        now: Time,
        fleet: &Fleet<'_>,
        table: &mut Table,
        calls: &mut Vec<StoreCall>,
    ) {
        if self.role == Role::None {
            return;
        }
        for job in &mut self.jobs {
            let unix_ms = unix_at(self.unix, now);
            job.advance(now, unix_ms, self.own_id, self.role, fleet, table, calls);
        }
        self.watch_orders(now, calls);
        let is_busy = self.jobs.iter().any(Job::is_busy);
        self.tick_due = is_busy.then_some(now + TICK);
    }

    fn watch_orders(&mut self, now: Time, calls: &mut Vec<StoreCall>) {
        if self.watched_to.is_none() {
            // The orders are read one by one, so the earliest of the reads counts.
            let revisions = self.jobs.iter().map(|job| job.order_read_at);
            let revisions: Option<Vec<Revision>> = revisions.collect();
            self.watched_to = revisions.and_then(|it| it.into_iter().min());
        }
        let Some(after) = self.watched_to else {
            return;
        };
        if !self.is_watching && self.watch_due <= now {
            self.is_watching = true;
            self.watch_due = now + MIN_WATCH_INTERVAL;
            calls.push(StoreCall::WatchOrders { after });
        }
    }

    fn forget_orders(&mut self) {
        self.watched_to = None;
        for job in &mut self.jobs {
            job.forget();
        }
    }

    fn position(&self, service: &str) -> Result<usize, usize> {
        self.jobs
            .binary_search_by(|job| (*job.service).cmp(service))
    }
}

/// Unix time at `now`, in milliseconds; `None` until a store has answered.
fn unix_at(unix: Option<(Time, u64)>, now: Time) -> Option<u64> {
    let (known_at, unix_ms) = unix?;
    let passed = u64::try_from(now.since(known_at).as_millis()).unwrap_or(u64::MAX);
    Some(unix_ms.saturating_add(passed))
}

/// The state of an order that has just come.
pub(crate) fn first_record(order: &Order, established: &Arc<str>, started_ms: u64) -> Record {
    // An order for the established version needs no trial, but its confirmation by all nodes.
    let phase = if order.target == *established {
        Phase::Promoting
    } else {
        Phase::Running
    };
    Record {
        order: order.clone(),
        established: Arc::clone(established),
        started_ms,
        phase,
    }
}
