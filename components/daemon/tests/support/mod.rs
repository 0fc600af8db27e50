//! Runs complete nodes in the test process, with a fake store and fake upstreams.

// Each test binary uses only some of these helpers.
#![allow(dead_code)]
// Clippy allows `unwrap` only in functions that are tests themselves, not in their helpers.
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
use raw::CallerConnection;
use raw::exchange;
use raw::free_address;
use raw::get_request;
use raw::read_message;
use serde_json::Value;
use serde_json::json;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use upstream::UpstreamRecord;

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

/// Starts a fake store that holds a configuration and never responds to watches.
pub(crate) async fn start_store() -> SocketAddr {
    start_store_with(TEXT).await
}

/// Starts a fake store that holds this configuration and never responds to watches.
pub(crate) async fn start_store_with(text: &str) -> SocketAddr {
    let address = free_address();
    let listener = TcpListener::bind(address).await.unwrap();
    let checked = DraftConfig::new(text).check().unwrap();
    let record = checked.into_record(Version(1), 1, Digest(0));
    let value = STANDARD.encode(store::encode_record(&record));
    let entry = json!({ "kvs": [{ "value": value, "mod_revision": "1" }] }).to_string();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let entry = entry.clone();
            tokio::spawn(async move {
                let mut buffer = Vec::new();
                while let Some(message) = read_message(&mut stream, &mut buffer).await {
                    let request: Value = serde_json::from_slice(&message.body).unwrap();
                    let is_text = request["key"] == STANDARD.encode(store::CONFIG_KEY);
                    let body = match message.path().as_str() {
                        "/v3/kv/range" if is_text => entry.clone(),
                        "/v3/watch" => return tokio::time::sleep(raw::TIMEOUT).await,
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

/// Returns settings of a node that listens on free addresses.
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

/// Node that runs on a thread of its own.
pub(crate) struct Node {
    pub(crate) settings: Settings,
    pub(crate) stops: mpsc::Sender<()>,
    pub(crate) upstream_record: Arc<UpstreamRecord>,
    thread: thread::JoinHandle<Result<(), Error>>,
}

impl Node {
    /// Starts a node and returns without waiting until it listens.
    pub(crate) async fn spawn(
        store: SocketAddr,
        contacts: &[SocketAddr],
        drain_limit_ms: u64,
    ) -> Self {
        Self::spawn_with(store, contacts, drain_limit_ms, |_| {}).await
    }

    /// Starts a node with changed settings and returns without waiting until it listens.
    pub(crate) async fn spawn_with(
        store: SocketAddr,
        contacts: &[SocketAddr],
        drain_limit_ms: u64,
        change_settings: impl FnOnce(&mut Settings),
    ) -> Self {
        let (upstream, upstream_record) = upstream::start().await;
        let mut settings = make_settings(store, upstream, contacts, drain_limit_ms);
        change_settings(&mut settings);
        let (stops, receiver) = mpsc::channel(2);
        let node_settings = settings.clone();
        let thread = thread::spawn(move || daemon::run_until(&node_settings, Some(receiver)));
        Self {
            settings,
            stops,
            upstream_record,
            thread,
        }
    }

    /// Starts a node, announces an upstream with 10 slots and waits until a request succeeds.
    pub(crate) async fn start(
        store: SocketAddr,
        contacts: &[SocketAddr],
        drain_limit_ms: u64,
    ) -> Self {
        let node = Self::spawn(store, contacts, drain_limit_ms).await;
        node.wait_until_serving().await;
        node
    }

    /// Announces an upstream with 10 slots and waits until a request succeeds.
    pub(crate) async fn wait_until_serving(&self) {
        self.wait_for_listeners().await;
        let admin = self.settings.listen.admin;
        tokio::spawn(async move {
            let body = r#"{"service":"s","state":"ready","slots":10,"connections":20}"#;
            let head = format!("content-length: {}\r\n\r\n{body}", body.len());
            let request = format!("PUT /upstream HTTP/1.1\r\nhost: h\r\n{head}");
            loop {
                if let Some(mut caller) = CallerConnection::try_connect(admin).await {
                    let _ = caller.exchange(&request).await;
                }
                tokio::time::sleep(Duration::from_secs(1)).await;
            }
        });
        let first_success = async {
            while exchange(self.settings.listen.callers, get_request("/x"))
                .await
                .unwrap()
                .status()
                != 200
            {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        tokio::time::timeout(raw::TIMEOUT, first_success)
            .await
            .unwrap();
    }

    /// Waits until the node listens on all addresses. It binds the `requests` address last.
    pub(crate) async fn wait_for_listeners(&self) {
        let connected = async {
            while CallerConnection::try_connect(self.settings.listen.requests)
                .await
                .is_none()
            {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        tokio::time::timeout(raw::TIMEOUT, connected).await.unwrap();
    }

    /// Starts a drain, through the admin API if `operator` and by a stop request if not.
    pub(crate) async fn drain(&self, operator: bool) {
        if operator {
            let request = "POST /drain HTTP/1.1\r\nhost: h\r\ncontent-length: 0\r\n\r\n";
            let mut caller = CallerConnection::connect(self.settings.listen.admin).await;
            assert_eq!(caller.exchange(request).await.unwrap().status(), 200);
        } else {
            self.stops.send(()).await.unwrap();
        }
    }

    /// Waits until the node has stopped and returns its result.
    pub(crate) async fn wait_for_exit(self) -> Result<(), Error> {
        let join_task = tokio::task::spawn_blocking(move || self.thread.join().unwrap());
        tokio::time::timeout(raw::TIMEOUT, join_task)
            .await
            .unwrap()
            .unwrap()
    }
}

/// Sends requests to `entry` until `other` has received three of them.
pub(crate) async fn wait_until_forwarding(entry: &Node, other: &Node) {
    let requests = async {
        while other.upstream_record.request_count() < 3 {
            let _ = exchange(entry.settings.listen.callers, get_request("/x")).await;
        }
    };
    tokio::time::timeout(raw::TIMEOUT, requests).await.unwrap();
}
