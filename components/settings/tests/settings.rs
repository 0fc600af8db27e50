//! Settings files: what is refused, and that printed settings can be read again.

use std::path::Path;

use rstest::rstest;

use settings::Error;
use settings::parse;
use settings::to_yaml;

const VALID: &str = "\
instance: i1
domain: huesca
listen:
  callers: 127.33.0.1:8000
  requests: 127.33.0.1:8001
  peer: 127.33.0.1:8002
  admin: 127.33.0.1:8003
upstream: 127.33.0.1:9000
contacts: [127.33.0.1:8002, 127.33.0.2:8002]
store:
  plugin: etcd-json
  params: [{name: address, value: 127.33.0.9:2379}]
";

fn refuse(text: &str) -> String {
    match parse(Path::new("node.yaml"), text) {
        Err(error @ Error::Invalid { .. }) => error.to_string(),
        other => panic!("{other:?}"),
    }
}

// Guards against a setting that is taken for another one, or refused without its place.
#[rstest]
#[case::unknown(
    "domain: huesca",
    "domian: huesca",
    "node.yaml: line 2: unknown field \"domian\"; did you mean \"domain\"?"
)]
#[case::missing("domain: huesca\n", "", "field \"domain\" is missing")]
#[case::empty("domain: huesca", "domain: ''", "line 2: domain: \"\" is not a name")]
#[case::unspecified(
    "peer: 127.33.0.1",
    "peer: 0.0.0.0",
    "line 6: listen.peer: 0.0.0.0:8002 means every address"
)]
#[case::unspecified6(
    "peer: 127.33.0.1:8002",
    "peer: '[::]:8002'",
    "line 6: listen.peer: [::]:8002 means every address"
)]
#[case::mapped(
    "peer: 127.33.0.1:8002",
    "peer: '[::ffff:0.0.0.0]:8002'",
    "line 6: listen.peer: 0.0.0.0:8002 means every address"
)]
#[case::broadcast(
    "peer: 127.33.0.1",
    "peer: 255.255.255.255",
    "line 6: listen.peer: 255.255.255.255:8002 is the broadcast address"
)]
#[case::mapped_duplicate(
    "admin: 127.33.0.1:8003",
    "admin: '[::ffff:127.33.0.1]:8000'",
    "line 7: listen.admin: 127.33.0.1:8000 is also listen.callers"
)]
#[case::name(
    "upstream: 127.33.0.1:9000",
    "upstream: localhost:9000",
    "line 8: upstream: \"localhost:9000\" is not an IP address with a port"
)]
#[case::no_port(
    "upstream: 127.33.0.1:9000",
    "upstream: 127.33.0.1",
    "line 8: upstream: \"127.33.0.1\" is not an IP address"
)]
#[case::port_zero(
    "upstream: 127.33.0.1:9000",
    "upstream: 127.33.0.1:0",
    "line 8: upstream: 127.33.0.1:0 has no port"
)]
#[case::duplicate(
    "admin: 127.33.0.1:8003",
    "admin: 127.33.0.1:8000",
    "line 7: listen.admin: 127.33.0.1:8000 is also listen.callers"
)]
#[case::own_upstream(
    "upstream: 127.33.0.1:9000",
    "upstream: 127.33.0.1:8001",
    "line 8: upstream: 127.33.0.1:8001 is also listen.requests"
)]
#[case::contact_twice(
    "127.33.0.2:8002",
    "127.33.0.1:8002",
    "line 9: contacts: 127.33.0.1:8002 is listed twice"
)]
#[case::unit(
    "store:",
    "drain_limit_ms: 30s\nstore:",
    "line 10: drain_limit_ms: \"30s\" is not usable; write a whole number of milliseconds from 1 to 600000"
)]
#[case::range(
    "store:",
    "traffic_threads: 65\nstore:",
    "line 10: traffic_threads: \"65\" is not usable; write a whole number of threads from 1 to 64"
)]
#[case::zero(
    "store:",
    "drain_limit_ms: 0\nstore:",
    "line 10: drain_limit_ms: \"0\""
)]
#[case::negative(
    "store:",
    "drain_limit_ms: -1\nstore:",
    "line 10: drain_limit_ms: \"-1\""
)]
fn parse_refused(#[case] valid: &str, #[case] wrong: &str, #[case] expected: &str) {
    assert!(VALID.contains(valid));
    let message = refuse(&VALID.replacen(valid, wrong, 1));
    assert!(message.contains(expected), "{message}");
}

// Guards against problems that show up only one start after the other.
#[test]
fn parse_all_problems() {
    let text = VALID
        .replace("huesca", "'?'")
        .replace("127.33.0.1:8003", "any");
    assert_eq!(refuse(&text).lines().count(), 2);
}

// Guards against printed settings that a node would refuse or read differently.
#[test]
fn print_round_trip() {
    let settings = parse(Path::new("node.yaml"), VALID).expect("valid");
    let printed = to_yaml(&settings);
    let again = parse(Path::new("printed"), &printed).expect(&printed);
    assert_eq!(settings, again);
    assert_eq!((again.traffic_threads, again.drain_limit_ms), (1, 30_000));
}

/// Keys of the settings as operators write them, and their values.
fn flatten(prefix: &str, value: &serde_json::Value, keys: &mut Vec<(String, String)>) {
    match value.as_object() {
        Some(fields) if !fields.contains_key("plugin") => {
            for (name, value) in fields {
                flatten(&format!("{prefix}{name}."), value, keys);
            }
        }
        plugged => {
            let value = plugged.map_or(value, |fields| &fields["plugin"]);
            keys.push((prefix.trim_end_matches('.').to_owned(), value.to_string()));
        }
    }
}

/// Keys without a default.
const REQUIRED: [&str; 8] = [
    "instance",
    "domain",
    "listen.callers",
    "listen.requests",
    "listen.peer",
    "listen.admin",
    "upstream",
    "store",
];

// Guards against a setting that the manual lacks, or whose default it states wrongly.
#[test]
fn settings_documented() {
    let manual = include_str!("../../../docs/OPERATIONS.md");
    let text = VALID.replace("contacts: [127.33.0.1:8002, 127.33.0.2:8002]\n", "");
    let settings = parse(Path::new("node.yaml"), &text).expect("valid");
    let mut keys = Vec::new();
    flatten(
        "",
        &serde_json::to_value(&settings).expect("plain data"),
        &mut keys,
    );
    let mut expected: Vec<(String, String)> = keys
        .into_iter()
        .map(|(key, value)| match value.trim_matches('"') {
            _ if REQUIRED.contains(&key.as_str()) => (key, "required".to_owned()),
            "[]" => (key, "none".to_owned()),
            default => (key, default.to_owned()),
        })
        .collect();
    let section = manual
        .split("## Settings")
        .nth(1)
        .and_then(|it| it.split("\n## ").next());
    let mut documented: Vec<(String, String)> = section
        .unwrap_or_default()
        .lines()
        .filter_map(|line| line.strip_prefix("| `"))
        .map(|line| {
            line.split('|')
                .map(|cell| cell.trim().trim_matches('`'))
                .collect::<Vec<_>>()
        })
        .map(|cells| (cells[0].to_owned(), cells[2].to_owned()))
        .collect();
    expected.sort();
    documented.sort();
    assert_eq!(documented, expected);
}

// Guards against the sample of the manual being refused.
#[test]
fn parse_sample() {
    let manual = include_str!("../../../docs/OPERATIONS.md");
    let settings = manual.split("## Settings").nth(1).expect("a section");
    let sample = settings
        .split("```yaml\n")
        .nth(1)
        .and_then(|it| it.split("```").next());
    parse(Path::new("sample"), sample.expect("a sample")).expect("valid");
}
