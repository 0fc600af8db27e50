//! The control machine of a node: membership and configuration distribution together.
//!
//! Runs on the control thread alone. It publishes a [`Topology`], the immutable view that traffic
//! threads route by, whenever the configuration or the membership changes.

mod life;
mod machine;
mod message;
mod own;
mod topology;

pub use life::Joining;
pub use life::Leaving;
pub use life::Node;
pub use life::NodeStage;
pub use life::Serving;
pub use machine::Machine;
pub use message::CallId;
pub use message::Effect;
pub use message::Input;
pub use own::AnnouncementOrder;
pub use topology::Endpoint;
pub use topology::EndpointKey;
pub use topology::Topology;
