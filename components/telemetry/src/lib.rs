//! Counters and logs of a process.
//!
//! Counters go through `opentelemetry` and are given out in the Prometheus text format; logs are
//! JSON lines on standard output.

mod counters;
mod limiter;
mod logs;
mod output;

pub use counters::Counters;
pub use counters::Error;
pub use counters::Gauges;
pub use limiter::Limiter;
pub use logs::init_logs;
pub use output::count_dropped_lines;
pub use output::finish_logs;
