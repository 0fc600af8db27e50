//! Metrics and logs of a process.
//!
//! Metrics are recorded through `opentelemetry` and exported in the Prometheus text format. Logs are
//! JSON lines on standard output.

mod log_limiter;
mod logs;
mod metrics;
mod writer;

pub use log_limiter::LogLimiter;
pub use logs::init_logs;
pub use metrics::Error;
pub use metrics::LinkGauges;
pub use metrics::Metrics;
pub use metrics::TrafficGauges;
pub use writer::dropped_line_count;
pub use writer::flush_logs;
