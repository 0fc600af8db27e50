//! Tests of `medlarctl trace` on log files of several nodes.

use std::fs;
use std::io::Write;
use std::path::PathBuf;
use std::process::Command;
use std::process::Output;
use std::process::Stdio;

use rstest::rstest;
use serde_json::Value;
use serde_json::json;

/// Log of the entry node of the request `r1`. The first line starts with text from a log collector.
fn entry_log() -> String {
    let line = |time_ms: u64, event: &str, request: &str, node: &str| {
        json!({
            "time_ms": time_ms, "instance": "entry-1", "event": event, "request": request,
            "node": node, "message": "text", "level": "INFO",
        })
    };
    let lines = [
        line(20_000, "retried", "r1", "aa"),
        line(20_010, "forwarded", "r1", "bb"),
        line(20_005, "forwarded", "r2", "bb"),
        line(15_000, "ejected", "", "aa"),
        line(15_001, "ejected", "", "cc"),
        line(1_000, "ejected", "", "aa"),
        line(16_000, "configuration", "", ""),
    ];
    let lines: Vec<String> = lines.iter().map(Value::to_string).collect();
    format!(
        "9.1 entry-1: {}\na line of another program\n",
        lines.join("\n")
    )
}

/// Log of the owner of the request `r1`, and lines of an instance that is not involved in the request.
fn owner_log() -> String {
    let lines = [
        json!({"time_ms": 20_020, "instance": "owner-1", "event": "dispatched", "request": "r1"}),
        json!({"time_ms": 20_030, "instance": "owner-1", "event": "finished", "request": "r1", "status": 502}),
        json!({"time_ms": 19_000, "instance": "other-1", "event": "configuration"}),
        json!({"time_ms": 19_000, "instance": "other-1", "event": "ejected", "node": "aa"}),
    ];
    lines.map(|line| line.to_string()).join("\n")
}

fn write_temp_file(name: &str, text: &str) -> String {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&path, text).expect("writes");
    path.to_str().expect("UTF-8").to_owned()
}

fn run_trace(args: &[&str], input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_medlarctl"))
        .arg("trace")
        .args(args)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("runs");
    let mut stdin = child.stdin.take().expect("a pipe");
    // Ignores the error of a process that rejects its arguments and exits before it reads its input.
    let _ = stdin.write_all(input.as_bytes());
    drop(stdin);
    child.wait_with_output().expect("ends")
}

// Checks that the timeline contains the lines of all nodes about the request and the earlier events of
// these nodes, and nothing about other requests and nodes.
#[rstest]
#[case::all(&[], &["ejected", "configuration", "retried", "forwarded", "dispatched", "finished"])]
#[case::short(&["--around-s", "1"], &["retried", "forwarded", "dispatched", "finished"])]
fn trace_timeline(#[case] options: &[&str], #[case] events: &[&str]) {
    let name = format!("trace_owner_{}.log", options.len());
    let owner = write_temp_file(&name, &owner_log());
    let entry = write_temp_file(&name.replace("owner", "entry"), &entry_log());
    let args = ["--output", "json", "r1", owner.as_str(), entry.as_str()];
    let output = run_trace(&[&args, options].concat(), "");
    assert!(output.status.success());
    let timeline: Vec<Value> = serde_json::from_slice(&output.stdout).expect("JSON");
    let shown_events: Vec<&str> = timeline
        .iter()
        .filter_map(|it| it["event"].as_str())
        .collect();
    assert_eq!(shown_events, events);
}

// Checks that each row of the table shows the time offset and the fields of its own line.
#[test]
fn trace_table() {
    let output = run_trace(&["r1"], &owner_log());
    let table = String::from_utf8(output.stdout).expect("text");
    let lines: Vec<&str> = table.lines().collect();
    assert_eq!(lines.len(), 3, "{table}");
    assert!(lines[2].starts_with("10 ") && lines[2].ends_with("status=502"));
}

// Checks that a request without log lines is reported as a failure, so that scripts do not take it for a
// successful request.
#[rstest]
#[case::no_request(&[], 2, "request")]
#[case::unknown(&["r9"], 1, "no line names request r9")]
#[case::missing(&["r1", "/nonexistent"], 1, "/nonexistent cannot be read")]
fn trace_refused(#[case] args: &[&str], #[case] expected_code: i32, #[case] message: &str) {
    let output = run_trace(args, &entry_log());
    let error = String::from_utf8(output.stderr).expect("text");
    assert_eq!(output.status.code(), Some(expected_code), "{error}");
    assert!(error.contains(message), "{error}");
}
