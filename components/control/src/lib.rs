//! State machine of the control thread: membership and configuration distribution of one node.
//!
//! Whenever the configuration or the membership changes, [`Machine`] publishes a [`Topology`], an
//! immutable snapshot of both by which the traffic threads route requests.

mod freshness;
mod life_cycle;
mod machine;
mod message;
mod own_upstream;
mod rollouts;
mod suspects;
mod topology;

pub use life_cycle::Joining;
pub use life_cycle::Leaving;
pub use life_cycle::Node;
pub use life_cycle::NodeStage;
pub use life_cycle::Serving;
pub use machine::Machine;
pub use message::CallId;
pub use message::Effect;
pub use message::Input;
pub use own_upstream::AnnouncementOrder;
pub use topology::Endpoint;
pub use topology::EndpointKey;
pub use topology::Topology;
