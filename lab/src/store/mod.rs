//! Fake of the platform's key-value store, which speaks the JSON form of the etcd v3 protocol.
//!
//! It counts calls, limits their rates and injects faults that `POST /lab/fault` sets. All data is
//! kept in memory, within fixed limits.

pub mod fault;
pub mod kv;
mod protocol;
mod watch;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use argh::FromArgs;
use fault::CallCounts;
use fault::Faults;
use fault::Outage;
use fault::RateLimiter;
use futures::future;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use kv::KvState;
use serde_json::Value;
use serde_json::json;
use tokio::net::TcpListener;

use crate::Error;
use crate::http::Body;
use crate::http::CloseConnection;
use crate::http::HandlerResult;
use crate::http::ListenerLimits;
use crate::http::read_body;
use crate::http::serve;
use crate::http::text_response;
use crate::time::wall_clock_us;

/// Time between two checks for expired leases.
const LEASE_EXPIRY_INTERVAL: Duration = Duration::from_millis(100);

/// Store key of the configuration; `/lab/counts` reports the time of the last write to this key.
const CONFIG_KEY: &[u8] = b"medlar/config";

/// run the fake store
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "store")]
pub struct Args {
    /// address on which the store listens for calls of nodes
    #[argh(option)]
    listen: SocketAddr,
    /// address for counts and faults that stays reachable during an outage
    #[argh(option)]
    control: Option<SocketAddr>,
    /// reads per second; further reads are refused (default 2000)
    #[argh(option, default = "2000")]
    reads: u32,
    /// writes per second; further writes are refused (default 300)
    #[argh(option, default = "300")]
    writes: u32,
}

/// Data, faults and counts of the fake store.
struct StoreState {
    kv: KvState,
    backup: KvState,
    faults: Faults,
    counts: CallCounts,
    reads: RateLimiter,
    writes: RateLimiter,
}

/// The fake store, shared by its connections.
pub(crate) struct FakeStore {
    state: Mutex<StoreState>,
    /// Number of changes of keys and faults so far. Calls that wait for a change subscribe to this count.
    change_count: tokio::sync::watch::Sender<u64>,
    has_control_listener: bool,
}

/// Runs the fake store until the process ends.
pub async fn run(args: Args) -> Result<(), Error> {
    let now = Instant::now();
    let store = Arc::new(FakeStore {
        state: Mutex::new(StoreState {
            kv: KvState::default(),
            backup: KvState::default(),
            faults: Faults::default(),
            counts: CallCounts::default(),
            reads: RateLimiter::new(args.reads, now),
            writes: RateLimiter::new(args.writes, now),
        }),
        change_count: tokio::sync::watch::Sender::new(0),
        has_control_listener: args.control.is_some(),
    });
    tokio::spawn(run_lease_expiry(Arc::clone(&store)));
    if let Some(control) = args.control {
        let listener = TcpListener::bind(control).await?;
        let store = Arc::clone(&store);
        tokio::spawn(async move {
            serve(&listener, ListenerLimits::default(), move |request| {
                handle_request(Arc::clone(&store), request)
            })
            .await;
        });
    }
    loop {
        let refuses = |outage| outage == Outage::Refuse;
        store.wait_for_outage(|outage| !refuses(outage)).await;
        let listener = TcpListener::bind(args.listen).await?;
        let served = Arc::clone(&store);
        let serving = serve(&listener, ListenerLimits::default(), move |request| {
            handle_request(Arc::clone(&served), request)
        });
        // Dropping the listener and its connections makes new connections fail as on a dead host.
        tokio::select! {
            () = serving => {}
            () = store.wait_for_outage(refuses) => {}
        }
    }
}

/// Ends expired leases periodically.
async fn run_lease_expiry(store: Arc<FakeStore>) {
    loop {
        tokio::time::sleep(LEASE_EXPIRY_INTERVAL).await;
        if store.state().kv.expire_leases(Instant::now()) {
            store.notify_changed();
        }
    }
}

async fn handle_request(store: Arc<FakeStore>, request: Request<Incoming>) -> HandlerResult {
    let path = request.uri().path().to_owned();
    let body = read_body(request.into_body()).await?;
    if path.starts_with("/lab/") {
        return Ok(store.handle_control(&path, &body));
    }
    let Ok(body) = serde_json::from_slice::<Value>(&body) else {
        return Ok(error_response(
            StatusCode::BAD_REQUEST,
            "the body is not JSON",
        ));
    };
    let faults = store.state().faults.clone();
    crate::time::sleep(faults.delay).await;
    if faults.outage == Outage::Hang {
        store.wait_for_outage(|outage| outage != Outage::Hang).await;
        return Err(CloseConnection);
    }
    let kind = match path.as_str() {
        "/v3/kv/range" => "range",
        "/v3/kv/txn" => "txn",
        "/v3/kv/put" => "put",
        "/v3/kv/deleterange" => "delete",
        "/v3/watch" => "watch",
        "/v3/lease/grant" => "lease-grant",
        "/v3/lease/keepalive" => "lease-keepalive",
        "/v3/lease/revoke" | "/v3/kv/lease/revoke" => "lease-revoke",
        _ => return Ok(error_response(StatusCode::NOT_FOUND, "no such call")),
    };
    if !store.state().admit_call(kind) {
        let status = StatusCode::TOO_MANY_REQUESTS;
        return Ok(error_response(status, "etcdserver: too many requests"));
    }
    if kind == "watch" {
        return Ok(watch::start_watch(store, &body["create_request"]));
    }
    store.handle_call(kind, &body)
}

impl FakeStore {
    fn state(&self) -> MutexGuard<'_, StoreState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn notify_changed(&self) {
        self.change_count.send_modify(|count| *count += 1);
    }

    /// Waits until `wanted` accepts the current outage.
    async fn wait_for_outage(&self, wanted: impl Fn(Outage) -> bool) {
        let mut changes = self.change_count.subscribe();
        while !wanted(self.state().faults.outage) {
            if changes.changed().await.is_err() {
                future::pending::<()>().await;
            }
        }
    }

    /// Handles a request for counts or faults.
    fn handle_control(&self, path: &str, body: &[u8]) -> Response<Body> {
        match path {
            "/lab/counts" => {
                let state = self.state();
                let counts = state.counts.to_json(state.kv.revision());
                text_response(StatusCode::OK, counts.to_string())
            }
            "/lab/fault" => {
                let body = serde_json::from_slice(body).unwrap_or_default();
                let done = self
                    .state()
                    .apply_fault_settings(&body, self.has_control_listener);
                self.notify_changed();
                match done {
                    Ok(()) => text_response(StatusCode::OK, "{}"),
                    Err(message) => error_response(StatusCode::BAD_REQUEST, &message),
                }
            }
            _ => error_response(StatusCode::NOT_FOUND, "no such path"),
        }
    }

    /// Executes a call of the protocol other than a watch.
    fn handle_call(&self, kind: &str, body: &Value) -> HandlerResult {
        let mut state = self.state();
        let before = state.kv.revision();
        let done = state.execute_call(kind, body);
        let wrote = state.kv.revision() > before;
        let response_lost = wrote && state.faults.take_lost_response();
        if state
            .kv
            .get(CONFIG_KEY)
            .is_some_and(|it| it.mod_revision > before)
        {
            state.counts.config_written_us = wall_clock_us();
        }
        drop(state);
        if wrote {
            self.notify_changed();
        }
        if response_lost {
            return Err(CloseConnection);
        }
        Ok(match done {
            Ok(response) => text_response(StatusCode::OK, response.to_string()),
            Err(message) => error_response(StatusCode::BAD_REQUEST, message),
        })
    }
}

impl StoreState {
    /// Counts a call; returns false if it exceeds the rate limit.
    fn admit_call(&mut self, kind: &'static str) -> bool {
        let now = Instant::now();
        let allowed = match kind {
            "range" | "watch" => self.reads.try_take(now),
            _ => self.writes.try_take(now),
        };
        self.counts
            .record_call(if allowed { kind } else { "refused" });
        allowed
    }

    fn apply_fault_settings(
        &mut self,
        body: &Value,
        has_control_listener: bool,
    ) -> Result<(), String> {
        let faults = self.faults.with_changes(body)?;
        if faults.outage == Outage::Refuse && !has_control_listener {
            return Err("the outage \"refuse\" requires the option --control".into());
        }
        self.faults = faults;
        let now = Instant::now();
        if let Some(reads) = body["reads_per_s"].as_u64() {
            self.reads = RateLimiter::new(u32::try_from(reads).unwrap_or(u32::MAX), now);
        }
        if let Some(writes) = body["writes_per_s"].as_u64() {
            self.writes = RateLimiter::new(u32::try_from(writes).unwrap_or(u32::MAX), now);
        }
        if body["backup"] == true {
            self.backup = self.kv.clone();
        }
        if body["restore"] == true {
            self.kv = self.backup.clone();
            self.counts.restores += 1;
        }
        Ok(())
    }

    fn execute_call(&mut self, kind: &str, body: &Value) -> Result<Value, &'static str> {
        const MALFORMED: &str = "malformed key or value";
        let now = Instant::now();
        let kv = &mut self.kv;
        match kind {
            "range" => {
                let entries = kv.range(&protocol::parse_key_range(body).ok_or(MALFORMED)?);
                let mut response = protocol::range_json(&entries);
                response["header"] = protocol::header_json(kv);
                Ok(response)
            }
            "put" => {
                kv.apply(&[protocol::parse_put(body).ok_or(MALFORMED)?])?;
                Ok(json!({ "header": protocol::header_json(kv) }))
            }
            "delete" => {
                let range = protocol::parse_key_range(body).ok_or(MALFORMED)?;
                kv.apply(&[kv::Operation::Delete(range)])?;
                Ok(json!({ "header": protocol::header_json(kv) }))
            }
            "lease-grant" => {
                let ttl = protocol::parse_integer(&body["TTL"]).clamp(1, 3_600);
                let id = kv.grant(now, Duration::from_secs(ttl))?;
                Ok(json!({ "ID": id.to_string(), "TTL": ttl.to_string() }))
            }
            "lease-keepalive" => {
                let id = protocol::parse_integer(&body["ID"]);
                let ttl = kv.keep_alive(now, id).map_or(0, |it| it.as_secs());
                Ok(json!({ "result": { "ID": id.to_string(), "TTL": ttl.to_string() } }))
            }
            "lease-revoke" if kv.revoke(protocol::parse_integer(&body["ID"])) => {
                Ok(json!({ "header": protocol::header_json(kv) }))
            }
            "lease-revoke" => Err("etcdserver: requested lease not found"),
            _ => protocol::execute_transaction(kv, body),
        }
    }
}

/// Builds an error response in the form of the protocol.
fn error_response(status: StatusCode, message: &str) -> Response<Body> {
    text_response(status, json!({ "message": message }).to_string())
}
