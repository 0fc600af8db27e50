//! Fakes of the platform and the upstreams, load generation and measurements.
//!
//! Runs real processes on loopback and uses only their public interfaces: settings files, HTTP, the
//! admin address and exit codes. Topologies and checks of guarantees register themselves at link
//! time. Decisions (key-value state, checks, summaries) are pure and take the time as an input.

pub mod check;
pub mod cli;
pub mod fleet;
pub mod http;
pub mod link;
pub mod load;
pub mod metrics;
pub mod process;
pub mod scenario;
pub mod store;
pub mod time;
pub mod topology;
pub mod upstream;

/// Error of a scenario or of a fake service. Errors are only printed, never told apart.
pub type Error = Box<dyn std::error::Error + Send + Sync>;
