//! Checks of the promises on what a run recorded. Pure; each check registers itself.

use std::time::Duration;

use linkme::distributed_slice;

use crate::fleet::watch::Seen;
use crate::load::LoadProfile;
use crate::load::sample::Outcome;
use crate::load::sample::Sample;
use crate::upstream::ledger::End;
use crate::upstream::ledger::Run;

/// Time after which a leaving upstream gets no new work.
const DRAIN_GRACE: Duration = Duration::from_secs(3);
/// Time within which an accepted text is in force everywhere.
const CONVERGE_LIMIT: Duration = Duration::from_secs(4);
/// Violations of one check that are listed.
const MAX_LISTED: usize = 10;

/// Registered checks.
#[distributed_slice]
pub static CHECKS: [Check];

/// A check of a promise.
pub struct Check {
    pub name: &'static str,
    pub promise: &'static str,
    pub find_violations: fn(&ScenarioRecord) -> Vec<String>,
}

/// An upstream with its runs.
#[derive(Clone, Debug, Default)]
pub struct UpstreamRecord {
    pub name: String,
    pub runs: Vec<Run>,
    pub drain: Option<DrainRecord>,
}

/// A drain of an instance.
#[derive(Clone, Copy, Debug, Default)]
pub struct DrainRecord {
    /// Index of the instance among the entries.
    pub entry: usize,
    pub requested_us: u64,
    pub ended_us: u64,
}

/// An accepted change with the times at which the nodes were seen to have it.
#[derive(Clone, Debug, Default)]
pub struct ConfigChange {
    pub version: u64,
    pub accepted_us: u64,
    pub in_force_us: Vec<Option<u64>>,
}

/// What a run recorded.
#[derive(Clone, Debug, Default)]
pub struct ScenarioRecord {
    pub load_profiles: Vec<LoadProfile>,
    pub samples: Vec<Sample>,
    pub upstreams: Vec<UpstreamRecord>,
    pub seen: Vec<Seen>,
    pub changes: Vec<ConfigChange>,
}

/// Prints the result of each check; true if no promise was broken.
pub fn print_report(record: &ScenarioRecord) -> bool {
    let mut kept = true;
    for check in CHECKS {
        let found = (check.find_violations)(record);
        let word = if found.is_empty() { "kept" } else { "BROKEN" };
        println!("{:<28} {:<4} {word}", check.name, check.promise);
        for violation in found.iter().take(MAX_LISTED) {
            println!("    {violation}");
        }
        if found.len() > MAX_LISTED {
            println!("    and {} more", found.len() - MAX_LISTED);
        }
        kept &= found.is_empty();
    }
    kept
}

impl ScenarioRecord {
    /// The runs of each request's own route, sorted by booking.
    fn runs_by_request_number(&self) -> Vec<(u64, &Run, &UpstreamRecord)> {
        let mut runs: Vec<_> = self
            .upstreams
            .iter()
            .flat_map(|upstream| upstream.runs.iter().map(move |run| (run, upstream)))
            .map(|(run, upstream)| (run.request_number, run, upstream))
            .collect();
        runs.sort_by_key(|(request_number, run, _)| (*request_number, run.started_us));
        runs
    }

    /// Each sample with its runs; onward calls carry the same booking to other paths.
    fn join(&self) -> impl Iterator<Item = (&Sample, Vec<(&Run, &UpstreamRecord)>)> {
        let runs = self.runs_by_request_number();
        self.samples.iter().map(move |sample| {
            let path = self
                .load_profiles
                .get(sample.route)
                .map_or("", |profile| profile.path);
            let prefix = path.split('{').next().unwrap_or("");
            let from = runs
                .partition_point(|(request_number, ..)| *request_number < sample.request_number);
            let own = runs[from..]
                .iter()
                .take_while(|(request_number, ..)| *request_number == sample.request_number)
                .filter(|(_, run, _)| run.path.starts_with(prefix))
                .map(|(_, run, upstream)| (*run, *upstream))
                .collect();
            (sample, own)
        })
    }
}

#[distributed_slice(CHECKS)]
static AT_MOST_ONCE: Check = Check {
    name: "bookings-run-at-most-once",
    promise: "P6",
    find_violations: |record| {
        let twice = |(sample, runs): &(&Sample, Vec<_>)| !sample.idempotent && runs.len() > 1;
        let say = |(sample, runs): (&Sample, Vec<(&Run, &UpstreamRecord)>)| {
            let names: Vec<&str> = runs.iter().map(|(_, it)| it.name.as_str()).collect();
            format!(
                "booking {} ran at {}",
                sample.request_number,
                names.join(", ")
            )
        };
        record.join().filter(twice).map(say).collect()
    },
};

#[distributed_slice(CHECKS)]
static NOT_RUN: Check = Check {
    name: "not-run-is-true",
    promise: "P5",
    find_violations: |record| {
        let refused = |sample: &Sample| matches!(&sample.outcome, Outcome::Refused { verdict, .. } if verdict == "not-run");
        record
            .join()
            .filter(|(sample, runs)| refused(sample) && !runs.is_empty())
            .map(|(sample, runs)| {
                let name = &runs[0].1.name;
                format!(
                    "request {}: {}, but ran at {name}",
                    sample.request_number, sample.outcome
                )
            })
            .collect()
    },
};

#[distributed_slice(CHECKS)]
static WHOLE: Check = Check {
    name: "answers-whole-and-own",
    promise: "P4",
    find_violations: |record| {
        let wrong =
            |sample: &&Sample| matches!(sample.outcome, Outcome::Corrupted | Outcome::Mismatched);
        record
            .samples
            .iter()
            .filter(wrong)
            .map(|sample| {
                format!(
                    "request {}: {} answer",
                    sample.request_number, sample.outcome
                )
            })
            .collect()
    },
};

#[distributed_slice(CHECKS)]
static ANSWERED_RAN: Check = Check {
    name: "good-answers-are-in-ledgers",
    promise: "P4",
    find_violations: |record| {
        if record.samples.is_empty() {
            return vec!["no request was recorded".into()];
        }
        record
            .join()
            .filter(|(sample, _)| sample.outcome == Outcome::Good)
            .filter(|(_, runs)| {
                let finished = |(run, _): &(&Run, &UpstreamRecord)| {
                    matches!(run.end, Some((End::Finished, _)))
                };
                !runs.iter().any(finished)
            })
            .map(|(sample, _)| {
                format!(
                    "request {} was answered without a run",
                    sample.request_number
                )
            })
            .collect()
    },
};

#[distributed_slice(CHECKS)]
static MONOTONIC: Check = Check {
    name: "version-never-went-back",
    promise: "P1",
    find_violations: |record| {
        let mut seen: Vec<&Seen> = record.seen.iter().collect();
        seen.sort_by_key(|it| (&it.node, it.at_us));
        let back =
            |pair: &&[&Seen]| pair[0].node == pair[1].node && pair[1].version < pair[0].version;
        seen.windows(2)
            .filter(back)
            .map(|pair| {
                let (before, after) = (pair[0].version, pair[1].version);
                format!("node {} went from {before} to {after}", pair[0].node)
            })
            .collect()
    },
};

#[distributed_slice(CHECKS)]
static IN_FORCE: Check = Check {
    name: "accepted-is-in-force-in-4-s",
    promise: "P9",
    find_violations: |record| {
        let late = |change: &&ConfigChange| {
            let limit = change.accepted_us + CONVERGE_LIMIT.as_micros() as u64;
            let in_time = |seen: &Option<u64>| seen.is_some_and(|at| at <= limit);
            !change.in_force_us.iter().all(in_time)
        };
        record
            .changes
            .iter()
            .filter(late)
            .map(|change| format!("version {} was not in force in time", change.version))
            .collect()
    },
};

#[distributed_slice(CHECKS)]
static NO_NEW_WORK: Check = Check {
    name: "drained-gets-no-new-work",
    promise: "P7",
    find_violations: |record| {
        let mut found = Vec::new();
        for upstream in &record.upstreams {
            let Some(drain) = upstream.drain else {
                continue;
            };
            let limit = drain.requested_us + DRAIN_GRACE.as_micros() as u64;
            let late = upstream.runs.iter().filter(|run| run.started_us > limit);
            found.extend(late.map(|run| {
                let after = (run.started_us - drain.requested_us) / 1_000;
                format!(
                    "{} got {} {after} ms after the order",
                    upstream.name, run.path
                )
            }));
        }
        found
    },
};

#[distributed_slice(CHECKS)]
static CUT_NONE: Check = Check {
    name: "drain-cuts-no-request",
    promise: "P8",
    find_violations: |record| {
        record
            .join()
            .filter(|(sample, _)| was_harmed(&sample.outcome))
            .filter(|(sample, runs)| {
                let through_entry = record.upstreams.iter().filter_map(|it| it.drain);
                let entry_left = through_entry.into_iter().any(|drain| {
                    let end = sample.scheduled_us + sample.latency_us;
                    drain.entry == sample.entry
                        && (drain.requested_us..=drain.ended_us).contains(&end)
                });
                let run_cut = runs
                    .iter()
                    .any(|(run, upstream)| upstream.drain.is_some_and(|drain| was_cut(run, drain)));
                run_cut || (entry_left && !runs.is_empty())
            })
            .map(|(sample, _)| format!("request {}: {}", sample.request_number, sample.outcome))
            .collect()
    },
};

/// Whether the caller lost its answer for another reason than its own deadline.
fn was_harmed(outcome: &Outcome) -> bool {
    match outcome {
        Outcome::ConnectionBroken | Outcome::TimedOut => true,
        Outcome::Refused { verdict, reason } => {
            verdict != "not-run" && reason != "deadline-passed" && reason != "caller-left"
        }
        _ => false,
    }
}

fn was_cut(run: &Run, drain: DrainRecord) -> bool {
    match run.end {
        Some((End::Finished, _)) => false,
        Some((End::Cancelled, at)) => at >= drain.requested_us,
        None => true,
    }
}
