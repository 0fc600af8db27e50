//! A short soak test of real processes, and its plans of faults.

use std::time::Duration;

use rstest::rstest;

use medlar_lab::process::Binaries;
use medlar_lab::scenario::soak::plan::Action;
use medlar_lab::scenario::soak::plan::make_plan;
use medlar_lab::scenario::soak::soak;

/// Duration of the faults.
const FAULT_DURATION: Duration = Duration::from_secs(5);
/// Time after the faults at which the fleet must serve again. It is shorter than the
/// default of `medlar-lab soak`, which is the recovery time that users require, to keep the test short.
const RECOVERY_TIME: Duration = Duration::from_secs(8);

/// Checks that all guarantees are kept under faults from outside the processes. Each seed that failed
/// once is added as a case, with a comment on the cause.
#[rstest]
#[case::first(1)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn soak_seed(#[case] seed: u64) {
    let binaries = Binaries::find().await.expect("the binaries are built");
    let kept = soak(&binaries, seed, FAULT_DURATION, RECOVERY_TIME).await;
    assert!(kept.expect("the soak runs"), "seed {seed}");
}

/// Checks that a seed always gives the same plan, sorted by time, and that each kind of fault occurs
/// under some seed.
#[test]
fn make_plan_repeats() {
    let fault_duration = Duration::from_secs(20);
    let mut action_kinds = Vec::new();
    for seed in 0..40 {
        let plan = make_plan(seed, 9, fault_duration);
        assert_eq!(plan, make_plan(seed, 9, fault_duration));
        assert!(plan.windows(2).all(|pair| pair[0].at <= pair[1].at));
        action_kinds.extend(plan.iter().map(|step| match &step.action {
            Action::Signal(_, part, name) => format!("{part:?} {name}"),
            Action::SignalStore(name) => format!("store {name}"),
            Action::Link(_, body) | Action::Store(body) | Action::Behave(_, body) => {
                let keys = body.as_object().map(|it| it.keys().cloned().collect());
                keys.map(|it: Vec<String>| it.join(" ")).unwrap_or_default()
            }
            Action::Restart(_) => "restart".into(),
            Action::Change => "change".into(),
        }));
    }
    action_kinds.sort_unstable();
    action_kinds.dedup();
    for expected in [
        "Node CONT",
        "Node HUP",
        "Node KILL",
        "Node STOP",
        "Node TERM",
        "Upstream KILL",
        "Upstream STOP",
        "Upstream TERM",
        "backup",
        "change",
        "cut",
        "delay_us",
        "endless",
        "factor",
        "failing",
        "hold_back",
        "hold_there",
        "lose_answers",
        "lose_answers outage restore",
        "outage",
        "reset",
        "restart",
        "silence",
        "store STOP",
    ] {
        assert!(
            action_kinds.iter().any(|it| it == expected),
            "{expected} in {action_kinds:?}"
        );
    }
}
