//! The operators' configuration text and what it compiles to.
//!
//! A text starts as [`Draft`], becomes [`Checked`] when it compiles and [`Accepted`] when it has a
//! version. [`Snapshot`] is the immutable result that nodes route by. The same compilation accepts
//! a text at the operator's side and applies it at the node.

mod compile;
mod life;
mod pattern;
mod record;
mod snapshot;
mod source;

pub use compile::Fault;
pub use compile::MAX_TEXT_BYTES;
pub use compile::compile;
pub use life::Accepted;
pub use life::Checked;
pub use life::Draft;
pub use pattern::Pattern;
pub use record::Delta;
pub use record::FORMAT;
pub use record::Piece;
pub use record::Record;
pub use snapshot::Route;
pub use snapshot::RouteKey;
pub use snapshot::Service;
pub use snapshot::ServiceKey;
pub use snapshot::Snapshot;
