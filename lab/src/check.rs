//! Checks of the product's guarantees on the record of a scenario.
//!
//! Checks are pure functions that register themselves in [`CHECKS`].

use std::time::Duration;

use linkme::distributed_slice;

use crate::fleet::watch::NodeStatus;
use crate::load::LoadProfile;
use crate::load::sample::Outcome;
use crate::load::sample::Sample;
use crate::upstream::ledger::Execution;
use crate::upstream::ledger::ExecutionEnd;

/// Time from the request to drain after which the upstream must get no new requests.
const DRAIN_NOTICE_TIME: Duration = Duration::from_secs(3);
/// Time from acceptance within which a configuration must be in force on all nodes.
const CONVERGENCE_LIMIT: Duration = Duration::from_secs(4);
/// Maximum number of violations that are printed for one check.
const MAX_PRINTED_VIOLATIONS: usize = 10;

/// Registered checks.
#[distributed_slice]
pub static CHECKS: [Check];

/// Check of one guarantee.
pub struct Check {
    pub name: &'static str,
    /// Number of the guarantee, such as `P4`.
    pub guarantee: &'static str,
    /// Returns a description of each violation that the record shows.
    pub find_violations: fn(&ScenarioRecord) -> Vec<String>,
}

/// Executions at an upstream and the drain of its instance, if there was one.
#[derive(Clone, Debug, Default)]
pub struct UpstreamRecord {
    pub name: String,
    pub executions: Vec<Execution>,
    pub drain: Option<DrainRecord>,
}

/// A drain of an instance. Times are wall clock times in microseconds since 1970.
#[derive(Clone, Copy, Debug, Default)]
pub struct DrainRecord {
    /// Index of the instance's entry, as in [`Sample::entry_index`].
    pub entry_index: usize,
    pub requested_us: u64,
    /// Time at which the node's process had ended.
    pub ended_us: u64,
}

/// An accepted configuration. Times are wall clock times in microseconds since 1970.
#[derive(Clone, Debug, Default)]
pub struct ConfigChange {
    pub version: u64,
    pub accepted_us: u64,
    /// For each node, the time at which it first reported this version or a newer one; `None` if it did
    /// not before the time limit.
    pub in_force_us: Vec<Option<u64>>,
}

/// Everything that a scenario recorded for the checks.
#[derive(Clone, Debug, Default)]
pub struct ScenarioRecord {
    pub load_profiles: Vec<LoadProfile>,
    pub samples: Vec<Sample>,
    pub upstreams: Vec<UpstreamRecord>,
    pub node_statuses: Vec<NodeStatus>,
    pub changes: Vec<ConfigChange>,
}

/// Prints the result of each check and returns whether all guarantees were kept.
pub fn print_report(record: &ScenarioRecord) -> bool {
    let mut all_kept = true;
    for check in CHECKS {
        let violations = (check.find_violations)(record);
        let verdict = if violations.is_empty() {
            "kept"
        } else {
            "BROKEN"
        };
        println!("{:<28} {:<4} {verdict}", check.name, check.guarantee);
        for violation in violations.iter().take(MAX_PRINTED_VIOLATIONS) {
            println!("    {violation}");
        }
        if violations.len() > MAX_PRINTED_VIOLATIONS {
            println!("    and {} more", violations.len() - MAX_PRINTED_VIOLATIONS);
        }
        all_kept &= violations.is_empty();
    }
    all_kept
}

impl ScenarioRecord {
    /// Returns the executions at all upstreams, sorted by request number and start.
    fn executions_by_request_number(&self) -> Vec<(u64, &Execution, &UpstreamRecord)> {
        let mut executions: Vec<_> = self
            .upstreams
            .iter()
            .flat_map(|upstream| {
                upstream
                    .executions
                    .iter()
                    .map(move |execution| (execution, upstream))
            })
            .map(|(execution, upstream)| (execution.request_number, execution, upstream))
            .collect();
        executions
            .sort_by_key(|(request_number, execution, _)| (*request_number, execution.started_us));
        executions
    }

    /// Returns each sample with the executions of that request. Calls of an upstream to another service
    /// carry the same request number to other paths and are left out.
    fn samples_with_executions(
        &self,
    ) -> impl Iterator<Item = (&Sample, Vec<(&Execution, &UpstreamRecord)>)> {
        let executions = self.executions_by_request_number();
        self.samples.iter().map(move |sample| {
            let path = self
                .load_profiles
                .get(sample.profile_index)
                .map_or("", |profile| profile.path);
            let prefix = path.split('{').next().unwrap_or("");
            let first = executions
                .partition_point(|(request_number, ..)| *request_number < sample.request_number);
            let own_executions = executions[first..]
                .iter()
                .take_while(|(request_number, ..)| *request_number == sample.request_number)
                .filter(|(_, execution, _)| execution.path.starts_with(prefix))
                .map(|(_, execution, upstream)| (*execution, *upstream))
                .collect();
            (sample, own_executions)
        })
    }
}

#[distributed_slice(CHECKS)]
static AT_MOST_ONCE_EXECUTION: Check = Check {
    name: "bookings-run-at-most-once",
    guarantee: "P6",
    find_violations: |record| {
        let ran_twice =
            |(sample, executions): &(&Sample, Vec<_>)| !sample.idempotent && executions.len() > 1;
        let describe = |(sample, executions): (&Sample, Vec<(&Execution, &UpstreamRecord)>)| {
            let upstream_names: Vec<&str> =
                executions.iter().map(|(_, it)| it.name.as_str()).collect();
            format!(
                "request {} was executed at {}",
                sample.request_number,
                upstream_names.join(", ")
            )
        };
        record
            .samples_with_executions()
            .filter(ran_twice)
            .map(describe)
            .collect()
    },
};

#[distributed_slice(CHECKS)]
static NOT_RUN_VERDICTS: Check = Check {
    name: "not-run-is-true",
    guarantee: "P5",
    find_violations: |record| {
        let refused_as_not_run = |sample: &Sample| matches!(&sample.outcome, Outcome::Refused { verdict, .. } if verdict == "not-run");
        record
            .samples_with_executions()
            .filter(|(sample, executions)| refused_as_not_run(sample) && !executions.is_empty())
            .map(|(sample, executions)| {
                let name = &executions[0].1.name;
                format!(
                    "request {}: {}, but was executed at {name}",
                    sample.request_number, sample.outcome
                )
            })
            .collect()
    },
};

#[distributed_slice(CHECKS)]
static RESPONSE_INTEGRITY: Check = Check {
    name: "answers-whole-and-own",
    guarantee: "P4",
    find_violations: |record| {
        let is_damaged =
            |sample: &&Sample| matches!(sample.outcome, Outcome::Corrupted | Outcome::Mismatched);
        record
            .samples
            .iter()
            .filter(is_damaged)
            .map(|sample| {
                format!(
                    "request {}: {} response",
                    sample.request_number, sample.outcome
                )
            })
            .collect()
    },
};

#[distributed_slice(CHECKS)]
static RESPONSES_IN_LEDGER: Check = Check {
    name: "good-answers-are-in-ledgers",
    guarantee: "P4",
    find_violations: |record| {
        if record.samples.is_empty() {
            return vec!["no request was recorded".into()];
        }
        record
            .samples_with_executions()
            .filter(|(sample, _)| sample.outcome == Outcome::Good)
            .filter(|(_, executions)| {
                let is_finished = |(execution, _): &(&Execution, &UpstreamRecord)| {
                    matches!(execution.end, Some((ExecutionEnd::Finished, _)))
                };
                !executions.iter().any(is_finished)
            })
            .map(|(sample, _)| {
                format!(
                    "request {} had a good response without a finished execution",
                    sample.request_number
                )
            })
            .collect()
    },
};

#[distributed_slice(CHECKS)]
static VERSION_MONOTONICITY: Check = Check {
    name: "version-never-went-back",
    guarantee: "P1",
    find_violations: |record| {
        let mut node_statuses: Vec<&NodeStatus> = record.node_statuses.iter().collect();
        node_statuses.sort_by_key(|it| (&it.node, it.read_at_us));
        let goes_back = |pair: &&[&NodeStatus]| {
            pair[0].node == pair[1].node && pair[1].version < pair[0].version
        };
        node_statuses
            .windows(2)
            .filter(goes_back)
            .map(|pair| {
                let (before, after) = (pair[0].version, pair[1].version);
                format!("node {} went from {before} to {after}", pair[0].node)
            })
            .collect()
    },
};

#[distributed_slice(CHECKS)]
static CONVERGENCE_TIME: Check = Check {
    name: "accepted-is-in-force-in-4-s",
    guarantee: "P9",
    find_violations: |record| {
        let is_late = |change: &&ConfigChange| {
            let deadline_us = change.accepted_us + CONVERGENCE_LIMIT.as_micros() as u64;
            let is_in_time = |reached: &Option<u64>| reached.is_some_and(|at| at <= deadline_us);
            !change.in_force_us.iter().all(is_in_time)
        };
        record
            .changes
            .iter()
            .filter(is_late)
            .map(|change| format!("version {} was not in force in time", change.version))
            .collect()
    },
};

#[distributed_slice(CHECKS)]
static NO_WORK_AFTER_DRAIN: Check = Check {
    name: "drained-gets-no-new-work",
    guarantee: "P7",
    find_violations: |record| {
        let mut violations = Vec::new();
        for upstream in &record.upstreams {
            let Some(drain) = upstream.drain else {
                continue;
            };
            let deadline_us = drain.requested_us + DRAIN_NOTICE_TIME.as_micros() as u64;
            let late_executions = upstream
                .executions
                .iter()
                .filter(|execution| execution.started_us > deadline_us);
            violations.extend(late_executions.map(|execution| {
                let delay_ms = (execution.started_us - drain.requested_us) / 1_000;
                format!(
                    "{} got {} {delay_ms} ms after the request to drain",
                    upstream.name, execution.path
                )
            }));
        }
        violations
    },
};

#[distributed_slice(CHECKS)]
static NO_REQUEST_CUT: Check = Check {
    name: "drain-cuts-no-request",
    guarantee: "P8",
    find_violations: |record| {
        record
            .samples_with_executions()
            .filter(|(sample, _)| lost_response(&sample.outcome))
            .filter(|(sample, executions)| {
                let drains = record.upstreams.iter().filter_map(|it| it.drain);
                let ended_at_drained_entry = drains.into_iter().any(|drain| {
                    let end = sample.scheduled_us + sample.latency_us;
                    drain.entry_index == sample.entry_index
                        && (drain.requested_us..=drain.ended_us).contains(&end)
                });
                let execution_cut = executions.iter().any(|(execution, upstream)| {
                    upstream
                        .drain
                        .is_some_and(|drain| was_cut_by_drain(execution, drain))
                });
                execution_cut || (ended_at_drained_entry && !executions.is_empty())
            })
            .map(|(sample, _)| format!("request {}: {}", sample.request_number, sample.outcome))
            .collect()
    },
};

/// Returns whether a request ended without a conclusive response, other than by the caller's deadline
/// or disconnection.
fn lost_response(outcome: &Outcome) -> bool {
    match outcome {
        Outcome::ConnectionBroken | Outcome::TimedOut => true,
        Outcome::Refused { verdict, reason } => {
            verdict != "not-run" && reason != "deadline-passed" && reason != "caller-left"
        }
        _ => false,
    }
}

/// Returns whether an execution did not finish and was not cancelled before the drain.
fn was_cut_by_drain(execution: &Execution, drain: DrainRecord) -> bool {
    match execution.end {
        Some((ExecutionEnd::Finished, _)) => false,
        Some((ExecutionEnd::Cancelled, at)) => at >= drain.requested_us,
        None => true,
    }
}
