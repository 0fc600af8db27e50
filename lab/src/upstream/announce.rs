//! Announcement of a stand-in upstream to its node.

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::json;
use tokio::sync::watch::Receiver;

use crate::http::call;

/// Time between two announcements; the lease lasts 10 s.
const PERIOD: Duration = Duration::from_secs(3);
/// Time until a failed announcement is repeated.
const PAUSE: Duration = Duration::from_millis(100);

/// What does not change from one announcement to the next.
pub(crate) struct Announcement {
    pub(crate) node: SocketAddr,
    pub(crate) service: String,
    pub(crate) slots: u32,
    pub(crate) connections: u32,
}

impl Announcement {
    /// Announces one state; false if the node did not take it.
    pub(crate) async fn send(&self, state: &str) -> bool {
        let body = json!({
            "service": self.service,
            "state": state,
            "slots": self.slots,
            "connections": self.connections,
        });
        call(self.node, "PUT", "/upstream", &body.to_string())
            .await
            .is_ok()
    }

    /// Announces the state at each change and each period, until the sender of states is dropped.
    pub(crate) async fn keep_sending(&self, mut states: Receiver<&'static str>) {
        loop {
            let state = *states.borrow_and_update();
            let pause = if self.send(state).await {
                PERIOD
            } else {
                PAUSE
            };
            tokio::select! {
                changed = states.changed() => {
                    if changed.is_err() {
                        return;
                    }
                }
                () = tokio::time::sleep(pause) => {}
            }
        }
    }
}
