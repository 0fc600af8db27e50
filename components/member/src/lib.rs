//! Membership: who is in the fleet, who is alive, and what each node says of its upstream.
//!
//! Owns the member table of one node, the probing that keeps it true and the comparison with other
//! tables. The control machine calls it; it sends nothing itself but gives back the messages to
//! send.

mod endpoint;
mod exchange;
mod limits;
mod machine;
mod member;
mod merge;
mod message;
mod probe;
mod rumor;
mod suspicion;
mod table;

pub use endpoint::Draining;
pub use endpoint::Endpoint;
pub use endpoint::Gone;
pub use endpoint::Ready;
pub use endpoint::Stage;
pub use endpoint::Upstream;
pub use endpoint::Warming;
pub use limits::Limits;
pub use machine::Machine;
pub use machine::Output;
pub use member::Address;
pub use member::Member;
pub use member::Status;
pub use message::Answer;
pub use message::Ask;
pub use message::BUCKETS;
pub use message::Body;
pub use message::Gossip;
pub use message::Message;
pub use message::Stamp;
pub use message::Update;
pub use table::Merge;
pub use table::Table;
