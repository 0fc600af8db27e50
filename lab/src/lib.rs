//! Stand-ins for the platform and the upstreams, load, and measurements.
//!
//! Lays out real processes on loopback and uses only their public interfaces: settings files, HTTP,
//! the admin address and exit codes. Topologies, promise checks and scenarios register themselves
//! at link time; decisions (key-value state, checks, tallies) are pure and take time as input.

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

/// Error of a scenario, for the operator's eyes only.
pub type Error = Box<dyn std::error::Error + Send + Sync>;
