//! The node's command line as a process: exit codes and checks before anything is opened.

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

fn node(args: &[&str]) -> (i32, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_medlar-node"));
    let output = command.args(args).output().expect("runs");
    let text = [output.stdout, output.stderr].concat();
    (
        output.status.code().expect("an exit code"),
        String::from_utf8(text).expect("text"),
    )
}

// Guards against scripts that take wrong usage for refused settings.
#[rstest]
#[case::nothing(&[], 2, "--settings FILE is required")]
#[case::unknown(&["--setings", "x"], 2, "Unrecognized argument: --setings")]
#[case::missing(&["--settings", "/nonexistent"], 1, "/nonexistent")]
#[case::help(&["--help"], 0, "SIGTERM")]
#[case::version(&["--version"], 0, "medlar-node ")]
#[case::plugins(&["--plugins"], 0, "retry: budget, none")]
fn exit_code(#[case] args: &[&str], #[case] code: i32, #[case] message: &str) {
    let (found, text) = node(args);
    assert_eq!(found, code, "{text}");
    assert!(text.contains(message), "{text}");
}

// Guards against settings that pass the check and fail at the start.
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
fn check_settings(#[case] added: &str, #[case] code: i32, #[case] message: &str) {
    let name = format!("settings_{}.yaml", added.len());
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&path, SETTINGS.to_owned() + added).expect("writes");
    let path = path.to_str().expect("UTF-8");
    for flag in ["--check", "--print-settings"] {
        let (found, text) = node(&["--settings", path, flag]);
        assert_eq!(found, code, "{text}");
        assert!(
            text.contains(message) || (flag, code) == ("--print-settings", 0),
            "{text}"
        );
    }
}

/// Sends a request without body to an address, as soon as something listens there.
fn post(address: &str, path: &str) {
    let start = Instant::now();
    loop {
        if let Ok(mut stream) = TcpStream::connect(address) {
            let head = format!("POST {path} HTTP/1.1\r\nhost: a\r\ncontent-length: 0\r\n\r\n");
            stream.write_all(head.as_bytes()).expect("sends");
            return;
        }
        assert!(start.elapsed() < Duration::from_secs(10), "nothing listens");
        thread::sleep(Duration::from_millis(20));
    }
}

// Guards against a drain that is accepted and never ends, because no upstream has announced itself.
#[test]
fn drain_without_upstream() {
    let text = SETTINGS.replace("127.33.7.1", "127.33.7.2");
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("drain.yaml");
    fs::write(&path, text).expect("writes");
    let mut command = Command::new(env!("CARGO_BIN_EXE_medlar-node"));
    let mut child = command
        .arg("--settings")
        .arg(&path)
        .stderr(Stdio::null())
        .spawn()
        .expect("starts");
    post("127.33.7.2:4", "/drain");
    let start = Instant::now();
    let ended = loop {
        match child.try_wait().expect("waits") {
            None if start.elapsed() < Duration::from_secs(5) => {
                thread::sleep(Duration::from_millis(20));
            }
            ended => break ended,
        }
    };
    child.kill().expect("ends");
    child.wait().expect("ends");
    assert!(ended.is_some_and(|status| status.success()), "{ended:?}");
}
