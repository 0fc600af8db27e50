//! Stand-in for an upstream: slots, cold start, shedding, drain, onward calls and misleading hints.

mod announce;
pub mod behaviour;
pub mod ledger;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use announce::Announcement;
use argh::FromArgs;
use behaviour::Behaviour;
use behaviour::Hint;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::http::request::Parts;
use ledger::Ledger;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::sync::Semaphore;
use tokio::sync::watch;

use crate::Error;
use crate::http;
use crate::http::Answer;
use crate::http::Body;
use crate::http::Gate;
use crate::http::full;
use crate::http::reply;
use crate::load::response::build_response;
use crate::time;

/// Longest wait for running requests at the end.
const DRAIN_LIMIT: Duration = Duration::from_secs(30);
/// Time for senders to learn of the drain before the process may end.
const DRAIN_LEAST: Duration = Duration::from_millis(500);

/// run a stand-in upstream
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "upstream")]
pub struct Args {
    /// address to listen on
    #[argh(option)]
    listen: SocketAddr,
    /// admin address of its node
    #[argh(option)]
    node: SocketAddr,
    /// callers address of its node, for onward calls
    #[argh(option)]
    entry: Option<SocketAddr>,
    /// name of its service
    #[argh(option)]
    service: String,
    /// requests that it runs at once
    #[argh(option, default = "10")]
    slots: u32,
    /// connections that it accepts
    #[argh(option, default = "100")]
    connections: u32,
    /// time that a new connection takes, in microseconds
    #[argh(option, default = "1000")]
    connect_us: u64,
    /// time that a request takes, in milliseconds
    #[argh(option, default = "5")]
    work_ms: u64,
    /// time that a request takes whose path starts so: PREFIX=MICROSECONDS
    #[argh(option)]
    work: Vec<String>,
    /// onward call of requests whose path starts so: PREFIX=PATH
    #[argh(option)]
    onward: Vec<String>,
    /// time after the start in which it announces itself as warming, in milliseconds
    #[argh(option, default = "0")]
    warm_ms: u64,
    /// time after the start in which it is slow, in milliseconds
    #[argh(option, default = "0")]
    cold_ms: u64,
    /// how many times slower it is while cold
    #[argh(option, default = "4.0")]
    cold_factor: f64,
    /// file to keep the ledger in
    #[argh(option)]
    ledger: Option<PathBuf>,
}

struct Upstream {
    args: Args,
    behaviour: Mutex<Behaviour>,
    started: Instant,
    slots: Arc<Semaphore>,
    running: AtomicU64,
    shed: AtomicU64,
    draining: AtomicBool,
    ledger: Arc<Ledger>,
}

/// Serves until a signal to terminate, then drains.
pub async fn run(args: Args) -> Result<(), Error> {
    let announcement = Announcement {
        node: args.node,
        service: args.service.clone(),
        slots: args.slots,
        connections: args.connections,
    };
    let upstream = Arc::new(Upstream {
        behaviour: Mutex::new(Behaviour::parse(&args)?),
        started: Instant::now(),
        slots: Arc::new(Semaphore::new(args.slots as usize)),
        running: AtomicU64::new(0),
        shed: AtomicU64::new(0),
        draining: AtomicBool::new(false),
        ledger: Arc::new(Ledger::create(args.ledger.as_deref())?),
        args,
    });
    let listener = TcpListener::bind(upstream.args.listen).await?;
    let gate = Gate {
        connections: upstream.args.connections as usize,
        connect_cost: Duration::from_micros(upstream.args.connect_us),
    };
    let served = Arc::clone(&upstream);
    let serving = http::serve(&listener, gate, move |request| {
        answer(Arc::clone(&served), request)
    });
    let (states, receiver) = watch::channel("warming");
    let living = live(&upstream, states, &announcement);
    tokio::select! {
        () = serving => Ok(()),
        () = announcement.keep_sending(receiver) => Ok(()),
        done = living => done,
    }
}

async fn live(
    upstream: &Upstream,
    states: watch::Sender<&'static str>,
    announcement: &Announcement,
) -> Result<(), Error> {
    let mut terminate = signal(SignalKind::terminate())?;
    tokio::time::sleep(Duration::from_millis(upstream.args.warm_ms)).await;
    states.send_replace("ready");
    terminate.recv().await;
    states.send_replace("draining");
    upstream.draining.store(true, Ordering::Relaxed);
    let began = Instant::now();
    let busy = || upstream.running.load(Ordering::Relaxed) > 0;
    while began.elapsed() < DRAIN_LEAST || (busy() && began.elapsed() < DRAIN_LIMIT) {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    announcement.send("gone").await;
    Ok(())
}

async fn answer(upstream: Arc<Upstream>, request: Request<Incoming>) -> Answer {
    let path = request.uri().path().to_owned();
    match path.as_str() {
        "/lab/ledger" => Ok(reply(StatusCode::OK, upstream.ledger.text())),
        "/lab/behaviour" => {
            let body = http::read_body(request.into_body()).await?;
            let done = upstream.behaviour().change(&body);
            Ok(match done {
                Ok(()) => reply(StatusCode::OK, "{}"),
                Err(message) => reply(StatusCode::BAD_REQUEST, message),
            })
        }
        "/health" | "/load" => upstream.hint().await,
        _ => upstream.work(&path, request).await,
    }
}

impl Upstream {
    fn behaviour(&self) -> std::sync::MutexGuard<'_, Behaviour> {
        self.behaviour
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Health and load, as true as the behaviour says.
    async fn hint(&self) -> Answer {
        let hint = self.behaviour().hint;
        let mut running = self.running.load(Ordering::Relaxed);
        let mut healthy = !self.behaviour().failing;
        match hint {
            Hint::Lie => (running, healthy) = (0, true),
            Hint::Lag(time) => time::sleep(time).await,
            Hint::True => {}
        }
        let shed = self.shed.load(Ordering::Relaxed);
        let body = json!({ "healthy": healthy, "running": running, "shed": shed });
        let code = if healthy {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        Ok(reply(code, body.to_string()))
    }

    async fn work(&self, path: &str, request: Request<Incoming>) -> Answer {
        let (head, body) = request.into_parts();
        let id = header(&head, "medlar-request-id").unwrap_or("-").to_owned();
        let request_number = number(&head, "x-booking").unwrap_or(0);
        let Ok(_slot) = self.slots.try_acquire() else {
            self.shed.fetch_add(1, Ordering::Relaxed);
            self.ledger.shed(&id, request_number);
            return Ok(reply(StatusCode::SERVICE_UNAVAILABLE, "no free slot\n"));
        };
        // Later guards drop first: the ledger has the end before the slot is free.
        let _count = Count::new(&self.running);
        let running = self
            .ledger
            .start(&id, request_number, &self.args.service, path);
        http::read_body(body).await?;
        let began = Instant::now();
        let plan = self.behaviour().plan(path, self.started.elapsed());
        if plan.failing {
            running.finish();
            return Ok(reply(StatusCode::INTERNAL_SERVER_ERROR, "failing\n"));
        }
        let left = number(&head, "medlar-deadline-us").map(Duration::from_micros);
        if let Some(left) = left
            && left < plan.work
        {
            time::sleep(left).await;
            return Ok(reply(StatusCode::GATEWAY_TIMEOUT, "deadline passed\n"));
        }
        time::sleep(plan.work).await;
        let onward = match plan.onward {
            Some(target) => self.call_onward(&head, &target, left, began).await,
            None => String::new(),
        };
        running.finish();
        let size = plan.answer_bytes;
        Ok(build_response(
            &self.args.service,
            path,
            request_number,
            &onward,
            size,
        ))
    }

    /// Calls another service through the own node with the deadline and headers it was given.
    async fn call_onward(
        &self,
        head: &Parts,
        target: &str,
        left: Option<Duration>,
        began: Instant,
    ) -> String {
        let Some(entry) = self.args.entry else {
            return "no-entry".into();
        };
        let mut request = Request::get(target).header("host", entry.to_string());
        for (name, value) in &head.headers {
            if name.as_str().starts_with("medlar-") || name.as_str() == "x-booking" {
                request = request.header(name, value);
            }
        }
        if let (Some(left), Some(headers)) = (left, request.headers_mut()) {
            let left = left.saturating_sub(began.elapsed()).as_micros();
            headers.insert(
                "medlar-deadline-us",
                u64::try_from(left).unwrap_or(0).into(),
            );
        }
        let Ok(request) = request.body(full("")) else {
            return "malformed".into();
        };
        match http::send(entry, request).await {
            Ok(response) => onward_result(&response),
            Err(_) => "broken".into(),
        }
    }
}

fn onward_result(response: &Response<bytes::Bytes>) -> String {
    let reason = response.headers().get("medlar-reason");
    let reason = reason.and_then(|it| it.to_str().ok()).unwrap_or("");
    format!("{}{reason}", response.status().as_u16())
}

/// Counts a request while it exists.
struct Count<'a>(&'a AtomicU64);

impl<'a> Count<'a> {
    fn new(count: &'a AtomicU64) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self(count)
    }
}

impl Drop for Count<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

fn header<'a>(head: &'a Parts, name: &str) -> Option<&'a str> {
    head.headers.get(name)?.to_str().ok()
}

fn number(head: &Parts, name: &str) -> Option<u64> {
    header(head, name)?.parse().ok()
}

/// Type of the answers of a handler.
pub(crate) type Sealed = Response<Body>;
