//! Membership protocol: which nodes form the fleet, which of them are alive, and what each announces
//! about its upstream.
//!
//! The protocol follows SWIM with the Lifeguard extensions. [`Machine`] holds the member table of one
//! node, probes other members, spreads updates by gossip and compares tables with other nodes
//! (anti-entropy). It performs no I/O: it returns the messages to send to its caller, the state
//! machine of the `control` crate.

mod anti_entropy;
mod broadcast;
mod endpoint;
mod machine;
mod member;
mod merge;
mod message;
mod parameters;
mod probe;
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
