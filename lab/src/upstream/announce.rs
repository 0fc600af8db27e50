//! Announcement of a fake upstream to its node.

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::json;
use tokio::sync::watch::Receiver;

use crate::http::call;

/// Time between two announcements; an announcement is valid for 10 s.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(3);
/// Time after which a failed announcement is sent again.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// The part of an announcement that is constant during a run of the upstream.
pub(crate) struct Announcement {
    /// Admin address of the upstream's node.
    pub(crate) node: SocketAddr,
    pub(crate) service: String,
    pub(crate) slots: u32,
    pub(crate) max_connections: u32,
}

impl Announcement {
    /// Announces `state`; returns false if the node did not accept the announcement.
    pub(crate) async fn send(&self, state: &str) -> bool {
        let body = json!({
            "service": self.service,
            "state": state,
            "slots": self.slots,
            "connections": self.max_connections,
        });
        call(self.node, "PUT", "/upstream", &body.to_string())
            .await
            .is_ok()
    }

    /// Announces the state at each change and every [`ANNOUNCE_INTERVAL`], until the sender of
    /// `states` is dropped.
    pub(crate) async fn send_repeatedly(&self, mut states: Receiver<&'static str>) {
        loop {
            let state = *states.borrow_and_update();
            let delay = if self.send(state).await {
                ANNOUNCE_INTERVAL
            } else {
                RETRY_DELAY
            };
            tokio::select! {
                changed = states.changed() => {
                    if changed.is_err() {
                        return;
                    }
                }
                () = tokio::time::sleep(delay) => {}
            }
        }
    }
}
