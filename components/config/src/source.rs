//! The text as written, before any rule is checked.
//!
//! Numbers are wider than their ranges, so that a value out of range meets a rule with a hint instead
//! of a type error.

use serde::Deserialize;
use serde_saphyr::Spanned;

/// The whole text.
#[derive(Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Text {
    #[serde(default)]
    pub(crate) format: Option<Spanned<u64>>,
    pub(crate) services: Vec<Service>,
}

/// One service.
#[derive(Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Service {
    pub(crate) name: Spanned<String>,
    #[serde(default)]
    pub(crate) depends: Vec<Spanned<String>>,
    #[serde(default)]
    pub(crate) not_run_statuses: Vec<Spanned<u64>>,
    #[serde(default)]
    pub(crate) routes: Vec<Route>,
}

/// One route.
#[derive(Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Route {
    pub(crate) method: Spanned<String>,
    pub(crate) path: Spanned<String>,
    pub(crate) rank: Spanned<u64>,
    pub(crate) deadline_ms: Spanned<u64>,
    #[serde(default)]
    pub(crate) idempotent: Option<bool>,
    #[serde(default)]
    pub(crate) weight: Option<Spanned<u64>>,
}
