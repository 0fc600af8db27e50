//! Distribution of the configuration: from the store to the watchers, from node to node.
//!
//! Owns the record that a node has in force and decides when to read the store, when to watch it and
//! when to pull from another node. Versions only rise: nothing here replaces a record by an older
//! one, wherever that came from.

mod history;
mod machine;
mod watcher;

pub use history::History;
pub use history::Offer;
pub use machine::Machine;
pub use machine::Output;
pub use machine::Revision;
pub use machine::StoreEvent;
pub use watcher::is_watcher;
