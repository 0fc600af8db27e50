//! Metrics of changes in the stage of the node and of its upstream.

use control::NodeStage;
use control::Topology;
use member::Stage;
use telemetry::Metrics;

/// Counts the changes of stage between two topologies.
pub(crate) fn count_changes(metrics: &Metrics, old_topology: &Topology, new_topology: &Topology) {
    if old_topology.node_stage != new_topology.node_stage {
        metrics.count_state_change("node", node_stage_label(new_topology.node_stage));
    }
    let stage = |topology: &Topology| topology.own_upstream.as_ref().map(|(stage, _)| *stage);
    if let Some(stage) = stage(new_topology).filter(|it| Some(*it) != stage(old_topology)) {
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
