//! The documents against the code: what one names, the other has.

use std::fs;
use std::path::Path;
use std::process::Command;

use rstest::rstest;

use config::DraftConfig;
use errors::Reason;

const MANUAL: &str = include_str!("../docs/OPERATIONS.md");
const METRICS_SOURCE: &str = include_str!("../components/telemetry/src/metrics.rs");

/// Text of the rows of the table in a section of the manual, by first cell, sorted.
fn rows(section: &str) -> Vec<(String, String)> {
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

/// First cells of the table in a section of the manual, sorted.
fn first_cells(section: &str) -> Vec<String> {
    rows(section).into_iter().map(|(name, _)| name).collect()
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
    let names = METRICS_SOURCE
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

/// Text of all source files below a folder.
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

/// Names of the fields in the arguments of a log macro up to its message.
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

/// Events that the programs log, with the fields of each; one event can have several lines.
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

// Guards against log events and fields that operators meet and cannot look up, or look up and never
// meet.
#[test]
fn events_documented() {
    let documented = rows("Logs");
    let logged = logged_events();
    let mut names: Vec<&str> = logged.iter().map(|(name, _)| name.as_str()).collect();
    names.dedup();
    assert_eq!(first_cells("Logs"), names);
    for (name, row) in &documented {
        let mut fields: Vec<&String> = logged
            .iter()
            .filter(|(known, _)| known == name)
            .flat_map(|(_, fields)| fields)
            .filter(|field| !["", "held", "request"].contains(&field.as_str()))
            .collect();
        fields.sort_unstable();
        fields.dedup();
        let cell = row.rsplit(" | ").next().unwrap_or_default();
        let mut shown: Vec<&str> = cell.split('`').skip(1).step_by(2).collect();
        shown.sort_unstable();
        assert_eq!(shown, fields, "fields of {name}");
    }
}

// Guards against stories of failed requests whose lines the programs no longer write.
#[test]
fn stories_documented() {
    let logged = logged_events();
    let stories = MANUAL
        .split("### From a failed request to its cause\n")
        .nth(1);
    let stories = stories.and_then(|it| it.split("\n## ").next());
    let lines = stories.expect("the section exists").lines();
    let lines: Vec<&str> = lines.filter(|line| line.starts_with("    ")).collect();
    assert!(lines.len() >= 9, "three stories: {lines:?}");
    for line in lines.iter().filter(|line| !line.contains("  MS ")) {
        let mut cells = line.split_whitespace().skip(2);
        let event = cells.next().expect("an event");
        let known = logged.iter().filter(|(name, _)| name == event);
        let known: Vec<&String> = known.flat_map(|(_, fields)| fields).collect();
        assert!(!known.is_empty(), "{event} is not logged");
        let shown = cells.filter_map(|cell| cell.split_once('='));
        for (field, _) in shown.filter(|(field, _)| !field.contains('"')) {
            assert!(
                known.iter().any(|it| *it == field),
                "{event} has no {field}"
            );
        }
    }
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
        DraftConfig::new(text).check().is_ok(),
        "{:?}",
        DraftConfig::new(text).check()
    );
}
