//! Random plan of faults, which depends only on the seed and the arguments.

use std::time::Duration;

use serde_json::Value;
use serde_json::json;

use crate::fleet::instance::ProcessRole;
use kernel::Random;
use kernel::random::SeededRandom;

/// Mean time between two faults. It is shorter than many faults, so that some overlap.
const MEAN_FAULT_INTERVAL: Duration = Duration::from_millis(900);
/// Minimum time from a fault to its end.
const MIN_FAULT_DURATION: Duration = Duration::from_millis(200);
/// Maximum time from a fault to its end, except for restarts after a drain.
pub const MAX_FAULT_DURATION: Duration = Duration::from_millis(3_000);
/// Time from SIGTERM to the restart of a process, longer than the drain limit of the soak's nodes.
const RESTART_DELAY: Duration = Duration::from_millis(4_000);
/// Number of faults in a series.
const SERIES_LENGTH: usize = 3;
/// Time between two faults of a series.
const SERIES_INTERVAL: Duration = Duration::from_millis(300);
/// Average number of faults of which one is repeated as a series.
const ONE_SERIES_IN: usize = 4;
/// Average number of plans of which one ends with the loss of all processes of all instances.
const ONE_TOTAL_LOSS_IN: usize = 3;

/// Roles of the processes of an instance.
const PROCESSES: [ProcessRole; 2] = [ProcessRole::Node, ProcessRole::Upstream];

/// Connections through the link that a fault affects, with the index of the instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkTarget {
    /// Connections of callers to an instance.
    Callers(usize),
    /// Connections of an instance's node to its upstream.
    Upstream(usize),
    /// Connections of all nodes to the store.
    Store,
}

/// An action from outside on processes, links, store or configuration. Indexes are those of
/// instances.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a signal to a process of an instance.
    Signal(usize, ProcessRole, &'static str),
    /// Restart the processes of an instance that have ended.
    Restart(usize),
    /// Send a signal to the store.
    SignalStore(&'static str),
    /// Change the settings of the relay for these connections.
    Link(LinkTarget, Value),
    /// Set a fault of the store.
    Store(Value),
    /// Change the simulated behaviour of the upstream of an instance.
    Behave(usize, Value),
    /// Apply a change of the configuration.
    Change,
}

/// An action and its time, counted from the start of the plan.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    pub at: Duration,
    pub action: Action,
}

/// Makes a plan for a fleet of `instances` instances, sorted by time. Faults start within
/// `fault_duration`, except for the second and later faults of a series.
pub fn make_plan(seed: u64, instances: usize, fault_duration: Duration) -> Vec<Step> {
    let mut random = SeededRandom::new(seed);
    let mut steps = Vec::new();
    let fault_count = fault_duration.as_millis() / MEAN_FAULT_INTERVAL.as_millis();
    for _ in 0..fault_count {
        let at = random_duration(&mut random, Duration::ZERO, fault_duration);
        let repetitions = if random.below(ONE_SERIES_IN) == 0 {
            SERIES_LENGTH
        } else {
            1
        };
        let fault_kind = random.below(FAULT_KIND_COUNT);
        let first_instance = random.below(instances);
        for step in 0..repetitions {
            let at = at + SERIES_INTERVAL * u32::try_from(step).unwrap_or(0);
            // A series affects the same instance again or the following ones, depending on the
            // kind of fault.
            let target = (first_instance + step * (fault_kind % 2)) % instances;
            let duration = random_duration(&mut random, MIN_FAULT_DURATION, MAX_FAULT_DURATION);
            add_fault(
                &mut steps,
                &mut random,
                (fault_kind, target),
                (at, duration),
            );
        }
    }
    if random.below(ONE_TOTAL_LOSS_IN) == 0 {
        for index in 0..instances {
            for role in PROCESSES {
                steps.push(step(fault_duration, Action::Signal(index, role, "KILL")));
            }
            steps.push(step(
                fault_duration + MAX_FAULT_DURATION,
                Action::Restart(index),
            ));
        }
    }
    add_endless_bodies(&mut steps, seed, instances, fault_duration);
    steps.sort_by_key(|step| step.at);
    steps
}

/// Adds a time in which the upstream of one instance sends bodies without end. Its numbers are drawn apart, so that the rest
/// of a seed's plan does not depend on it.
fn add_endless_bodies(
    steps: &mut Vec<Step>,
    seed: u64,
    instances: usize,
    fault_duration: Duration,
) {
    let mut random = SeededRandom::new(!seed);
    let target = random.below(instances);
    let at = random_duration(&mut random, Duration::ZERO, fault_duration);
    let duration = random_duration(&mut random, MIN_FAULT_DURATION, MAX_FAULT_DURATION);
    let set = |endless: bool| Action::Behave(target, json!({ "endless": endless }));
    steps.push(step(at, set(true)));
    steps.push(step(at + duration, set(false)));
}

fn step(at: Duration, action: Action) -> Step {
    Step { at, action }
}

fn random_duration(random: &mut SeededRandom, from: Duration, to: Duration) -> Duration {
    let range = usize::try_from((to - from).as_millis()).unwrap_or(usize::MAX);
    from + Duration::from_millis(random.below(range) as u64)
}

/// Number of kinds of faults that [`add_fault`] distinguishes.
const FAULT_KIND_COUNT: usize = 16;

/// Adds a fault at time `at` and the action that ends it after `duration`, if there is one.
fn add_fault(
    steps: &mut Vec<Step>,
    random: &mut SeededRandom,
    (fault_kind, target): (usize, usize),
    (at, duration): (Duration, Duration),
) {
    let link_target = match random.below(3) {
        0 => LinkTarget::Callers(target),
        1 => LinkTarget::Upstream(target),
        _ => LinkTarget::Store,
    };
    let signal = |part, name| Action::Signal(target, part, name);
    let link = |body| Action::Link(link_target, body);
    let (inject, revert, duration) = match fault_kind {
        0 | 1 => {
            let part = PROCESSES[fault_kind];
            (signal(part, "STOP"), Some(signal(part, "CONT")), duration)
        }
        2 => (
            Action::SignalStore("STOP"),
            Some(Action::SignalStore("CONT")),
            duration,
        ),
        3 | 4 => {
            let part = PROCESSES[fault_kind - 3];
            (
                signal(part, "KILL"),
                Some(Action::Restart(target)),
                duration,
            )
        }
        5 | 6 => {
            let part = PROCESSES[fault_kind - 5];
            (
                signal(part, "TERM"),
                Some(Action::Restart(target)),
                RESTART_DELAY,
            )
        }
        7 => (signal(ProcessRole::Node, "HUP"), None, duration),
        8 => (
            link(json!({ "delay_us": 1_000 * (20 + random.below(300)) })),
            Some(link(json!({ "delay_us": 0 }))),
            duration,
        ),
        9..=11 => {
            let field = ["cut", "hold_there", "hold_back"][fault_kind - 9];
            let set = |on: bool| link(json!({ field: on }));
            (set(true), Some(set(false)), duration)
        }
        12 => (
            link(json!({ "silence": true })),
            Some(link(json!({ "reset": true }))),
            duration,
        ),
        13 => {
            let fault = match random.below(4) {
                0 => json!({ "outage": "refuse" }),
                1 => json!({ "outage": "hang" }),
                2 => json!({ "backup": true }),
                _ => json!({ "lose_answers": 1 + random.below(4) }),
            };
            let is_restore = fault["backup"] == true;
            let normal = json!({ "outage": "none", "lose_answers": 0, "restore": is_restore });
            (Action::Store(fault), Some(Action::Store(normal)), duration)
        }
        14 => {
            let fault = match random.below(2) {
                0 => json!({ "factor": 2 + random.below(8) }),
                _ => json!({ "failing": true }),
            };
            let normal = json!({ "factor": 1, "failing": false });
            (
                Action::Behave(target, fault),
                Some(Action::Behave(target, normal)),
                duration,
            )
        }
        _ => (Action::Change, None, duration),
    };
    steps.push(step(at, inject));
    steps.extend(revert.map(|revert| step(at + duration, revert)));
}

/// Returns the actions that end all faults: they resume and restart all processes and reset links,
/// store and upstreams.
pub fn recovery_actions(instances: usize) -> Vec<Action> {
    let mut actions = vec![
        Action::SignalStore("CONT"),
        Action::Store(json!({ "outage": "none", "lose_answers": 0 })),
    ];
    let normal = json!({
        "delay_us": 0, "cut": false, "hold_there": false, "hold_back": false, "reset": true,
    });
    actions.push(Action::Link(LinkTarget::Store, normal.clone()));
    for index in 0..instances {
        actions.extend(PROCESSES.map(|part| Action::Signal(index, part, "CONT")));
        actions.extend([
            Action::Link(LinkTarget::Callers(index), normal.clone()),
            Action::Link(LinkTarget::Upstream(index), normal.clone()),
            Action::Restart(index),
            Action::Behave(
                index,
                json!({ "factor": 1, "failing": false, "endless": false }),
            ),
        ]);
    }
    actions
}
