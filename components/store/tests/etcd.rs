//! The plug-in `etcd-json` against raw answers.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::thread;
use std::time::Duration;

use rstest::rstest;

use kernel::plugin;
use kernel::plugin::Params;
use spread::Revision;
use store::Error;
use store::STORE_PLUGINS;
use store::Store;
use store::SwapOutcome;
use store::WatchOutcome;

/// Serves one raw answer to each connection; `None` stays silent.
fn serve(answer: Option<String>) -> SocketAddr {
    let listener = TcpListener::bind("127.33.4.1:0").expect("a free port");
    let address = listener.local_addr().expect("bound");
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.expect("accepts");
            let answer = answer.clone();
            thread::spawn(move || {
                let mut request = [0; 4_096];
                // The head and body of these requests fit.
                let _ = stream.read(&mut request);
                match answer {
                    Some(answer) => drop(stream.write_all(answer.as_bytes())),
                    None => thread::sleep(Duration::from_secs(5)),
                }
            });
        }
    });
    address
}

fn http(status: &str, body: &str) -> Option<String> {
    let length = body.len();
    Some(format!(
        "HTTP/1.1 {status}\r\ncontent-length: {length}\r\n\r\n{body}"
    ))
}

fn open(address: &str, timeout_ms: &str) -> Result<Box<dyn Store>, plugin::Error> {
    let pairs = [("address", address), ("timeout_ms", timeout_ms)];
    let pairs = pairs.map(|(name, value)| (name.to_owned(), value.to_owned()));
    plugin::build(
        "store",
        &STORE_PLUGINS,
        "etcd-json",
        &Params::from_pairs(pairs),
    )
}

fn client(address: SocketAddr) -> Box<dyn Store> {
    open(&address.to_string(), "400").expect("valid params")
}

fn kind(error: &Error) -> &'static str {
    match error {
        Error::Unreachable { .. } => "unreachable",
        Error::Refused { .. } => "refused",
        Error::OutcomeUnknown { .. } => "unknown",
    }
}

// Guards against a write that may have taken effect being reported as one that did not.
#[rstest]
#[case::closed(Some(String::new()), "unknown")]
#[case::broken_off(Some("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n{".into()), "unknown")]
#[case::silent(None, "unknown")]
#[case::server_error(http("503 Unavailable", ""), "unknown")]
#[case::client_error(http("400 Bad Request", ""), "refused")]
#[case::not_json(http("200 OK", "<html>"), "unknown")]
#[case::too_long(http("200 OK", &" ".repeat(2_000_000)), "unknown")]
#[tokio::test]
async fn swap_fault(#[case] answer: Option<String>, #[case] expected: &str) {
    let store = client(serve(answer));
    let error = store
        .compare_and_swap("k", Revision(1), vec![1])
        .await
        .expect_err("a fault");
    assert_eq!(kind(&error), expected, "{error}");
}

// Guards against a refused connection being taken for an unknown outcome.
#[tokio::test]
async fn swap_unreachable() {
    let address = TcpListener::bind("127.33.4.1:0")
        .and_then(|it| it.local_addr())
        .expect("a free port");
    let error = client(address)
        .compare_and_swap("k", Revision(1), vec![1])
        .await
        .expect_err("a fault");
    assert_eq!(kind(&error), "unreachable", "{error}");
}

// Guards against answers of the protocol that are misread.
#[tokio::test]
async fn call_answers() {
    let entry = r#"{"kvs": [{"value": "aGk=", "mod_revision": "7"}]}"#;
    let read = client(serve(http("200 OK", entry)))
        .read("k")
        .await
        .expect("an answer")
        .expect("a value");
    assert_eq!(
        (read.value.as_slice(), read.revision),
        (b"hi".as_slice(), Revision(7))
    );
    let none = client(serve(http("200 OK", "{}"))).read("k").await;
    assert_eq!(none, Ok(None));
    let done = client(serve(http("200 OK", r#"{"succeeded": true}"#)))
        .compare_and_swap("k", Revision(0), Vec::new())
        .await;
    assert_eq!(done, Ok(SwapOutcome::Done));
    let conflict = format!(r#"{{"responses": [{{"response_range": {entry}}}]}}"#);
    let conflict = client(serve(http("200 OK", &conflict)))
        .compare_and_swap("k", Revision(0), Vec::new())
        .await;
    assert_eq!(conflict, Ok(SwapOutcome::Conflict(Some(read))));
}

// Guards against a watch that waits for events which the store has said will not come.
#[rstest]
#[case::event(
    r#"{"result": {"events": [{"kv": {"value": "aGk=", "mod_revision": "8"}}]}}"#,
    "event"
)]
#[case::deleted(
    r#"{"result": {"events": [{"type": "DELETE", "kv": {"mod_revision": "8"}}]}}"#,
    "deleted"
)]
#[case::cancelled(
    r#"{"result": {"canceled": true, "compact_revision": "9"}}"#,
    "the store ended the watch"
)]
#[case::error(r#"{"error": {"message": "no"}}"#, "the store ended the watch")]
#[case::ended("", "the watch ended")]
#[tokio::test]
async fn watch_answers(#[case] line: &str, #[case] expected: &str) {
    let created = r#"{"result": {"created": true}}"#;
    let body = http(
        "200 OK",
        &format!("{created}\n{line}\n").replace("\n\n", "\n"),
    );
    let found = match client(serve(body)).watch("k", Revision(7)).await {
        Ok(WatchOutcome::Changed(Some(_))) => "event".to_owned(),
        Ok(WatchOutcome::Changed(None)) => "deleted".to_owned(),
        Ok(WatchOutcome::Unchanged) => "nothing".to_owned(),
        Err(error) => error.to_string(),
    };
    assert!(found.contains(expected), "{found}");
}

// Guards against params with which no call could succeed.
#[rstest]
#[case::valid("127.33.4.1:1", "1", true)]
#[case::name("localhost:1", "1", false)]
#[case::zero("127.33.4.1:1", "0", false)]
#[case::long("127.33.4.1:1", "60001", false)]
#[case::unit("127.33.4.1:1", "2s", false)]
fn make_params(#[case] address: &str, #[case] timeout_ms: &str, #[case] valid: bool) {
    assert_eq!(open(address, timeout_ms).is_ok(), valid);
}
