//! Time limits of a transfer by its progress.
//!
//! A limit on the whole time of a transfer has to know its size and the rate of the link. A limit on
//! the time without progress needs neither: a silent peer is noticed as soon as before, and a large
//! value may take as long as its link needs. Progress is a rate and not a single byte, so that a
//! response which trickles without end is bounded by its maximum size.

use std::time::Duration;

use tokio::time::Instant;

/// Rate below which a transfer counts as stalled, in bytes per second. The slowest links of the
/// deployments carry 14 times as much (7 Mbit/s), and share that with other traffic.
const MIN_BYTES_PER_SECOND: usize = 64_000;

/// Longest time that a transfer of `bytes` bytes can take without being stalled.
pub(crate) fn longest_time(bytes: usize) -> Duration {
    Duration::from_secs(bytes as u64) / MIN_BYTES_PER_SECOND as u32
}

/// Progress of one transfer, which is measured over windows of equal length.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Progress {
    window: Duration,
    /// Bytes that have to arrive in each window.
    min_bytes: usize,
    /// Bytes that have arrived in the current window.
    received: usize,
    deadline: Instant,
}

impl Progress {
    /// Starts the first window now.
    pub(crate) fn start(window: Duration) -> Self {
        let millis = usize::try_from(window.as_millis()).unwrap_or(usize::MAX);
        Self {
            window,
            min_bytes: millis.saturating_mul(MIN_BYTES_PER_SECOND / 1_000),
            received: 0,
            deadline: Instant::now() + window,
        }
    }

    /// Time at which the transfer counts as stalled unless more arrives.
    pub(crate) fn deadline(&self) -> Instant {
        self.deadline
    }

    /// Records bytes that have arrived, and starts the next window if they are enough.
    pub(crate) fn record(&mut self, bytes: usize) {
        self.received += bytes;
        if self.received >= self.min_bytes {
            self.received = 0;
            self.deadline = Instant::now() + self.window;
        }
    }
}
