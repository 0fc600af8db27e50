//! Life cycle of a request at its owner, as a typestate.

use std::time::Duration;

use errors::Reason;
use errors::Verdict;
use ids::Fingerprint;
use ids::RequestId;
use kernel::Time;

/// State of a request that waits for admission.
#[derive(Clone, Copy, Debug)]
pub struct Queued;

/// State of a request that the upstream is processing.
#[derive(Clone, Copy, Debug)]
pub struct Dispatched {
    /// Time of the dispatch to the upstream.
    pub dispatched_at: Time,
}

/// State of a request that has ended.
#[derive(Clone, Copy, Debug)]
pub struct Finished {
    /// Whether the request ran, as far as the owner knows.
    pub verdict: Verdict,
}

/// A request in the life cycle state `S`.
#[derive(Clone, Copy, Debug)]
pub struct Request<S> {
    id: RequestId,
    deadline: Time,
    fingerprint: Option<Fingerprint>,
    state: S,
}

/// Refusal of a request, with whether the request may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why the request is refused.
    pub reason: Reason,
    /// Whether the request ran, as far as is known.
    pub verdict: Verdict,
    /// Time after which the sender may retry.
    pub retry_after: Duration,
}

impl<S> Request<S> {
    /// Identifier of the request.
    pub fn id(&self) -> RequestId {
        self.id
    }

    /// Time by which the upstream has to be done.
    pub fn deadline(&self) -> Time {
        self.deadline
    }

    /// Fingerprint of the request, if its sender states it.
    pub fn fingerprint(&self) -> Option<Fingerprint> {
        self.fingerprint
    }

    /// The life cycle state with its data.
    pub fn state(&self) -> &S {
        &self.state
    }
}

impl Request<Queued> {
    /// Creates a request that has arrived and waits for admission.
    pub fn new(id: RequestId, deadline: Time, fingerprint: Option<Fingerprint>) -> Self {
        Self {
            id,
            deadline,
            fingerprint,
            state: Queued,
        }
    }

    /// Marks the request as dispatched to the upstream at `now`.
    pub fn dispatch(self, now: Time) -> Request<Dispatched> {
        Request {
            id: self.id,
            deadline: self.deadline,
            fingerprint: self.fingerprint,
            state: Dispatched { dispatched_at: now },
        }
    }

    /// Refuses the request with the verdict [`Verdict::NotRun`]. Only a request that was never
    /// dispatched has this method, since a dispatched one may have run.
    pub fn refuse(self, reason: Reason, retry_after: Duration) -> Refusal {
        Refusal {
            reason,
            verdict: Verdict::NotRun,
            retry_after,
        }
    }
}

impl Request<Dispatched> {
    /// Ends the request with the verdict that follows from the upstream's response.
    pub fn finish(self, verdict: Verdict) -> Request<Finished> {
        Request {
            id: self.id,
            deadline: self.deadline,
            fingerprint: self.fingerprint,
            state: Finished { verdict },
        }
    }
}
