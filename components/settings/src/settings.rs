//! The keys of the settings file.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use kernel::plugin::Params;

/// One thread carries about 16,000 calls a second, and a second one costs a wake-up between them for
/// most calls.
pub(crate) const DEFAULT_THREADS: u64 = 1;
pub(crate) const DEFAULT_DRAIN_LIMIT_MS: u64 = 30_000;
/// Other nodes check or close idle connections each second; within this time each of them learns
/// that the connection closes, so that no request crosses the close.
pub(crate) const DEFAULT_DRAIN_LINGER_MS: u64 = 1_500;
pub(crate) const DEFAULT_AGENT: &str = "none";
pub(crate) const DEFAULT_FRONT: &str = "http1";
pub(crate) const DEFAULT_TRANSPORT: &str = "udp";
pub(crate) const DEFAULT_ADMISSION: &str = "ranked";
pub(crate) const DEFAULT_BALANCE: &str = "p2c";
pub(crate) const DEFAULT_RETRY: &str = "budget";
pub(crate) const DEFAULT_HEALTH: &str = "outcomes";

/// Settings of one node.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Settings {
    /// Name of the instance, for logs and tables.
    pub instance: String,
    /// Failure domain of the instance.
    pub domain: String,
    /// Addresses that the node listens on.
    pub listen: ListenAddresses,
    /// Address of the upstream of this instance.
    pub upstream: SocketAddr,
    /// Service of the upstream, if it never changes.
    pub service: Option<String>,
    /// Peer addresses of other nodes, to join by.
    pub contacts: Vec<SocketAddr>,
    /// Threads that carry traffic, besides the control thread.
    pub traffic_threads: usize,
    /// All failure domains of the fleet, to find nodes of each through the store.
    pub domains: Vec<String>,
    /// Longest drain, in milliseconds.
    pub drain_limit_ms: u64,
    /// Time from the start of a drain to the end of the listeners, in milliseconds.
    pub drain_linger_ms: u64,
    /// Time from the first refusal of the owner to the end of the listeners, in milliseconds.
    pub drain_notice_ms: u64,
    /// What the node does when its upstream has left.
    pub upstream_end: UpstreamEnd,
    /// Store plug-in.
    pub store: PluginConfig,
    /// Agent plug-in.
    pub agent: PluginConfig,
    /// Front end plug-in.
    pub front: PluginConfig,
    /// Transport plug-in.
    pub transport: PluginConfig,
    /// Admission plug-in.
    pub admission: PluginConfig,
    /// Balancing plug-in.
    pub balance: PluginConfig,
    /// Retry plug-in.
    pub retry: PluginConfig,
    /// Health plug-in.
    pub health: PluginConfig,
}

/// What a node does when its upstream has left.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum UpstreamEnd {
    /// It leaves too.
    #[default]
    Leave,
    /// It goes on as an entry and waits for another run of the upstream.
    Stay,
}

/// Addresses that a node listens on; all are reached by other instances but `callers`, which is
/// also reached by callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize)]
pub struct ListenAddresses {
    /// HTTP for callers and for onward calls of the upstream.
    pub callers: SocketAddr,
    /// HTTP for requests of other nodes.
    pub requests: SocketAddr,
    /// UDP and TCP for gossip and control calls.
    pub peer: SocketAddr,
    /// HTTP for operators and for the upstream's announcements.
    pub admin: SocketAddr,
}

/// A plug-in by name, with its params.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PluginConfig {
    /// Name of the plug-in.
    pub plugin: String,
    /// Params of the plug-in.
    #[serde(default)]
    pub params: Vec<Param>,
}

/// One param of a plug-in.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Param {
    /// Name.
    pub name: String,
    /// Value, as text.
    pub value: String,
}

impl PluginConfig {
    /// The params in the form that plug-ins take.
    pub fn params(&self) -> Params {
        Params::from_pairs(
            self.params
                .iter()
                .map(|it| (it.name.clone(), it.value.clone())),
        )
    }
}

/// A plug-in without params.
pub(crate) fn named(name: &str) -> PluginConfig {
    PluginConfig {
        plugin: name.to_owned(),
        params: Vec::new(),
    }
}
