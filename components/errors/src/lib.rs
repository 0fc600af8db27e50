//! Outcome of a request and the reasons for refusing or retrying one.
//!
//! Owns [`Verdict`], the type that every retry decision starts from, and [`Reason`], whose names are
//! the values of the `reason` label of the counters and of the `medlar-reason` header.

mod reason;
mod verdict;

pub use reason::Reason;
pub use verdict::Verdict;
