//! The file as written, with the line of each value.

use serde::Deserialize;
use serde_saphyr::Spanned;

use crate::Plugged;
use crate::UpstreamEnd;

/// The whole file.
#[derive(Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Written {
    pub(crate) instance: Spanned<String>,
    pub(crate) domain: Spanned<String>,
    pub(crate) listen: Listen,
    pub(crate) upstream: Spanned<String>,
    pub(crate) service: Option<Spanned<String>>,
    #[serde(default)]
    pub(crate) contacts: Vec<Spanned<String>>,
    pub(crate) traffic_threads: Option<Spanned<String>>,
    #[serde(default)]
    pub(crate) domains: Vec<Spanned<String>>,
    pub(crate) drain_limit_ms: Option<Spanned<String>>,
    pub(crate) drain_linger_ms: Option<Spanned<String>>,
    pub(crate) drain_notice_ms: Option<Spanned<String>>,
    #[serde(default)]
    pub(crate) upstream_end: UpstreamEnd,
    pub(crate) store: Plugged,
    pub(crate) agent: Option<Plugged>,
    pub(crate) front: Option<Plugged>,
    pub(crate) transport: Option<Plugged>,
    pub(crate) admission: Option<Plugged>,
    pub(crate) balance: Option<Plugged>,
    pub(crate) retry: Option<Plugged>,
    pub(crate) health: Option<Plugged>,
}

/// Addresses.
#[derive(Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Listen {
    pub(crate) callers: Spanned<String>,
    pub(crate) requests: Spanned<String>,
    pub(crate) peer: Spanned<String>,
    pub(crate) admin: Spanned<String>,
}
