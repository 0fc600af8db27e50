//! Access to the store: reads the accepted configuration and runs the state machines of `accept`.

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

/// Store plug-in of the command line.
const STORE_PLUGIN: &str = "etcd-json";

/// Creates a client of the store at `address`.
pub(crate) fn open_store(address: SocketAddr) -> Result<Box<dyn Store>, plugin::Error> {
    let params = Params::from_pairs([("address".to_owned(), address.to_string())]);
    plugin::build("store", &STORE_PLUGINS, STORE_PLUGIN, &params)
}

/// Reads the accepted configuration record with the revision of its key; `None` if there is none.
pub(crate) async fn read_accepted_entry(store: &dyn Store) -> Result<Option<Entry>, StoreError> {
    let entry = store.read(CONFIG_KEY).await.map_err(to_store_error)?;
    decode_entry(entry)
}

/// Reads the accepted configuration record of the store at `address`. It is an error if there is none.
pub(crate) async fn read_accepted_record(address: SocketAddr) -> Result<Record, String> {
    let store = open_store(address).map_err(|error| error.to_string())?;
    match read_accepted_entry(store.as_ref()).await {
        Ok(Some(entry)) => Ok(entry.record),
        Ok(None) => Err("no configuration has been accepted".into()),
        Err(error) => Err(error.to_string()),
    }
}

fn decode_entry(entry: store::Entry) -> Result<Option<Entry>, StoreError> {
    let revision = entry.revision;
    let Some(value) = entry.value else {
        return Ok(None);
    };
    let record = decode_record(&value).ok_or(StoreError::Unreadable)?;
    Ok(Some(Entry { record, revision }))
}

fn to_store_error(error: store::Error) -> StoreError {
    let message = error.to_string();
    match error {
        store::Error::Unreachable { .. } => StoreError::Unreachable { message },
        store::Error::Refused { .. } => StoreError::Refused { message },
        store::Error::OutcomeUnknown { .. }
        | store::Error::TimedOut { .. }
        | store::Error::TooLarge { .. }
        | store::Error::HistoryUnavailable { .. } => StoreError::OutcomeUnknown { message },
    }
}

/// Writes the record if the configuration key still has the expected revision.
async fn write_record(
    store: &dyn Store,
    record: &Record,
    expected: Revision,
) -> Result<WriteOutcome, StoreError> {
    let value = encode_record(record);
    match store.compare_and_swap(CONFIG_KEY, expected, value).await {
        Ok(SwapOutcome::Done(_)) => Ok(WriteOutcome::Done),
        // A conflict means that nothing was written, whatever the key holds. An unreadable record is
        // therefore reported as a refusal; `Unreadable` would leave the outcome of the write open.
        Ok(SwapOutcome::Conflict(found)) => match decode_entry(found) {
            Ok(found) => Ok(WriteOutcome::Conflict(found)),
            Err(error) => Err(StoreError::Refused {
                message: error.to_string(),
            }),
        },
        Err(error) => Err(to_store_error(error)),
    }
}

/// Converts a time limit in seconds to a deadline on the clock of a state machine, which starts at zero
/// in [`run_machine`].
pub(crate) fn deadline_after(seconds: u64) -> kernel::Time {
    kernel::Time::default() + Duration::from_secs(seconds)
}

/// Outcome of an edit, and the first record that was read from the store, if one was.
pub(crate) struct EditResult {
    pub(crate) outcome: Outcome,
    pub(crate) first_record: Option<Record>,
}

/// Runs a state machine of `accept` until it finishes, and carries out its effects on the store.
pub(crate) async fn run_machine<M>(store: &dyn Store, mut machine: M) -> EditResult
where
    M: StateMachine<Input = Input, Effect = Effect>,
{
    let clock = MonotonicClock::new();
    let mut random = SeededRandom::from_os_entropy();
    let mut effects = Vec::new();
    let mut first_record = None;
    machine.step(clock.now(), Input::Start, &mut random, &mut effects);
    loop {
        let effect = effects.pop();
        if let Some(Effect::Finish(outcome)) = effect {
            return EditResult {
                outcome,
                first_record,
            };
        }
        let sleep_time = machine.next_wake().map(|due| clock.now().until(due));
        let input = tokio::select! {
            input = execute_effect(store, effect) => Some(input),
            () = sleep(sleep_time.unwrap_or_default()) => None,
        };
        match input {
            Some(input) => {
                if let (Input::ReadDone(Ok(Some(entry))), None) = (&input, &first_record) {
                    first_record = Some(entry.record.clone());
                }
                machine.step(clock.now(), input, &mut random, &mut effects);
            }
            None => machine.wake(clock.now(), &mut random, &mut effects),
        }
    }
}

/// Carries out an effect of a state machine and returns the input that reports its result. Never
/// completes if there is no call to make.
async fn execute_effect(store: &dyn Store, effect: Option<Effect>) -> Input {
    match effect {
        Some(Effect::Read) => Input::ReadDone(read_accepted_entry(store).await),
        Some(Effect::Write { record, expected }) => {
            Input::WriteDone(write_record(store, &record, expected).await)
        }
        Some(Effect::Finish(_)) | None => std::future::pending().await,
    }
}
