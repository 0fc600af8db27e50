//! Tests of the plug-in `etcd-json` with raw HTTP responses.

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
use store::Entry;
use store::Error;
use store::STORE_PLUGINS;
use store::Store;
use store::SwapOutcome;
use store::WatchOutcome;

/// Starts a server that sends one raw response on each connection, or none if `None`.
fn serve(response: Option<String>) -> SocketAddr {
    let listener = TcpListener::bind("127.33.4.1:0").expect("free port");
    let address = listener.local_addr().expect("listener has an address");
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.expect("connection is accepted");
            let response = response.clone();
            thread::spawn(move || {
                let mut request = [0; 4_096];
                // The requests of these tests fit into the buffer.
                let _ = stream.read(&mut request);
                match response {
                    Some(response) => drop(stream.write_all(response.as_bytes())),
                    None => thread::sleep(Duration::from_secs(5)),
                }
            });
        }
    });
    address
}

fn http_response(status: &str, body: &str) -> Option<String> {
    let length = body.len();
    Some(format!(
        "HTTP/1.1 {status}\r\ncontent-length: {length}\r\n\r\n{body}"
    ))
}

fn build_store(address: &str, timeout_ms: &str) -> Result<Box<dyn Store>, plugin::Error> {
    let pairs = [("address", address), ("timeout_ms", timeout_ms)];
    let pairs = pairs.map(|(name, value)| (name.to_owned(), value.to_owned()));
    plugin::build(
        "store",
        &STORE_PLUGINS,
        "etcd-json",
        &Params::from_pairs(pairs),
    )
}

fn store_at(address: SocketAddr) -> Box<dyn Store> {
    build_store(&address.to_string(), "400").expect("params are valid")
}

fn error_kind(error: &Error) -> &'static str {
    match error {
        Error::Unreachable { .. } => "unreachable",
        Error::Refused { .. } => "refused",
        Error::HistoryUnavailable { .. } => "history",
        Error::OutcomeUnknown { .. } | Error::TimedOut { .. } | Error::TooLarge { .. } => "unknown",
    }
}

// Checks that a failed write is reported as without effect only if the status proves it.
#[rstest]
#[case::connection_closed(Some(String::new()), "unknown")]
#[case::truncated_body(Some("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n{".into()), "unknown")]
#[case::no_response(None, "unknown")]
#[case::server_error(http_response("503 Unavailable", ""), "unknown")]
#[case::client_error(http_response("400 Bad Request", ""), "refused")]
#[case::not_json(http_response("200 OK", "<html>"), "unknown")]
#[case::too_large(http_response("200 OK", &" ".repeat(2_000_000)), "unknown")]
#[tokio::test]
async fn compare_and_swap_failure(#[case] response: Option<String>, #[case] expected: &str) {
    let store = store_at(serve(response));
    let error = store
        .compare_and_swap("k", Revision::from(1), vec![1])
        .await
        .expect_err("write fails");
    assert_eq!(error_kind(&error), expected, "{error}");
}

// Checks that a write over a refused connection is reported as without effect.
#[tokio::test]
async fn compare_and_swap_unreachable() {
    let address = TcpListener::bind("127.33.4.1:0")
        .and_then(|it| it.local_addr())
        .expect("free port");
    let error = store_at(address)
        .compare_and_swap("k", Revision::from(1), vec![1])
        .await
        .expect_err("write fails");
    assert_eq!(error_kind(&error), "unreachable", "{error}");
}

// Checks that responses to reads and writes are decoded.
#[tokio::test]
async fn call_responses() {
    let kvs = r#"{"kvs": [{"value": "aGk=", "mod_revision": "7"}]}"#;
    let entry = kvs.replacen('{', r#"{"header": {"revision": "9"}, "#, 1);
    let read = store_at(serve(http_response("200 OK", &entry)))
        .read("k")
        .await
        .expect("response");
    let expected = Entry {
        value: Some(b"hi".to_vec()),
        revision: Revision::from(7),
        store_revision: Revision::from(9),
    };
    assert_eq!(read, expected);
    let missing = store_at(serve(http_response(
        "200 OK",
        r#"{"header": {"revision": "9"}}"#,
    )))
    .read("k")
    .await
    .expect("response");
    let expected = Entry {
        value: None,
        revision: Revision::from(0),
        store_revision: Revision::from(9),
    };
    assert_eq!(missing, expected);
    let done = store_at(serve(http_response(
        "200 OK",
        r#"{"header": {"revision": "8"}, "succeeded": true}"#,
    )))
    .compare_and_swap("k", Revision::from(0), Vec::new())
    .await;
    assert_eq!(done, Ok(SwapOutcome::Done(Revision::from(8))));
    let conflict =
        format!(r#"{{"header": {{"revision": "9"}}, "responses": [{{"response_range": {kvs}}}]}}"#);
    let conflict = store_at(serve(http_response("200 OK", &conflict)))
        .compare_and_swap("k", Revision::from(0), Vec::new())
        .await;
    assert_eq!(conflict, Ok(SwapOutcome::Conflict(read)));
}

// Checks that a watch ends at its first event, and with an error once no event can follow.
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
async fn watch_responses(#[case] line: &str, #[case] expected: &str) {
    let created = r#"{"result": {"created": true}}"#;
    let body = http_response(
        "200 OK",
        &format!("{created}\n{line}\n").replace("\n\n", "\n"),
    );
    let outcome = match store_at(serve(body)).watch("k", Revision::from(7)).await {
        Ok(WatchOutcome::Changed(entry)) => {
            assert_eq!(entry.store_revision, Revision::from(8));
            let event = entry.value.map_or("deleted", |_| "event");
            event.to_owned()
        }
        Ok(WatchOutcome::Unchanged(_)) => "nothing".to_owned(),
        Err(error) => error.to_string(),
    };
    assert!(outcome.contains(expected), "{outcome}");
}

// Checks that a watch ends if the store's revision is below the one that was read. After a restore it would
// wait for a revision that comes much later, and miss the changes below it.
#[rstest]
#[case::restored("6", "the store has returned to revision 6")]
#[case::same("7", "the watch ended")]
#[case::higher("9", "the watch ended")]
#[tokio::test]
async fn watch_restored(#[case] revision: &str, #[case] expected: &str) {
    let created =
        format!(r#"{{"result": {{"header": {{"revision": "{revision}"}}, "created": true}}}}"#);
    let body = http_response("200 OK", &format!("{created}\n"));
    let result = store_at(serve(body)).watch("k", Revision::from(7)).await;
    let error = result.expect_err("no event");
    assert!(error.to_string().contains(expected), "{error}");
}

// Checks that params with which no call could succeed are refused.
#[rstest]
#[case::valid("127.33.4.1:1", "1", true)]
#[case::host_name("localhost:1", "1", false)]
#[case::zero("127.33.4.1:1", "0", false)]
#[case::above_maximum("127.33.4.1:1", "60001", false)]
#[case::with_unit("127.33.4.1:1", "2s", false)]
fn from_params_validity(#[case] address: &str, #[case] timeout_ms: &str, #[case] valid: bool) {
    assert_eq!(build_store(address, timeout_ms).is_ok(), valid);
}

/// Checks that the client ends a call before the state machine that made it counts the call as lost. With the limits
/// the other way round, a long transfer that makes progress is broken off and begun anew without end.
#[rstest]
fn longest_call_within_decision() {
    // The store of the etcd plug-in holds a watch for longer than any other call or plug-in.
    let longest_watch = Duration::from_secs(20);
    assert!(store::longest_call(longest_watch) < spread::CONFIG_CALL_TIMEOUT);
}

/// Starts a store with silent watches, whose key has the revision `modified` and a value only if that is asked for.
fn serve_silent_watch(modified: &str, current: &str) -> SocketAddr {
    let listener = TcpListener::bind("127.33.4.1:0").expect("free port");
    let address = listener.local_addr().expect("listener has an address");
    let header = format!(r#"{{"header": {{"revision": "{current}"}}, "kvs": [{{"#);
    let revision = format!(r#""mod_revision": "{modified}"}}]}}"#);
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.expect("connection is accepted");
            let (header, revision) = (header.clone(), revision.clone());
            thread::spawn(move || {
                let mut request = [0; 4_096];
                while let Ok(length) = stream.read(&mut request) {
                    let request = String::from_utf8_lossy(&request[..length]);
                    if length == 0 || request.contains("/v3/watch") {
                        return thread::sleep(Duration::from_secs(5));
                    }
                    let value = match request.contains("keys_only") {
                        true => "",
                        false => r#""value": "aGk=", "#,
                    };
                    let body = format!("{header}{value}{revision}");
                    let response = http_response("200 OK", &body).expect("a response");
                    let _ = stream.write_all(response.as_bytes());
                }
            });
        }
    });
    address
}

/// A watch on a dead connection is silent like one without a change: it must not count as proof that nothing has
/// changed, so the key is asked for. Its value is fetched only if it has changed.
#[rstest]
#[case::unchanged("7", "9", Ok(WatchOutcome::Unchanged(Revision::from(9))))]
#[case::changed("8", "9", Ok(changed_entry(8)))]
#[case::restored("3", "5", Ok(changed_entry(3)))]
#[tokio::test]
async fn watch_within_silent(
    #[case] modified: &str,
    #[case] current: &str,
    #[case] expected: Result<WatchOutcome, Error>,
) {
    let store = store_at(serve_silent_watch(modified, current));
    let wait = Duration::from_millis(100);
    let outcome = store.watch_within("k", Revision::from(7), wait).await;
    let outcome = outcome.map(|it| match it {
        WatchOutcome::Changed(entry) => WatchOutcome::Changed(Entry {
            store_revision: entry.revision,
            ..entry
        }),
        other => other,
    });
    assert_eq!(outcome, expected);
}

fn changed_entry(revision: u64) -> WatchOutcome {
    let revision = Revision::from(revision);
    WatchOutcome::Changed(Entry {
        value: Some(b"hi".to_vec()),
        revision,
        store_revision: revision,
    })
}
