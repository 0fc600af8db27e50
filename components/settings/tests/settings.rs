//! Tests of settings files: refused values, printed settings and the operators' manual.

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

/// Error message for a settings file that must be refused.
fn refuse(text: &str) -> String {
    match parse(Path::new("node.yaml"), text) {
        Err(error @ Error::Invalid { .. }) => error.to_string(),
        other => panic!("{other:?}"),
    }
}

// Checks that an invalid setting is refused with its line and key.
#[rstest]
#[case::unknown_field(
    "domain: huesca",
    "domian: huesca",
    "node.yaml: line 2: unknown field \"domian\"; did you mean \"domain\"?"
)]
#[case::missing_field("domain: huesca\n", "", "field \"domain\" is missing")]
#[case::empty_name(
    "domain: huesca",
    "domain: ''",
    "line 2: domain: \"\" is not a valid name"
)]
#[case::unspecified(
    "peer: 127.33.0.1",
    "peer: 0.0.0.0",
    "line 6: listen.peer: 0.0.0.0:8002 means every address"
)]
#[case::unspecified_ipv6(
    "peer: 127.33.0.1:8002",
    "peer: '[::]:8002'",
    "line 6: listen.peer: [::]:8002 means every address"
)]
#[case::unspecified_ipv4_mapped(
    "peer: 127.33.0.1:8002",
    "peer: '[::ffff:0.0.0.0]:8002'",
    "line 6: listen.peer: 0.0.0.0:8002 means every address"
)]
#[case::broadcast(
    "peer: 127.33.0.1",
    "peer: 255.255.255.255",
    "line 6: listen.peer: 255.255.255.255:8002 is the broadcast address"
)]
#[case::duplicate_ipv4_mapped(
    "admin: 127.33.0.1:8003",
    "admin: '[::ffff:127.33.0.1]:8000'",
    "line 7: listen.admin: 127.33.0.1:8000 is already used by listen.callers"
)]
#[case::host_name(
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
    "line 7: listen.admin: 127.33.0.1:8000 is already used by listen.callers"
)]
#[case::upstream_is_own_address(
    "upstream: 127.33.0.1:9000",
    "upstream: 127.33.0.1:8001",
    "line 8: upstream: 127.33.0.1:8001 is already used by listen.requests"
)]
#[case::contact_twice(
    "127.33.0.2:8002",
    "127.33.0.1:8002",
    "line 9: contacts: 127.33.0.1:8002 is listed twice"
)]
#[case::with_unit(
    "store:",
    "drain_limit_ms: 30s\nstore:",
    "line 10: drain_limit_ms: \"30s\" is not usable; write a whole number of milliseconds from 1 to 600000"
)]
#[case::above_maximum(
    "store:",
    "traffic_threads: 65\nstore:",
    "line 10: traffic_threads: \"65\" is not usable; write a whole number of threads from 1 to 64"
)]
#[case::grace_with_unit(
    "store:",
    "stop_grace_s: 6s\nstore:",
    "line 10: stop_grace_s: \"6s\" is not usable; write a number of seconds from 1 to 600, without a unit"
)]
#[case::grace_too_short(
    "store:",
    "stop_grace_s: 0.5\nstore:",
    "line 10: stop_grace_s: \"0.5\" is not usable"
)]
#[case::grace_not_finite(
    "store:",
    "stop_grace_s: .nan\nstore:",
    "line 10: stop_grace_s: \".nan\" is not usable"
)]
#[case::grace_infinite(
    "store:",
    "stop_grace_s: inf\nstore:",
    "line 10: stop_grace_s: \"inf\" is not usable; write a number of seconds from 1 to 600"
)]
#[case::grace_negative(
    "store:",
    "stop_grace_s: -6\nstore:",
    "line 10: stop_grace_s: \"-6\" is not usable; write a number of seconds from 1 to 600"
)]
#[case::grace_and_limit(
    "store:",
    "stop_grace_s: 6\ndrain_limit_ms: 5000\nstore:",
    "line 10: stop_grace_s: is set together with drain_limit_ms; remove one"
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
fn parse_refused(#[case] valid: &str, #[case] invalid: &str, #[case] expected: &str) {
    assert!(VALID.contains(valid));
    let message = refuse(&VALID.replacen(valid, invalid, 1));
    assert!(message.contains(expected), "{message}");
}

// Checks that all problems of a file are reported at once, not one at each start of the node.
#[test]
fn parse_all_problems() {
    let text = VALID
        .replace("huesca", "'?'")
        .replace("127.33.0.1:8003", "any");
    assert_eq!(refuse(&text).lines().count(), 2);
}

// Checks that a node reads printed settings back as the same settings.
#[test]
fn to_yaml_round_trip() {
    let settings = parse(Path::new("node.yaml"), VALID).expect("settings are valid");
    let printed = to_yaml(&settings);
    let reparsed = parse(Path::new("printed"), &printed).expect(&printed);
    assert_eq!(settings, reparsed);
    assert_eq!(
        (reparsed.traffic_threads, reparsed.drain_limit_ms),
        (1, 30_000)
    );
}

/// Guards against a process that is killed in its drain because the supervisor's grace time is not the
/// one that a fixed limit was written for.
#[rstest]
#[case::whole("6", 5_500)]
#[case::long("\"10\"", 9_500)]
#[case::fraction("2.5", 2_000)]
fn parse_stop_grace(#[case] grace: &str, #[case] drain_limit_ms: u64) {
    let text = VALID.replace("store:", &format!("stop_grace_s: {grace}\nstore:"));
    let settings = parse(Path::new("node.yaml"), &text).expect("settings are valid");
    assert_eq!(settings.drain_limit_ms, drain_limit_ms);
}

/// Guards against nodes that all end at their start because their supervisor states no grace time: the default
/// holds, or the limit that is set beside it.
#[rstest]
#[case::empty("stop_grace_s: \"\"", 30_000)]
#[case::null("stop_grace_s:", 30_000)]
#[case::switched_off("stop_grace_s: \"false\"", 30_000)]
#[case::switched_on("stop_grace_s: true", 30_000)]
#[case::beside_limit("stop_grace_s: \"\"\ndrain_limit_ms: 5000", 5_000)]
#[case::empty_limit("drain_limit_ms: \"\"", 30_000)]
fn parse_stop_grace_absent(#[case] line: &str, #[case] drain_limit_ms: u64) {
    let text = VALID.replace("store:", &format!("{line}\nstore:"));
    let settings = parse(Path::new("node.yaml"), &text).expect("settings are valid");
    assert_eq!(settings.drain_limit_ms, drain_limit_ms);
}

/// Guards against nodes that end at their start because the environment names no service, or no failure
/// domains beside their own.
#[rstest]
#[case::empty("service: \"\"\ndomains: [ ]")]
#[case::null("service:\ndomains: []")]
fn parse_empty(#[case] lines: &str) {
    let text = VALID.replace("store:", &format!("{lines}\nstore:"));
    let settings = parse(Path::new("node.yaml"), &text).expect("settings are valid");
    assert_eq!((settings.service, settings.domains), (None, Vec::new()));
}

/// Appends the keys of the settings, as paths in the file, with their values. The value of a plug-in
/// is its name.
fn flatten(prefix: &str, value: &serde_json::Value, keys: &mut Vec<(String, String)>) {
    match value.as_object() {
        Some(fields) if !fields.contains_key("plugin") => {
            for (name, value) in fields {
                flatten(&format!("{prefix}{name}."), value, keys);
            }
        }
        plugin_config => {
            let value = plugin_config.map_or(value, |fields| &fields["plugin"]);
            keys.push((prefix.trim_end_matches('.').to_owned(), value.to_string()));
        }
    }
}

/// Keys that have no default.
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

// Checks that the manual lists each setting with its default.
#[test]
fn settings_documented() {
    let manual = include_str!("../../../docs/OPERATIONS.md");
    let text = VALID.replace("contacts: [127.33.0.1:8002, 127.33.0.2:8002]\n", "");
    let settings = parse(Path::new("node.yaml"), &text).expect("settings are valid");
    let mut keys = Vec::new();
    flatten(
        "",
        &serde_json::to_value(&settings).expect("settings can be serialized"),
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
    // Sets `drain_limit_ms`, so that it is no value of its own.
    expected.push(("stop_grace_s".to_owned(), "none".to_owned()));
    expected.sort();
    documented.sort();
    assert_eq!(documented, expected);
}

// Checks that the sample settings file of the manual is valid.
#[test]
fn parse_manual_sample() {
    let manual = include_str!("../../../docs/OPERATIONS.md");
    let settings = manual
        .split("## Settings")
        .nth(1)
        .expect("manual has the section");
    let sample = settings
        .split("```yaml\n")
        .nth(1)
        .and_then(|it| it.split("```").next());
    parse(Path::new("sample"), sample.expect("section has a sample")).expect("sample is valid");
}
