//! Tests of the verbs that query nodes, against fake admin listeners.

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

/// HTTP server with fixed responses by method and path, such as `GET /status`. Records its requests.
#[derive(Clone, Default)]
struct FakeServer {
    responses: Arc<Mutex<HashMap<String, Vec<Value>>>>,
    requests: Arc<Mutex<Vec<String>>>,
}

impl FakeServer {
    /// Starts the server. Each request takes the next response of its path; the last one is repeated.
    fn start(&self) -> SocketAddr {
        let listener = TcpListener::bind("127.33.5.1:0").expect("a free port");
        let address = listener.local_addr().expect("bound");
        let server = self.clone();
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
                let method_and_path = head[0].trim_end_matches(" HTTP/1.1").to_owned();
                server
                    .requests
                    .lock()
                    .expect("no panic")
                    .push(method_and_path.clone());
                let mut responses = server.responses.lock().expect("no panic");
                let (status, body) = match responses.get_mut(&method_and_path) {
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

    fn set_responses(&self, method_and_path: &str, responses: Vec<Value>) {
        self.responses
            .lock()
            .expect("no panic")
            .insert(method_and_path.to_owned(), responses);
    }

    fn request_count(&self, method_and_path: &str) -> usize {
        self.requests
            .lock()
            .expect("no panic")
            .iter()
            .filter(|it| *it == method_and_path)
            .count()
    }
}

/// Starts two fake nodes. The second reports the given configuration versions one after the other.
fn start_nodes(versions: &[u64]) -> (SocketAddr, FakeServer, FakeServer) {
    let (first, second) = (FakeServer::default(), FakeServer::default());
    let (first_address, second_address) = (first.start(), second.start());
    let member = |id: &str, admin: String, status: &str| json!({ "node": id, "domain": "huesca", "status": status, "admin": admin });
    first.set_responses(
        "GET /members",
        vec![json!([
            member("1", first_address.to_string(), "alive"),
            member("2", second_address.to_string(), "suspect"),
            member("3", "127.33.5.9:1".into(), "dead"),
        ])],
    );
    first.set_responses(
        "GET /status",
        vec![json!({ "node": "1", "version": 7, "life": "serving" })],
    );
    let versions = versions
        .iter()
        .map(|it| json!({ "node": "2", "version": it }))
        .collect();
    second.set_responses("GET /status", versions);
    second.set_responses("POST /drain", vec![json!({})]);
    (first_address, first, second)
}

fn run_medlarctl(node: SocketAddr, args: &[&str]) -> (i32, String) {
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

// Checks that `status --wait` ends when every live node has the version or the time limit has passed,
// and that the output names the lagging node.
#[rstest]
#[case::in_force(&["status", "--version", "7"], &[7], 0, "version 7 is in force on 2 of 2 live nodes\n")]
#[case::newer(&["status", "--version", "7"], &[8], 0, "on 2 of 2 live nodes\n")]
#[case::lagging(&["status", "--version", "7"], &[6], 1, "on 1 of 2 live nodes; lagging: 127.33.5.1:")]
#[case::wait(&["status", "--version", "7", "--wait"], &[5, 6, 7], 0, "(huesca, version 6)\nversion 7 is in force on 2")]
#[case::time_limit(&["status", "--version", "7", "--wait", "--time-limit", "1"], &[6], 1, "(huesca, version 6)")]
fn status_version(
    #[case] args: &[&str],
    #[case] versions: &[u64],
    #[case] expected_code: i32,
    #[case] message: &str,
) {
    let (node, first, _) = start_nodes(versions);
    let (exit_code, text) = run_medlarctl(node, args);
    assert_eq!(exit_code, expected_code, "{text}");
    // The text holds standard output before standard error, so the order of lines is not checked.
    let expected_lines: Vec<&str> = message.split('\n').filter(|it| !it.is_empty()).collect();
    assert!(expected_lines.iter().all(|it| text.contains(it)), "{text}");
    assert_eq!(
        first.request_count("GET /status"),
        1,
        "a node that has the version is not queried again"
    );
}

// Checks that `drain` with a node id drains that node only.
#[test]
fn drain_by_id() {
    let (node, first, second) = start_nodes(&[7]);
    assert_eq!(run_medlarctl(node, &["drain", "2"]).0, 0);
    assert_eq!(
        (
            first.request_count("POST /drain"),
            second.request_count("POST /drain")
        ),
        (0, 1)
    );
    let (exit_code, text) = run_medlarctl(node, &["drain", "9"]);
    assert_eq!(exit_code, 1);
    assert!(text.contains("no node has the id"), "{text}");
}

// Checks that `nodes` also lists the nodes that do not respond.
#[test]
fn nodes_table() {
    let (node, _, _) = start_nodes(&[7]);
    let (exit_code, text) = run_medlarctl(node, &["nodes"]);
    assert_eq!((exit_code, text.lines().count()), (0, 4), "{text}");
    let (_, text) = run_medlarctl(node, &["nodes", "--output", "json"]);
    let nodes: Vec<Value> = serde_json::from_str(&text).expect("JSON");
    assert_eq!(nodes[0]["status"]["version"], 7);
    assert!(nodes.iter().any(|it| it["error"] == "not asked"), "{text}");
}

// Checks that control characters in a node's response do not reach the terminal.
#[test]
fn explain_control_characters() {
    let (node, first, _) = start_nodes(&[7]);
    let (exit_code, text) = run_medlarctl(node, &["explain", "GET", "/a b?x=1"]);
    assert_eq!(exit_code, 1);
    assert!(
        text.contains("404 Not Found") && !text.contains('\u{1b}'),
        "{text}"
    );
    assert_eq!(
        first.request_count("GET /explain?method=GET&path=/a%20b"),
        1
    );
}

// Checks that `apply` writes nothing if nodes have a newer version than the store, as after the store
// was restored from a backup. Nodes would ignore a version lower than their own.
#[test]
fn apply_store_behind() {
    let (node, _, _) = start_nodes(&[7]);
    let store = FakeServer::default();
    store.set_responses("POST /v3/kv/range", vec![json!({})]);
    let path = concat!(env!("CARGO_TARGET_TMPDIR"), "/behind.yaml");
    std::fs::write(path, "services: []\n").expect("writes");
    let address = store.start().to_string();
    let (exit_code, text) = run_medlarctl(node, &["apply", path, "--store", &address]);
    assert_eq!(exit_code, 1, "{text}");
    assert!(
        text.contains("nodes have version 7, but the store holds no configuration"),
        "{text}"
    );
    assert_eq!(store.request_count("POST /v3/kv/txn"), 0);
}
