//! The configuration text as deserialized, before its rules are checked.
//!
//! The field names are the keys of the text. Numbers are `u64` even where only small values are
//! valid, so that a value out of range is reported with the valid range instead of as a type error.

use serde::Deserialize;
use serde_saphyr::Spanned;

/// A whole configuration text.
#[derive(Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Text {
    #[serde(default)]
    pub(crate) format: Option<Spanned<u64>>,
    #[serde(default)]
    pub(crate) limits: Option<Limits>,
    pub(crate) services: Vec<Service>,
    #[serde(default)]
    pub(crate) routes: Vec<HostRoute>,
    #[serde(default)]
    pub(crate) organisations: Vec<Organisation>,
}

/// An organisation with the digests of its keys.
#[derive(Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Organisation {
    pub(crate) name: Spanned<String>,
    #[serde(default)]
    pub(crate) keys: Vec<Spanned<String>>,
    #[serde(default)]
    pub(crate) rank: Option<Spanned<u64>>,
    #[serde(default)]
    pub(crate) per_second: Option<Spanned<f64>>,
    #[serde(default)]
    pub(crate) burst: Option<Spanned<f64>>,
}

/// Limits on requests and connections of callers.
#[derive(Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Limits {
    pub(crate) head_bytes: Option<Spanned<u64>>,
    pub(crate) body_bytes: Option<Spanned<u64>>,
    pub(crate) head_ms: Option<Spanned<u64>>,
    pub(crate) idle_ms: Option<Spanned<u64>>,
}

/// A service and its routes by method and path.
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
    pub(crate) connections: Option<Spanned<u64>>,
    #[serde(default)]
    pub(crate) routes: Vec<Route>,
}

/// A route by method and path pattern.
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

/// A route by host and path prefix.
#[derive(Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct HostRoute {
    pub(crate) host: Spanned<String>,
    pub(crate) prefix: Spanned<String>,
    pub(crate) rank: Spanned<u64>,
    pub(crate) deadline_ms: Spanned<u64>,
    pub(crate) idempotent: bool,
    #[serde(default)]
    pub(crate) objective_ms: Option<Spanned<u64>>,
    #[serde(default)]
    pub(crate) attempts: Option<Spanned<u64>>,
    #[serde(default)]
    pub(crate) weight: Option<Spanned<u64>>,
    #[serde(default)]
    pub(crate) public: bool,
    #[serde(default)]
    pub(crate) large_responses: bool,
    pub(crate) targets: Vec<Target>,
}

/// A service that receives a share of the requests of a route.
#[derive(Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Target {
    pub(crate) service: Spanned<String>,
    #[serde(default)]
    pub(crate) weight: Option<Spanned<u64>>,
}
