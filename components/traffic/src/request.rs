//! Life cycle of a request at its owner.

use std::time::Duration;

use errors::Reason;
use errors::Verdict;
use ids::RequestId;
use kernel::Time;

/// Typestate: waits for admission.
#[derive(Clone, Copy, Debug)]
pub struct Queued;

/// Typestate: given to the upstream.
#[derive(Clone, Copy, Debug)]
pub struct Dispatched {
    /// When it was given to the upstream.
    pub dispatched_at: Time,
}

/// Typestate: ended.
#[derive(Clone, Copy, Debug)]
pub struct Finished {
    /// What is known of its execution.
    pub verdict: Verdict,
}

/// A request in the state `S`.
#[derive(Clone, Copy, Debug)]
pub struct Request<S> {
    id: RequestId,
    expires: Time,
    state: S,
}

/// A refusal; whoever gets one knows whether the request may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// What is known of the execution.
    pub verdict: Verdict,
    /// When it may be tried again.
    pub retry_after: Duration,
}

impl<S> Request<S> {
    /// Identity.
    pub fn id(&self) -> RequestId {
        self.id
    }

    /// When its answer is no longer of use.
    pub fn expires(&self) -> Time {
        self.expires
    }

    /// The state.
    pub fn state(&self) -> &S {
        &self.state
    }
}

impl Request<Queued> {
    /// A request that has arrived.
    pub fn new(id: RequestId, expires: Time) -> Self {
        Self {
            id,
            expires,
            state: Queued,
        }
    }

    /// Gives it to the upstream.
    pub fn dispatch(self, now: Time) -> Request<Dispatched> {
        Request {
            id: self.id,
            expires: self.expires,
            state: Dispatched { dispatched_at: now },
        }
    }

    /// Refuses it; only a request that was never dispatched is refused as not run.
    pub fn refuse(self, reason: Reason, retry_after: Duration) -> Refusal {
        Refusal {
            reason,
            verdict: Verdict::NotRun,
            retry_after,
        }
    }
}

impl Request<Dispatched> {
    /// Ends it with what the upstream has shown.
    pub fn finish(self, verdict: Verdict) -> Request<Finished> {
        Request {
            id: self.id,
            expires: self.expires,
            state: Finished { verdict },
        }
    }
}
