//! Plug-in `etcd-json`: the JSON form of the etcd v3 protocol over HTTP.

use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use http_body_util::BodyExt;
use hyper::Method;
use hyper::StatusCode;
use linkme::distributed_slice;
use serde_json::Value;
use serde_json::json;
use tokio::time::timeout;

use crate::Entry;
use crate::Error;
use crate::HttpClient;
use crate::STORE_PLUGINS;
use crate::Store;
use crate::StoreFuture;
use crate::SwapOutcome;
use crate::WatchOutcome;
use crate::http::MAX_ANSWER_BYTES;
use crate::http::unknown;
use kernel::Plugin;
use kernel::plugin;
use kernel::plugin::Params;
use spread::Revision;

/// Longest wait of one watch call; ends watches on connections that went silent.
const WATCH_TIMEOUT: Duration = Duration::from_secs(20);

#[distributed_slice(STORE_PLUGINS)]
static PLUGIN: Plugin<dyn Store> = Plugin {
    name: "etcd-json",
    make: |params| Ok(Box::new(Etcd::from_params(params)?)),
};

/// Client of one store address.
#[derive(Clone, Debug)]
struct Etcd {
    client: HttpClient,
}

impl Etcd {
    fn from_params(params: &Params) -> Result<Self, plugin::Error> {
        let client = HttpClient::from_params(params)?;
        Ok(Self { client })
    }

    async fn call(&self, path: &str, body: Value) -> Result<Value, Error> {
        let called = self
            .client
            .call(Method::POST, path, Some(&body), Duration::ZERO);
        let (status, answer) = called.await?;
        check(status)?;
        Ok(answer)
    }

    /// Reads a watch stream up to its first event.
    async fn wait(&self, body: Value) -> Result<Option<Entry>, Error> {
        let response = self.client.send(Method::POST, "/v3/watch", Some(&body));
        let response = response.await?;
        check(response.status())?;
        let mut body = response.into_body();
        let mut buffer = Vec::new();
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame.map_err(unknown)?.into_data() else {
                continue;
            };
            buffer.extend_from_slice(&data);
            if buffer.len() > MAX_ANSWER_BYTES {
                return Err(Error::OutcomeUnknown {
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
        Err(Error::OutcomeUnknown {
            message: "the watch ended".into(),
        })
    }
}

impl Store for Etcd {
    fn read<'a>(&'a self, key: &'a str) -> StoreFuture<'a, Option<Entry>> {
        Box::pin(async move {
            let answer = self
                .call("/v3/kv/range", json!({ "key": STANDARD.encode(key) }))
                .await?;
            Ok(answer["kvs"].get(0).and_then(read_entry))
        })
    }

    fn compare_and_swap<'a>(
        &'a self,
        key: &'a str,
        expected: Revision,
        value: Vec<u8>,
    ) -> StoreFuture<'a, SwapOutcome> {
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
                return Ok(SwapOutcome::Done);
            }
            let range = &answer["responses"][0]["response_range"];
            Ok(SwapOutcome::Conflict(
                range["kvs"].get(0).and_then(read_entry),
            ))
        })
    }

    fn watch<'a>(&'a self, key: &'a str, after: Revision) -> StoreFuture<'a, WatchOutcome> {
        Box::pin(async move {
            let start = after.0.saturating_add(1).to_string();
            let create = json!({ "key": STANDARD.encode(key), "start_revision": start });
            let body = json!({ "create_request": create });
            let waited = timeout(WATCH_TIMEOUT, self.wait(body)).await;
            // The stream was silent all the time, so that nothing shows that it still works.
            waited
                .map(|answer| answer.map(WatchOutcome::Changed))
                .unwrap_or_else(|_| Err(unknown(format!("no change in {WATCH_TIMEOUT:?}"))))
        })
    }
}

fn check(status: StatusCode) -> Result<(), Error> {
    let message = format!("status {status}");
    // A gateway can answer 5xx after the write went through.
    match status {
        status if status.is_success() => Ok(()),
        status if status.is_client_error() => Err(Error::Refused { message }),
        _ => Err(Error::OutcomeUnknown { message }),
    }
}

fn read_entry(kv: &Value) -> Option<Entry> {
    let value = STANDARD.decode(kv["value"].as_str()?).ok()?;
    let revision = Revision(kv["mod_revision"].as_str()?.parse().ok()?);
    Some(Entry { value, revision })
}
