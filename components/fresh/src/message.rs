//! Messages between nodes about proofs.

use std::time::Duration;

use ids::Version;

/// Request for a proof, or the response to one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Message {
    /// Asks for the proof of the receiver.
    Request {
        /// Random number that the response repeats.
        nonce: u64,
    },
    /// States the proof of the sender.
    Response {
        /// Nonce of the request.
        nonce: u64,
        /// Version of the proof.
        version: Version,
        /// Age of the proof when the request arrived, or more.
        age: Duration,
        /// Time until the sender expects a newer proof. Only the time of the next request depends on it.
        renewal: Duration,
    },
}
