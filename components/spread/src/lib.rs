//! Distribution of the configuration from the store to the nodes.
//!
//! In each failure domain, a few nodes watch the store; the others pull new versions from nodes
//! that have them. [`Machine`] holds the configuration record that a node has in force and decides
//! when to read, watch or write the store and when to pull from another node. Versions only rise: a
//! record is never replaced by an older one, wherever that comes from.

mod contacts;
mod history;
mod machine;
mod pull;
mod report;
mod revision;
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
pub use revision::Era;
pub use revision::Revision;
pub use store_call::CONFIG_CALL_TIMEOUT;
pub use store_watch::StoreEvent;
pub use watcher::WATCHERS_PER_DOMAIN;
pub use watcher::fleet_position;
pub use watcher::is_watcher;
pub use watcher::rank_members;
