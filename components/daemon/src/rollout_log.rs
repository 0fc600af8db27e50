//! Log lines and counters of rollouts.

use std::sync::Arc;
use std::time::Duration;

use log::info;

use control::Topology;
use rollout::Phase;
use rollout::ServiceView;
use telemetry::LogLimiter;
use telemetry::Metrics;

/// Rate limit of lines about rollouts. A service has a few changes in each rollout.
const MAX_LINES_PER_SECOND: u32 = 10;

static LIMITER: LogLimiter = LogLimiter::with_lines(MAX_LINES_PER_SECOND, Duration::from_secs(1));

/// Counts and logs each service whose established version or order differs between two topologies.
pub(crate) fn record_changes(metrics: &Metrics, old_topology: &Topology, new_topology: &Topology) {
    if Arc::ptr_eq(&old_topology.rollouts, &new_topology.rollouts) {
        return;
    }
    for service in new_topology.rollouts.services() {
        let known = old_topology.rollouts.find(&service.service);
        if known.is_none_or(|known| describe(known) != describe(service)) {
            record_change(metrics, service);
        }
    }
}

/// What a log line shows of a service.
fn describe(service: &ServiceView) -> (Option<&str>, Option<(u64, &str, bool)>) {
    let trial = service.trial.as_ref();
    let trial = trial.map(|it| (it.order.number, phase_name(it.phase), it.halted));
    (service.established.as_deref(), trial)
}

fn record_change(metrics: &Metrics, service: &ServiceView) {
    let trial = service.trial.as_ref();
    let phase = trial.map_or("none", |it| phase_name(it.phase));
    metrics.count_state_change("rollout", phase);
    let Some(suppressed) = LIMITER.admit() else {
        return;
    };
    info!(
        event = "rollout", service = &*service.service,
        established = service.established.as_deref().unwrap_or("unknown"),
        target = trial.map_or("none", |it| &*it.target), phase,
        order = trial.map_or(0, |it| it.order.number),
        halted = trial.is_some_and(|it| it.halted), held = suppressed;
        "established version or rollout of a service changed"
    );
}

fn phase_name(phase: Phase) -> &'static str {
    match phase {
        Phase::Running => "running",
        Phase::Promoting => "promoting",
        Phase::Succeeded => "succeeded",
        Phase::RolledBack => "rolled-back",
    }
}
