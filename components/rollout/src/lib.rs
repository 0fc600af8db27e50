//! Rollouts of new versions of a service.
//!
//! This crate decides which version of a service is established, which share of its requests a new version
//! gets while an operator's order runs, and how the order ends. It is pure: [`Table`] is what every node knows,
//! and the control state machine carries its messages and publishes its [`View`] to the traffic threads.

mod claim;
mod message;
mod order;
mod revision;
mod table;
mod view;

use std::time::Duration;

pub use claim::Claim;
pub use message::Message;
pub use message::Notice;
pub use message::OrderNotice;
pub use order::KnownOrder;
pub use order::Phase;
pub use revision::Revision;
pub use table::Merge;
pub use table::ReadyCount;
pub use table::Table;
pub use view::ServiceView;
pub use view::Trial;
pub use view::View;

/// Bounds on what a new version gets, from the settings.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Largest share of a service's requests.
    pub share: f64,
    /// Requests beyond the share.
    pub slack: f64,
    /// Time after which a version that has shown itself to be bad gets no more requests.
    pub stop: Duration,
}
