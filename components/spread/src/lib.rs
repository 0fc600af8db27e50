//! Distribution of the configuration: from the store to the watchers, from node to node.
//!
//! Owns the record that a node has in force and decides when to read the store, when to watch it,
//! when to write to it and when to pull from another node. Versions only rise: nothing here replaces
//! a record by an older one, wherever that came from.

mod backoff;
mod contacts;
mod feed;
mod history;
mod machine;
mod pull;
mod report;
mod watcher;

pub use contacts::ContactsEvent;
pub use feed::Revision;
pub use feed::StoreEvent;
pub use history::History;
pub use history::Offer;
pub use machine::Machine;
pub use machine::Output;
pub use report::Refusal;
pub use report::Report;
pub use watcher::is_watcher;
