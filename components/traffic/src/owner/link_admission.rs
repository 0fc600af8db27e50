//! Admission by the link of the instance: large responses that the link cannot carry in time are refused
//! before their requests run.

use std::time::Duration;

use crate::owner::IncomingRequest;
use errors::Reason;
use ids::RouteId;
use kernel::Time;
use link::Expected;
use link::Fit;
use link::Room;
use link::Sizes;
use policy::Job;

/// Time on the link from which the mean response of a route counts as large. Shorter ones are sent at once
/// and are part of the share of the link that large responses leave.
const MIN_TRANSFER: Duration = Duration::from_millis(5);
/// Largest part of the time left that is set aside for the transfer: one in this number. A mean length that
/// is far too high would otherwise exclude its route for ever.
const MAX_TRANSFER_PART: u32 = 2;
/// Shortest and longest delay that a refused request is asked to wait before it is retried.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);

/// What the owner knows of its link and of the responses that it will send.
#[derive(Debug)]
pub(crate) struct LinkAdmission {
    sizes: Sizes,
    room: Room,
}

impl LinkAdmission {
    pub(crate) fn new(rate: link::Rate) -> Self {
        Self {
            sizes: Sizes::default(),
            room: Room::new(rate),
        }
    }

    /// Records the length of a complete response.
    pub(crate) fn record_length(&mut self, route: RouteId, bytes: u64) {
        self.sizes.record(route, bytes);
    }

    /// Time until the link has carried the backlog and all responses that are expected.
    pub(crate) fn busy(&self, backlog: u64) -> Duration {
        self.room.busy(backlog)
    }

    /// Commits the link to the response of a request and sets the time for its transfer aside in `job`.
    ///
    /// # Errors
    ///
    /// Reason and delay of a refusal, if the response would be too late.
    pub(crate) fn admit(
        &mut self,
        now: Time,
        incoming: &IncomingRequest,
        job: &mut Job,
    ) -> Result<(), (Reason, Duration)> {
        let Some(bytes) = self.sizes.mean(job.route) else {
            return Ok(());
        };
        let transfer = self.room.time_for(bytes);
        if transfer < MIN_TRANSFER {
            return Ok(());
        }
        let expected = Expected {
            bytes,
            objective: job.objective,
            deadline: job.expires,
        };
        let fit = self.room.fit(now, incoming.link_backlog, expected);
        let refuse = |reason, retry_after: Duration| {
            Err((reason, retry_after.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)))
        };
        match fit {
            Fit::InTime => {}
            Fit::Late | Fit::TooLate { .. } if can_spill(now, job) => {
                return refuse(Reason::ObjectiveTooShort, Duration::ZERO);
            }
            Fit::Late => {}
            Fit::TooLate { retry_after } => return refuse(Reason::LinkBusy, retry_after),
        }
        self.room.commit(incoming.tag, expected, fit == Fit::Late);
        job.expires = set_aside(now, job.expires, transfer);
        job.objective = job.objective.map(|it| set_aside(now, it, transfer));
        Ok(())
    }

    /// Ends the commitment to the response of a request that was refused or has ended.
    pub(crate) fn release(&mut self, tag: u64) {
        self.room.release(tag);
    }
}

/// Whether the sender tries another endpoint, where the request may still meet its objective.
fn can_spill(now: Time, job: &Job) -> bool {
    job.spillable && job.objective.is_some_and(|objective| objective > now)
}

/// Time by which the upstream has to be done, so that the transfer ends at `end`.
fn set_aside(now: Time, end: Time, transfer: Duration) -> Time {
    let set_aside = transfer.min(now.until(end) / MAX_TRANSFER_PART);
    let micros = u64::try_from(set_aside.as_micros()).unwrap_or(u64::MAX);
    Time(end.0.saturating_sub(micros))
}
