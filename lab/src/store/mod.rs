//! Stand-in for the platform's key-value service, in the JSON form of the etcd v3 protocol.
//!
//! Counts calls, limits rates and takes faults by `POST /lab/fault`. Keeps everything in memory and
//! within bounds.

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
use fault::Counts;
use fault::Faults;
use fault::Outage;
use fault::Rate;
use futures::future;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use kv::Kv;
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

/// Time between two looks for expired leases.
const EXPIRY_PERIOD: Duration = Duration::from_millis(100);

/// Key of the operators' text; the time of its last write is given with the counts.
const CONFIG_KEY: &[u8] = b"medlar/config";

/// run the stand-in store
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "store")]
pub struct Args {
    /// address to listen on
    #[argh(option)]
    listen: SocketAddr,
    /// address for counts and faults that an outage leaves open
    #[argh(option)]
    control: Option<SocketAddr>,
    /// reads a second; more are refused (default 2000)
    #[argh(option, default = "2000")]
    reads: u32,
    /// writes a second; more are refused (default 300)
    #[argh(option, default = "300")]
    writes: u32,
}

struct State {
    kv: Kv,
    backup: Kv,
    faults: Faults,
    counts: Counts,
    reads: Rate,
    writes: Rate,
}

pub(crate) struct Store {
    state: Mutex<State>,
    /// Counts changes of keys and faults, so that waiting calls look again.
    changed: tokio::sync::watch::Sender<u64>,
    has_control: bool,
}

/// Serves until the process ends.
pub async fn run(args: Args) -> Result<(), Error> {
    let now = Instant::now();
    let store = Arc::new(Store {
        state: Mutex::new(State {
            kv: Kv::default(),
            backup: Kv::default(),
            faults: Faults::default(),
            counts: Counts::default(),
            reads: Rate::new(args.reads, now),
            writes: Rate::new(args.writes, now),
        }),
        changed: tokio::sync::watch::Sender::new(0),
        has_control: args.control.is_some(),
    });
    tokio::spawn(expire(Arc::clone(&store)));
    if let Some(control) = args.control {
        let listener = TcpListener::bind(control).await?;
        let store = Arc::clone(&store);
        tokio::spawn(async move {
            serve(&listener, ListenerLimits::default(), move |request| {
                answer(Arc::clone(&store), request)
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
            answer(Arc::clone(&served), request)
        });
        // Dropping the listener and its connections makes new connections fail as on a dead host.
        tokio::select! {
            () = serving => {}
            () = store.wait_for_outage(refuses) => {}
        }
    }
}

async fn expire(store: Arc<Store>) {
    loop {
        tokio::time::sleep(EXPIRY_PERIOD).await;
        if store.state().kv.expire(Instant::now()) {
            store.announce();
        }
    }
}

async fn answer(store: Arc<Store>, request: Request<Incoming>) -> HandlerResult {
    let path = request.uri().path().to_owned();
    let body = read_body(request.into_body()).await?;
    if path.starts_with("/lab/") {
        return Ok(store.control(&path, &body));
    }
    let Ok(body) = serde_json::from_slice::<Value>(&body) else {
        return Ok(refuse(StatusCode::BAD_REQUEST, "the body is no JSON"));
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
        _ => return Ok(refuse(StatusCode::NOT_FOUND, "no such call")),
    };
    if !store.state().take_call(kind) {
        let status = StatusCode::TOO_MANY_REQUESTS;
        return Ok(refuse(status, "etcdserver: too many requests"));
    }
    if kind == "watch" {
        return Ok(watch::answer(store, &body["create_request"]));
    }
    store.answer_call(kind, &body)
}

impl Store {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn announce(&self) {
        self.changed.send_modify(|count| *count += 1);
    }

    async fn wait_for_outage(&self, wanted: impl Fn(Outage) -> bool) {
        let mut changes = self.changed.subscribe();
        while !wanted(self.state().faults.outage) {
            if changes.changed().await.is_err() {
                future::pending::<()>().await;
            }
        }
    }

    fn control(&self, path: &str, body: &[u8]) -> Response<Body> {
        match path {
            "/lab/counts" => {
                let state = self.state();
                let counts = state.counts.json(state.kv.revision());
                text_response(StatusCode::OK, counts.to_string())
            }
            "/lab/fault" => {
                let body = serde_json::from_slice(body).unwrap_or_default();
                let done = self.state().set_fault(&body, self.has_control);
                self.announce();
                match done {
                    Ok(()) => text_response(StatusCode::OK, "{}"),
                    Err(message) => refuse(StatusCode::BAD_REQUEST, &message),
                }
            }
            _ => refuse(StatusCode::NOT_FOUND, "no such path"),
        }
    }

    fn answer_call(&self, kind: &str, body: &Value) -> HandlerResult {
        let mut state = self.state();
        let before = state.kv.revision();
        let done = state.run_call(kind, body);
        let wrote = state.kv.revision() > before;
        let lost = wrote && state.faults.lose_answer();
        if state
            .kv
            .find(CONFIG_KEY)
            .is_some_and(|it| it.revision > before)
        {
            state.counts.config_written_us = wall_clock_us();
        }
        drop(state);
        if wrote {
            self.announce();
        }
        if lost {
            return Err(CloseConnection);
        }
        Ok(match done {
            Ok(answer) => text_response(StatusCode::OK, answer.to_string()),
            Err(message) => refuse(StatusCode::BAD_REQUEST, message),
        })
    }
}

impl State {
    /// Counts a call; false if it exceeds its rate.
    fn take_call(&mut self, kind: &'static str) -> bool {
        let now = Instant::now();
        let allowed = match kind {
            "range" | "watch" => self.reads.take(now),
            _ => self.writes.take(now),
        };
        self.counts.count(if allowed { kind } else { "refused" });
        allowed
    }

    fn set_fault(&mut self, body: &Value, has_control: bool) -> Result<(), String> {
        let faults = self.faults.changed_by(body)?;
        if faults.outage == Outage::Refuse && !has_control {
            return Err("the outage \"refuse\" needs the option --control".into());
        }
        self.faults = faults;
        let now = Instant::now();
        if let Some(reads) = body["reads_per_s"].as_u64() {
            self.reads = Rate::new(u32::try_from(reads).unwrap_or(u32::MAX), now);
        }
        if let Some(writes) = body["writes_per_s"].as_u64() {
            self.writes = Rate::new(u32::try_from(writes).unwrap_or(u32::MAX), now);
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

    fn run_call(&mut self, kind: &str, body: &Value) -> Result<Value, &'static str> {
        const MALFORMED: &str = "malformed key or value";
        let now = Instant::now();
        let kv = &mut self.kv;
        match kind {
            "range" => {
                let entries = kv.range(&protocol::span(body).ok_or(MALFORMED)?);
                let mut answer = protocol::range_json(&entries);
                answer["header"] = protocol::header(kv);
                Ok(answer)
            }
            "put" => {
                kv.apply(&[protocol::put(body).ok_or(MALFORMED)?])?;
                Ok(json!({ "header": protocol::header(kv) }))
            }
            "delete" => {
                let span = protocol::span(body).ok_or(MALFORMED)?;
                kv.apply(&[kv::Operation::Delete(span)])?;
                Ok(json!({ "header": protocol::header(kv) }))
            }
            "lease-grant" => {
                let ttl = protocol::number(&body["TTL"]).clamp(1, 3_600);
                let id = kv.grant(now, Duration::from_secs(ttl))?;
                Ok(json!({ "ID": id.to_string(), "TTL": ttl.to_string() }))
            }
            "lease-keepalive" => {
                let id = protocol::number(&body["ID"]);
                let ttl = kv.keep_alive(now, id).map_or(0, |it| it.as_secs());
                Ok(json!({ "result": { "ID": id.to_string(), "TTL": ttl.to_string() } }))
            }
            "lease-revoke" if kv.revoke(protocol::number(&body["ID"])) => {
                Ok(json!({ "header": protocol::header(kv) }))
            }
            "lease-revoke" => Err("etcdserver: requested lease not found"),
            _ => protocol::transact(kv, body),
        }
    }
}

fn refuse(status: StatusCode, message: &str) -> Response<Body> {
    text_response(status, json!({ "message": message }).to_string())
}
