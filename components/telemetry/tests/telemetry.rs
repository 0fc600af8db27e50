//! Tests of exported metrics and of the rate limit for log lines.

use std::time::Duration;
use std::time::Instant;

use rstest::rstest;

use errors::Reason;
use ids::Rank;
use telemetry::LogLimiter;
use telemetry::Metrics;
use telemetry::TrafficGauges;

/// Checks that repeated lines are limited to one in each period and that suppressed lines are
/// counted.
#[rstest]
fn admit_repeated_line() {
    let limiter = LogLimiter::new(Duration::from_secs(5));
    let start = Instant::now();
    let results = [0, 1, 4_999, 5_000, 5_001, 11_000].map(|millis| {
        let now = start + Duration::from_millis(millis);
        limiter.admit_at(now)
    });
    assert_eq!(results, [Some(0), None, None, Some(2), None, Some(1)]);
}

/// Checks that each series is exported under its name, without labels added by the library.
#[rstest]
#[case("medlar_refusals_total{reason=\"queue-full\",side=\"owner\"} 1")]
#[case("medlar_retries_total{reason=\"draining\"} 1")]
#[case("medlar_drops_total{reason=\"malformed\"} 1")]
#[case("medlar_state_changes_total{kind=\"node\",state=\"serving\"} 1")]
#[case("medlar_requests_total{rank=\"2\"} 1")]
#[case("medlar_latency_seconds_bucket{rank=\"2\",le=\"0.03\"} 1")]
#[case("medlar_latency_seconds_bucket{rank=\"2\",le=\"0.01\"} 0")]
#[case("medlar_version 7")]
#[case("medlar_running 3")]
#[case("medlar_queued 4")]
#[case("medlar_limit 5")]
#[case("medlar_forwarded 6")]
fn encode_series(#[case] series: &str) {
    let metrics = Metrics::new().unwrap();
    metrics.count_refusal("owner", Reason::QueueFull);
    metrics.count_retry(Reason::Draining);
    metrics.count_drop(Reason::Malformed);
    metrics.count_state_change("node", "serving");
    metrics.count_request(Rank(2), 0.02);
    metrics.set_config_version(7);
    metrics.register_gauges(|| TrafficGauges {
        running: 3,
        queued: 4,
        concurrency_limit: 5,
        open_calls: 6,
    });
    let text = metrics.encode().unwrap();
    assert!(text.lines().any(|line| line == series), "{text}");
    assert!(!text.contains("otel_"), "{text}");
}
