//! Proofs that a configuration is the newest, by which nodes stop accepting withdrawn keys in time.
//!
//! A [`Proof`] states that at a point in time the store held no configuration newer than a version. Nodes that
//! watch the store get proofs from the answers to their calls, the others from each other. [`Machine`] decides whom a
//! node asks and when, which proofs it adopts, and until when its keys are verified. The traffic threads read that
//! time from a [`Cell`]. All times are of a clock that includes the time during which the instance was suspended.
//! The crate does no I/O and encodes nothing.

mod cell;
mod machine;
mod message;
mod proof;
mod sources;

pub use cell::Cell;
pub use machine::Machine;
pub use machine::Output;
pub use message::Message;
pub use proof::Proof;
pub use proof::ProofResult;
pub use sources::Sources;

use std::time::Duration;

/// Time after which the store ends a watch where keys have to be fresh. The proof of a watch is as old as its call,
/// so a watcher's proof is up to twice as old as a watch takes.
pub const WATCH_TIME: Duration = Duration::from_secs(1);

/// Part of the time in which withdrawn keys have to be refused for which a proof is valid. The rest covers clocks of
/// different speed and the time between the check of a request and its forwarding.
const VALID_SHARE: f64 = 0.9;

/// Time for which a proof is valid if withdrawn keys have to be refused within `limit`.
pub fn validity(limit: Duration) -> Duration {
    limit.mul_f64(VALID_SHARE)
}
