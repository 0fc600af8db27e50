//! The verbs that ask nodes, against fake admin addresses.

use std::collections::HashMap;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::process::Command;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;

use rstest::rstest;
use serde_json::Value;
use serde_json::json;

/// Answers by request line, such as `GET /status`, and the requests that came.
#[derive(Clone, Default)]
struct Fake {
    answers: Arc<Mutex<HashMap<String, Vec<Value>>>>,
    asked: Arc<Mutex<Vec<String>>>,
}

impl Fake {
    /// Serves the answers; the last one of a path is repeated.
    fn serve(&self) -> SocketAddr {
        let listener = TcpListener::bind("127.33.5.1:0").expect("a free port");
        let address = listener.local_addr().expect("bound");
        let fake = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming() {
                let mut stream = stream.expect("accepts");
                let mut reader = BufReader::new(stream.try_clone().expect("a stream"));
                let head: Vec<String> = reader
                    .by_ref()
                    .lines()
                    .map_while(Result::ok)
                    .take_while(|line| !line.is_empty())
                    .collect();
                let length = head
                    .iter()
                    .find_map(|it| it.strip_prefix("content-length: "));
                let length = length.map_or(0, |it| it.parse().expect("a number"));
                let _ = reader.take(length).read_to_end(&mut Vec::new());
                let line = head[0].trim_end_matches(" HTTP/1.1").to_owned();
                fake.asked.lock().expect("no panic").push(line.clone());
                let mut answers = fake.answers.lock().expect("no panic");
                let (status, body) = match answers.get_mut(&line) {
                    Some(list) if list.len() > 1 => ("200 OK", list.remove(0)),
                    Some(list) => ("200 OK", list[0].clone()),
                    None => ("404 Not Found", json!("no such path\u{1b}[2J")),
                };
                let body = body.to_string();
                let head = format!(
                    "HTTP/1.1 {status}\r\ncontent-length: {}\r\n\r\n",
                    body.len()
                );
                let _ = stream.write_all((head + &body).as_bytes());
            }
        });
        address
    }

    fn answer(&self, line: &str, answers: Vec<Value>) {
        self.answers
            .lock()
            .expect("no panic")
            .insert(line.to_owned(), answers);
    }

    fn count(&self, line: &str) -> usize {
        self.asked
            .lock()
            .expect("no panic")
            .iter()
            .filter(|it| *it == line)
            .count()
    }
}

/// Two nodes behind one fake each; the second has the versions one after the other.
fn start(versions: &[u64]) -> (SocketAddr, Fake, Fake) {
    let (first, second) = (Fake::default(), Fake::default());
    let (one, two) = (first.serve(), second.serve());
    let member = |id: &str, admin: String, status: &str| json!({ "node": id, "domain": "huesca", "status": status, "admin": admin });
    first.answer(
        "GET /members",
        vec![json!([
            member("1", one.to_string(), "alive"),
            member("2", two.to_string(), "suspect"),
            member("3", "127.33.5.9:1".into(), "dead"),
        ])],
    );
    first.answer(
        "GET /status",
        vec![json!({ "node": "1", "version": 7, "life": "serving" })],
    );
    let versions = versions
        .iter()
        .map(|it| json!({ "node": "2", "version": it }))
        .collect();
    second.answer("GET /status", versions);
    second.answer("POST /drain", vec![json!({})]);
    (one, first, second)
}

fn ctl(node: SocketAddr, args: &[&str]) -> (i32, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_medlarctl"));
    let output = command
        .args(args)
        .args(["--node", &node.to_string()])
        .output()
        .expect("runs");
    let text = [output.stdout, output.stderr].concat();
    (
        output.status.code().expect("an exit code"),
        String::from_utf8(text).expect("text"),
    )
}

// Guards against a wait that ends early, never, or without naming the node that lags.
#[rstest]
#[case::in_force(&["status", "--version", "7"], &[7], 0, "version 7 is in force on 2 of 2 live nodes\n")]
#[case::newer(&["status", "--version", "7"], &[8], 0, "on 2 of 2 live nodes\n")]
#[case::lags(&["status", "--version", "7"], &[6], 1, "on 1 of 2 live nodes; lagging: 127.33.5.1:")]
#[case::wait(&["status", "--version", "7", "--wait"], &[5, 6, 7], 0, "(huesca, version 6)\nversion 7 is in force on 2")]
#[case::limit(&["status", "--version", "7", "--wait", "--time-limit", "1"], &[6], 1, "(huesca, version 6)")]
fn status_version(
    #[case] args: &[&str],
    #[case] versions: &[u64],
    #[case] code: i32,
    #[case] message: &str,
) {
    let (node, first, _) = start(versions);
    let (found, text) = ctl(node, args);
    assert_eq!(found, code, "{text}");
    // Standard output is shown first here.
    let shown: Vec<&str> = message.split('\n').filter(|it| !it.is_empty()).collect();
    assert!(shown.iter().all(|it| text.contains(it)), "{text}");
    assert_eq!(
        first.count("GET /status"),
        1,
        "a node that has the version is not asked again"
    );
}

// Guards against a drain of another node than the one that was meant.
#[test]
fn drain_by_id() {
    let (node, first, second) = start(&[7]);
    assert_eq!(ctl(node, &["drain", "2"]).0, 0);
    assert_eq!(
        (first.count("POST /drain"), second.count("POST /drain")),
        (0, 1)
    );
    let (code, text) = ctl(node, &["drain", "9"]);
    assert_eq!(code, 1);
    assert!(text.contains("no node has the id"), "{text}");
}

// Guards against a list without the nodes that do not answer.
#[test]
fn nodes_table() {
    let (node, _, _) = start(&[7]);
    let (code, text) = ctl(node, &["nodes"]);
    assert_eq!((code, text.lines().count()), (0, 4), "{text}");
    let (_, text) = ctl(node, &["nodes", "--output", "json"]);
    let nodes: Vec<Value> = serde_json::from_str(&text).expect("JSON");
    assert_eq!(nodes[0]["status"]["version"], 7);
    assert!(nodes.iter().any(|it| it["error"] == "not asked"), "{text}");
}

// Guards against control characters of a node's answer that reach the terminal.
#[test]
fn explain_hostile_answer() {
    let (node, first, _) = start(&[7]);
    let (code, text) = ctl(node, &["explain", "GET", "/a b?x=1"]);
    assert_eq!(code, 1);
    assert!(
        text.contains("404 Not Found") && !text.contains('\u{1b}'),
        "{text}"
    );
    assert_eq!(first.count("GET /explain?method=GET&path=/a%20b"), 1);
}

// Guards against a version that nodes would ignore, after a store was restored from a backup.
#[test]
fn apply_store_behind() {
    let (node, _, _) = start(&[7]);
    let store = Fake::default();
    store.answer("POST /v3/kv/range", vec![json!({})]);
    let path = concat!(env!("CARGO_TARGET_TMPDIR"), "/behind.yaml");
    std::fs::write(path, "services: []\n").expect("writes");
    let address = store.serve().to_string();
    let (code, text) = ctl(node, &["apply", path, "--store", &address]);
    assert_eq!(code, 1, "{text}");
    assert!(
        text.contains("nodes have version 7, but the store holds no configuration"),
        "{text}"
    );
    assert_eq!(store.count("POST /v3/kv/txn"), 0);
}
