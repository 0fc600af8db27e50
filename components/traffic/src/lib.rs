//! Life of a request, as pure state machines.
//!
//! [`entry::Machine`] runs at the node that a caller reached: it finds the route, picks an endpoint,
//! and decides on retries and outcome queries. [`owner::Machine`] runs at the node beside the
//! upstream: it admits, dispatches, and keeps the ledger of what ran. Neither knows HTTP.

pub mod entry;
pub mod ledger;
pub mod owner;
pub mod request;

pub use request::Dispatched;
pub use request::Finished;
pub use request::Queued;
pub use request::Refusal;
pub use request::Request;
