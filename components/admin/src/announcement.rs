//! Announcement of an upstream.

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
    /// Service of the upstream.
    pub service: String,
    /// Stage.
    pub state: UpstreamState,
    /// Requests that it runs at once, 1 to 10000.
    pub slots: u32,
    /// Connections that it accepts, 1 to 100000.
    pub connections: u32,
}

/// Stage as an upstream names it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum UpstreamState {
    /// Not ready for requests.
    Warming,
    /// Takes requests.
    Ready,
    /// Takes no new requests.
    Draining,
    /// Has left.
    Gone,
}

impl Announcement {
    /// The input for the control machine; an error says which value is out of range.
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
