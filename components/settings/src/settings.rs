//! Settings of a node and their defaults.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use kernel::plugin::Params;

/// Default of `traffic_threads`. One thread handles about 16,000 calls per second; with a second one,
/// most calls cost a wake-up of the other thread.
pub(crate) const DEFAULT_TRAFFIC_THREADS: u64 = 1;
pub(crate) const DEFAULT_DRAIN_LIMIT_MS: u64 = 30_000;
/// Part of `stop_grace_s` that is left for the announcement of the end, which takes 300 ms, and for the
/// exit of a process on a slow instance, in milliseconds.
pub(crate) const EXIT_RESERVE_MS: u64 = 500;
/// Default of `drain_linger_ms` and `drain_notice_ms`. Other nodes check or close their idle
/// connections every second, so within this time each of them learns that its connection is about to
/// close, and sends no request that would cross the close.
pub(crate) const DEFAULT_DRAIN_LINGER_MS: u64 = 1_500;
pub(crate) const DEFAULT_AGENT: &str = "none";
pub(crate) const DEFAULT_FRONT_END: &str = "http1";
pub(crate) const DEFAULT_TRANSPORT: &str = "udp";
pub(crate) const DEFAULT_ADMISSION: &str = "ranked";
pub(crate) const DEFAULT_BALANCE: &str = "p2c";
pub(crate) const DEFAULT_RETRY: &str = "budget";
pub(crate) const DEFAULT_HEALTH: &str = "outcomes";

/// Settings of one node. Each field has the name of its key in the settings file.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct Settings {
    /// Name of the instance, shown in logs and tables.
    pub instance: String,
    /// Failure domain of the instance.
    pub domain: String,
    /// Addresses that the node listens on.
    pub listen: ListenAddresses,
    /// Address of the upstream of this instance.
    pub upstream: SocketAddr,
    /// Service of the upstreams of this instance, if it is always the same. Without it, a restarted
    /// node adopts no upstream of its earlier process.
    pub service: Option<String>,
    /// Peer addresses of other nodes, through which the node joins the fleet.
    pub contacts: Vec<SocketAddr>,
    /// Number of threads that handle traffic, in addition to the control thread.
    pub traffic_threads: usize,
    /// All failure domains of the fleet; the node finds contacts of each through the store.
    pub domains: Vec<String>,
    /// Maximum duration of a drain, in milliseconds.
    pub drain_limit_ms: u64,
    /// Time from the start of a drain until the listeners close, in milliseconds.
    pub drain_linger_ms: u64,
    /// Time from when the owner starts to refuse requests until the listeners close, in milliseconds;
    /// at most `drain_linger_ms`.
    pub drain_notice_ms: u64,
    /// What the node does when its upstream has left.
    pub upstream_end: UpstreamEnd,
    /// Rate of the instance's link, in megabits a second. Without it, large responses are not paced.
    pub link_mbps: Option<f64>,
    /// Time after the acknowledgement of a configuration from which keys that it withdraws must not be accepted, in
    /// seconds. Without it, keys are accepted by whatever configuration is in force.
    pub key_freshness_s: Option<f64>,
    /// Largest share of a service's requests that a new version of its upstreams gets during a rollout. Without it,
    /// versions are ignored and no rollouts are run.
    pub rollout_share: Option<f64>,
    /// Requests beyond `rollout_share` that a new version may get.
    pub rollout_slack: Option<f64>,
    /// Time within which a bad version gets no more requests, in seconds.
    pub rollout_stop_s: Option<f64>,
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
    /// The node leaves too.
    #[default]
    Leave,
    /// The node stays as an entry and waits for another run of the upstream.
    Stay,
}

/// Addresses that a node listens on. Other instances must be able to connect to each of them; callers
/// connect to `callers`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize)]
pub struct ListenAddresses {
    /// HTTP, for callers and for calls that the upstream makes to other services.
    pub callers: SocketAddr,
    /// HTTP, for requests that other nodes forward.
    pub requests: SocketAddr,
    /// UDP and TCP, for gossip and control calls between nodes.
    pub peer: SocketAddr,
    /// HTTP, for the admin API and for announcements of the upstream.
    pub admin: SocketAddr,
}

/// Selects a plug-in and sets its params.
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
    /// Name of the param.
    pub name: String,
    /// Value of the param, as text.
    pub value: String,
}

impl PluginConfig {
    /// Returns the params in the type that plug-ins are built from.
    pub fn params(&self) -> Params {
        Params::from_pairs(
            self.params
                .iter()
                .map(|it| (it.name.clone(), it.value.clone())),
        )
    }
}

/// Returns the configuration of the plug-in `name` without params.
pub(crate) fn plugin_without_params(name: &str) -> PluginConfig {
    PluginConfig {
        plugin: name.to_owned(),
        params: Vec::new(),
    }
}
