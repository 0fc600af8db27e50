//! The operators' configuration text and what it compiles to.
//!
//! A text starts as [`DraftConfig`], becomes [`CheckedConfig`] when it compiles and [`AcceptedConfig`] when it has a
//! version. [`Snapshot`] is the immutable result that nodes route by. The same compilation accepts
//! a text at the operator's side and applies it at the node.

mod caller_limits;
mod compile;
mod cycle;
mod delta;
mod edit_script;
mod error;
mod life_cycle;
mod parse;
mod pattern;
mod prefix_table;
mod record;
mod route_tree;
mod rules;
mod snapshot;
mod source;
mod suggest;

pub use caller_limits::CallerLimits;
pub use compile::MAX_RECORD_BYTES;
pub use compile::MAX_TEXT_BYTES;
pub use compile::compile;
pub use delta::Delta;
pub use delta::DeltaOp;
pub use delta::unified_diff;
pub use error::ConfigError;
pub use error::describe_yaml_error;
pub use life_cycle::AcceptedConfig;
pub use life_cycle::CheckedConfig;
pub use life_cycle::DraftConfig;
pub use parse::record_size_bound;
pub use pattern::PathPattern;
pub use record::NEWEST_FORMAT;
pub use record::Record;
pub use rules::MAX_DEPENDENCIES;
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
