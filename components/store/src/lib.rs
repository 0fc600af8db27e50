//! Clients of the platform's key-value store.
//!
//! Declares the extension point [`Store`] and implements the plug-in `etcd-json`, which uses the JSON
//! gateway of the etcd v3 API. Also encodes and decodes the values that are kept in a store: the
//! configuration record and the contacts of failure domains.

mod contacts;
mod etcd;
mod http;
mod record;
mod rollouts;
mod transfer;

use std::pin::Pin;
use std::time::Duration;

use linkme::distributed_slice;
use quick_error::quick_error;
use tokio::time::timeout;

use kernel::Plugin;
use kernel::plugin;
use kernel::plugin::EXTENSION_POINTS;
use kernel::plugin::ExtensionPoint;
use spread::Era;
use spread::Revision;

pub use contacts::Contacts;
pub use contacts::contacts_key;
pub use contacts::decode_contacts;
pub use contacts::encode_contacts;
pub use http::HttpClient;
pub use http::longest_call;
pub use record::CONFIG_KEY;
pub use record::decode_record;
pub use record::encode_record;
pub use rollouts::ORDER_PREFIX;
pub use rollouts::STATUS_PREFIX;
pub use rollouts::decode_order;
pub use rollouts::decode_state;
pub use rollouts::decode_status;
pub use rollouts::encode_state;
pub use rollouts::encode_status;
pub use rollouts::order_key;
pub use rollouts::state_key;
pub use rollouts::status_key;

/// Registered store plug-ins.
#[distributed_slice]
pub static STORE_PLUGINS: [Plugin<dyn Store>];

#[distributed_slice(EXTENSION_POINTS)]
static EXTENSION_POINT: ExtensionPoint = ExtensionPoint {
    kind: "store",
    names: || plugin::list_names(&STORE_PLUGINS),
};

quick_error! {
    /// Why a call to the store failed.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Error {
        /// No connection to the store could be established; the call had no effect.
        Unreachable { message: String } {
            display("store is unreachable: {message}")
        }
        /// The store refused the call; it had no effect.
        Refused { message: String } {
            display("store refused the call: {message}")
        }
        /// No usable response arrived; a write may have taken effect.
        OutcomeUnknown { message: String } {
            display("no usable response from the store: {message}")
        }
        /// The response, or the rest of it, did not arrive in time; a write may have taken effect.
        TimedOut { message: String } {
            display("the store did not respond in time: {message}")
        }
        /// The response is larger than any that is needed; a write may have taken effect.
        TooLarge { message: String } {
            display("the store's response is too large: {message}")
        }
        /// The store cannot continue a watch from its revision.
        HistoryUnavailable { message: String } {
            display("the store cannot continue the watch: {message}")
        }
    }
}

impl Error {
    /// Name of the cause, for counters and log lines.
    pub fn cause(&self) -> &'static str {
        match self {
            Self::Unreachable { .. } => "unreachable",
            Self::Refused { .. } => "refused",
            Self::OutcomeUnknown { .. } => "broken",
            Self::TimedOut { .. } => "timed-out",
            Self::TooLarge { .. } => "too-large",
            Self::HistoryUnavailable { .. } => "history",
        }
    }
}

/// Value of a key with its revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The value; `None` if the key does not exist.
    pub value: Option<Vec<u8>>,
    /// Revision at which the key was last modified, or that of a missing key.
    pub revision: Revision,
    /// Revision of the store up to which this is the newest value. A watch that starts here needs no
    /// older history.
    pub store_revision: Revision,
}

/// Result of a compare-and-swap.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SwapOutcome {
    /// The value was written at this revision.
    Done(Revision),
    /// The key has another revision, so nothing was written; holds its current entry.
    Conflict(Entry),
}

impl SwapOutcome {
    /// Era of the store's answer.
    pub fn era(&self) -> Era {
        match self {
            Self::Done(revision) => revision.era,
            Self::Conflict(entry) => entry.store_revision.era,
        }
    }
}

/// Result of a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchOutcome {
    /// The key was set to this entry, or deleted.
    Changed(Entry),
    /// The key did not change within the time limit of the watch, up to this revision of the store.
    Unchanged(Revision),
}

/// Result of a watch of all keys with a prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PrefixChanges {
    /// The newest entry of each key that has changed.
    pub entries: Vec<(String, Entry)>,
    /// Revision of the store up to which these are all changes.
    pub store_revision: Revision,
}

/// Future of a call to the store.
pub type StoreFuture<'a, T> = Pin<Box<dyn Future<Output = Result<T, Error>> + Send + 'a>>;

/// Client of a key-value store with compare-and-swap and watches.
pub trait Store: Send + Sync {
    /// Whether nodes may write a key. Where operators write the configuration by themselves, nodes
    /// cannot replace it.
    fn is_writable(&self, _key: &str) -> bool {
        true
    }

    /// Reads a key, which may not exist.
    fn read<'a>(&'a self, key: &'a str) -> StoreFuture<'a, Entry>;

    /// Writes a key if its revision is `expected`; revision 0 stands for a key that does not exist.
    fn compare_and_swap<'a>(
        &'a self,
        key: &'a str,
        expected: Revision,
        value: Vec<u8>,
    ) -> StoreFuture<'a, SwapOutcome>;

    /// Waits until a key changes after the revision `after`, or until the watch times out.
    fn watch<'a>(&'a self, key: &'a str, after: Revision) -> StoreFuture<'a, WatchOutcome>;

    /// Like [`Store::watch`], but ends after about `wait`, with an answer that states whether the key has changed.
    /// Where a watch cannot end with such an answer, the key is read after it.
    fn watch_within<'a>(
        &'a self,
        key: &'a str,
        after: Revision,
        wait: Duration,
    ) -> StoreFuture<'a, WatchOutcome> {
        Box::pin(async move {
            match timeout(wait, self.watch(key, after)).await {
                Ok(outcome) => outcome,
                Err(_) => self.read_changes(key, after).await,
            }
        })
    }

    /// Reads a key if it has changed after the revision `after`. Where the store cannot say that without
    /// waiting, the key is read.
    fn read_changes<'a>(&'a self, key: &'a str, _after: Revision) -> StoreFuture<'a, WatchOutcome> {
        Box::pin(async move { self.read(key).await.map(WatchOutcome::Changed) })
    }

    /// Waits until a key with the prefix changes after the revision `after`, or until the watch times out. Stores
    /// that cannot do this run no rollouts.
    fn watch_prefix<'a>(
        &'a self,
        prefix: &'a str,
        _after: Revision,
    ) -> StoreFuture<'a, PrefixChanges> {
        Box::pin(async move {
            Err(Error::Refused {
                message: format!("this store watches no prefix, such as {prefix}"),
            })
        })
    }
}
