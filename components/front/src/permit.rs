//! Right to run one request at the upstream.

use std::sync::Arc;

use tokio_util::sync::CancellationToken;

use crate::TrafficDriver;
use errors::Verdict;
use traffic::owner::Input;

/// Held from the offer of a request to its end; dropping it tells the owner machine that the request
/// was given up.
pub struct Permit {
    driver: Arc<TrafficDriver>,
    tag: u64,
    cancelled: Option<CancellationToken>,
    ended: bool,
}

impl Permit {
    pub(crate) fn new(driver: Arc<TrafficDriver>, tag: u64) -> Self {
        Self {
            driver,
            tag,
            cancelled: None,
            ended: false,
        }
    }

    pub(crate) fn start(mut self, cancelled: CancellationToken) -> Self {
        self.cancelled = Some(cancelled);
        self
    }

    pub(crate) fn forget(mut self) {
        self.ended = true;
    }

    /// Fires when the request is cancelled while it runs.
    pub fn cancelled(&self) -> CancellationToken {
        self.cancelled.clone().unwrap_or_default()
    }

    /// Ends the request with what the upstream has shown.
    pub fn finish(mut self, verdict: Verdict, shed: bool, stored: bool) {
        self.ended = true;
        self.driver.end(
            self.tag,
            Input::Finished {
                tag: self.tag,
                verdict,
                shed,
                stored,
            },
        );
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if self.ended {
            return;
        }
        let tag = self.tag;
        // A queued request is cancelled; one that was started may have run. The machine ignores
        // the input that does not fit.
        self.driver.step_owner(Input::Cancelled { tag });
        let verdict = Verdict::MayHaveRun;
        self.driver.end(
            tag,
            Input::Finished {
                tag,
                verdict,
                shed: false,
                stored: false,
            },
        );
    }
}
