//! A body that is sent in pieces, and its place among the others.

use ids::Rank;
use kernel::Key;
use kernel::Time;

/// A large body that is to be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Body {
    /// Rank of its request.
    pub rank: Rank,
    /// Time by which the latency objective asks for the whole body.
    pub objective: Option<Time>,
    /// Time after which the body is not sent on.
    pub deadline: Time,
    /// Length in bytes; `None` if it is unknown.
    pub bytes: Option<u64>,
}

/// Key of a body in a scheduler.
pub type BodyKey = Key<OpenBody>;

/// Answer to a body that asks for its next piece.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Grant {
    /// At most this many bytes may be written now.
    Send(u64),
    /// The body has to wait.
    Wait,
    /// The deadline of the body has passed.
    Expired,
}

/// State of a body in a scheduler.
#[derive(Clone, Debug)]
pub struct OpenBody {
    pub(super) body: Body,
    /// Bytes that were not granted yet; 0 if the length is unknown.
    pub(super) ungranted: u64,
    /// Granted piece that the body has not claimed yet.
    pub(super) granted: Option<u64>,
}

/// Order of waiting bodies: the least goes first. Bodies of equal rank go by their due time, so that they are sent one
/// after another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Urgency {
    reach: Reach,
    rank: Rank,
    due: Time,
}

/// What a body can still meet if it is sent at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Reach {
    Objective,
    Deadline,
    /// Most of what is sent of it is lost, because it ends at its deadline before it is complete.
    Nothing,
}

impl OpenBody {
    /// Takes the next piece of at most `most` bytes.
    pub(super) fn take_piece(&mut self, most: u64) -> u64 {
        if self.body.bytes.is_none() {
            return most;
        }
        let piece = self.ungranted.min(most);
        self.ungranted -= piece;
        piece
    }

    /// Urgency of a body whose last byte would be sent at `end`.
    pub(super) fn urgency(&self, end: Time) -> Urgency {
        let Body {
            rank,
            objective,
            deadline,
            ..
        } = self.body;
        let objective = objective.unwrap_or(deadline);
        let (reach, due) = if end <= objective {
            (Reach::Objective, objective)
        } else if end <= deadline {
            (Reach::Deadline, deadline)
        } else {
            (Reach::Nothing, deadline)
        };
        Urgency { reach, rank, due }
    }
}
