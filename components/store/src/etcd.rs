//! Plug-in `etcd-json`: the JSON form of the etcd v3 protocol over HTTP.

use std::net::SocketAddr;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use linkme::distributed_slice;
use serde_json::Value;
use serde_json::json;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::Call;
use crate::Entry;
use crate::Error;
use crate::STORES;
use crate::Store;
use crate::Swap;
use kernel::Plugin;
use kernel::plugin;
use kernel::plugin::Params;
use spread::Revision;

/// Longest answer: a value of a megabyte in base64, with its envelope.
const MAX_ANSWER_BYTES: usize = 1_500_000;
const DEFAULT_TIMEOUT_MS: u64 = 2_000;
const MAX_TIMEOUT_MS: u64 = 60_000;
/// Longest wait of one watch call; ends watches on connections that went silent.
const WATCH_TIMEOUT: Duration = Duration::from_secs(20);

#[distributed_slice(STORES)]
static PLUGIN: Plugin<dyn Store> = Plugin {
    name: "etcd-json",
    make: |params| Ok(Box::new(Etcd::from_params(params)?)),
};

/// Client of one store address.
#[derive(Clone, Debug)]
struct Etcd {
    address: SocketAddr,
    timeout: Duration,
}

impl Etcd {
    fn from_params(params: &Params) -> Result<Self, plugin::Error> {
        params.check_names(&["address", "timeout_ms"])?;
        let address = params.get("address").unwrap_or_default();
        Ok(Self {
            address: address.parse().map_err(|_| plugin::Error::Param {
                name: "address".to_owned(),
                value: address.to_owned(),
                expected: "an IP address with a port",
            })?,
            timeout: read_timeout(params)?,
        })
    }

    /// Sends one request on a connection of its own.
    async fn send(&self, path: &str, body: &Value) -> Result<Response<Incoming>, Error> {
        // Without a connection nothing was sent, so a write cannot have taken effect.
        let stream = match timeout(self.timeout / 2, TcpStream::connect(self.address)).await {
            Ok(stream) => stream.map_err(unreachable)?,
            Err(_) => return Err(unreachable("no connection in time")),
        };
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(unreachable)?;
        tokio::spawn(connection);
        let request = Request::post(path)
            .header("host", self.address.to_string())
            .header("content-type", "application/json")
            .body(Full::new(Bytes::from(body.to_string())))
            .map_err(unreachable)?;
        let response = sender.send_request(request).await.map_err(unknown)?;
        let status = response.status();
        if status.is_success() {
            return Ok(response);
        }
        let message = format!("status {status}");
        // A gateway can answer 5xx after the write went through.
        if status.is_client_error() {
            return Err(Error::Refused { message });
        }
        Err(Error::Unknown { message })
    }

    async fn call(&self, path: &str, body: Value) -> Result<Value, Error> {
        let answer = async {
            let response = self.send(path, &body).await?;
            let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES);
            let bytes = body.collect().await.map_err(unknown)?.to_bytes();
            serde_json::from_slice(&bytes).map_err(unknown)
        };
        timeout(self.timeout, answer).await.unwrap_or_else(|_| {
            Err(Error::Unknown {
                message: format!("no answer in {:?}", self.timeout),
            })
        })
    }

    /// Reads a watch stream up to its first event.
    async fn wait(&self, body: Value) -> Result<Option<Entry>, Error> {
        let mut body = self.send("/v3/watch", &body).await?.into_body();
        let mut buffer = Vec::new();
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame.map_err(unknown)?.into_data() else {
                continue;
            };
            buffer.extend_from_slice(&data);
            if buffer.len() > MAX_ANSWER_BYTES {
                return Err(Error::Unknown {
                    message: "the watch event is too long".into(),
                });
            }
            while let Some(end) = buffer.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = buffer.drain(..=end).collect();
                let message: Value = serde_json::from_slice(&line).map_err(unknown)?;
                // Such as a compaction past the revision; no event follows.
                let cancelled = &message["result"]["canceled"];
                if cancelled.as_bool() == Some(true) || !message["error"].is_null() {
                    return Err(unknown(format!("the store ended the watch: {message}")));
                }
                let Some(event) = message["result"]["events"]
                    .as_array()
                    .and_then(|it| it.last())
                else {
                    continue;
                };
                return Ok(read_entry(&event["kv"]));
            }
        }
        Err(Error::Unknown {
            message: "the watch ended".into(),
        })
    }
}

impl Store for Etcd {
    fn read<'a>(&'a self, key: &'a str) -> Call<'a, Option<Entry>> {
        Box::pin(async move {
            let answer = self
                .call("/v3/kv/range", json!({ "key": STANDARD.encode(key) }))
                .await?;
            Ok(answer["kvs"].get(0).and_then(read_entry))
        })
    }

    fn swap<'a>(&'a self, key: &'a str, expected: Revision, value: Vec<u8>) -> Call<'a, Swap> {
        Box::pin(async move {
            let key = STANDARD.encode(key);
            let body = json!({
                "compare": [{
                    "key": key,
                    "target": "MOD",
                    "result": "EQUAL",
                    "mod_revision": expected.0.to_string(),
                }],
                "success": [{ "request_put": { "key": key, "value": STANDARD.encode(value) } }],
                "failure": [{ "request_range": { "key": key } }],
            });
            let answer = self.call("/v3/kv/txn", body).await?;
            if answer["succeeded"].as_bool() == Some(true) {
                return Ok(Swap::Done);
            }
            let range = &answer["responses"][0]["response_range"];
            Ok(Swap::Conflict(range["kvs"].get(0).and_then(read_entry)))
        })
    }

    fn watch<'a>(&'a self, key: &'a str, after: Revision) -> Call<'a, Option<Entry>> {
        Box::pin(async move {
            let start = after.0.saturating_add(1).to_string();
            let create = json!({ "key": STANDARD.encode(key), "start_revision": start });
            let body = json!({ "create_request": create });
            timeout(WATCH_TIMEOUT, self.wait(body))
                .await
                .unwrap_or_else(|_| {
                    Err(Error::Unknown {
                        message: format!("no change in {WATCH_TIMEOUT:?}"),
                    })
                })
        })
    }
}

fn read_timeout(params: &Params) -> Result<Duration, plugin::Error> {
    let millis = params.number("timeout_ms", DEFAULT_TIMEOUT_MS)?;
    if (1..=MAX_TIMEOUT_MS).contains(&millis) {
        return Ok(Duration::from_millis(millis));
    }
    Err(plugin::Error::Param {
        name: "timeout_ms".to_owned(),
        value: millis.to_string(),
        expected: "1 to 60000 milliseconds",
    })
}

fn read_entry(kv: &Value) -> Option<Entry> {
    let value = STANDARD.decode(kv["value"].as_str()?).ok()?;
    let revision = Revision(kv["mod_revision"].as_str()?.parse().ok()?);
    Some(Entry { value, revision })
}

fn unreachable(error: impl ToString) -> Error {
    Error::Unreachable {
        message: error.to_string(),
    }
}

fn unknown(error: impl ToString) -> Error {
    Error::Unknown {
        message: error.to_string(),
    }
}
