//! Operators' HTTP of a node: status, metrics, drain; and the announcements of the upstream.

mod serve;
mod upstream;

pub use serve::Status;
pub use serve::bind;
pub use serve::serve;
pub use upstream::Announcement;
