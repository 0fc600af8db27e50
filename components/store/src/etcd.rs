//! Plug-in `etcd-json`: a store behind the JSON gateway of the etcd v3 API.

use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
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
use crate::http::MAX_RESPONSE_BYTES;
use crate::http::outcome_unknown;
use crate::http::timed_out;
use kernel::Plugin;
use kernel::plugin;
use kernel::plugin::Params;
use spread::Revision;

/// Time limit of one watch call. Ends a watch whose connection is open but no longer delivers events.
const WATCH_TIMEOUT: Duration = Duration::from_secs(20);

#[distributed_slice(STORE_PLUGINS)]
static PLUGIN: Plugin<dyn Store> = Plugin {
    name: "etcd-json",
    make: |params| Ok(Box::new(EtcdStore::from_params(params)?)),
};

/// Store at one address.
#[derive(Clone, Debug)]
struct EtcdStore {
    client: HttpClient,
}

impl EtcdStore {
    fn from_params(params: &Params) -> Result<Self, plugin::Error> {
        let client = HttpClient::from_params(params)?;
        Ok(Self { client })
    }

    /// Posts a request and returns the JSON body of a successful response.
    async fn call(&self, path: &str, body: Value) -> Result<Value, Error> {
        let call = self
            .client
            .call(Method::POST, path, Some(&body), Duration::ZERO);
        let response = call.await?;
        check_status(response.status())?;
        Ok(response.into_body())
    }

    /// Reads a key if it has changed. The value can be long and has mostly not changed, so only its revision is read
    /// first.
    async fn read_if_changed(&self, key: &str, after: Revision) -> Result<WatchOutcome, Error> {
        let body = json!({ "key": STANDARD.encode(key), "keys_only": true });
        let response = self.call("/v3/kv/range", body).await?;
        let store_revision = parse_revision(&response["header"]["revision"]);
        let revision = parse_revision(&response["kvs"][0]["mod_revision"]);
        match store_revision.filter(|it| it.includes(after)) {
            Some(current) if revision.is_some_and(|it| after.includes(it)) => {
                Ok(WatchOutcome::Unchanged(current))
            }
            _ => self.read(key).await.map(WatchOutcome::Changed),
        }
    }

    /// Waits for the first change of a key after a revision.
    async fn read_watch(&self, key: &str, after: Revision) -> Result<Entry, Error> {
        let start = after.number.saturating_add(1).to_string();
        let create = json!({ "key": STANDARD.encode(key), "start_revision": start });
        let body = json!({ "create_request": create });
        self.read_watch_event(body, after).await
    }

    /// Reads a watch stream up to the first message with events. Returns the entry of its last event,
    /// which has no value if that event deleted the key.
    async fn read_watch_event(&self, body: Value, after: Revision) -> Result<Entry, Error> {
        let body = Bytes::from(body.to_string());
        let response = self.client.send(Method::POST, "/v3/watch", body);
        let response = response.await?;
        check_status(response.status())?;
        let mut body = response.into_body();
        let mut buffer = Vec::new();
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame.map_err(outcome_unknown)?.into_data() else {
                continue;
            };
            buffer.extend_from_slice(&data);
            if buffer.len() > MAX_RESPONSE_BYTES {
                return Err(Error::OutcomeUnknown {
                    message: "the watch event is too large".into(),
                });
            }
            while let Some(end) = buffer.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = buffer.drain(..=end).collect();
                let message: Value = serde_json::from_slice(&line).map_err(outcome_unknown)?;
                // No event follows a cancellation, which happens, for example, if the start revision
                // was compacted.
                let cancelled = &message["result"]["canceled"];
                if cancelled.as_bool() == Some(true) || !message["error"].is_null() {
                    return Err(outcome_unknown(format!(
                        "the store ended the watch: {message}"
                    )));
                }
                // A store that was restored would otherwise be silent until it reaches the revision.
                let current = parse_revision(&message["result"]["header"]["revision"]);
                if let Some(current) = current.filter(|it| !it.includes(after)) {
                    return Err(outcome_unknown(format!(
                        "the store has returned to revision {}",
                        current.number
                    )));
                }
                let Some(event) = message["result"]["events"]
                    .as_array()
                    .and_then(|it| it.last())
                else {
                    continue;
                };
                return Ok(decode_entry(&event["kv"], None));
            }
        }
        Err(Error::OutcomeUnknown {
            message: "the watch ended".into(),
        })
    }
}

impl Store for EtcdStore {
    fn read<'a>(&'a self, key: &'a str) -> StoreFuture<'a, Entry> {
        Box::pin(async move {
            let response = self
                .call("/v3/kv/range", json!({ "key": STANDARD.encode(key) }))
                .await?;
            let store_revision = parse_revision(&response["header"]["revision"]);
            Ok(decode_entry(&response["kvs"][0], store_revision))
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
                    "mod_revision": expected.number.to_string(),
                }],
                "success": [{ "request_put": { "key": key, "value": STANDARD.encode(value) } }],
                "failure": [{ "request_range": { "key": key } }],
            });
            let response = self.call("/v3/kv/txn", body).await?;
            let store_revision = parse_revision(&response["header"]["revision"]);
            if response["succeeded"].as_bool() == Some(true) {
                return Ok(SwapOutcome::Done(store_revision.unwrap_or_default()));
            }
            let range = &response["responses"][0]["response_range"];
            Ok(SwapOutcome::Conflict(decode_entry(
                &range["kvs"][0],
                store_revision,
            )))
        })
    }

    fn watch<'a>(&'a self, key: &'a str, after: Revision) -> StoreFuture<'a, WatchOutcome> {
        Box::pin(async move {
            let watch_result = timeout(WATCH_TIMEOUT, self.read_watch(key, after)).await;
            // A timeout is an error, not `Unchanged`: a silent connection may as well be dead.
            watch_result
                .map(|response| response.map(WatchOutcome::Changed))
                .unwrap_or_else(|_| Err(timed_out(format!("no change within {WATCH_TIMEOUT:?}"))))
        })
    }

    fn watch_within<'a>(
        &'a self,
        key: &'a str,
        after: Revision,
        wait: Duration,
    ) -> StoreFuture<'a, WatchOutcome> {
        Box::pin(async move {
            match timeout(wait, self.read_watch(key, after)).await {
                Ok(outcome) => outcome.map(WatchOutcome::Changed),
                // Silence does not show that nothing has changed: the connection may be dead.
                Err(_) => self.read_if_changed(key, after).await,
            }
        })
    }
}

/// Maps the status of a response to a result.
fn check_status(status: StatusCode) -> Result<(), Error> {
    let message = format!("status {status}");
    // A gateway can respond with 5xx after the write has taken effect.
    match status {
        status if status.is_success() => Ok(()),
        status if status.is_client_error() => Err(Error::Refused { message }),
        _ => Err(Error::OutcomeUnknown { message }),
    }
}

/// Decodes a key-value pair of a response that was complete at `store_revision`. A missing or
/// malformed pair, and that of a deleted key, stand for a missing key.
fn decode_entry(kv: &Value, store_revision: Option<Revision>) -> Entry {
    let value = kv["value"].as_str().and_then(|it| STANDARD.decode(it).ok());
    let revision = parse_revision(&kv["mod_revision"]);
    let store_revision = store_revision.or(revision).unwrap_or_default();
    let (value, revision) = value.zip(revision).unzip();
    Entry {
        value,
        revision: revision.unwrap_or_default(),
        store_revision,
    }
}

fn parse_revision(number: &Value) -> Option<Revision> {
    let number: u64 = number.as_str()?.parse().ok()?;
    Some(Revision::from(number))
}
