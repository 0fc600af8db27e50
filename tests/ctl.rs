//! The operators' command line as a process: exit codes, outcomes, files.

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

/// What the fake store does with one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    /// Closes the connection before the call takes effect.
    LostBefore,
    /// Closes the connection after the call took effect.
    LostAfter,
    /// Answers with a server error.
    Error,
}

#[derive(Default)]
struct State {
    value: Option<String>,
    revision: u64,
    faults: Vec<Fault>,
}

/// A store of one key in the JSON form of the etcd v3 protocol.
#[derive(Clone)]
struct Fake {
    address: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl Fake {
    fn start() -> Self {
        let listener = TcpListener::bind("127.33.8.1:0").expect("a free port");
        let address = listener.local_addr().expect("bound");
        let state = Arc::new(Mutex::new(State::default()));
        let fake = Self { address, state };
        let server = fake.clone();
        thread::spawn(move || {
            listener
                .incoming()
                .for_each(|stream| server.answer(&mut stream.expect("accepts")));
        });
        fake
    }

    /// Lets the coming calls fail, the last of them first.
    fn fail(&self, faults: &[Fault]) {
        self.state.lock().expect("no panic").faults = faults.to_vec();
    }

    fn answer(&self, stream: &mut TcpStream) {
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
        if fault == Fault::LostBefore {
            return;
        }
        let answer = if path.contains("/txn") {
            state.swap(&body)
        } else {
            json!({ "kvs": state.kvs() })
        };
        let answer = answer.to_string();
        let status = if fault == Fault::Error {
            "503 Unavailable"
        } else {
            "200 OK"
        };
        if fault != Fault::LostAfter {
            let head = format!(
                "HTTP/1.1 {status}\r\ncontent-length: {}\r\n\r\n",
                answer.len()
            );
            // The other end may have left.
            let _ = stream.write_all((head + &answer).as_bytes());
        }
    }
}

impl State {
    fn kvs(&self) -> Vec<Value> {
        let entry = |value| json!({ "value": value, "mod_revision": self.revision.to_string() });
        self.value.iter().map(entry).collect()
    }

    fn swap(&mut self, body: &Value) -> Value {
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

struct Ended {
    code: i32,
    out: String,
    err: String,
}

fn ctl(store: &Fake, args: &[&str]) -> Ended {
    let mut command = Command::new(env!("CARGO_BIN_EXE_medlarctl"));
    let output = command
        .args(["--store", &store.address.to_string()])
        .args(args)
        .output()
        .expect("runs");
    Ended {
        code: output.status.code().expect("an exit code"),
        out: String::from_utf8(output.stdout).expect("text"),
        err: String::from_utf8(output.stderr).expect("text"),
    }
}

/// A file of its own in the folder for temporary files.
fn file(name: &str, text: &str) -> String {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&path, text).expect("writes");
    path.to_str().expect("UTF-8").to_owned()
}

fn text(rank: u8) -> String {
    format!(
        "services:\n  - name: a\n    routes:\n      - {{method: GET, path: /x, rank: {rank}, deadline_ms: 9}}\n"
    )
}

// Guards against scripts that take wrong usage for a refusal, or a refusal for success.
#[rstest]
#[case::no_verb(&[], 2, "run medlarctl --help")]
#[case::unknown_verb(&["aply"], 2, "aply")]
#[case::no_file(&["apply"], 2, "file")]
#[case::output(&["version", "--output", "xml"], 2, "neither table nor json")]
#[case::edit_id(&["settle", "12"], 2, "not an edit id")]
#[case::help(&["apply", "--help"], 0, "")]
#[case::version(&["version", "--output", "json"], 0, "")]
#[case::missing_file(&["check", "/nonexistent"], 1, "/nonexistent")]
#[case::no_node(&["nodes"], 1, "add --node ADMIN-ADDRESS")]
#[case::node_down(&["nodes", "--node", "127.33.8.1:1"], 1, "node 127.33.8.1:1")]
#[case::no_text(&["get"], 1, "no configuration has been accepted")]
fn exit_code(#[case] args: &[&str], #[case] code: i32, #[case] message: &str) {
    let ended = ctl(&Fake::start(), args);
    assert_eq!(ended.code, code, "{}", ended.err);
    assert!(ended.err.contains(message), "{}", ended.err);
}

// Guards against a line number that is off by the line that get -o adds.
#[test]
fn check_line() {
    let bad = text(9);
    let plain = ctl(&Fake::start(), &["check", &file("check_plain.yaml", &bad)]);
    assert!(plain.err.contains("line 4: rank 9"), "{}", plain.err);
    let line = "# medlarctl: edited from version 3 digest 00000000000000aa\n";
    let based = ctl(
        &Fake::start(),
        &[
            "check",
            &file("check_based.yaml", &(line.to_owned() + &bad)),
        ],
    );
    assert!(based.err.contains("line 5: rank 9"), "{}", based.err);
}

// Guards against a wrong word or exit code for what became of an edit. Calls are read, write, read.
#[rstest]
#[case::plain(&[], 0, "accepted as version 1")]
#[case::read_error(&[Fault::Error], 0, "accepted as version 1")]
#[case::lost_before(&[Fault::LostBefore, Fault::None], 0, "accepted as version 1")]
#[case::lost_after(&[Fault::LostAfter, Fault::None], 0, "accepted as version 1")]
#[case::error_after(&[Fault::Error, Fault::None], 0, "accepted as version 1")]
fn apply_fault(#[case] faults: &[Fault], #[case] code: i32, #[case] message: &str) {
    let store = Fake::start();
    store.fail(faults);
    let name = format!("apply_{faults:?}.yaml").replace([' ', ',', '[', ']'], "");
    let path = file(&name, &text(1));
    let ended = ctl(&store, &["apply", &path]);
    assert_eq!(ended.code, code, "{}", ended.err);
    assert!(ended.out.contains(message), "{}", ended.out);
    let again = ctl(&store, &["apply", &path]);
    assert_eq!(
        (again.code, again.out.as_str()),
        (0, "accepted as version 1 before; nothing to change\n")
    );
}

// Guards against an unknown outcome without a command that settles it.
#[rstest]
#[case::written(Fault::LostAfter, 0, "accepted as version 2")]
#[case::not_written(Fault::LostBefore, 1, "not accepted: its write did not take effect")]
fn settle_unknown(#[case] fault: Fault, #[case] code: i32, #[case] message: &str) {
    let store = Fake::start();
    let name = format!("settle_{fault:?}.yaml");
    assert_eq!(ctl(&store, &["apply", &file(&name, &text(1))]).code, 0);
    let mut faults = vec![Fault::LostBefore; 100];
    faults.extend([fault, Fault::None]);
    store.fail(&faults);
    let path = file(&name, &text(2));
    let ended = ctl(&store, &["apply", &path, "--time-limit", "1"]);
    assert_eq!(ended.code, 3, "{}", ended.err);
    let command = ended
        .err
        .split("unknown: run medlarctl ")
        .nth(1)
        .expect("a command");
    let words: Vec<&str> = command.split(' ').take(2).collect();
    store.fail(&[]);
    let settled = ctl(&store, &words);
    assert_eq!(settled.code, code, "{}", settled.err);
    assert!((settled.out + &settled.err).contains(message));
}

// Guards against one operator's edit written over by another's, and a loser without the difference.
#[test]
fn apply_race() {
    let store = Fake::start();
    assert_eq!(
        ctl(&store, &["apply", &file("race_first.yaml", &text(0))]).code,
        0
    );
    let (ann, bob) = (file("race_ann.yaml", ""), file("race_bob.yaml", ""));
    for path in [&ann, &bob] {
        let ended = ctl(&store, &["get", "--force", "-o", path]);
        assert_eq!(ended.code, 0, "{}", ended.err);
    }
    let edit = |path: &str, from: &str, to: &str| {
        let text = fs::read_to_string(path).expect("reads");
        fs::write(path, text.replace(from, to)).expect("writes");
    };
    edit(&ann, "rank: 0", "rank: 1");
    edit(&bob, "deadline_ms: 9", "deadline_ms: 8");
    assert_eq!(ctl(&store, &["apply", &ann]).out, "accepted as version 2\n");
    let lost = ctl(&store, &["apply", &bob]);
    assert_eq!(lost.code, 1);
    assert!(
        lost.err.contains("from what you edited to version 2"),
        "{}",
        lost.err
    );
    assert!(
        lost.err
            .contains("+      - {method: GET, path: /x, rank: 1, deadline_ms: 9}"),
        "{}",
        lost.err
    );
    // The file of the winner is brought up to date, so that it can be edited further.
    edit(&ann, "rank: 1", "rank: 2");
    assert_eq!(ctl(&store, &["apply", &ann]).out, "accepted as version 3\n");
    // A file with edits is not written over.
    assert_eq!(ctl(&store, &["get", "-o", &bob]).code, 1);
}

// Guards against a dry run that writes, or that does not show what would change.
#[test]
fn apply_dry_run() {
    let store = Fake::start();
    assert_eq!(
        ctl(&store, &["apply", &file("dry_old.yaml", &text(0))]).code,
        0
    );
    let ended = ctl(
        &store,
        &["apply", "--dry-run", &file("dry_new.yaml", &text(1))],
    );
    assert_eq!(ended.code, 0, "{}", ended.err);
    assert!(ended.out.contains("rank: 1"), "{}", ended.out);
    assert_eq!(store.state.lock().expect("no panic").revision, 1);
}

// Guards against two of many racing operators being told that they won.
#[test]
fn apply_many_racers() {
    let store = Fake::start();
    let base = file("racers_base.yaml", &text(0));
    assert_eq!(ctl(&store, &["apply", &base]).code, 0);
    store.fail(&[
        Fault::LostAfter,
        Fault::None,
        Fault::LostBefore,
        Fault::LostAfter,
        Fault::None,
        Fault::Error,
    ]);
    let racers: Vec<_> = (0..8_u32)
        .map(|n| {
            let store = store.clone();
            let new = text(0).replace("deadline_ms: 9", &format!("deadline_ms: {}", 100 + n));
            let path = file(&format!("racers_{n}.yaml"), &new);
            thread::spawn(move || ctl(&store, &["apply", "--base", "1", &path]))
        })
        .collect();
    let ended: Vec<Ended> = racers
        .into_iter()
        .map(|it| it.join().expect("no panic"))
        .collect();
    let won = ended.iter().filter(|it| it.code == 0).count();
    let lost = ended
        .iter()
        .filter(|it| it.code == 1 && it.err.contains("version 2 was accepted meanwhile"));
    assert_eq!((won, lost.count()), (1, 7));
    assert_eq!(store.state.lock().expect("no panic").revision, 2);
}
