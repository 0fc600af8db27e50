//! JSON form of the etcd v3 messages: parsing of requests and building of responses.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde_json::Value;
use serde_json::json;

use super::kv::Entry;
use super::kv::Event;
use super::kv::KeyRange;
use super::kv::KvState;
use super::kv::Operation;
use super::kv::OperationResult;

/// Maximum number of operations, and also of comparisons, in one transaction.
const MAX_TRANSACTION_OPERATIONS: usize = 128;

/// Parses an integer, which the protocol encodes as a string or as a number; 0 if absent.
pub(crate) fn parse_integer(value: &Value) -> u64 {
    match value {
        Value::String(text) => text.parse().unwrap_or(0),
        other => other.as_u64().unwrap_or(0),
    }
}

/// Decodes base64; an absent value is empty.
fn decode_bytes(value: &Value) -> Option<Vec<u8>> {
    match value {
        Value::Null => Some(Vec::new()),
        other => STANDARD.decode(other.as_str()?).ok(),
    }
}

/// Parses the fields `key` and `range_end` of a request; `None` if one is malformed.
pub(crate) fn parse_key_range(body: &Value) -> Option<KeyRange> {
    Some(KeyRange {
        first: decode_bytes(&body["key"])?,
        end: decode_bytes(&body["range_end"])?,
    })
}

/// Parses a put operation; `None` if it is malformed.
pub(crate) fn parse_put(body: &Value) -> Option<Operation> {
    Some(Operation::Put {
        key: decode_bytes(&body["key"])?,
        value: decode_bytes(&body["value"])?,
        lease: parse_integer(&body["lease"]),
    })
}

/// Parses the operations of one branch of a transaction; `None` if one is malformed or there are too
/// many.
fn parse_operations(list: &Value) -> Option<Vec<Operation>> {
    let empty = Vec::new();
    let list = list.as_array().unwrap_or(&empty);
    if list.len() > MAX_TRANSACTION_OPERATIONS {
        return None;
    }
    let read = |it: &Value| {
        if let Some(body) = it.get("request_put") {
            return parse_put(body);
        }
        if let Some(body) = it.get("request_delete_range") {
            return parse_key_range(body).map(Operation::Delete);
        }
        parse_key_range(it.get("request_range")?).map(Operation::Range)
    };
    list.iter().map(read).collect()
}

/// Returns whether a comparison of a transaction holds; `None` if it is malformed.
fn evaluate_compare(kv: &KvState, body: &Value) -> Option<bool> {
    let entry = kv.get(&decode_bytes(&body["key"])?);
    let order = match body["target"].as_str().unwrap_or("VERSION") {
        "VALUE" => {
            let empty = Vec::new();
            let current = entry.map_or(&empty, |it| &it.value);
            current.cmp(&decode_bytes(&body["value"])?)
        }
        "MOD" => entry
            .map_or(0, |it| it.mod_revision)
            .cmp(&parse_integer(&body["mod_revision"])),
        "CREATE" => entry
            .map_or(0, |it| it.create_revision)
            .cmp(&parse_integer(&body["create_revision"])),
        "LEASE" => entry
            .map_or(0, |it| it.lease)
            .cmp(&parse_integer(&body["lease"])),
        "VERSION" => entry
            .map_or(0, |it| it.version)
            .cmp(&parse_integer(&body["version"])),
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

/// Executes a transaction; the error is the message for the client.
pub(crate) fn execute_transaction(kv: &mut KvState, body: &Value) -> Result<Value, &'static str> {
    const MALFORMED: &str = "malformed transaction";
    let empty = Vec::new();
    let compares = body["compare"].as_array().unwrap_or(&empty);
    let mut succeeded = compares.len() <= MAX_TRANSACTION_OPERATIONS;
    for it in compares {
        succeeded &= evaluate_compare(kv, it).ok_or(MALFORMED)?;
    }
    let branch = if succeeded { "success" } else { "failure" };
    let results = kv.apply(&parse_operations(&body[branch]).ok_or(MALFORMED)?)?;
    let responses: Vec<Value> = results.iter().map(operation_result_json).collect();
    Ok(json!({ "header": header_json(kv), "succeeded": succeeded, "responses": responses }))
}

fn operation_result_json(result: &OperationResult) -> Value {
    match result {
        OperationResult::Range(entries) => json!({ "response_range": range_json(entries) }),
        OperationResult::Put => json!({ "response_put": {} }),
        OperationResult::Deleted(count) => {
            json!({ "response_delete_range": { "deleted": count.to_string() } })
        }
    }
}

/// Builds the response to a range request, without its header.
pub(crate) fn range_json(entries: &[Entry]) -> Value {
    let kvs: Vec<Value> = entries.iter().map(entry_json).collect();
    json!({ "kvs": kvs, "count": entries.len().to_string() })
}

/// Builds the header of a response, which has the current revision.
pub(crate) fn header_json(kv: &KvState) -> Value {
    json!({ "revision": kv.revision().to_string() })
}

fn entry_json(entry: &Entry) -> Value {
    json!({
        "key": STANDARD.encode(&entry.key),
        "value": STANDARD.encode(&entry.value),
        "create_revision": entry.create_revision.to_string(),
        "mod_revision": entry.mod_revision.to_string(),
        "version": entry.version.to_string(),
        "lease": entry.lease.to_string(),
    })
}

/// Encodes a watch event; the protocol omits the type `PUT`.
pub(crate) fn event_json(event: &Event) -> Value {
    let kv = entry_json(&event.entry);
    if event.deleted {
        return json!({ "type": "DELETE", "kv": kv });
    }
    json!({ "kv": kv })
}
