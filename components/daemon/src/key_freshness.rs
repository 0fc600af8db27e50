//! Carries out what the proof of a node requires: the datagrams, the time until which the traffic threads accept keys,
//! log lines and counters.

use std::time::Duration;

use log::info;
use log::warn;

use fresh::Output;
use front::KeyValidity;
use telemetry::LogLimiter;
use telemetry::Metrics;
use transport::Datagram;
use transport::Sender;

static LOG_LIMITER: LogLimiter = LogLimiter::with_lines(4, Duration::from_secs(1));

/// Carries out one action.
pub(crate) fn apply(
    output: Output,
    key_validity: &KeyValidity,
    sender: &dyn Sender,
    metrics: &Metrics,
) {
    match output {
        Output::Send { to, message } => sender.send(to, &Datagram::Freshness(message)),
        Output::ValidUntil(time) => key_validity.cell().set_valid_until(time),
        Output::Received(result) => metrics.count_key_proof(result.name()),
        Output::Verified => {
            metrics.count_state_change("keys", "verified");
            if let Some(suppressed) = LOG_LIMITER.admit() {
                info!(event = "keys", state = "verified", held = suppressed; "keys are verified");
            }
        }
        Output::Unverified { age } => {
            metrics.count_state_change("keys", "unverified");
            if let Some(suppressed) = LOG_LIMITER.admit() {
                let age_ms = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
                warn!(
                    event = "keys", state = "unverified", age_ms, held = suppressed;
                    "no proof that the configuration is the newest; requests with keys are refused"
                );
            }
        }
        // The control state machine turns it into a call of its own.
        Output::ReadStore => {}
    }
}
