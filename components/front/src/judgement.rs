//! Log lines and counters of ejections and returns of endpoints.

use std::time::Duration;

use log::info;
use log::warn;

use control::Topology;
use ids::NodeId;
use policy::HealthChange;
use telemetry::Counters;
use telemetry::Limiter;

/// Lines a second. An endpoint is judged anew once in two seconds at most, so that only a service
/// that fails as a whole reaches this.
const LINES: u32 = 20;

static JUDGEMENTS: Limiter = Limiter::with_lines(LINES, Duration::from_secs(1));

/// Logs and counts a changed judgement.
pub(crate) fn note(
    topology: &Topology,
    counters: &Counters,
    node: NodeId,
    health_change: HealthChange,
) {
    let state = match health_change {
        HealthChange::Ejected { .. } => "ejected",
        HealthChange::Readmitted => "readmitted",
    };
    counters.count_state("endpoint", state);
    let Some(held) = JUDGEMENTS.admit() else {
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
            outcomes, held;
            "endpoint gets no requests for a while because its requests fail"
        ),
        HealthChange::Readmitted => info!(
            event = "readmitted", node = name.as_str(), service, held;
            "endpoint gets requests again"
        ),
    }
}
