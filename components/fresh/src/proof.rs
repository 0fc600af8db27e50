//! Statement that a configuration was the newest at a point in time.

use std::time::Duration;

use ids::Version;
use kernel::Time;

/// At `time`, the store held no configuration newer than `version`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Proof {
    /// When the call to the store was sent, or earlier.
    pub time: Time,
    /// Lowest version of a configuration that was the newest at that time.
    pub version: Version,
}

impl Proof {
    /// The proof of a response that states `age`, counted from when its request was sent. The response was made
    /// later than that, so the proof comes out older than it is, never younger. `None` if it is from before the
    /// start of the clock.
    pub fn from_response(request_sent: Time, age: Duration, version: Version) -> Option<Self> {
        let age = u64::try_from(age.as_micros()).ok()?;
        let time = Time(request_sent.0.checked_sub(age)?);
        Some(Self { time, version })
    }
}

/// What a node did with a proof that it received.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ProofResult {
    /// Adopted; it is from an answer of the store to this node.
    FromStore,
    /// Adopted; it is from another node.
    FromNode,
    /// Dropped, because the node has one that is as new.
    NotNewer,
    /// Kept until the node has a configuration as new as the proof's.
    Behind,
    /// Dropped, because no request of this node awaits the response.
    Unsolicited,
}

impl ProofResult {
    /// Name for the label of a counter.
    pub fn name(self) -> &'static str {
        match self {
            Self::FromStore => "from-store",
            Self::FromNode => "from-node",
            Self::NotNewer => "not-newer",
            Self::Behind => "behind",
            Self::Unsolicited => "unsolicited",
        }
    }
}
