//! Guard of one request at this node's upstream.

use std::sync::Arc;

use tokio_util::sync::CancellationToken;

use crate::TrafficDriver;
use errors::Verdict;
use kernel::Time;
use traffic::owner::Input;

/// What the owner state machine decides when it starts a request.
#[derive(Clone, Debug)]
pub(crate) struct Admitted {
    /// Cancelled when the owner aborts the request.
    pub(crate) cancelled: CancellationToken,
    /// Time by which the upstream has to be done.
    pub(crate) deadline: Time,
}

/// Guard that a request holds from its arrival at the owner state machine to its end. If it is dropped
/// without [`Permit::finish`], a queued request is cancelled, and a running one ends with the verdict
/// that it may have run.
pub struct Permit {
    driver: Arc<TrafficDriver>,
    tag: u64,
    admitted: Option<Admitted>,
    ended: bool,
}

impl Permit {
    pub(crate) fn new(driver: Arc<TrafficDriver>, tag: u64) -> Self {
        Self {
            driver,
            tag,
            admitted: None,
            ended: false,
        }
    }

    /// Marks the request as admitted.
    pub(crate) fn start(mut self, admitted: Admitted) -> Self {
        self.admitted = Some(admitted);
        self
    }

    /// Drops the guard of a request that was refused, without a step of the state machine.
    pub(crate) fn disarm(mut self) {
        self.ended = true;
    }

    /// Token that is cancelled when the owner aborts the running request.
    pub fn cancelled(&self) -> CancellationToken {
        let admitted = self.admitted.as_ref();
        admitted.map_or_else(CancellationToken::new, |it| it.cancelled.clone())
    }

    /// Time by which the upstream has to be done, on the process clock; has passed before the request is
    /// admitted.
    pub fn deadline(&self) -> Time {
        let admitted = self.admitted.as_ref();
        admitted.map_or_else(Time::default, |it| it.deadline)
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

    /// Reports that the upstream crashed while it ran the request.
    pub fn finish_crashed(mut self) {
        self.ended = true;
        let tag = self.tag;
        self.driver.end_request(tag, Input::UpstreamCrashed { tag });
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
