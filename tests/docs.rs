//! Checks that the operators' manual and the code name the same things.

use std::fs;
use std::path::Path;
use std::process::Command;

use rstest::rstest;

use config::DraftConfig;
use errors::Reason;

const MANUAL: &str = include_str!("../docs/OPERATIONS.md");
const METRICS_SOURCE: &str = include_str!("../components/telemetry/src/metrics.rs");

/// Rows of the table in a section of the manual, sorted: the name in the first cell and the rest of the
/// row.
fn table_rows(section: &str) -> Vec<(String, String)> {
    let text = MANUAL.split(&format!("## {section}\n")).nth(1);
    let text = text.and_then(|it| it.split("\n## ").next());
    let rows = text.expect("the section exists").lines();
    let mut rows: Vec<(String, String)> = rows
        .filter_map(|line| line.strip_prefix("| `")?.split_once('`'))
        .map(|(name, rest)| (name.to_owned(), rest.to_owned()))
        .collect();
    rows.sort_unstable();
    rows
}

/// Names in the first cells of the table in a section of the manual, sorted.
fn first_cells(section: &str) -> Vec<String> {
    table_rows(section)
        .into_iter()
        .map(|(name, _)| name)
        .collect()
}

// Checks that operators can look up every reason that the code has, and that the manual lists no other.
#[test]
fn reasons_documented() {
    let mut expected: Vec<String> = Reason::ALL.iter().map(|it| it.name().to_owned()).collect();
    expected.sort_unstable();
    assert_eq!(first_cells("Reasons"), expected);
}

// Checks that operators can look up every metric that the code exports, and that the manual lists no
// other.
#[test]
fn counters_documented() {
    let names = METRICS_SOURCE
        .split('"')
        .filter(|text| text.starts_with("medlar_"));
    let mut expected: Vec<String> = names.map(str::to_owned).collect();
    expected.sort_unstable();
    expected.dedup();
    assert_eq!(first_cells("Counters"), expected);
}

// Checks that operators can look up every verb that `medlarctl --help` shows, and that the manual lists
// no other.
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
    // Verbs are indented by two spaces, the following lines of their descriptions by more.
    let names = commands
        .unwrap_or_default()
        .lines()
        .filter(|line| !line.starts_with("   "));
    let mut expected: Vec<&str> = names
        .filter_map(|line| line.split_whitespace().next())
        .collect();
    expected.sort_unstable();
    assert_eq!(first_cells("Verbs"), expected);
}

/// Appends the text of all source files below a folder, except those in folders named `tests`.
fn read_sources(folder: &Path, text: &mut String) {
    for entry in fs::read_dir(folder).expect("a folder") {
        let path = entry.expect("an entry").path();
        if path.is_dir() && !path.ends_with("tests") {
            read_sources(&path, text);
        } else if path.extension().is_some_and(|it| it == "rs") {
            text.push_str(&fs::read_to_string(&path).expect("a source file"));
        }
    }
}

/// Names of the fields of a log macro, from its arguments before the message. A field is written as
/// `name` or `name = value`.
fn field_names(arguments: &str) -> Vec<String> {
    let mut names = Vec::new();
    let (mut depth, mut field) = (0, String::new());
    for letter in arguments.chars() {
        match letter {
            '(' => depth += 1,
            ')' => depth -= 1,
            ',' | ';' if depth == 0 => {
                let name = field.split('=').next().unwrap_or_default().trim();
                names.push(name.to_owned());
                field.clear();
                if letter == ';' {
                    return names;
                }
                continue;
            }
            _ => {}
        }
        field.push(letter);
    }
    names
}

/// Events that the source files log, each with the names of its fields. An event occurs once for each
/// log macro that writes it.
fn logged_events() -> Vec<(String, Vec<String>)> {
    let mut text = String::new();
    for folder in ["components", "platform", "node"] {
        let root = Path::new(env!("CARGO_MANIFEST_DIR"));
        read_sources(&root.join(folder), &mut text);
    }
    let mut events: Vec<(String, Vec<String>)> = text
        .split("event = \"")
        .skip(1)
        .filter_map(|it| it.split_once('"'))
        .map(|(name, rest)| (name.to_owned(), field_names(rest)))
        .collect();
    events.sort_unstable();
    events
}

// Checks that operators can look up every event that the code logs with its fields, except `held` and
// `request`, and that the manual lists no other events and fields.
#[test]
fn events_documented() {
    let documented = table_rows("Logs");
    let logged = logged_events();
    let mut names: Vec<&str> = logged.iter().map(|(name, _)| name.as_str()).collect();
    names.dedup();
    assert_eq!(first_cells("Logs"), names);
    for (name, row) in &documented {
        let mut fields: Vec<&String> = logged
            .iter()
            .filter(|(event, _)| event == name)
            .flat_map(|(_, fields)| fields)
            .filter(|field| !["", "held", "request"].contains(&field.as_str()))
            .collect();
        fields.sort_unstable();
        fields.dedup();
        let cell = row.rsplit(" | ").next().unwrap_or_default();
        let mut documented_fields: Vec<&str> = cell.split('`').skip(1).step_by(2).collect();
        documented_fields.sort_unstable();
        assert_eq!(documented_fields, fields, "fields of {name}");
    }
}

// Checks that the example traces in the manual show only events and fields that the code logs.
#[test]
fn trace_examples_documented() {
    let logged = logged_events();
    let trace_examples = MANUAL
        .split("### From a failed request to its cause\n")
        .nth(1);
    let trace_examples = trace_examples.and_then(|it| it.split("\n## ").next());
    let lines = trace_examples.expect("the section exists").lines();
    let lines: Vec<&str> = lines.filter(|line| line.starts_with("    ")).collect();
    assert!(lines.len() >= 9, "too few lines in the examples: {lines:?}");
    for line in lines.iter().filter(|line| !line.contains("  MS ")) {
        let mut cells = line.split_whitespace().skip(2);
        let event = cells.next().expect("an event");
        let known_fields = logged.iter().filter(|(name, _)| name == event);
        let known_fields: Vec<&String> = known_fields.flat_map(|(_, fields)| fields).collect();
        assert!(!known_fields.is_empty(), "{event} is not logged");
        let example_fields = cells.filter_map(|cell| cell.split_once('='));
        for (field, _) in example_fields.filter(|(field, _)| !field.contains('"')) {
            assert!(
                known_fields.iter().any(|it| *it == field),
                "{event} has no {field}"
            );
        }
    }
}

// Checks that the sample configurations in the documentation are valid.
#[rstest]
#[case::manual(MANUAL.split("## The text").nth(1).and_then(|it| it.split("```yaml\n").nth(1)))]
#[case::quick_start(Some(include_str!("../docs/samples/mesh.yaml")))]
fn samples_accepted(#[case] text: Option<&str>) {
    let text = text
        .and_then(|it| it.split("```").next())
        .expect("a sample");
    assert!(
        DraftConfig::new(text).check().is_ok(),
        "{:?}",
        DraftConfig::new(text).check()
    );
}
