//! One module a verb.

pub(crate) mod apply;
pub(crate) mod check;
pub(crate) mod get;

use std::net::SocketAddr;

use config::Record;
use kernel::plugin;
use kernel::plugin::Params;
use spread::Revision;
use store::CONFIG_KEY;
use store::STORES;
use store::Store;
use store::decode_record;

/// Name of the store plug-in that operators use.
const STORE_PLUGIN: &str = "etcd-json";

/// A client of the store at `address`.
fn open_store(address: SocketAddr) -> Result<Box<dyn Store>, plugin::Error> {
    let params = Params::from_pairs([("address".to_owned(), address.to_string())]);
    plugin::build("store", &STORES, STORE_PLUGIN, &params)
}

/// The accepted record with the revision of its key.
async fn read_record(store: &dyn Store) -> Result<(Option<Record>, Revision), store::Error> {
    let entry = store.read(CONFIG_KEY).await?;
    let revision = entry.as_ref().map(|it| it.revision).unwrap_or_default();
    Ok((entry.and_then(|it| decode_record(&it.value)), revision))
}
