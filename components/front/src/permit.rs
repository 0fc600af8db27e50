//! Guard of one request at this node's upstream.

use std::sync::Arc;

use tokio_util::sync::CancellationToken;

use crate::TrafficDriver;
use errors::Verdict;
use traffic::owner::Input;

/// Guard that a request holds from its arrival at the owner state machine to its end. If it is dropped
/// without [`Permit::finish`], a queued request is cancelled, and a running one ends with the verdict
/// that it may have run.
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

    /// Marks the request as admitted; `cancelled` is cancelled when the owner aborts it.
    pub(crate) fn start(mut self, cancelled: CancellationToken) -> Self {
        self.cancelled = Some(cancelled);
        self
    }

    /// Drops the guard of a request that was refused, without a step of the state machine.
    pub(crate) fn disarm(mut self) {
        self.ended = true;
    }

    /// Token that is cancelled when the owner aborts the running request.
    pub fn cancelled(&self) -> CancellationToken {
        self.cancelled.clone().unwrap_or_default()
    }

    /// Reports the end of the request: whether it ran, whether the upstream shed it, and whether its
    /// response is stored for a later fetch.
    pub fn finish(mut self, verdict: Verdict, shed: bool, stored: bool) {
        self.ended = true;
        self.driver.end_request(
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
        // Cancels a queued request. The state machine ignores whichever of the two inputs does not fit
        // the request's state.
        self.driver.step_owner(Input::Cancelled { tag });
        let verdict = Verdict::MayHaveRun;
        self.driver.end_request(
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
