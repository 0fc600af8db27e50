//! Calls to the store about rollouts.

use std::sync::Arc;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use control::Input;
use rollout::Phase;
use rollout::Record;
use rollout::Revision;
use rollout::StoreCall;
use rollout::StoreEvent;
use spread::Era;
use store::Entry;
use store::Error;
use store::ORDER_PREFIX;
use store::Store;
use store::SwapOutcome;
use store::decode_order;
use store::decode_state;
use store::encode_state;
use store::encode_status;
use store::order_key;
use store::state_key;
use store::status_key;

/// Makes the call, and returns its result for the control state machine.
pub(crate) async fn make_call(store: Arc<dyn Store>, call: StoreCall) -> (Input, Option<Error>) {
    let (event, error) = match call {
        StoreCall::ReadOrder { service } => read_order(&*store, service).await,
        StoreCall::WatchOrders { after } => watch_orders(&*store, after).await,
        StoreCall::ReadState { service } => read_state(&*store, service).await,
        StoreCall::WriteState {
            service,
            expected,
            record,
        } => write_state(&*store, service, expected, record).await,
        StoreCall::WriteStatus {
            service,
            expected,
            phase,
            target,
        } => write_status(&*store, service, expected, phase, target).await,
    };
    let unix = SystemTime::now().duration_since(UNIX_EPOCH);
    let unix_ms = unix.map_or(0, |it| u64::try_from(it.as_millis()).unwrap_or(u64::MAX));
    (Input::RolloutStore { unix_ms, event }, error)
}

type Outcome = (StoreEvent, Option<Error>);

async fn read_order(store: &dyn Store, service: Arc<str>) -> Outcome {
    match store.read(&order_key(&service)).await {
        Ok(entry) => {
            let event = StoreEvent::OrderRead {
                service,
                order: decode_order(&entry),
                store_revision: from_store(entry.store_revision),
            };
            (event, None)
        }
        Err(error) => fail(service, false, error),
    }
}

async fn watch_orders(store: &dyn Store, after: Revision) -> Outcome {
    match store.watch_prefix(ORDER_PREFIX, to_store(after)).await {
        Ok(changes) => {
            let orders = changes.entries.iter().filter_map(|(key, entry)| {
                let service = key.strip_prefix(ORDER_PREFIX)?;
                Some((Arc::from(service), decode_order(entry)?))
            });
            let event = StoreEvent::OrdersWatched {
                orders: orders.collect(),
                store_revision: from_store(changes.store_revision),
            };
            (event, None)
        }
        Err(error) => {
            let is_history_lost = matches!(error, Error::HistoryUnavailable { .. });
            (StoreEvent::WatchFailed { is_history_lost }, Some(error))
        }
    }
}

async fn read_state(store: &dyn Store, service: Arc<str>) -> Outcome {
    match store.read(&state_key(&service)).await {
        Ok(entry) => (state_read(service, &entry), None),
        Err(error) => fail(service, false, error),
    }
}

async fn write_state(
    store: &dyn Store,
    service: Arc<str>,
    expected: Revision,
    record: Record,
) -> Outcome {
    let (key, value) = (state_key(&service), encode_state(&record));
    match store
        .compare_and_swap(&key, to_store(expected), value)
        .await
    {
        Ok(SwapOutcome::Done(revision)) => {
            let event = StoreEvent::StateWritten {
                service,
                revision: from_store(revision),
                record,
            };
            (event, None)
        }
        Ok(SwapOutcome::Conflict(entry)) => (state_read(service, &entry), None),
        Err(error) => fail(service, false, error),
    }
}

async fn write_status(
    store: &dyn Store,
    service: Arc<str>,
    expected: Revision,
    phase: Phase,
    target: Arc<str>,
) -> Outcome {
    let (key, value) = (status_key(&service), encode_status(phase, &target));
    let written = store.compare_and_swap(&key, to_store(expected), value.clone());
    let revision = match written.await {
        Ok(SwapOutcome::Done(revision)) => revision,
        // The write before took effect, though its answer was lost, or another coordinator made it.
        Ok(SwapOutcome::Conflict(entry)) if is_status(&entry, &value) => entry.revision,
        Ok(SwapOutcome::Conflict(entry)) => {
            let revision = from_store(entry.revision);
            return (StoreEvent::StatusConflict { service, revision }, None);
        }
        Err(error) => return fail(service, true, error),
    };
    let event = StoreEvent::StatusWritten {
        service,
        revision: from_store(revision),
        phase,
        target,
    };
    (event, None)
}

fn is_status(entry: &Entry, value: &[u8]) -> bool {
    let current = entry.value.as_deref().and_then(store::decode_status);
    current.is_some() && current == store::decode_status(value)
}

fn state_read(service: Arc<str>, entry: &Entry) -> StoreEvent {
    StoreEvent::StateRead {
        service,
        revision: from_store(entry.revision),
        record: entry.value.as_deref().and_then(decode_state),
    }
}

fn fail(service: Arc<str>, is_status: bool, error: Error) -> Outcome {
    (StoreEvent::Failed { service, is_status }, Some(error))
}

fn from_store(revision: spread::Revision) -> Revision {
    Revision {
        era: revision.era.0,
        number: revision.number,
    }
}

fn to_store(revision: Revision) -> spread::Revision {
    spread::Revision::new(Era(revision.era), revision.number)
}
