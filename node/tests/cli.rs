//! Runs the `medlar-node` binary and checks its exit codes and messages.

use std::fs;
use std::io::Write;
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::Command;
use std::process::Stdio;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use rstest::rstest;

const SETTINGS: &str = "\
instance: i1
domain: huesca
listen: {callers: '127.33.7.1:1', requests: '127.33.7.1:2', peer: '127.33.7.1:3', admin: '127.33.7.1:4'}
upstream: 127.33.7.1:5
store: {plugin: etcd-json, params: [{name: address, value: '127.33.7.9:2379'}]}
";

fn run_node(args: &[&str]) -> (i32, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_medlar-node"));
    let output = command.args(args).output().expect("medlar-node runs");
    let text = [output.stdout, output.stderr].concat();
    (
        output.status.code().expect("the process exits with a code"),
        String::from_utf8(text).expect("the output is UTF-8"),
    )
}

// Checks that invalid usage and refused settings have different exit codes.
#[rstest]
#[case::nothing(&[], 2, "--settings FILE is required")]
#[case::unknown(&["--setings", "x"], 2, "Unrecognized argument: --setings")]
#[case::missing(&["--settings", "/nonexistent"], 1, "/nonexistent")]
#[case::help(&["--help"], 0, "SIGTERM")]
#[case::version(&["--version"], 0, "medlar-node ")]
#[case::plugins(&["--plugins"], 0, "retry: budget, none")]
fn exit_code(#[case] args: &[&str], #[case] code: i32, #[case] message: &str) {
    let (actual_code, text) = run_node(args);
    assert_eq!(actual_code, code, "{text}");
    assert!(text.contains(message), "{text}");
}

// Checks that --check and --print-settings refuse the settings that a start would refuse.
#[rstest]
#[case::valid("", 0, "settings are valid")]
#[case::plugin(
    "retry: {plugin: bugdet}\n",
    1,
    "no retry plug-in is named \"bugdet\"; registered: budget, none"
)]
#[case::param(
    "balance: {plugin: p2c, params: [{name: fast, value: 'yes'}]}\n",
    1,
    "plug-in param fast"
)]
#[case::key(
    "balanse: {plugin: p2c}\n",
    1,
    "line 6: unknown field \"balanse\"; did you mean \"balance\"?"
)]
fn check_settings(#[case] extra_settings: &str, #[case] code: i32, #[case] message: &str) {
    let name = format!("settings_{}.yaml", extra_settings.len());
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&path, SETTINGS.to_owned() + extra_settings).expect("the settings file is written");
    let path = path.to_str().expect("the path is UTF-8");
    for flag in ["--check", "--print-settings"] {
        let (actual_code, text) = run_node(&["--settings", path, flag]);
        assert_eq!(actual_code, code, "{text}");
        assert!(
            text.contains(message) || (flag, code) == ("--print-settings", 0),
            "{text}"
        );
    }
}

/// Sends a POST request without a body as soon as a connection to `address` succeeds.
fn post(address: &str, path: &str) {
    let start = Instant::now();
    loop {
        if let Ok(mut stream) = TcpStream::connect(address) {
            let head = format!("POST {path} HTTP/1.1\r\nhost: a\r\ncontent-length: 0\r\n\r\n");
            stream
                .write_all(head.as_bytes())
                .expect("the request is sent");
            return;
        }
        assert!(
            start.elapsed() < Duration::from_secs(10),
            "nothing listens on {address}"
        );
        thread::sleep(Duration::from_millis(20));
    }
}

// Checks that a drain ends the process although no upstream has announced itself.
#[test]
fn drain_without_upstream() {
    let text = SETTINGS.replace("127.33.7.1", "127.33.7.2");
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("drain.yaml");
    fs::write(&path, text).expect("the settings file is written");
    let mut command = Command::new(env!("CARGO_BIN_EXE_medlar-node"));
    let mut child = command
        .arg("--settings")
        .arg(&path)
        .stderr(Stdio::null())
        .spawn()
        .expect("medlar-node starts");
    post("127.33.7.2:4", "/drain");
    let start = Instant::now();
    let exit_status = loop {
        match child.try_wait().expect("the status is available") {
            None if start.elapsed() < Duration::from_secs(5) => {
                thread::sleep(Duration::from_millis(20));
            }
            exit_status => break exit_status,
        }
    };
    child.kill().expect("the process is killed");
    child.wait().expect("the process ends");
    assert!(
        exit_status.is_some_and(|status| status.success()),
        "{exit_status:?}"
    );
}
