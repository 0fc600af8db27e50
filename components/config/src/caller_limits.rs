//! Limits on requests and connections of callers.

use std::time::Duration;

/// Default of [`CallerLimits::max_head_bytes`]; a usual limit of HTTP servers.
const DEFAULT_MAX_HEAD_BYTES: usize = 16 * 1024;
/// Default of [`CallerLimits::max_body_bytes`].
const DEFAULT_MAX_BODY_BYTES: u64 = 16 * 1024 * 1024;
/// Default of [`CallerLimits::head_timeout`].
const DEFAULT_HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Default of [`CallerLimits::idle_timeout`].
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Limits on requests and connections of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Longest request head (request line and headers), in bytes.
    pub max_head_bytes: usize,
    /// Longest request body, in bytes.
    pub max_body_bytes: u64,
    /// Maximum time from the first to the last byte of a request head.
    pub head_timeout: Duration,
    /// Maximum time between two requests of a connection.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            max_head_bytes: DEFAULT_MAX_HEAD_BYTES,
            max_body_bytes: DEFAULT_MAX_BODY_BYTES,
            head_timeout: DEFAULT_HEAD_TIMEOUT,
            idle_timeout: DEFAULT_IDLE_TIMEOUT,
        }
    }
}
