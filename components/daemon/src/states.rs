//! Counts of state changes.

use control::Life;
use control::Topology;
use member::Stage;
use telemetry::Counters;

/// Counts the changes between two topologies.
pub(crate) fn count_changes(counters: &Counters, before: &Topology, now: &Topology) {
    if before.life != now.life {
        counters.count_state("node", name_life(now.life));
    }
    let stage = |topology: &Topology| topology.own.as_ref().map(|(stage, _)| *stage);
    if let Some(stage) = stage(now).filter(|it| Some(*it) != stage(before)) {
        counters.count_state("upstream", name_stage(stage));
    }
}

fn name_life(life: Life) -> &'static str {
    match life {
        Life::Joining => "joining",
        Life::Serving => "serving",
        Life::Leaving => "leaving",
    }
}

fn name_stage(stage: Stage) -> &'static str {
    match stage {
        Stage::Warming => "warming",
        Stage::Ready => "ready",
        Stage::Draining => "draining",
        Stage::Gone => "gone",
    }
}
