//! The operators' configuration text and what it compiles to.
//!
//! A text starts as [`Draft`], becomes [`Checked`] when it compiles and [`Accepted`] when it has a
//! version. [`Snapshot`] is the immutable result that nodes route by. The same compilation accepts
//! a text at the operator's side and applies it at the node.

mod compile;
mod delta;
mod depends;
mod fault;
mod life;
mod limits;
mod parse;
mod pattern;
mod prefix;
mod record;
mod rules;
mod script;
mod snapshot;
mod source;
mod suggest;
mod tree;

pub use compile::MAX_RECORD_BYTES;
pub use compile::MAX_TEXT_BYTES;
pub use compile::compile;
pub use delta::Delta;
pub use delta::Piece;
pub use delta::describe_difference;
pub use fault::Fault;
pub use fault::describe_yaml;
pub use life::Accepted;
pub use life::Checked;
pub use life::Draft;
pub use limits::Limits;
pub use parse::measure_record;
pub use pattern::Pattern;
pub use record::FORMAT;
pub use record::Record;
pub use rules::MAX_DEPENDS;
pub use rules::MAX_NAME_BYTES;
pub use rules::MAX_ROUTES;
pub use rules::MAX_SERVICES;
pub use snapshot::Route;
pub use snapshot::RouteKey;
pub use snapshot::Service;
pub use snapshot::ServiceKey;
pub use snapshot::Snapshot;
pub use snapshot::Target;
pub use suggest::suggest_name;
