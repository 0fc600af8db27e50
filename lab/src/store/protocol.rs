//! JSON form of the etcd v3 messages: reading of requests and writing of answers.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde_json::Value;
use serde_json::json;

use super::kv::Done;
use super::kv::Entry;
use super::kv::Event;
use super::kv::Kv;
use super::kv::Operation;
use super::kv::Span;

/// Operations in one transaction.
const MAX_OPERATIONS: usize = 128;

/// An integer, which the protocol writes as text or as a number; 0 if absent.
pub(crate) fn number(value: &Value) -> u64 {
    match value {
        Value::String(text) => text.parse().unwrap_or(0),
        other => other.as_u64().unwrap_or(0),
    }
}

fn bytes(value: &Value) -> Option<Vec<u8>> {
    match value {
        Value::Null => Some(Vec::new()),
        other => STANDARD.decode(other.as_str()?).ok(),
    }
}

/// Reads `key` and `range_end`.
pub(crate) fn span(body: &Value) -> Option<Span> {
    Some(Span {
        first: bytes(&body["key"])?,
        end: bytes(&body["range_end"])?,
    })
}

/// Reads a put.
pub(crate) fn put(body: &Value) -> Option<Operation> {
    Some(Operation::Put {
        key: bytes(&body["key"])?,
        value: bytes(&body["value"])?,
        lease: number(&body["lease"]),
    })
}

/// Reads the operations of one branch of a transaction.
fn operations(list: &Value) -> Option<Vec<Operation>> {
    let empty = Vec::new();
    let list = list.as_array().unwrap_or(&empty);
    if list.len() > MAX_OPERATIONS {
        return None;
    }
    let read = |it: &Value| {
        if let Some(body) = it.get("request_put") {
            return put(body);
        }
        if let Some(body) = it.get("request_delete_range") {
            return span(body).map(Operation::Delete);
        }
        span(it.get("request_range")?).map(Operation::Range)
    };
    list.iter().map(read).collect()
}

/// Whether one comparison holds; `None` if it is malformed.
fn compare(kv: &Kv, body: &Value) -> Option<bool> {
    let entry = kv.find(&bytes(&body["key"])?);
    let order = match body["target"].as_str().unwrap_or("VERSION") {
        "VALUE" => {
            let empty = Vec::new();
            let present = entry.map_or(&empty, |it| &it.value);
            present.cmp(&bytes(&body["value"])?)
        }
        "MOD" => entry
            .map_or(0, |it| it.revision)
            .cmp(&number(&body["mod_revision"])),
        "CREATE" => entry
            .map_or(0, |it| it.created)
            .cmp(&number(&body["create_revision"])),
        "LEASE" => entry.map_or(0, |it| it.lease).cmp(&number(&body["lease"])),
        "VERSION" => entry
            .map_or(0, |it| it.version)
            .cmp(&number(&body["version"])),
        _ => return None,
    };
    match body["result"].as_str().unwrap_or("EQUAL") {
        "EQUAL" => Some(order.is_eq()),
        "NOT_EQUAL" => Some(order.is_ne()),
        "GREATER" => Some(order.is_gt()),
        "LESS" => Some(order.is_lt()),
        _ => None,
    }
}

/// Runs a transaction; an error is the message for the client.
pub(crate) fn transact(kv: &mut Kv, body: &Value) -> Result<Value, &'static str> {
    const MALFORMED: &str = "malformed transaction";
    let empty = Vec::new();
    let compares = body["compare"].as_array().unwrap_or(&empty);
    let mut holds = compares.len() <= MAX_OPERATIONS;
    for it in compares {
        holds &= compare(kv, it).ok_or(MALFORMED)?;
    }
    let branch = if holds { "success" } else { "failure" };
    let done = kv.apply(&operations(&body[branch]).ok_or(MALFORMED)?)?;
    let responses: Vec<Value> = done.iter().map(done_json).collect();
    Ok(json!({ "header": header(kv), "succeeded": holds, "responses": responses }))
}

fn done_json(done: &Done) -> Value {
    match done {
        Done::Range(entries) => json!({ "response_range": range_json(entries) }),
        Done::Put => json!({ "response_put": {} }),
        Done::Deleted(count) => {
            json!({ "response_delete_range": { "deleted": count.to_string() } })
        }
    }
}

/// `kvs` and `count` of a range.
pub(crate) fn range_json(entries: &[Entry]) -> Value {
    let kvs: Vec<Value> = entries.iter().map(entry_json).collect();
    json!({ "kvs": kvs, "count": entries.len().to_string() })
}

/// Header with the revision.
pub(crate) fn header(kv: &Kv) -> Value {
    json!({ "revision": kv.revision().to_string() })
}

fn entry_json(entry: &Entry) -> Value {
    json!({
        "key": STANDARD.encode(&entry.key),
        "value": STANDARD.encode(&entry.value),
        "create_revision": entry.created.to_string(),
        "mod_revision": entry.revision.to_string(),
        "version": entry.version.to_string(),
        "lease": entry.lease.to_string(),
    })
}

/// A watch event; the protocol leaves the type `PUT` out.
pub(crate) fn event_json(event: &Event) -> Value {
    let kv = entry_json(&event.entry);
    if event.deleted {
        return json!({ "type": "DELETE", "kv": kv });
    }
    json!({ "kv": kv })
}
