//! The control machine of a node: membership and configuration distribution together.
//!
//! Runs on the control thread alone. It publishes a [`Picture`], the immutable view that traffic
//! threads route by, whenever the configuration or the membership changes.

mod life;
mod machine;
mod picture;

pub use life::Joining;
pub use life::Leaving;
pub use life::Life;
pub use life::Node;
pub use life::Serving;
pub use machine::Effect;
pub use machine::Input;
pub use machine::Machine;
pub use machine::Token;
pub use picture::Endpoint;
pub use picture::EndpointKey;
pub use picture::Picture;
