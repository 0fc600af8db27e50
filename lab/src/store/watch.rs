//! Watches of the stand-in store: streams of JSON lines.

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

use super::Store;
use super::fault::Outage;
use super::kv::Span;
use super::protocol;
use super::refuse;
use crate::http::Body;

/// One open watch; counted while it exists.
struct Watch {
    store: Arc<Store>,
    changes: Receiver<u64>,
    span: Span,
    next: u64,
    restores: u64,
    cancelled: bool,
}

impl Drop for Watch {
    fn drop(&mut self) {
        self.store.state().counts.open_watches -= 1;
    }
}

/// Streams the events of the keys from `start_revision` on.
pub(crate) fn answer(store: Arc<Store>, create: &Value) -> Response<Body> {
    let Some(span) = protocol::span(create) else {
        return refuse(StatusCode::BAD_REQUEST, "malformed key");
    };
    let (next, restores, header) = {
        let mut state = store.state();
        state.counts.open_watches += 1;
        let start = protocol::number(&create["start_revision"]);
        let next = if start == 0 {
            state.kv.revision() + 1
        } else {
            start
        };
        (next, state.counts.restores, protocol::header(&state.kv))
    };
    let watch = Watch {
        changes: store.changed.subscribe(),
        store,
        span,
        next,
        restores,
        cancelled: false,
    };
    let created = json!({ "result": { "header": header, "watch_id": "0", "created": true } });
    let events = stream::unfold(watch, |mut watch| async move {
        let message = watch.next_message().await?;
        Some((line(&message), watch))
    });
    let first = stream::once(async move { line(&created) });
    Response::new(BodyExt::boxed(StreamBody::new(first.chain(events))))
}

impl Watch {
    /// Waits for events; `None` ends the stream.
    async fn next_message(&mut self) -> Option<Value> {
        loop {
            self.changes.borrow_and_update();
            if self.cancelled {
                return None;
            }
            if let Some(message) = self.look()? {
                return Some(message);
            }
            self.changes.changed().await.ok()?;
        }
    }

    /// The events that are due, if any; `None` if the store is out or was restored.
    fn look(&mut self) -> Option<Option<Value>> {
        let state = self.store.state();
        if state.faults.outage == Outage::Hang {
            return Some(None);
        }
        // A restored store is a new process, so its watches end.
        if state.faults.outage == Outage::Refuse || state.counts.restores != self.restores {
            return None;
        }
        let header = protocol::header(&state.kv);
        let events = match state.kv.events(&self.span, self.next) {
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
        self.next = last.entry.revision + 1;
        let events: Vec<Value> = events.iter().map(protocol::event_json).collect();
        Some(Some(
            json!({ "result": { "header": header, "events": events } }),
        ))
    }
}

fn line(value: &Value) -> Result<Frame<Bytes>, Infallible> {
    Ok(Frame::data(Bytes::from(format!("{value}\n"))))
}
