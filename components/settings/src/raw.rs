//! Values of a settings file before they are checked, with their locations in the file.

use serde::Deserialize;
use serde_saphyr::Spanned;

use crate::PluginConfig;
use crate::UpstreamEnd;

/// Top level of a settings file. Each field has the name of its key.
#[derive(Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RawSettings {
    pub(crate) instance: Spanned<String>,
    pub(crate) domain: Spanned<String>,
    pub(crate) listen: RawListenAddresses,
    pub(crate) upstream: Spanned<String>,
    pub(crate) service: Option<Spanned<String>>,
    #[serde(default)]
    pub(crate) contacts: Vec<Spanned<String>>,
    pub(crate) traffic_threads: Option<Spanned<String>>,
    #[serde(default)]
    pub(crate) domains: Vec<Spanned<String>>,
    pub(crate) drain_limit_ms: Option<Spanned<String>>,
    pub(crate) stop_grace_s: Option<Spanned<String>>,
    pub(crate) drain_linger_ms: Option<Spanned<String>>,
    pub(crate) drain_notice_ms: Option<Spanned<String>>,
    #[serde(default)]
    pub(crate) upstream_end: UpstreamEnd,
    pub(crate) link_mbps: Option<Spanned<String>>,
    pub(crate) key_freshness_s: Option<Spanned<String>>,
    pub(crate) rollout_share: Option<Spanned<String>>,
    pub(crate) rollout_slack: Option<Spanned<String>>,
    pub(crate) rollout_stop_s: Option<Spanned<String>>,
    pub(crate) store: PluginConfig,
    pub(crate) agent: Option<PluginConfig>,
    pub(crate) front: Option<PluginConfig>,
    pub(crate) transport: Option<PluginConfig>,
    pub(crate) admission: Option<PluginConfig>,
    pub(crate) balance: Option<PluginConfig>,
    pub(crate) retry: Option<PluginConfig>,
    pub(crate) health: Option<PluginConfig>,
}

/// Value of the key `listen`.
#[derive(Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RawListenAddresses {
    pub(crate) callers: Spanned<String>,
    pub(crate) requests: Spanned<String>,
    pub(crate) peer: Spanned<String>,
    pub(crate) admin: Spanned<String>,
}
