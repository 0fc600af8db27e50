//! Bounds on what a caller sends and how long it may take.

use std::time::Duration;

/// Longest head that is accepted if the text sets no bound; common servers take as much.
const DEFAULT_HEAD_BYTES: usize = 16 * 1024;
/// Longest body that is accepted if the text sets no bound.
const DEFAULT_BODY_BYTES: u64 = 16 * 1024 * 1024;
/// Longest wait for a head if the text sets no bound.
const DEFAULT_HEAD_TIME: Duration = Duration::from_secs(10);
/// Longest pause of a connection between two requests if the text sets no bound.
const DEFAULT_IDLE_TIME: Duration = Duration::from_secs(10);

/// Bounds on what a caller sends and how long it may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Longest head of a request, in bytes.
    pub max_head_bytes: usize,
    /// Longest body of a request, in bytes.
    pub max_body_bytes: u64,
    /// Longest time from the first byte of a head to its end.
    pub head_timeout: Duration,
    /// Longest pause between two requests of a connection.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            max_head_bytes: DEFAULT_HEAD_BYTES,
            max_body_bytes: DEFAULT_BODY_BYTES,
            head_timeout: DEFAULT_HEAD_TIME,
            idle_timeout: DEFAULT_IDLE_TIME,
        }
    }
}
