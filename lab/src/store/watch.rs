//! Watches of the fake store: responses that stream JSON lines.

use std::convert::Infallible;
use std::sync::Arc;

use bytes::Bytes;
use futures::StreamExt;
use futures::stream;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Frame;
use serde_json::Value;
use serde_json::json;
use tokio::sync::watch::Receiver;

use super::FakeStore;
use super::error_response;
use super::fault::Outage;
use super::kv::KeyRange;
use super::protocol;
use crate::http::Body;

/// An open watch; `open_watches` counts it until it is dropped.
struct Watch {
    store: Arc<FakeStore>,
    changes: Receiver<u64>,
    range: KeyRange,
    /// First revision whose events have not been sent.
    next_revision: u64,
    /// Number of restores of the store when the watch started.
    restores: u64,
    cancelled: bool,
}

impl Drop for Watch {
    fn drop(&mut self) {
        self.store.state().counts.open_watches -= 1;
    }
}

/// Starts a watch, which streams the events of the keys from `start_revision` on.
pub(crate) fn start_watch(store: Arc<FakeStore>, create: &Value) -> Response<Body> {
    let Some(range) = protocol::parse_key_range(create) else {
        return error_response(StatusCode::BAD_REQUEST, "malformed key");
    };
    let (next_revision, restores, header) = {
        let mut state = store.state();
        state.counts.open_watches += 1;
        let start = protocol::parse_integer(&create["start_revision"]);
        let next_revision = if start == 0 {
            state.kv.revision() + 1
        } else {
            start
        };
        (
            next_revision,
            state.counts.restores,
            protocol::header_json(&state.kv),
        )
    };
    let watch = Watch {
        changes: store.change_count.subscribe(),
        store,
        range,
        next_revision,
        restores,
        cancelled: false,
    };
    let created = json!({ "result": { "header": header, "watch_id": "0", "created": true } });
    let events = stream::unfold(watch, |mut watch| async move {
        let message = watch.next_message().await?;
        Some((json_line(&message), watch))
    });
    let first = stream::once(async move { json_line(&created) });
    Response::new(BodyExt::boxed(StreamBody::new(first.chain(events))))
}

impl Watch {
    /// Waits for the next message of the stream; `None` ends the stream.
    async fn next_message(&mut self) -> Option<Value> {
        loop {
            self.changes.borrow_and_update();
            if self.cancelled {
                return None;
            }
            if let Some(message) = self.pending_message()? {
                return Some(message);
            }
            self.changes.changed().await.ok()?;
        }
    }

    /// Returns a message with the events that have not been sent, if any, or `None` if the stream ends
    /// because the store refuses connections or was restored.
    fn pending_message(&mut self) -> Option<Option<Value>> {
        let state = self.store.state();
        if state.faults.outage == Outage::Hang {
            return Some(None);
        }
        // A restore stands for a new process of the store, so its watches end.
        if state.faults.outage == Outage::Refuse || state.counts.restores != self.restores {
            return None;
        }
        let header = protocol::header_json(&state.kv);
        let events = match state.kv.events(&self.range, self.next_revision) {
            Ok(events) => events,
            Err(oldest) => {
                self.cancelled = true;
                return Some(Some(json!({ "result": {
                    "header": header,
                    "canceled": true,
                    "compact_revision": oldest.to_string(),
                }})));
            }
        };
        let Some(last) = events.last() else {
            return Some(None);
        };
        self.next_revision = last.entry.mod_revision + 1;
        let events: Vec<Value> = events.iter().map(protocol::event_json).collect();
        Some(Some(
            json!({ "result": { "header": header, "events": events } }),
        ))
    }
}

fn json_line(value: &Value) -> Result<Frame<Bytes>, Infallible> {
    Ok(Frame::data(Bytes::from(format!("{value}\n"))))
}
