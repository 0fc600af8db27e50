//! Log lines about entries of other nodes' messages that are out of range.

use std::net::SocketAddr;
use std::time::Duration;

use log::warn;

use telemetry::LogLimiter;

/// Rate limit of the lines; a broken node repeats an entry in each of its messages.
const MAX_LINES_PER_SECOND: u32 = 5;

static LIMITER: LogLimiter = LogLimiter::with_lines(MAX_LINES_PER_SECOND, Duration::from_secs(1));

/// Logs that entries of a message (`gossip` or `sync`) of another node were left out.
pub fn log_malformed_entries(message: &str, from: SocketAddr, malformed: usize) {
    let Some(suppressed) = LIMITER.admit() else {
        return;
    };
    warn!(
        event = "entries-malformed", of = message, from = from.to_string().as_str(), malformed,
        held = suppressed;
        "entries of a message are out of range; the others are used"
    );
}
