//! Quarantine of requests that crash the upstreams that run them.
//!
//! A crash of an upstream makes all requests that ran at it suspect. The owner of the upstream reports them,
//! gossip brings the reports to all nodes, and each node counts in how many crashes a request was suspect
//! since it last completed. Until a backoff that grows with the number of crashes has passed, no node runs
//! the request again. A request that an upstream serves is cleared.
//!
//! The control thread owns the [`Table`]. Traffic threads read a [`View`] of it.

mod report;
mod table;
mod view;

pub use report::Crash;
pub use report::Report;
pub use table::Merge;
pub use table::Table;
pub use view::Entry;
pub use view::View;
