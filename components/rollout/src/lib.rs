//! Rollouts of new versions of a service.
//!
//! This crate decides which version of a service is established, which share of its requests a new version
//! gets while an operator's order runs, and how the order ends. It is pure: [`Table`] is what every node knows,
//! and the control state machine carries its messages and publishes its [`View`] to the traffic threads.

mod claim;
mod coordinator;
mod evidence;
mod job;
mod judge;
mod message;
mod node;
mod order;
mod outcomes;
mod record;
mod revision;
mod share;
mod store;
mod table;
mod view;

use std::time::Duration;

pub use claim::Claim;
pub use coordinator::Coordinator;
pub use coordinator::Fleet;
pub use coordinator::Role;
pub use judge::Judgement;
pub use judge::judge;
pub use message::Message;
pub use message::Notice;
pub use message::OrderNotice;
pub use message::Report;
pub use node::Node;
pub use node::Outbox;
pub use order::KnownOrder;
pub use order::Phase;
pub use outcomes::Counts;
pub use outcomes::MAX_TALLIES;
pub use outcomes::Outcome;
pub use outcomes::Outcomes;
pub use outcomes::Tally;
pub use record::Order;
pub use record::Record;
pub use revision::Revision;
pub use share::Shares;
pub use share::choose_canaries;
pub use store::StoreCall;
pub use store::StoreEvent;
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

/// Part of the largest share that entries use, in thousandths. The rest is for requests that entries and the
/// platform count differently.
const USED_PERMILLE: f64 = 700.0;

impl Limits {
    /// Part of a service's requests for a version on trial, in thousandths.
    pub fn canary_permille(&self) -> u32 {
        // The settings keep the share between 0 and 1.
        (self.share * USED_PERMILLE) as u32
    }
}
