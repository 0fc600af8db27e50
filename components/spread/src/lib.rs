//! Distribution of the configuration: from the store to the watchers, from node to node.
//!
//! Owns the record that a node has in force and decides when to read the store, when to watch it,
//! when to write to it and when to pull from another node. Versions only rise: nothing here replaces
//! a record by an older one, wherever that came from.

mod contacts;
mod history;
mod machine;
mod pull;
mod report;
mod store_call;
mod store_watch;
mod watcher;

pub use contacts::ContactsEvent;
pub use history::History;
pub use history::PullResponse;
pub use machine::Machine;
pub use machine::Output;
pub use report::DistributionReport;
pub use report::Refusal;
pub use store_watch::Revision;
pub use store_watch::StoreEvent;
pub use watcher::is_watcher;
