//! Bytes that an instance has committed itself to send, and whether its link can carry another response in
//! time.

use std::time::Duration;

use crate::Rate;
use kernel::Time;

/// Share of the link's rate that large responses can use; the rest is for small responses and the messages
/// between nodes, which are never delayed.
const USABLE_SHARE: f64 = 0.9;

/// An expected response.
#[derive(Clone, Copy, Debug)]
pub struct Expected {
    /// Expected length in bytes.
    pub bytes: f64,
    /// Time by which the response should have been sent, if it has an objective.
    pub objective: Option<Time>,
    /// Time by which the response has to be sent.
    pub deadline: Time,
}

/// When the link can have carried a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fit {
    /// By its objective, or by its deadline if it has no objective.
    InTime,
    /// After its objective, but by its deadline.
    Late,
    /// Not by its deadline.
    TooLate {
        /// Time until the link has room for such a response.
        retry_after: Duration,
    },
}

/// A response that this instance is committed to send.
#[derive(Clone, Copy, Debug)]
struct Commitment {
    key: u64,
    bytes: f64,
    deadline: Time,
    /// Whether it is expected after its objective; such responses are sent after all others.
    late: bool,
}

/// Responses of requests that wait for the upstream or run there. The bytes that already wait to be sent, the
/// backlog, are passed in.
#[derive(Clone, Debug)]
pub struct Room {
    bytes_per_second: f64,
    /// Sorted by deadline.
    commitments: Vec<Commitment>,
}

impl Room {
    /// Creates the room of a link with this rate.
    pub fn new(rate: Rate) -> Self {
        Self {
            bytes_per_second: (rate.bytes_per_second() * USABLE_SHARE).max(1.0),
            commitments: Vec::new(),
        }
    }

    /// Time that the link needs for this number of bytes.
    pub fn time_for(&self, bytes: f64) -> Duration {
        Duration::try_from_secs_f64(bytes.max(0.0) / self.bytes_per_second).unwrap_or(Duration::MAX)
    }

    /// Time until the link has carried the backlog and all committed responses.
    pub fn busy(&self, backlog: u64) -> Duration {
        self.time_for(backlog as f64 + self.sum(|_| true))
    }

    /// Whether the link can carry another response. An idle link takes any: a mean length that is far too
    /// high for the route is corrected only by another response.
    pub fn fit(&self, now: Time, backlog: u64, expected: Expected) -> Fit {
        if self.commitments.is_empty() && backlog == 0 {
            return Fit::InTime;
        }
        let due = expected.objective.unwrap_or(expected.deadline);
        let before_late = backlog as f64 + self.sum(|it| !it.late) + expected.bytes;
        let in_time = now + self.time_for(before_late) <= due.min(expected.deadline);
        if in_time && self.keeps_late(now, before_late) {
            return Fit::InTime;
        }
        let needed = self.time_for(before_late + self.sum(|it| it.late));
        let left = now.until(expected.deadline);
        if needed <= left {
            Fit::Late
        } else {
            Fit::TooLate {
                retry_after: needed - left,
            }
        }
    }

    /// Adds the response of the request `key`, which was found to fit in time or late.
    pub fn commit(&mut self, key: u64, expected: Expected, late: bool) {
        let deadline = expected.deadline;
        let index = self
            .commitments
            .partition_point(|it| it.deadline <= deadline);
        let commitment = Commitment {
            key,
            bytes: expected.bytes,
            deadline,
            late,
        };
        self.commitments.insert(index, commitment);
    }

    /// Removes the response of a request that was refused or has ended.
    pub fn release(&mut self, key: u64) {
        self.commitments.retain(|it| it.key != key);
    }

    /// Whether all late responses still meet their deadline if `bytes` are sent before them.
    fn keeps_late(&self, now: Time, bytes: f64) -> bool {
        let mut sent = bytes;
        let mut late = self.commitments.iter().filter(|it| it.late);
        late.all(|it| {
            sent += it.bytes;
            now + self.time_for(sent) <= it.deadline
        })
    }

    fn sum(&self, is_included: impl Fn(&Commitment) -> bool) -> f64 {
        let included = self.commitments.iter().filter(|it| is_included(it));
        included.map(|it| it.bytes).sum()
    }
}
