//! Operators' HTTP of a node: status, members, explanations, metrics, settings, drain; and the
//! announcements of the upstream.
//!
//! Reads published topologies and sends inputs to the control thread; decides nothing itself. The
//! bodies are public, so that `medlarctl` reads what the node writes.

mod explain;
mod handle;
mod query;
mod serve;
mod upstream;
mod view;

pub use handle::Node;
pub use serve::serve;
pub use serve::serve_requests;
pub use upstream::Announcement;
pub use upstream::State;
pub use view::Choice;
pub use view::Explanation;
pub use view::MemberView;
pub use view::RouteView;
pub use view::Status;
