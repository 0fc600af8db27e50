//! The platform's key-value service.
//!
//! Declares the extension point [`Store`] and holds the plug-in `etcd-json`, which speaks the JSON
//! form of the etcd v3 protocol over HTTP. Also encodes the records that are kept there.

mod contacts;
mod etcd;
mod http;
mod record;

use std::pin::Pin;

use linkme::distributed_slice;
use quick_error::quick_error;

use kernel::Plugin;
use kernel::plugin;
use kernel::plugin::EXTENSION_POINTS;
use kernel::plugin::ExtensionPoint;
use spread::Revision;

pub use contacts::contacts_key;
pub use contacts::decode_contacts;
pub use contacts::encode_contacts;
pub use http::HttpClient;
pub use record::CONFIG_KEY;
pub use record::decode_record;
pub use record::encode_record;

/// Registered store plug-ins.
#[distributed_slice]
pub static STORE_PLUGINS: [Plugin<dyn Store>];

#[distributed_slice(EXTENSION_POINTS)]
static EXTENSION_POINT: ExtensionPoint = ExtensionPoint {
    kind: "store",
    names: || plugin::list_names(&STORE_PLUGINS),
};

quick_error! {
    /// Why a call failed.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Error {
        /// The store was not reached; the call had no effect.
        Unreachable { message: String } {
            display("store is unreachable: {message}")
        }
        /// The store refused the call; it had no effect.
        Refused { message: String } {
            display("store refused the call: {message}")
        }
        /// No usable answer came; a write may have taken effect.
        OutcomeUnknown { message: String } {
            display("no usable answer from the store: {message}")
        }
    }
}

/// Value of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The value.
    pub value: Vec<u8>,
    /// Revision of the last change of the key.
    pub revision: Revision,
}

/// What a compare-and-swap did.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SwapOutcome {
    /// The value was written.
    Done,
    /// The key had another revision; nothing was written.
    Conflict(Option<Entry>),
}

/// What a watch has seen.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchOutcome {
    /// The key has this value now; `None` if it was deleted.
    Changed(Option<Entry>),
    /// Nothing in the time of the watch.
    Unchanged,
}

/// Future of a call.
pub type StoreFuture<'a, T> = Pin<Box<dyn Future<Output = Result<T, Error>> + Send + 'a>>;

/// A key-value service with compare-and-swap and watches.
pub trait Store: Send + Sync {
    /// Reads a key.
    fn read<'a>(&'a self, key: &'a str) -> StoreFuture<'a, Option<Entry>>;

    /// Writes a key if its revision is `expected`; revision 0 means that the key does not exist.
    fn compare_and_swap<'a>(
        &'a self,
        key: &'a str,
        expected: Revision,
        value: Vec<u8>,
    ) -> StoreFuture<'a, SwapOutcome>;

    /// Waits for a change of a key after a revision.
    fn watch<'a>(&'a self, key: &'a str, after: Revision) -> StoreFuture<'a, WatchOutcome>;
}
