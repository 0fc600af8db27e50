//! State machines for the life cycle of a request, free of I/O and of HTTP.
//!
//! [`entry::Machine`] runs on the node that received the caller's request. It finds the route,
//! selects an endpoint and decides on retries and outcome queries. [`owner::Machine`] runs on the
//! node next to the upstream. It admits and dispatches requests and records in a ledger which of
//! them ran.

pub mod entry;
pub mod ledger;
pub mod owner;
mod precedence;
pub mod request;

pub use precedence::Precedence;
pub use request::Dispatched;
pub use request::Finished;
pub use request::Queued;
pub use request::Refusal;
pub use request::Request;
