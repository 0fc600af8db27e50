//! Tests of how nodes determine the established version of a service.

use std::sync::Arc;
use std::time::Duration;

use rstest::rstest;

use kernel::Time;
use rollout::Merge;
use rollout::ReadyCount;
use rollout::Table;

const SECOND: u64 = 1_000_000;

fn counts(versions: &[(&str, u32)]) -> Vec<ReadyCount> {
    let count = |(version, endpoints): &(&str, u32)| ReadyCount {
        service: Arc::from("desk"),
        version: Arc::from(*version),
        endpoints: *endpoints,
    };
    versions.iter().map(count).collect()
}

fn established(table: &Table) -> Option<Arc<str>> {
    let view = table.view(false, 0);
    view.find("desk").and_then(|it| it.established.clone())
}

/// Guards against new endpoints that become established by their number alone, against a choice at random
/// between equal numbers, and against a fleet that starts with a stray endpoint of another version and keeps it.
#[rstest]
#[case::outnumbered("0 v1:42, 20 v1:42 v2:90", "v1")]
#[case::equal_numbers("0 v2:1, 1 v1:4 v2:4", "v2")]
#[case::stray_first("0 v2:1, 2 v1:42 v2:1", "v1")]
#[case::short_absence("0 v1:4, 20 v2:4, 40 v2:4, 41 v1:4 v2:4", "v1")]
#[case::replaced("0 v1:4, 20 v2:4, 51 v2:4", "v2")]
#[case::all_gone("0 v1:4, 20, 70 v2:4", "v1")]
fn observe_established(#[case] steps: &str, #[case] expected: &str) {
    let mut table = Table::default();
    for step in steps.split(", ") {
        let mut words = step.split(' ');
        let second: u64 = words.next().unwrap().parse().unwrap();
        let versions = words.map(|word| word.split_once(':').unwrap());
        let versions: Vec<_> = versions.map(|(it, n)| (it, n.parse().unwrap())).collect();
        table.observe(Time(second * SECOND), &counts(&versions), true);
    }
    assert_eq!(established(&table).as_deref(), Some(expected));
}

/// Guards against a node that starts in the middle of a rollout and takes the version of most endpoints for the
/// established one, or convinces others of it.
#[rstest]
fn merge_started_late() {
    let (mut old, mut started) = (Table::default(), Table::default());
    old.observe(Time(0), &counts(&[("v1", 42)]), true);
    let both = counts(&[("v1", 42), ("v2", 43)]);
    let now = Time(100 * SECOND);
    old.observe(now, &both, true);
    started.observe(now, &both, true);
    let wrong = started.notice(now, "desk").expect("it has decided");
    assert_eq!(old.merge(now, &wrong), Merge::Outdated);
    assert_eq!(established(&old).as_deref(), Some("v1"));
    let right = old.notice(now, "desk").expect("it has decided");
    assert_eq!(right.age, Duration::from_secs(100));
    // The clock of a process that has just started is behind that age.
    assert_eq!(started.merge(Time(SECOND), &right), Merge::News);
    assert_eq!(established(&started).as_deref(), Some("v1"));
}

/// Guards against a node that serves before it knows which of the versions it sees is established.
#[rstest]
#[case::unknown(false, Some("v1"), None)]
#[case::established(true, Some("v1"), Some(true))]
#[case::other(true, Some("v2"), Some(false))]
#[case::unversioned(false, None, Some(true))]
fn is_open_held(#[case] decides: bool, #[case] version: Option<&str>, #[case] open: Option<bool>) {
    let mut table = Table::default();
    table.observe(Time(0), &counts(&[("v1", 4), ("v2", 2)]), decides);
    assert_eq!(table.view(true, 0).is_open("desk", version), open);
}
