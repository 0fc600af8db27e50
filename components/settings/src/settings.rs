//! The keys of the settings file.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use kernel::plugin::Params;

/// Settings of one node.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the instance, for logs and tables.
    pub instance: String,
    /// Failure domain of the instance.
    pub domain: String,
    /// Addresses that the node listens on.
    pub listen: Listen,
    /// Address of the upstream of this instance.
    pub upstream: SocketAddr,
    /// Peer addresses of other nodes, to join by.
    #[serde(default)]
    pub contacts: Vec<SocketAddr>,
    /// Threads that carry traffic, besides the control thread.
    #[serde(default = "default_threads")]
    pub traffic_threads: usize,
    /// Longest drain, in milliseconds.
    #[serde(default = "default_drain_limit_ms")]
    pub drain_limit_ms: u64,
    /// Store plug-in.
    pub store: Plugged,
    /// Front end plug-in.
    #[serde(default = "default_front")]
    pub front: Plugged,
    /// Transport plug-in.
    #[serde(default = "default_transport")]
    pub transport: Plugged,
    /// Admission plug-in.
    #[serde(default = "default_admission")]
    pub admission: Plugged,
    /// Balancing plug-in.
    #[serde(default = "default_balance")]
    pub balance: Plugged,
    /// Retry plug-in.
    #[serde(default = "default_retry")]
    pub retry: Plugged,
    /// Health plug-in.
    #[serde(default = "default_health")]
    pub health: Plugged,
}

/// Addresses that a node listens on; all are reached by other instances but `callers`, which is
/// also reached by callers.
#[derive(Clone, Copy, Debug)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
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
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plugged {
    /// Name of the plug-in.
    pub plugin: String,
    /// Params of the plug-in.
    #[serde(default)]
    pub params: Vec<Param>,
}

/// One param of a plug-in.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Param {
    /// Name.
    pub name: String,
    /// Value, as text.
    pub value: String,
}

impl Plugged {
    fn named(name: &str) -> Self {
        Self {
            plugin: name.to_owned(),
            params: Vec::new(),
        }
    }

    /// The params in the form that plug-ins take.
    pub fn params(&self) -> Params {
        Params::from_pairs(
            self.params
                .iter()
                .map(|it| (it.name.clone(), it.value.clone())),
        )
    }
}

fn default_threads() -> usize {
    2
}

fn default_drain_limit_ms() -> u64 {
    30_000
}

fn default_front() -> Plugged {
    Plugged::named("http1")
}

fn default_transport() -> Plugged {
    Plugged::named("udp")
}

fn default_admission() -> Plugged {
    Plugged::named("ranked")
}

fn default_balance() -> Plugged {
    Plugged::named("p2c")
}

fn default_retry() -> Plugged {
    Plugged::named("budget")
}

fn default_health() -> Plugged {
    Plugged::named("outcomes")
}
