//! Tests of `medlarctl` as a process against a fake store: exit codes, outcomes of edits, and files.

use std::fs;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::Command;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;

use rstest::rstest;
use serde_json::Value;
use serde_json::json;

/// Fault that the fake store injects into a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    /// Closes the connection without carrying out the request.
    ClosedBeforeEffect,
    /// Carries out the request, then closes the connection without a response.
    ClosedAfterEffect,
    /// Carries out the request, then responds with status 503.
    ServerError,
}

#[derive(Default)]
struct StoreState {
    value: Option<String>,
    revision: u64,
    faults: Vec<Fault>,
}

/// A fake store that holds one key and implements the JSON gateway of the etcd v3 API.
#[derive(Clone)]
struct FakeStore {
    address: SocketAddr,
    state: Arc<Mutex<StoreState>>,
}

impl FakeStore {
    fn start() -> Self {
        let listener = TcpListener::bind("127.33.8.1:0").expect("a free port");
        let address = listener.local_addr().expect("bound");
        let state = Arc::new(Mutex::new(StoreState::default()));
        let store = Self { address, state };
        let handler = store.clone();
        thread::spawn(move || {
            listener
                .incoming()
                .for_each(|stream| handler.handle_request(&mut stream.expect("accepts")));
        });
        store
    }

    /// Sets the faults of the next requests; the last element applies to the first request.
    fn inject_faults(&self, faults: &[Fault]) {
        self.state.lock().expect("no panic").faults = faults.to_vec();
    }

    fn handle_request(&self, stream: &mut TcpStream) {
        let mut reader = BufReader::new(stream.try_clone().expect("a stream"));
        let mut path = String::new();
        reader.read_line(&mut path).expect("a line");
        let mut length = 0;
        loop {
            let mut line = String::new();
            reader.read_line(&mut line).expect("a line");
            if line.trim().is_empty() {
                break;
            }
            if let Some(value) = line.strip_prefix("content-length: ") {
                length = value.trim().parse().expect("a number");
            }
        }
        let mut body = vec![0; length];
        reader.read_exact(&mut body).expect("a body");
        let body: Value = serde_json::from_slice(&body).expect("JSON");
        let mut state = self.state.lock().expect("no panic");
        let fault = state.faults.pop().unwrap_or(Fault::None);
        if fault == Fault::ClosedBeforeEffect {
            return;
        }
        let response = if path.contains("/txn") {
            state.compare_and_swap(&body)
        } else {
            json!({ "kvs": state.kvs() })
        };
        let response = response.to_string();
        let status = if fault == Fault::ServerError {
            "503 Unavailable"
        } else {
            "200 OK"
        };
        if fault != Fault::ClosedAfterEffect {
            let head = format!(
                "HTTP/1.1 {status}\r\ncontent-length: {}\r\n\r\n",
                response.len()
            );
            // Ignores the error of a client that has closed the connection.
            let _ = stream.write_all((head + &response).as_bytes());
        }
    }
}

impl StoreState {
    fn kvs(&self) -> Vec<Value> {
        let entry = |value| json!({ "value": value, "mod_revision": self.revision.to_string() });
        self.value.iter().map(entry).collect()
    }

    fn compare_and_swap(&mut self, body: &Value) -> Value {
        let expected = body["compare"][0]["mod_revision"]
            .as_str()
            .and_then(|it| it.parse().ok());
        if expected != Some(self.revision) {
            return json!({ "succeeded": false, "responses": [{ "response_range": { "kvs": self.kvs() } }] });
        }
        self.revision += 1;
        self.value = body["success"][0]["request_put"]["value"]
            .as_str()
            .map(str::to_owned);
        json!({ "succeeded": true })
    }
}

/// Exit code and output of a finished `medlarctl` process.
struct FinishedProcess {
    exit_code: i32,
    stdout: String,
    stderr: String,
}

fn run_medlarctl(store: &FakeStore, args: &[&str]) -> FinishedProcess {
    let mut command = Command::new(env!("CARGO_BIN_EXE_medlarctl"));
    let output = command
        .args(["--store", &store.address.to_string()])
        .args(args)
        .output()
        .expect("runs");
    FinishedProcess {
        exit_code: output.status.code().expect("an exit code"),
        stdout: String::from_utf8(output.stdout).expect("text"),
        stderr: String::from_utf8(output.stderr).expect("text"),
    }
}

/// Writes a file to the folder for temporary files and returns its path. Each test uses its own names.
fn write_temp_file(name: &str, text: &str) -> String {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&path, text).expect("writes");
    path.to_str().expect("UTF-8").to_owned()
}

fn config_text(rank: u8) -> String {
    format!(
        "services:\n  - name: a\n    routes:\n      - {{method: GET, path: /x, rank: {rank}, deadline_ms: 9}}\n"
    )
}

// Checks that scripts can tell success, refusal and wrong usage apart by the exit code.
#[rstest]
#[case::no_verb(&[], 2, "run medlarctl --help")]
#[case::unknown_verb(&["aply"], 2, "aply")]
#[case::no_file(&["apply"], 2, "file")]
#[case::unknown_output_format(&["version", "--output", "xml"], 2, "neither table nor json")]
#[case::invalid_edit_id(&["settle", "12"], 2, "not an edit id")]
#[case::help(&["apply", "--help"], 0, "")]
#[case::version(&["version", "--output", "json"], 0, "")]
#[case::missing_file(&["check", "/nonexistent"], 1, "/nonexistent")]
#[case::no_node(&["nodes"], 1, "add --node ADMIN-ADDRESS")]
#[case::node_down(&["nodes", "--node", "127.33.8.1:1"], 1, "node 127.33.8.1:1")]
#[case::no_configuration(&["get"], 1, "no configuration has been accepted")]
fn exit_code(#[case] args: &[&str], #[case] expected_code: i32, #[case] message: &str) {
    let finished = run_medlarctl(&FakeStore::start(), args);
    assert_eq!(finished.exit_code, expected_code, "{}", finished.stderr);
    assert!(finished.stderr.contains(message), "{}", finished.stderr);
}

// Checks that line numbers of errors count the base line that `get -o` adds to a file.
#[test]
fn check_line_number() {
    let invalid_text = config_text(9);
    let without_base = run_medlarctl(
        &FakeStore::start(),
        &["check", &write_temp_file("check_plain.yaml", &invalid_text)],
    );
    assert!(
        without_base.stderr.contains("line 4: rank 9"),
        "{}",
        without_base.stderr
    );
    let base_line = "# medlarctl: edited from version 3 digest 00000000000000aa\n";
    let with_base = run_medlarctl(
        &FakeStore::start(),
        &[
            "check",
            &write_temp_file("check_based.yaml", &(base_line.to_owned() + &invalid_text)),
        ],
    );
    assert!(
        with_base.stderr.contains("line 5: rank 9"),
        "{}",
        with_base.stderr
    );
}

// Checks that a script can see by the exit code whether a text has findings, but is not stopped by them unless it asks
// for that, and that differences are listed against a file.
#[rstest]
#[case::lenient(&[], 0)]
#[case::strict(&["--strict"], 1)]
fn check_findings(#[case] options: &[&str], #[case] expected_code: i32) {
    let unused = "  - name: unused\n";
    let new = write_temp_file(
        &format!("check_findings_{expected_code}.yaml"),
        &(config_text(1) + unused),
    );
    let old = write_temp_file(&format!("check_old_{expected_code}.yaml"), &config_text(0));
    let args = ["check", &new, "--against", &old, "--output", "json"];
    let finished = run_medlarctl(&FakeStore::start(), &[&args, options].concat());
    assert_eq!(finished.exit_code, expected_code, "{}", finished.stderr);
    let value: Value = serde_json::from_str(&finished.stdout).expect("JSON");
    assert_eq!(value["findings"][0]["line"], 5, "{value}");
    let changes = [
        json!({"kind": "changed", "entry": "route GET /x", "values": ["rank 0 -> 1"]}),
        json!({"kind": "added", "entry": "service unused", "values": []}),
    ];
    assert_eq!(value["changes"], json!(changes));
}

// Checks that differences from the accepted configuration are not shown as none if the store has none.
#[test]
fn check_accepted_missing() {
    let file = write_temp_file("check_accepted.yaml", &config_text(1));
    let finished = run_medlarctl(&FakeStore::start(), &["check", &file, "--accepted"]);
    assert_eq!(finished.exit_code, 1);
    assert!(
        finished
            .stderr
            .contains("no configuration has been accepted"),
        "{}",
        finished.stderr
    );
}

// Checks the message and the exit code of `apply` for each fault of the store. An edit sends
// a read, a write and, if the response to the write is lost, a read that checks its outcome.
#[rstest]
#[case::no_fault(&[], 0, "accepted as version 1")]
#[case::read_server_error(&[Fault::ServerError], 0, "accepted as version 1")]
#[case::write_closed_before_effect(&[Fault::ClosedBeforeEffect, Fault::None], 0, "accepted as version 1")]
#[case::write_closed_after_effect(&[Fault::ClosedAfterEffect, Fault::None], 0, "accepted as version 1")]
#[case::write_server_error(&[Fault::ServerError, Fault::None], 0, "accepted as version 1")]
fn apply_fault(#[case] faults: &[Fault], #[case] expected_code: i32, #[case] message: &str) {
    let store = FakeStore::start();
    store.inject_faults(faults);
    let name = format!("apply_{faults:?}.yaml").replace([' ', ',', '[', ']'], "");
    let path = write_temp_file(&name, &config_text(1));
    let finished = run_medlarctl(&store, &["apply", &path]);
    assert_eq!(finished.exit_code, expected_code, "{}", finished.stderr);
    assert!(finished.stdout.contains(message), "{}", finished.stdout);
    let repeated = run_medlarctl(&store, &["apply", &path]);
    assert_eq!(
        (repeated.exit_code, repeated.stdout.as_str()),
        (0, "accepted as version 1 before; nothing to change\n")
    );
}

// Checks that the command printed for an unknown outcome determines the outcome later.
#[rstest]
#[case::written(Fault::ClosedAfterEffect, 0, "accepted as version 2")]
#[case::not_written(
    Fault::ClosedBeforeEffect,
    1,
    "not accepted: its write did not take effect"
)]
fn settle_unknown(#[case] fault: Fault, #[case] expected_code: i32, #[case] message: &str) {
    let store = FakeStore::start();
    let name = format!("settle_{fault:?}.yaml");
    assert_eq!(
        run_medlarctl(&store, &["apply", &write_temp_file(&name, &config_text(1))]).exit_code,
        0
    );
    let mut faults = vec![Fault::ClosedBeforeEffect; 100];
    faults.extend([fault, Fault::None]);
    store.inject_faults(&faults);
    let path = write_temp_file(&name, &config_text(2));
    let finished = run_medlarctl(&store, &["apply", &path, "--time-limit", "1"]);
    assert_eq!(finished.exit_code, 3, "{}", finished.stderr);
    let command = finished
        .stderr
        .split("unknown: run medlarctl ")
        .nth(1)
        .expect("a command");
    let arguments: Vec<&str> = command.split(' ').take(2).collect();
    store.inject_faults(&[]);
    let settled = run_medlarctl(&store, &arguments);
    assert_eq!(settled.exit_code, expected_code, "{}", settled.stderr);
    assert!((settled.stdout + &settled.stderr).contains(message));
}

// Checks that an edit never overwrites a concurrent edit, and that a rejected edit shows the diff to the
// accepted text.
#[test]
fn apply_concurrent_edits() {
    let store = FakeStore::start();
    assert_eq!(
        run_medlarctl(
            &store,
            &[
                "apply",
                &write_temp_file("concurrent_base.yaml", &config_text(0))
            ]
        )
        .exit_code,
        0
    );
    let (first_path, second_path) = (
        write_temp_file("concurrent_first.yaml", ""),
        write_temp_file("concurrent_second.yaml", ""),
    );
    for path in [&first_path, &second_path] {
        let finished = run_medlarctl(&store, &["get", "--force", "-o", path]);
        assert_eq!(finished.exit_code, 0, "{}", finished.stderr);
    }
    let replace_in_file = |path: &str, from: &str, to: &str| {
        let text = fs::read_to_string(path).expect("reads");
        fs::write(path, text.replace(from, to)).expect("writes");
    };
    replace_in_file(&first_path, "rank: 0", "rank: 1");
    replace_in_file(&second_path, "deadline_ms: 9", "deadline_ms: 8");
    assert_eq!(
        run_medlarctl(&store, &["apply", &first_path]).stdout,
        "accepted as version 2\n"
    );
    let rejected = run_medlarctl(&store, &["apply", &second_path]);
    assert_eq!(rejected.exit_code, 1);
    assert!(
        rejected
            .stderr
            .contains("from what you edited to version 2"),
        "{}",
        rejected.stderr
    );
    assert!(
        rejected
            .stderr
            .contains("+      - {method: GET, path: /x, rank: 1, deadline_ms: 9}"),
        "{}",
        rejected.stderr
    );
    // `apply` updates the base line of the accepted file, so that the file can be edited again.
    replace_in_file(&first_path, "rank: 1", "rank: 2");
    assert_eq!(
        run_medlarctl(&store, &["apply", &first_path]).stdout,
        "accepted as version 3\n"
    );
    // `get` without --force does not overwrite a file that contains edits.
    assert_eq!(
        run_medlarctl(&store, &["get", "-o", &second_path]).exit_code,
        1
    );
}

// Checks that a dry run shows the difference and writes nothing to the store.
#[test]
fn apply_dry_run() {
    let store = FakeStore::start();
    assert_eq!(
        run_medlarctl(
            &store,
            &["apply", &write_temp_file("dry_old.yaml", &config_text(0))]
        )
        .exit_code,
        0
    );
    let finished = run_medlarctl(
        &store,
        &[
            "apply",
            "--dry-run",
            &write_temp_file("dry_new.yaml", &config_text(1)),
        ],
    );
    assert_eq!(finished.exit_code, 0, "{}", finished.stderr);
    assert!(finished.stdout.contains("rank: 1"), "{}", finished.stdout);
    assert_eq!(store.state.lock().expect("no panic").revision, 1);
}

// Checks that `apply` reports exactly one of many concurrent edits as accepted, also when the store
// injects faults.
#[test]
fn apply_many_concurrent_edits() {
    let store = FakeStore::start();
    let base_path = write_temp_file("many_base.yaml", &config_text(0));
    assert_eq!(run_medlarctl(&store, &["apply", &base_path]).exit_code, 0);
    store.inject_faults(&[
        Fault::ClosedAfterEffect,
        Fault::None,
        Fault::ClosedBeforeEffect,
        Fault::ClosedAfterEffect,
        Fault::None,
        Fault::ServerError,
    ]);
    let threads: Vec<_> = (0..8_u32)
        .map(|index| {
            let store = store.clone();
            let new_text =
                config_text(0).replace("deadline_ms: 9", &format!("deadline_ms: {}", 100 + index));
            let path = write_temp_file(&format!("many_{index}.yaml"), &new_text);
            thread::spawn(move || run_medlarctl(&store, &["apply", "--base", "1", &path]))
        })
        .collect();
    let finished: Vec<FinishedProcess> = threads
        .into_iter()
        .map(|it| it.join().expect("no panic"))
        .collect();
    let accepted = finished.iter().filter(|it| it.exit_code == 0).count();
    let rejected = finished
        .iter()
        .filter(|it| it.exit_code == 1 && it.stderr.contains("version 2 was accepted meanwhile"));
    assert_eq!((accepted, rejected.count()), (1, 7));
    assert_eq!(store.state.lock().expect("no panic").revision, 2);
}
