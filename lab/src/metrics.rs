//! Reads counters of nodes in the Prometheus text format.

use std::net::SocketAddr;

use crate::Error;
use crate::http;

/// Adds up the samples of the metric `name` whose label set contains the text `label`. Returns 0
/// if there are none.
pub fn sum_samples(text: &str, name: &str, label: &str) -> f64 {
    let value = |line: &str| {
        let rest = line.strip_prefix(name)?;
        if !rest.starts_with(['{', ' ']) || !rest.contains(label) {
            return None;
        }
        rest.rsplit_once(' ')?.1.parse::<f64>().ok()
    };
    text.lines().filter_map(value).sum()
}

/// Counters of one node or of several nodes together, summed over all labels.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CounterTotals {
    pub control_bytes_sent: f64,
    pub control_messages_sent: f64,
    pub store_calls: f64,
    pub requests: f64,
    pub retries: f64,
}

impl CounterTotals {
    /// Parses the totals from metrics in the Prometheus text format; a missing counter counts as 0.
    pub fn parse(text: &str) -> Self {
        let sent_label = "direction=\"sent\"";
        Self {
            control_bytes_sent: sum_samples(text, "medlar_control_bytes_total", sent_label),
            control_messages_sent: sum_samples(text, "medlar_control_messages_total", sent_label),
            store_calls: sum_samples(text, "medlar_store_calls_total", ""),
            requests: sum_samples(text, "medlar_requests_total", ""),
            retries: sum_samples(text, "medlar_retries_total", ""),
        }
    }

    /// Fetches the totals of the node with the admin address `admin`.
    pub async fn fetch(admin: SocketAddr) -> Result<Self, Error> {
        let text = http::call(admin, "GET", "/metrics", "").await?;
        Ok(Self::parse(&String::from_utf8_lossy(&text)))
    }

    /// Adds another node's totals.
    pub fn add(&mut self, other: Self) {
        self.control_bytes_sent += other.control_bytes_sent;
        self.control_messages_sent += other.control_messages_sent;
        self.store_calls += other.store_calls;
        self.requests += other.requests;
        self.retries += other.retries;
    }
}
