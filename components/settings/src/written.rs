//! The file as written, with the line of each value.

use serde::Deserialize;
use serde_saphyr::Spanned;

use crate::PluginConfig;
use crate::UpstreamEnd;

/// The whole file.
#[derive(Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Written {
    pub(crate) instance: Spanned<String>,
    pub(crate) domain: Spanned<String>,
    pub(crate) listen: ListenAddresses,
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
    pub(crate) store: PluginConfig,
    pub(crate) agent: Option<PluginConfig>,
    pub(crate) front: Option<PluginConfig>,
    pub(crate) transport: Option<PluginConfig>,
    pub(crate) admission: Option<PluginConfig>,
    pub(crate) balance: Option<PluginConfig>,
    pub(crate) retry: Option<PluginConfig>,
    pub(crate) health: Option<PluginConfig>,
}

/// Addresses.
#[derive(Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct ListenAddresses {
    pub(crate) callers: Spanned<String>,
    pub(crate) requests: Spanned<String>,
    pub(crate) peer: Spanned<String>,
    pub(crate) admin: Spanned<String>,
}
