//! Admission plug-ins.
//!
//! `ranked` serves the most urgent requests first and learns a concurrency limit; `fifo` is a
//! bounded queue in order of arrival.

mod fifo;
mod ranked;
mod rate_limit;

pub use fifo::FifoAdmission;
pub use ranked::RankedAdmission;
