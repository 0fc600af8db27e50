//! Calls of the coordinator to the store, and their results.

use std::sync::Arc;

use crate::Order;
use crate::Phase;
use crate::Record;
use crate::Revision;

/// A call to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreCall {
    /// Read the order of a service.
    ReadOrder { service: Arc<str> },
    /// Wait for orders after the revision.
    WatchOrders { after: Revision },
    /// Read the state of a service.
    ReadState { service: Arc<str> },
    /// Write the state of a service if its key has the expected revision.
    WriteState {
        service: Arc<str>,
        expected: Revision,
        record: Record,
    },
    /// Write the status for the operator if its key has the expected revision.
    WriteStatus {
        service: Arc<str>,
        expected: Revision,
        phase: Phase,
        target: Arc<str>,
    },
}

/// Result of a [`StoreCall`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreEvent {
    /// The order of a service, if there is one; `store_revision` is that of the store.
    OrderRead {
        service: Arc<str>,
        order: Option<Order>,
        store_revision: Revision,
    },
    /// The orders that have changed, by service, up to this revision of the store.
    OrdersWatched {
        orders: Vec<(Arc<str>, Order)>,
        store_revision: Revision,
    },
    /// The watch has failed. With `is_history_lost`, the store cannot continue from its revision.
    WatchFailed { is_history_lost: bool },
    /// State of a service and revision of its key; `None` if the key holds no valid one.
    StateRead {
        service: Arc<str>,
        revision: Revision,
        record: Option<Record>,
    },
    /// The state was written at this revision.
    StateWritten {
        service: Arc<str>,
        revision: Revision,
        record: Record,
    },
    /// The status was written at this revision, or its key already had this value.
    StatusWritten {
        service: Arc<str>,
        revision: Revision,
        phase: Phase,
        target: Arc<str>,
    },
    /// The key of the status has another revision than expected.
    StatusConflict {
        service: Arc<str>,
        revision: Revision,
    },
    /// A call about a service has failed, or its outcome is unknown.
    Failed { service: Arc<str>, is_status: bool },
}
