//! Stand-in for the platform's key-value service, in the JSON form of the etcd v3 protocol.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;

use argh::FromArgs;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use futures::stream;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Frame;
use hyper::body::Incoming;
use serde_json::Value;
use serde_json::json;
use tokio::sync::watch;

use crate::http::Body;
use crate::http::full;
use crate::http::serve;

/// run the stand-in store
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "store")]
pub(crate) struct Args {
    /// address to listen on
    #[argh(option)]
    listen: SocketAddr,
}

struct Entry {
    key: String,
    value: String,
    revision: u64,
}

/// Keys and values in base64, as the protocol carries them.
struct State {
    revision: u64,
    /// Sorted by key.
    entries: Vec<Entry>,
}

struct Store {
    state: Mutex<State>,
    changed: watch::Sender<u64>,
}

/// Serves until the process ends.
pub(crate) async fn run(args: Args) -> io::Result<()> {
    let store = Arc::new(Store {
        state: Mutex::new(State {
            revision: 1,
            entries: Vec::new(),
        }),
        changed: watch::Sender::new(1),
    });
    serve(args.listen, move |request| {
        answer(Arc::clone(&store), request)
    })
    .await
}

async fn answer(store: Arc<Store>, request: Request<Incoming>) -> Response<Body> {
    let path = request.uri().path().to_owned();
    let body = request
        .into_body()
        .collect()
        .await
        .map(|it| it.to_bytes())
        .unwrap_or_default();
    let Ok(body) = serde_json::from_slice::<Value>(&body) else {
        return status(StatusCode::BAD_REQUEST);
    };
    match path.as_str() {
        "/v3/kv/range" => json_answer(&store.range(&body)),
        "/v3/kv/txn" => json_answer(&store.txn(&body)),
        "/v3/watch" => watch_answer(store, &body["create_request"]),
        _ => status(StatusCode::NOT_FOUND),
    }
}

impl Store {
    fn range(&self, body: &Value) -> Value {
        let state = self.state.lock().expect("no panic inside the lock");
        let key = body["key"].as_str().unwrap_or_default();
        let kvs: Vec<Value> = state.find(key).map(entry_json).into_iter().collect();
        json!({ "header": { "revision": state.revision.to_string() }, "kvs": kvs })
    }

    fn txn(&self, body: &Value) -> Value {
        let mut state = self.state.lock().expect("no panic inside the lock");
        let compare = &body["compare"][0];
        let key = compare["key"].as_str().unwrap_or_default().to_owned();
        let present = state
            .find(&key)
            .map_or(0, |entry| entry.revision)
            .to_string();
        if compare["mod_revision"].as_str() != Some(present.as_str()) {
            let kvs: Vec<Value> = state.find(&key).map(entry_json).into_iter().collect();
            return json!({ "succeeded": false, "responses": [{ "response_range": { "kvs": kvs } }] });
        }
        let value = body["success"][0]["request_put"]["value"]
            .as_str()
            .unwrap_or_default();
        state.put(key, value.to_owned());
        self.changed.send_replace(state.revision);
        json!({ "header": { "revision": state.revision.to_string() }, "succeeded": true })
    }
}

impl State {
    fn find(&self, key: &str) -> Option<&Entry> {
        let at = self
            .entries
            .binary_search_by(|entry| entry.key.as_str().cmp(key));
        at.ok().map(|at| &self.entries[at])
    }

    fn put(&mut self, key: String, value: String) {
        self.revision += 1;
        let revision = self.revision;
        match self.entries.binary_search_by(|entry| entry.key.cmp(&key)) {
            Ok(at) => {
                self.entries[at] = Entry {
                    key,
                    value,
                    revision,
                }
            }
            Err(at) => self.entries.insert(
                at,
                Entry {
                    key,
                    value,
                    revision,
                },
            ),
        }
    }
}

fn entry_json(entry: &Entry) -> Value {
    json!({ "key": entry.key, "value": entry.value, "mod_revision": entry.revision.to_string() })
}

/// One event as soon as the key has a revision of at least the asked one.
fn watch_answer(store: Arc<Store>, create: &Value) -> Response<Body> {
    let key = create["key"].as_str().unwrap_or_default().to_owned();
    if STANDARD.decode(&key).is_err() {
        return status(StatusCode::BAD_REQUEST);
    }
    let start: u64 = create["start_revision"]
        .as_str()
        .and_then(|it| it.parse().ok())
        .unwrap_or(1);
    let changes = store.changed.subscribe();
    let created = stream::once(async { line(&json!({ "result": { "created": true } })) });
    let events = stream::unfold(
        (store, changes, start),
        move |(store, mut changes, start)| {
            let key = key.clone();
            async move {
                loop {
                    changes.borrow_and_update();
                    let found = {
                        let state = store.state.lock().expect("no panic inside the lock");
                        let entry = state.find(&key).filter(|entry| entry.revision >= start);
                        entry.map(|entry| (entry_json(entry), entry.revision))
                    };
                    if let Some((kv, revision)) = found {
                        let event = json!({ "result": { "events": [{ "kv": kv }] } });
                        return Some((line(&event), (store, changes, revision + 1)));
                    }
                    changes.changed().await.ok()?;
                }
            }
        },
    );
    let body = StreamBody::new(futures::StreamExt::chain(created, events));
    Response::new(BodyExt::boxed(body))
}

fn line(value: &Value) -> Result<Frame<Bytes>, std::convert::Infallible> {
    Ok(Frame::data(Bytes::from(format!("{value}\n"))))
}

fn json_answer(value: &Value) -> Response<Body> {
    Response::new(full(value.to_string()))
}

fn status(code: StatusCode) -> Response<Body> {
    let mut response = Response::new(full(""));
    *response.status_mut() = code;
    response
}
