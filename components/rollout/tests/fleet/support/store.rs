//! Stand-in for the store: keys of one service, with revisions, compare-and-swap and a watch.

use std::sync::Arc;

use rollout::Order;
use rollout::Phase;
use rollout::Record;
use rollout::Revision;
use rollout::StoreCall;
use rollout::StoreEvent;

/// Keys of the service `desk`.
#[derive(Debug, Default)]
pub(crate) struct Store {
    number: u64,
    pub(crate) order: Option<Order>,
    state: Option<(u64, Record)>,
    status: Option<(u64, Phase, Arc<str>)>,
    /// Every status that was written, with its order.
    pub(crate) statuses: Vec<(u64, Phase)>,
    pub(crate) calls: usize,
}

impl Store {
    /// Writes an order.
    pub(crate) fn put_order(&mut self, target: &str, duration_ms: u64) {
        self.number += 1;
        self.order = Some(Order {
            revision: self.revision(),
            target: Arc::from(target),
            duration_ms,
        });
    }

    /// Phase of the status, if one was written for this target.
    pub(crate) fn phase(&self, target: &str) -> Option<Phase> {
        let status = self.status.as_ref().filter(|it| *it.2 == *target);
        status.map(|it| it.1)
    }

    fn revision(&self) -> Revision {
        revision(self.number)
    }

    /// Whether an order has changed after the revision.
    pub(crate) fn has_change(&self, after: Revision) -> bool {
        self.order.as_ref().is_some_and(|it| it.revision > after)
    }

    /// Carries out a call.
    pub(crate) fn execute(&mut self, call: &StoreCall) -> StoreEvent {
        self.calls += 1;
        let desk: Arc<str> = Arc::from("desk");
        match call {
            StoreCall::ReadOrder { service } => StoreEvent::OrderRead {
                service: Arc::clone(service),
                order: self.order.clone(),
                store_revision: self.revision(),
            },
            StoreCall::WatchOrders { after } => {
                let order = self.order.clone().filter(|it| it.revision > *after);
                StoreEvent::OrdersWatched {
                    orders: order.map(|it| (desk, it)).into_iter().collect(),
                    store_revision: self.revision(),
                }
            }
            StoreCall::ReadState { service } => self.read_state(service),
            StoreCall::WriteState {
                service,
                expected,
                record,
            } => {
                let current = self.state.as_ref().map_or(0, |it| it.0);
                if current != expected.number {
                    return self.read_state(service);
                }
                self.number += 1;
                self.state = Some((self.number, record.clone()));
                StoreEvent::StateWritten {
                    service: Arc::clone(service),
                    revision: self.revision(),
                    record: record.clone(),
                }
            }
            StoreCall::WriteStatus {
                service,
                expected,
                phase,
                target,
            } => {
                let service = Arc::clone(service);
                let current = self.status.as_ref().map_or(0, |it| it.0);
                let is_same = self
                    .status
                    .as_ref()
                    .is_some_and(|it| (it.1, &it.2) == (*phase, target));
                if current != expected.number && !is_same {
                    return StoreEvent::StatusConflict {
                        service,
                        revision: revision(current),
                    };
                }
                if current == expected.number {
                    self.number += 1;
                    self.status = Some((self.number, *phase, Arc::clone(target)));
                    let order = self.order.as_ref().map_or(0, |it| it.revision.number);
                    self.statuses.push((order, *phase));
                }
                StoreEvent::StatusWritten {
                    service,
                    revision: revision(self.status.as_ref().map_or(0, |it| it.0)),
                    phase: *phase,
                    target: Arc::clone(target),
                }
            }
        }
    }

    fn read_state(&self, service: &Arc<str>) -> StoreEvent {
        StoreEvent::StateRead {
            service: Arc::clone(service),
            revision: revision(self.state.as_ref().map_or(0, |it| it.0)),
            record: self.state.as_ref().map(|it| it.1.clone()),
        }
    }
}

/// The result of a call that has failed.
pub(crate) fn failure(call: &StoreCall) -> StoreEvent {
    let failed = |service: &Arc<str>, is_status| StoreEvent::Failed {
        service: Arc::clone(service),
        is_status,
    };
    match call {
        StoreCall::WatchOrders { .. } => StoreEvent::WatchFailed {
            is_history_lost: false,
        },
        StoreCall::WriteStatus { service, .. } => failed(service, true),
        StoreCall::ReadOrder { service }
        | StoreCall::ReadState { service }
        | StoreCall::WriteState { service, .. } => failed(service, false),
    }
}

fn revision(number: u64) -> Revision {
    Revision { era: 0, number }
}
