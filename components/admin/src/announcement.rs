//! Announcement by which an upstream registers with its node.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use config::MAX_NAME_BYTES;
use control::Input;
use member::Stage;
use member::Upstream;

/// Body of `PUT /upstream`.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// Name of the service that the upstream provides, 1 to 63 bytes.
    pub service: String,
    /// Stage of the upstream.
    pub state: UpstreamState,
    /// Number of requests that the upstream processes concurrently, 1 to 10000.
    pub slots: u32,
    /// Number of connections that the upstream accepts, 1 to 100000.
    pub connections: u32,
}

/// Stage of an upstream, as written in its announcement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum UpstreamState {
    /// The upstream is starting and takes no requests yet.
    Warming,
    /// The upstream takes requests.
    Ready,
    /// The upstream takes no new requests.
    Draining,
    /// The upstream has stopped.
    Gone,
}

impl Announcement {
    /// Converts the announcement to an input of the control state machine, or returns a message that
    /// says which value is out of range.
    pub(crate) fn into_input(self) -> Result<Input, &'static str> {
        if self.service.is_empty() || self.service.len() > MAX_NAME_BYTES {
            return Err("service must have 1 to 63 bytes");
        }
        if !(1..=10_000).contains(&self.slots) {
            return Err("slots must be 1 to 10000");
        }
        if !(1..=100_000).contains(&self.connections) {
            return Err("connections must be 1 to 100000");
        }
        let stage = match self.state {
            UpstreamState::Warming => Stage::Warming,
            UpstreamState::Ready => Stage::Ready,
            UpstreamState::Draining => Stage::Draining,
            UpstreamState::Gone => Stage::Gone,
        };
        let upstream = Upstream {
            service: Arc::from(self.service),
            run_id: None,
            version: None,
            slots: self.slots,
            max_connections: self.connections,
        };
        Ok(Input::UpstreamAnnounced {
            stage,
            upstream,
            order: None,
        })
    }
}
