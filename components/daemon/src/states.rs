//! Counts of state changes.

use control::NodeStage;
use control::Topology;
use member::Stage;
use telemetry::Metrics;

/// Counts the changes between two topologies.
pub(crate) fn count_changes(metrics: &Metrics, before: &Topology, now: &Topology) {
    if before.node_stage != now.node_stage {
        metrics.count_state_change("node", name_node_stage(now.node_stage));
    }
    let stage = |topology: &Topology| topology.own_upstream.as_ref().map(|(stage, _)| *stage);
    if let Some(stage) = stage(now).filter(|it| Some(*it) != stage(before)) {
        metrics.count_state_change("upstream", name_stage(stage));
    }
}

fn name_node_stage(stage: NodeStage) -> &'static str {
    match stage {
        NodeStage::Joining => "joining",
        NodeStage::Serving => "serving",
        NodeStage::Leaving => "leaving",
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
