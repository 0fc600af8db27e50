//! The configuration text that operators write, and its compilation.
//!
//! A configuration text starts as a [`DraftConfig`], becomes a [`CheckedConfig`] once it compiles,
//! and an [`AcceptedConfig`] once it is part of a [`Record`] with a version. [`compile`] turns a
//! text into a [`Snapshot`], the immutable tables by which nodes route requests. The command line
//! checks a text by the same function before it is accepted, so that it applies the rules of the
//! nodes.

mod caller_limits;
mod changes;
mod compile;
mod cycle;
mod delta;
mod edit_script;
mod error;
mod life_cycle;
mod lint;
mod organisation;
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
pub use changes::Change;
pub use changes::ChangeKind;
pub use changes::list_changes;
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
pub use lint::Finding;
pub use lint::lint;
pub use organisation::Organisation;
pub use organisation::OrganisationKey;
pub use organisation::RequestLimit;
pub use parse::record_size_bound;
pub use pattern::PathPattern;
pub use record::NEWEST_FORMAT;
pub use record::Record;
pub use rules::MAX_BODY_BYTES;
pub use rules::MAX_CALLER_TIMEOUT_MS;
pub use rules::MAX_CONNECTIONS;
pub use rules::MAX_DEPENDENCIES;
pub use rules::MAX_HEAD_BYTES;
pub use rules::MAX_KEYS;
pub use rules::MAX_NAME_BYTES;
pub use rules::MAX_ORGANISATION_NAME_BYTES;
pub use rules::MAX_ORGANISATIONS;
pub use rules::MAX_REQUEST_LIMIT;
pub use rules::MAX_ROUTES;
pub use rules::MAX_SERVICES;
pub use rules::MAX_TARGET_WEIGHT;
pub use rules::MAX_UPSTREAMS;
pub use snapshot::Route;
pub use snapshot::RouteKey;
pub use snapshot::Service;
pub use snapshot::ServiceKey;
pub use snapshot::Snapshot;
pub use snapshot::Target;
pub use suggest::suggest_name;
