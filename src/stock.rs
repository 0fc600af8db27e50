//! The store as operators use it: reading the record, running the machines of `accept`.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::sleep;

use accept::Effect;
use accept::Entry;
use accept::Input;
use accept::Outcome;
use accept::StoreError;
use accept::WriteOutcome;
use config::Record;
use kernel::Clock;
use kernel::StateMachine;
use kernel::clock::MonotonicClock;
use kernel::plugin;
use kernel::plugin::Params;
use kernel::random::SeededRandom;
use spread::Revision;
use store::CONFIG_KEY;
use store::STORE_PLUGINS;
use store::Store;
use store::SwapOutcome;
use store::decode_record;
use store::encode_record;

/// Name of the store plug-in that operators use.
const STORE_PLUGIN: &str = "etcd-json";

/// A client of the store at `address`.
pub(crate) fn open_store(address: SocketAddr) -> Result<Box<dyn Store>, plugin::Error> {
    let params = Params::from_pairs([("address".to_owned(), address.to_string())]);
    plugin::build("store", &STORE_PLUGINS, STORE_PLUGIN, &params)
}

/// The accepted record with the revision of its key.
pub(crate) async fn read_entry(store: &dyn Store) -> Result<Option<Entry>, StoreError> {
    let entry = store.read(CONFIG_KEY).await.map_err(to_failure)?;
    entry.map(to_entry).transpose()
}

/// The accepted record.
pub(crate) async fn read_record(address: SocketAddr) -> Result<Record, String> {
    let store = open_store(address).map_err(|error| error.to_string())?;
    match read_entry(store.as_ref()).await {
        Ok(Some(entry)) => Ok(entry.record),
        Ok(None) => Err("no configuration has been accepted".into()),
        Err(failure) => Err(failure.to_string()),
    }
}

fn to_entry(entry: store::Entry) -> Result<Entry, StoreError> {
    let revision = entry.revision;
    let record = decode_record(&entry.value).ok_or(StoreError::Unreadable)?;
    Ok(Entry { record, revision })
}

fn to_failure(error: store::Error) -> StoreError {
    let message = error.to_string();
    match error {
        store::Error::Unreachable { .. } => StoreError::Unreachable { message },
        store::Error::Refused { .. } => StoreError::Refused { message },
        store::Error::OutcomeUnknown { .. } => StoreError::OutcomeUnknown { message },
    }
}

async fn write(
    store: &dyn Store,
    record: &Record,
    expected: Revision,
) -> Result<WriteOutcome, StoreError> {
    let value = encode_record(record);
    match store.compare_and_swap(CONFIG_KEY, expected, value).await {
        Ok(SwapOutcome::Done) => Ok(WriteOutcome::Done),
        // The conflict is certain, whatever the key holds.
        Ok(SwapOutcome::Conflict(found)) => match found.map(to_entry).transpose() {
            Ok(found) => Ok(WriteOutcome::Conflict(found)),
            Err(failure) => Err(StoreError::Refused {
                message: failure.to_string(),
            }),
        },
        Err(error) => Err(to_failure(error)),
    }
}

/// Time limit as the machines take it; their clock starts with [`drive`].
pub(crate) fn limit(seconds: u64) -> kernel::Time {
    kernel::Time::default() + Duration::from_secs(seconds)
}

/// What became of an edit, and the record that was read first.
pub(crate) struct Done {
    pub(crate) outcome: Outcome,
    pub(crate) first: Option<Record>,
}

/// Runs a machine of `accept` to its end.
pub(crate) async fn drive<M>(store: &dyn Store, mut machine: M) -> Done
where
    M: StateMachine<Input = Input, Effect = Effect>,
{
    let clock = MonotonicClock::new();
    let mut random = SeededRandom::from_os_entropy();
    let mut effects = Vec::new();
    let mut first = None;
    machine.step(clock.now(), Input::Start, &mut random, &mut effects);
    loop {
        let effect = effects.pop();
        if let Some(Effect::Finish(outcome)) = effect {
            return Done { outcome, first };
        }
        let wait = machine.next_wake().map(|due| clock.now().until(due));
        let input = tokio::select! {
            input = call(store, effect) => Some(input),
            () = sleep(wait.unwrap_or_default()) => None,
        };
        match input {
            Some(input) => {
                if let (Input::ReadDone(Ok(Some(entry))), None) = (&input, &first) {
                    first = Some(entry.record.clone());
                }
                machine.step(clock.now(), input, &mut random, &mut effects);
            }
            None => machine.wake(clock.now(), &mut random, &mut effects),
        }
    }
}

/// Does what the machine asks for; waits without end if it asks for nothing.
async fn call(store: &dyn Store, effect: Option<Effect>) -> Input {
    match effect {
        Some(Effect::Read) => Input::ReadDone(read_entry(store).await),
        Some(Effect::Write { record, expected }) => {
            Input::WriteDone(write(store, &record, expected).await)
        }
        Some(Effect::Finish(_)) | None => std::future::pending().await,
    }
}
