//! Metrics of changes in the stage of the node and of its upstream.

use control::NodeStage;
use control::Topology;
use member::Stage;
use telemetry::Metrics;

/// Counts the changes of stage between two topologies.
pub(crate) fn count_changes(metrics: &Metrics, before: &Topology, now: &Topology) {
    if before.node_stage != now.node_stage {
        metrics.count_state_change("node", node_stage_label(now.node_stage));
    }
    let stage = |topology: &Topology| topology.own_upstream.as_ref().map(|(stage, _)| *stage);
    if let Some(stage) = stage(now).filter(|it| Some(*it) != stage(before)) {
        metrics.count_state_change("upstream", upstream_stage_label(stage));
    }
}

fn node_stage_label(stage: NodeStage) -> &'static str {
    match stage {
        NodeStage::Joining => "joining",
        NodeStage::Serving => "serving",
        NodeStage::Leaving => "leaving",
    }
}

fn upstream_stage_label(stage: Stage) -> &'static str {
    match stage {
        Stage::Warming => "warming",
        Stage::Ready => "ready",
        Stage::Draining => "draining",
        Stage::Gone => "gone",
    }
}
