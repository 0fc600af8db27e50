//! The story of a request from the logs of several nodes.

use std::fs;
use std::io::Write;
use std::path::PathBuf;
use std::process::Command;
use std::process::Output;
use std::process::Stdio;

use rstest::rstest;
use serde_json::Value;
use serde_json::json;

/// Lines of the node that took the request; the first one has text of a log collector before it.
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
    format!("9.1 entry-1: {}\nnot a line of ours\n", lines.join("\n"))
}

/// Lines of the node that owns the upstream, and of one that has nothing to do with the request.
fn owner_log() -> String {
    let lines = [
        json!({"time_ms": 20_020, "instance": "owner-1", "event": "dispatched", "request": "r1"}),
        json!({"time_ms": 20_030, "instance": "owner-1", "event": "finished", "request": "r1", "status": 502}),
        json!({"time_ms": 19_000, "instance": "other-1", "event": "configuration"}),
        json!({"time_ms": 19_000, "instance": "other-1", "event": "ejected", "node": "aa"}),
    ];
    lines.map(|line| line.to_string()).join("\n")
}

fn file(name: &str, text: &str) -> String {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&path, text).expect("writes");
    path.to_str().expect("UTF-8").to_owned()
}

fn trace(args: &[&str], input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_medlarctl"))
        .arg("trace")
        .args(args)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("runs");
    let mut stdin = child.stdin.take().expect("a pipe");
    // A run that refuses its arguments ends before it reads.
    let _ = stdin.write_all(input.as_bytes());
    drop(stdin);
    child.wait_with_output().expect("ends")
}

// Guards against a story that leaves out a node's lines, or what befell the nodes before, and against
// one that shows other requests and nodes.
#[rstest]
#[case::all(&[], &["ejected", "configuration", "retried", "forwarded", "dispatched", "finished"])]
#[case::short(&["--around-s", "1"], &["retried", "forwarded", "dispatched", "finished"])]
fn trace_story(#[case] options: &[&str], #[case] events: &[&str]) {
    let name = format!("trace_owner_{}.log", options.len());
    let owner = file(&name, &owner_log());
    let entry = file(&name.replace("owner", "entry"), &entry_log());
    let args = ["--output", "json", "r1", owner.as_str(), entry.as_str()];
    let ended = trace(&[&args, options].concat(), "");
    assert!(ended.status.success());
    let story: Vec<Value> = serde_json::from_slice(&ended.stdout).expect("JSON");
    let shown: Vec<&str> = story.iter().filter_map(|it| it["event"].as_str()).collect();
    assert_eq!(shown, events);
}

// Guards against times and fields of the table that do not belong to the line.
#[test]
fn trace_table() {
    let ended = trace(&["r1"], &owner_log());
    let table = String::from_utf8(ended.stdout).expect("text");
    let lines: Vec<&str> = table.lines().collect();
    assert_eq!(lines.len(), 3, "{table}");
    assert!(lines[2].starts_with("10 ") && lines[2].ends_with("status=502"));
}

// Guards against scripts that take a request without lines for one without trouble.
#[rstest]
#[case::no_request(&[], 2, "request")]
#[case::unknown(&["r9"], 1, "no line names request r9")]
#[case::missing(&["r1", "/nonexistent"], 1, "/nonexistent cannot be read")]
fn trace_refused(#[case] args: &[&str], #[case] code: i32, #[case] message: &str) {
    let ended = trace(args, &entry_log());
    let error = String::from_utf8(ended.stderr).expect("text");
    assert_eq!(ended.status.code(), Some(code), "{error}");
    assert!(error.contains(message), "{error}");
}
