//! Log lines and counters for ejected and readmitted endpoints.

use std::time::Duration;

use log::info;
use log::warn;

use control::Topology;
use ids::NodeId;
use policy::HealthChange;
use telemetry::LogLimiter;
use telemetry::Metrics;

/// Limit on log lines per second. The health of one endpoint changes at most once in two seconds, so
/// only a service whose endpoints fail together reaches the limit.
const MAX_LINES_PER_SECOND: u32 = 20;

static LOG_LIMITER: LogLimiter =
    LogLimiter::with_lines(MAX_LINES_PER_SECOND, Duration::from_secs(1));

/// Counts a health change of an endpoint and logs it within the line limit.
pub(crate) fn record_health_change(
    topology: &Topology,
    metrics: &Metrics,
    node: NodeId,
    health_change: HealthChange,
) {
    let state = match health_change {
        HealthChange::Ejected { .. } => "ejected",
        HealthChange::Readmitted => "readmitted",
    };
    metrics.count_state_change("endpoint", state);
    let Some(suppressed) = LOG_LIMITER.admit() else {
        return;
    };
    let member = topology.member(node);
    let service = member.and_then(|it| it.upstream.as_ref().map(|it| &*it.service));
    let service = service.unwrap_or("unknown");
    let name = node.to_string();
    match health_change {
        HealthChange::Ejected {
            duration,
            ejections,
            consecutive_failures,
            failures,
            outcomes,
        } => warn!(
            event = "ejected", node = name.as_str(), service,
            for_ms = u64::try_from(duration.as_millis()).unwrap_or(u64::MAX), ejections,
            in_a_row = consecutive_failures, bad = failures,
            outcomes, held = suppressed;
            "endpoint ejected because its requests fail"
        ),
        HealthChange::Readmitted => info!(
            event = "readmitted", node = name.as_str(), service, held = suppressed;
            "endpoint readmitted"
        ),
    }
}
