//! Membership: who is in the fleet, who is alive, and what each node says of its upstream.
//!
//! Owns the member table of one node, the probing that keeps it true and the comparison with other
//! tables. The control machine calls it; it sends nothing itself but gives back the messages to
//! send.

mod endpoint;
mod exchange;
mod machine;
mod member;
mod merge;
mod message;
mod parameters;
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
pub use machine::Machine;
pub use machine::Output;
pub use member::ListenAddresses;
pub use member::Member;
pub use member::Status;
pub use message::BUCKET_COUNT;
pub use message::ConfigId;
pub use message::Gossip;
pub use message::Message;
pub use message::SyncRequest;
pub use message::SyncResponse;
pub use message::SyncResponseBody;
pub use message::Update;
pub use parameters::Parameters;
pub use table::MemberTable;
pub use table::MergeOutcome;
