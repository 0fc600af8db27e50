//! The documents against the code: what one names, the other has.

use std::process::Command;

use rstest::rstest;

use config::Draft;
use errors::Reason;

const MANUAL: &str = include_str!("../docs/OPERATIONS.md");
const COUNTERS: &str = include_str!("../components/telemetry/src/counters.rs");

/// First cells of the table in a section of the manual, sorted.
fn first_cells(section: &str) -> Vec<String> {
    let text = MANUAL
        .split(&format!("## {section}\n"))
        .nth(1)
        .expect("the section exists");
    let text = text.split("\n## ").next().unwrap_or_default();
    let rows = text
        .lines()
        .filter_map(|line| line.strip_prefix("| `")?.split('`').next());
    let mut cells: Vec<String> = rows.map(str::to_owned).collect();
    cells.sort_unstable();
    cells
}

// Guards against a reason that operators meet and cannot look up, or look up and never meet.
#[test]
fn reasons_documented() {
    let mut known: Vec<String> = Reason::ALL.iter().map(|it| it.name().to_owned()).collect();
    known.sort_unstable();
    assert_eq!(first_cells("Reasons"), known);
}

// Guards against the same for counters.
#[test]
fn counters_documented() {
    let names = COUNTERS
        .split('"')
        .filter(|text| text.starts_with("medlar_"));
    let mut known: Vec<String> = names.map(str::to_owned).collect();
    known.sort_unstable();
    known.dedup();
    assert_eq!(first_cells("Counters"), known);
}

// Guards against the same for verbs.
#[test]
fn verbs_documented() {
    let help = Command::new(env!("CARGO_BIN_EXE_medlarctl"))
        .arg("--help")
        .output()
        .expect("runs");
    let help = String::from_utf8(help.stdout).expect("text");
    let commands = help
        .split("Commands:\n")
        .nth(1)
        .and_then(|it| it.split("\n\n").next());
    // Names are indented by two spaces, the text after them by more.
    let names = commands
        .unwrap_or_default()
        .lines()
        .filter(|line| !line.starts_with("   "));
    let mut known: Vec<&str> = names
        .filter_map(|line| line.split_whitespace().next())
        .collect();
    known.sort_unstable();
    assert_eq!(first_cells("Verbs"), known);
}

// Guards against a sample that a newcomer copies and sees refused.
#[rstest]
#[case::manual(MANUAL.split("## The text").nth(1).and_then(|it| it.split("```yaml\n").nth(1)))]
#[case::quick_start(Some(include_str!("../docs/samples/mesh.yaml")))]
fn samples_accepted(#[case] text: Option<&str>) {
    let text = text
        .and_then(|it| it.split("```").next())
        .expect("a sample");
    assert!(
        Draft::new(text).check().is_ok(),
        "{:?}",
        Draft::new(text).check()
    );
}
