//! Counts of state changes.

use control::Life;
use control::Picture;
use member::Stage;
use telemetry::Counters;

/// Counts the changes between two pictures.
pub(crate) fn count_changes(counters: &Counters, before: &Picture, now: &Picture) {
    if before.life != now.life {
        counters.count_state("node", name_life(now.life));
    }
    let stage = |picture: &Picture| picture.own.as_ref().map(|(stage, _)| *stage);
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
