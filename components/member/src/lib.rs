//! Membership: who is in the fleet, who is alive, and what each node says of its upstream.
//!
//! Owns the member table of one node and the probing that keeps it true. The control machine calls
//! it; it sends nothing itself but gives back the messages to send.

mod endpoint;
mod member;
mod message;
mod probe;
mod table;

pub use endpoint::Draining;
pub use endpoint::Endpoint;
pub use endpoint::Gone;
pub use endpoint::Ready;
pub use endpoint::Stage;
pub use endpoint::Upstream;
pub use endpoint::Warming;
pub use member::Address;
pub use member::Member;
pub use member::Status;
pub use message::Gossip;
pub use message::Message;
pub use message::Stamp;
pub use probe::Limits;
pub use probe::Machine;
pub use probe::Output;
pub use table::Table;
