//! Random plan of faults. Pure: the same seed gives the same plan.

use std::time::Duration;

use serde_json::Value;
use serde_json::json;

use crate::fleet::instance::Part;
use kernel::Random;
use kernel::random::SeededRandom;

/// Mean time between two faults, so that some overlap.
const PERIOD: Duration = Duration::from_millis(900);
const SHORTEST: Duration = Duration::from_millis(200);
/// Longest fault that is not a restart after a drain.
pub const LONGEST: Duration = Duration::from_millis(3_000);
/// Time from a signal to terminate to the next start, longer than the drain of the soak's nodes.
const ROLL: Duration = Duration::from_millis(4_000);
/// Faults of a series, and the time between them.
const SERIES: usize = 3;
const SERIES_GAP: Duration = Duration::from_millis(300);
/// One in so many faults is a series; one in so many plans ends with the loss of all processes.
const SERIES_PART: usize = 4;
const LOSS_PART: usize = 3;

/// Processes of an instance.
const PARTS: [Part; 2] = [Part::Node, Part::Upstream];

/// Connections that a fault affects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkTarget {
    /// Connections of callers to an instance.
    Callers(usize),
    /// Connections of an instance's node to its upstream.
    Upstream(usize),
    /// Connections of all nodes to the store.
    Store,
}

/// One change of the surroundings.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a signal to a process of an instance.
    Signal(usize, Part, &'static str),
    /// Start the processes of an instance again that have ended.
    Restart(usize),
    /// Send a signal to the store.
    SignalStore(&'static str),
    /// Set the relay of a connection.
    Link(LinkTarget, Value),
    /// Set a fault of the store.
    Store(Value),
    /// Change how an upstream behaves.
    Behave(usize, Value),
    /// Have another text accepted.
    Change,
}

/// An action and when it is due, from the start of the load.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    pub at: Duration,
    pub action: Action,
}

/// A plan of faults for so many instances, within `length`, sorted by time.
pub fn make_plan(seed: u64, instances: usize, length: Duration) -> Vec<Step> {
    let mut random = SeededRandom::new(seed);
    let mut steps = Vec::new();
    let count = length.as_millis() / PERIOD.as_millis();
    for _ in 0..count {
        let at = span(&mut random, Duration::ZERO, length);
        let times = if random.below(SERIES_PART) == 0 {
            SERIES
        } else {
            1
        };
        let kind = random.below(KINDS);
        let first = random.below(instances);
        for step in 0..times {
            let at = at + SERIES_GAP * u32::try_from(step).unwrap_or(0);
            // A series affects the same instance again, or the next ones.
            let target = (first + step * (kind % 2)) % instances;
            let lasts = span(&mut random, SHORTEST, LONGEST);
            add_fault(&mut steps, &mut random, (kind, target), (at, lasts));
        }
    }
    if random.below(LOSS_PART) == 0 {
        for at in 0..instances {
            for part in PARTS {
                steps.push(step(length, Action::Signal(at, part, "KILL")));
            }
            steps.push(step(length + LONGEST, Action::Restart(at)));
        }
    }
    steps.sort_by_key(|step| step.at);
    steps
}

fn step(at: Duration, action: Action) -> Step {
    Step { at, action }
}

fn span(random: &mut SeededRandom, from: Duration, to: Duration) -> Duration {
    let range = usize::try_from((to - from).as_millis()).unwrap_or(usize::MAX);
    from + Duration::from_millis(random.below(range) as u64)
}

/// Kinds of faults that [`add_fault`] knows.
const KINDS: usize = 16;

fn add_fault(
    steps: &mut Vec<Step>,
    random: &mut SeededRandom,
    (kind, target): (usize, usize),
    (at, lasts): (Duration, Duration),
) {
    let wire = match random.below(3) {
        0 => LinkTarget::Callers(target),
        1 => LinkTarget::Upstream(target),
        _ => LinkTarget::Store,
    };
    let signal = |part, name| Action::Signal(target, part, name);
    let link = |body| Action::Link(wire, body);
    let (begin, end, lasts) = match kind {
        0 | 1 => {
            let part = PARTS[kind];
            (signal(part, "STOP"), Some(signal(part, "CONT")), lasts)
        }
        2 => (
            Action::SignalStore("STOP"),
            Some(Action::SignalStore("CONT")),
            lasts,
        ),
        3 | 4 => {
            let part = PARTS[kind - 3];
            (signal(part, "KILL"), Some(Action::Restart(target)), lasts)
        }
        5 | 6 => {
            let part = PARTS[kind - 5];
            (signal(part, "TERM"), Some(Action::Restart(target)), ROLL)
        }
        7 => (signal(Part::Node, "HUP"), None, lasts),
        8 => (
            link(json!({ "delay_us": 1_000 * (20 + random.below(300)) })),
            Some(link(json!({ "delay_us": 0 }))),
            lasts,
        ),
        9..=11 => {
            let field = ["cut", "hold_there", "hold_back"][kind - 9];
            let set = |on: bool| link(json!({ field: on }));
            (set(true), Some(set(false)), lasts)
        }
        12 => (
            link(json!({ "silence": true })),
            Some(link(json!({ "reset": true }))),
            lasts,
        ),
        13 => {
            let fault = match random.below(3) {
                0 => json!({ "outage": "refuse" }),
                1 => json!({ "outage": "hang" }),
                _ => json!({ "lose_answers": 1 + random.below(4) }),
            };
            let normal = json!({ "outage": "none", "lose_answers": 0 });
            (Action::Store(fault), Some(Action::Store(normal)), lasts)
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
                lasts,
            )
        }
        _ => (Action::Change, None, lasts),
    };
    steps.push(step(at, begin));
    steps.extend(end.map(|end| step(at + lasts, end)));
}

/// What brings all surroundings back to normal.
pub fn make_recovery(instances: usize) -> Vec<Action> {
    let mut actions = vec![
        Action::SignalStore("CONT"),
        Action::Store(json!({ "outage": "none", "lose_answers": 0 })),
    ];
    let normal = json!({
        "delay_us": 0, "cut": false, "hold_there": false, "hold_back": false, "reset": true,
    });
    actions.push(Action::Link(LinkTarget::Store, normal.clone()));
    for at in 0..instances {
        actions.extend(PARTS.map(|part| Action::Signal(at, part, "CONT")));
        actions.extend([
            Action::Link(LinkTarget::Callers(at), normal.clone()),
            Action::Link(LinkTarget::Upstream(at), normal.clone()),
            Action::Restart(at),
            Action::Behave(at, json!({ "factor": 1, "failing": false })),
        ]);
    }
    actions
}
