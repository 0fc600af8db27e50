//! Operators' HTTP of a node: status, members, explanations, metrics, settings, drain; and the
//! announcements of the upstream.
//!
//! Reads published topologies and sends inputs to the control thread; decides nothing itself. The
//! bodies are public, so that `medlarctl` reads what the node writes.

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
pub use view::MemberView;
pub use view::RouteView;
pub use view::Status;
