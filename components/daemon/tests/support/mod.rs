//! Whole nodes in this process, with a stand-in store and stand-in upstreams.

// Each test program uses a part of this.
#![allow(dead_code)]
// The linter knows only test functions as tests.
#![allow(clippy::unwrap_used)]

#[path = "../../../http1/tests/support/raw.rs"]
pub(crate) mod raw;
#[path = "../../../http1/tests/support/upstream.rs"]
pub(crate) mod upstream;

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use raw::Caller;
use raw::ask;
use raw::free_address;
use raw::get;
use raw::read_message;
use serde_json::Value;
use serde_json::json;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use upstream::Seen;

use config::DraftConfig;
use daemon::Error;
use ids::Digest;
use ids::Version;
use settings::Settings;

const TEXT: &str = r#"
services:
  - name: s
    routes:
      - { method: GET, path: "/**", rank: 0, deadline_ms: 3000 }
      - { method: POST, path: "/**", rank: 1, deadline_ms: 3000 }
"#;

/// Starts a store that holds a text and answers watches with silence.
pub(crate) async fn start_store() -> SocketAddr {
    let address = free_address();
    let listener = TcpListener::bind(address).await.unwrap();
    let checked = DraftConfig::new(TEXT).check().unwrap();
    let record = checked.into_record(Version(1), 1, Digest(0));
    let value = STANDARD.encode(store::encode_record(&record));
    let entry = json!({ "kvs": [{ "value": value, "mod_revision": "1" }] }).to_string();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let entry = entry.clone();
            tokio::spawn(async move {
                let mut buffer = Vec::new();
                while let Some(message) = read_message(&mut stream, &mut buffer).await {
                    let asked: Value = serde_json::from_slice(&message.body).unwrap();
                    let is_text = asked["key"] == STANDARD.encode(store::CONFIG_KEY);
                    let body = match message.path().as_str() {
                        "/v3/kv/range" if is_text => entry.clone(),
                        "/v3/watch" => return tokio::time::sleep(raw::LIMIT).await,
                        _ => "{}".to_owned(),
                    };
                    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
                    stream.write_all((head + &body).as_bytes()).await.unwrap();
                }
            });
        }
    });
    address
}

/// Settings of a node with free addresses.
pub(crate) fn make_settings(
    store: SocketAddr,
    upstream: SocketAddr,
    contacts: &[SocketAddr],
    drain_limit_ms: u64,
) -> Settings {
    let contacts: Vec<String> = contacts.iter().map(|it| format!("'{it}'")).collect();
    let text = format!(
        "instance: i\ndomain: d\nlisten:\n  callers: {}\n  requests: {}\n  peer: {}\n  admin: {}\n\
         upstream: {upstream}\ncontacts: [{}]\ndrain_limit_ms: {drain_limit_ms}\nstore:\n  \
         plugin: etcd-json\n  params: [{{name: address, value: '{store}'}}]\n",
        free_address(),
        free_address(),
        free_address(),
        free_address(),
        contacts.join(", "),
    );
    settings::parse(Path::new("node.yaml"), &text).unwrap()
}

/// A node that runs on a thread of its own.
pub(crate) struct Node {
    pub(crate) settings: Settings,
    pub(crate) stops: mpsc::Sender<()>,
    pub(crate) seen: Arc<Seen>,
    thread: thread::JoinHandle<Result<(), Error>>,
}

impl Node {
    /// Starts a node; it may not serve yet.
    pub(crate) async fn launch(store: SocketAddr, contacts: &[SocketAddr], limit_ms: u64) -> Self {
        let (upstream, seen) = upstream::start().await;
        let settings = make_settings(store, upstream, contacts, limit_ms);
        let (stops, receiver) = mpsc::channel(2);
        let used = settings.clone();
        let thread = thread::spawn(move || daemon::run_until(&used, Some(receiver)));
        Self {
            settings,
            stops,
            seen,
            thread,
        }
    }

    /// Starts a node with an upstream of 10 slots and waits until it serves.
    pub(crate) async fn start(store: SocketAddr, contacts: &[SocketAddr], limit_ms: u64) -> Self {
        let node = Self::launch(store, contacts, limit_ms).await;
        node.wait_for_listeners().await;
        let admin = node.settings.listen.admin;
        tokio::spawn(async move {
            let body = r#"{"service":"s","state":"ready","slots":10,"connections":20}"#;
            let head = format!("content-length: {}\r\n\r\n{body}", body.len());
            let request = format!("PUT /upstream HTTP/1.1\r\nhost: h\r\n{head}");
            loop {
                if let Some(mut caller) = Caller::try_connect(admin).await {
                    let _ = caller.ask(&request).await;
                }
                tokio::time::sleep(Duration::from_secs(1)).await;
            }
        });
        let serves = async {
            while ask(node.settings.listen.callers, get("/x"))
                .await
                .unwrap()
                .status()
                != 200
            {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        tokio::time::timeout(raw::LIMIT, serves).await.unwrap();
        node
    }

    /// Waits until the node listens on all addresses; those for requests come last.
    pub(crate) async fn wait_for_listeners(&self) {
        let listens = async {
            while Caller::try_connect(self.settings.listen.requests)
                .await
                .is_none()
            {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        tokio::time::timeout(raw::LIMIT, listens).await.unwrap();
    }

    /// Asks the node to leave, by signal or as an operator.
    pub(crate) async fn drain(&self, operator: bool) {
        if operator {
            let request = "POST /drain HTTP/1.1\r\nhost: h\r\ncontent-length: 0\r\n\r\n";
            let mut caller = Caller::connect(self.settings.listen.admin).await;
            assert_eq!(caller.ask(request).await.unwrap().status(), 200);
        } else {
            self.stops.send(()).await.unwrap();
        }
    }

    /// Waits for the end of the node.
    pub(crate) async fn end(self) -> Result<(), Error> {
        let joined = tokio::task::spawn_blocking(move || self.thread.join().unwrap());
        tokio::time::timeout(raw::LIMIT, joined)
            .await
            .unwrap()
            .unwrap()
    }
}

/// Waits until the first node forwards to the second one.
pub(crate) async fn wait_until_shared(entry: &Node, other: &Node) {
    let asking = async {
        while other.seen.count() < 3 {
            let _ = ask(entry.settings.listen.callers, get("/x")).await;
        }
    };
    tokio::time::timeout(raw::LIMIT, asking).await.unwrap();
}
