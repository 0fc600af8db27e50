//! Verdicts on the execution of requests, and reasons for refusing, retrying or dropping them.
//!
//! [`Verdict`] tells whether a request can be retried safely. The names of [`Reason`] are the
//! values of the `reason` label of counters and of the `medlar-reason` header.

mod reason;
mod verdict;

pub use reason::Reason;
pub use verdict::Verdict;
