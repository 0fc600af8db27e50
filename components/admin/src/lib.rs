//! Admin API of a node: an HTTP interface by which operators read the status, members, metrics and
//! settings, have the routing of a request explained and drain the node, and by which the upstream
//! announces itself.
//!
//! This crate reads the published topology and sends inputs to the control thread, which makes all
//! decisions. The types of the bodies are public, so that `medlarctl` parses responses with the types
//! that the node serializes.

mod announcement;
mod explain;
mod handler;
mod query;
mod serve;
mod view;

pub use announcement::Announcement;
pub use announcement::UpstreamState;
pub use handler::AdminHandler;
pub use serve::serve;
pub use serve::serve_requests;
pub use view::EndpointView;
pub use view::Explanation;
pub use view::LimitUsage;
pub use view::MemberView;
pub use view::RolloutView;
pub use view::RouteView;
pub use view::Status;
