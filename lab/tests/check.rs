//! Tests that each guarantee check reports the violation in a faulty record and none in a correct one.

use std::time::Duration;

use rstest::rstest;

use medlar_lab::check::CHECKS;
use medlar_lab::check::ConfigChange;
use medlar_lab::check::DrainRecord;
use medlar_lab::check::ScenarioRecord;
use medlar_lab::check::UpstreamRecord;
use medlar_lab::fleet::watch::NodeStatus;
use medlar_lab::load::LoadProfile;
use medlar_lab::load::sample::Outcome;
use medlar_lab::load::sample::Sample;
use medlar_lab::upstream::ledger;

/// Ledgers of two upstreams. Request 1 is a booking, 2 a slot view, and 3 was refused. Request 4 was
/// cancelled at its deadline while the second upstream drained.
const FIRST_LEDGER: &str = "start 1 1000 a 1 reservas /bookings/1\nfinish 1 2000\n";
const SECOND_LEDGER: &str = "start 1 1000 b 2 reservas /slots/2\nfinish 1 2000\nshed 1500 c 3\n\
                      start 2 9000 d 4 reservas /slots/4\ncancel 2 20000\n\
                      start 3 1000 e 1 planta /moisture/1\nfinish 3 1100\n";

fn profile(name: &'static str, path: &'static str, idempotent: bool) -> LoadProfile {
    LoadProfile {
        name,
        method: if idempotent { "GET" } else { "POST" },
        path,
        rank: 0,
        idempotent,
        deadline: Duration::from_secs(1),
        rate: 1.0,
    }
}

fn refused(verdict: &str, reason: &str) -> Outcome {
    Outcome::Refused {
        verdict: verdict.into(),
        reason: reason.into(),
    }
}

fn sample(request_number: u64, profile_index: usize, outcome: Outcome) -> Sample {
    Sample {
        request_number,
        profile_index,
        rank: 0,
        idempotent: profile_index == 1,
        entry_index: 0,
        scheduled_us: 1_000,
        latency_us: 1_000,
        outcome,
    }
}

fn status(node: &str, read_at_us: u64, version: u64) -> NodeStatus {
    NodeStatus {
        node: node.into(),
        read_at_us,
        version,
        live_members: 2,
    }
}

fn upstream(name: &str, text: &str, drain: Option<DrainRecord>) -> UpstreamRecord {
    UpstreamRecord {
        name: name.into(),
        executions: ledger::parse(text).expect("the ledger is well formed"),
        drain,
    }
}

/// Returns a record without violations.
fn valid_record() -> ScenarioRecord {
    let drain = DrainRecord {
        entry_index: 1,
        requested_us: 10_000,
        ended_us: 30_000,
    };
    ScenarioRecord {
        load_profiles: vec![
            profile("booking", "/bookings/{}", false),
            profile("slot-view", "/slots/{}", true),
        ],
        samples: vec![
            sample(1, 0, Outcome::Good),
            sample(2, 1, Outcome::Good),
            sample(3, 0, refused("not-run", "queue-full")),
            sample(4, 1, refused("may-have-run", "deadline-passed")),
            sample(5, 0, Outcome::ConnectionBroken),
        ],
        upstreams: vec![
            upstream("first", FIRST_LEDGER, None),
            upstream("second", SECOND_LEDGER, Some(drain)),
        ],
        node_statuses: vec![status("a", 1, 1), status("b", 1, 2), status("a", 2, 2)],
        changes: vec![ConfigChange {
            version: 2,
            accepted_us: 1_000,
            in_force_us: vec![Some(2_000), Some(4_001_000)],
        }],
    }
}

fn add_execution(record: &mut ScenarioRecord, upstream: usize, text: &str) {
    record.upstreams[upstream]
        .executions
        .extend(ledger::parse(text).expect("the ledger is well formed"));
}

fn violated_checks(record: &ScenarioRecord) -> Vec<&'static str> {
    let found = CHECKS
        .iter()
        .filter(|it| !(it.find_violations)(record).is_empty());
    let mut names: Vec<&str> = found.map(|it| it.name).collect();
    names.sort_unstable();
    names
}

/// Checks that all checks are registered and that none reports a violation in a correct record.
#[test]
fn check_accepts_valid_record() {
    assert_eq!(violated_checks(&valid_record()), Vec::<&str>::new());
    assert_eq!(CHECKS.len(), 8);
}

/// Checks that each violation is reported by its check, and by no other.
#[rstest]
#[case::booking_executed_twice("bookings-run-at-most-once", |record: &mut ScenarioRecord| {
    add_execution(record, 1, "start 9 3000 f 1 reservas /bookings/1\ncancel 9 3001\n");
})]
#[case::not_run_but_executed("not-run-is-true", |record: &mut ScenarioRecord| {
    add_execution(record, 0, "start 9 3000 f 3 reservas /bookings/3\ncancel 9 3001\n");
})]
#[case::corrupted_response("answers-whole-and-own", |record: &mut ScenarioRecord| {
    record.samples[1].outcome = Outcome::Corrupted;
})]
#[case::mismatched_response("answers-whole-and-own", |record: &mut ScenarioRecord| {
    record.samples[1].outcome = Outcome::Mismatched;
})]
#[case::response_without_execution("good-answers-are-in-ledgers", |record: &mut ScenarioRecord| {
    record.samples.push(sample(6, 1, Outcome::Good));
})]
#[case::nothing_recorded("good-answers-are-in-ledgers", |record: &mut ScenarioRecord| {
    record.samples.clear();
})]
#[case::version_back("version-never-went-back", |record: &mut ScenarioRecord| {
    record.node_statuses.push(status("a", 3, 1));
})]
#[case::version_late("accepted-is-in-force-in-4-s", |record: &mut ScenarioRecord| {
    record.changes[0].in_force_us[0] = Some(4_001_001);
})]
#[case::version_missing("accepted-is-in-force-in-4-s", |record: &mut ScenarioRecord| {
    record.changes[0].in_force_us[0] = None;
})]
#[case::work_after_drain("drained-gets-no-new-work", |record: &mut ScenarioRecord| {
    add_execution(record, 1, "start 9 3010001 f 9 reservas /slots/9\nfinish 9 3010002\n");
})]
#[case::execution_cut_by_drain("drain-cuts-no-request", |record: &mut ScenarioRecord| {
    record.samples[3].outcome = refused("may-have-run", "connection-broken");
})]
#[case::execution_never_ended("drain-cuts-no-request", |record: &mut ScenarioRecord| {
    record.upstreams[1].executions[1].end = None;
    record.samples[3].outcome = Outcome::ConnectionBroken;
})]
#[case::response_cut_at_entry("drain-cuts-no-request", |record: &mut ScenarioRecord| {
    record.samples[0].outcome = Outcome::ConnectionBroken;
    record.samples[0].entry_index = 1;
    record.samples[0].latency_us = 10_000;
})]
fn check_reports_violation(
    #[case] name: &str,
    #[case] introduce_violation: fn(&mut ScenarioRecord),
) {
    let mut record = valid_record();
    introduce_violation(&mut record);
    assert_eq!(violated_checks(&record), [name]);
}

/// Checks that a ledger that is truncated, inconsistent or too long is refused, so that it is not
/// taken for a complete one.
#[rstest]
#[case::unknown_execution("finish 1 2000")]
#[case::truncated_line("start 1 1000 a")]
#[case::overflow("overflow")]
fn parse_invalid_ledger(#[case] text: &str) {
    assert!(ledger::parse(text).is_err());
}
