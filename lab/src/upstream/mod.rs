//! Fake upstream with slots, cold start, load shedding, drain, onward calls (calls to another service
//! through the upstream's node) and misleading health responses.

mod announce;
pub mod behaviour;
mod endless;
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
use behaviour::HealthReporting;
use endless::EndlessBody;
use http_body_util::BodyExt;
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
use crate::http::Body;
use crate::http::HandlerResult;
use crate::http::ListenerLimits;
use crate::http::full_body;
use crate::http::text_response;
use crate::load::response::build_response;
use crate::time;

/// Maximum time that a draining upstream waits for the requests that it executes.
const MAX_DRAIN_TIME: Duration = Duration::from_secs(30);
/// Minimum time from SIGTERM to the exit, in which the nodes learn that the upstream is draining.
const MIN_DRAIN_TIME: Duration = Duration::from_millis(500);

/// run a fake upstream
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "upstream")]
pub struct Args {
    /// address on which the upstream listens
    #[argh(option)]
    listen: SocketAddr,
    /// admin address of the upstream's node
    #[argh(option)]
    node: SocketAddr,
    /// address of the upstream's node for callers, to which onward calls are sent
    #[argh(option)]
    entry: Option<SocketAddr>,
    /// name of the upstream's service
    #[argh(option)]
    service: String,
    /// maximum number of requests that the upstream executes at once
    #[argh(option, default = "10")]
    slots: u32,
    /// maximum number of connections that the upstream keeps open at once
    #[argh(option, default = "100")]
    connections: u32,
    /// time until a new connection is served, in microseconds
    #[argh(option, default = "1000")]
    connect_us: u64,
    /// time that a request takes, in milliseconds
    #[argh(option, default = "5")]
    work_ms: u64,
    /// time that a request takes if its path has a prefix: PREFIX=MICROSECONDS
    #[argh(option)]
    work: Vec<String>,
    /// path of the call to another service that requests with a path prefix cause: PREFIX=PATH
    #[argh(option)]
    onward: Vec<String>,
    /// time after the start in which the upstream announces itself as warming, in milliseconds
    #[argh(option, default = "0")]
    warm_ms: u64,
    /// time after the start in which the upstream is cold, that is slower, in milliseconds
    #[argh(option, default = "0")]
    cold_ms: u64,
    /// factor on the time that a request takes while the upstream is cold
    #[argh(option, default = "4.0")]
    cold_factor: f64,
    /// file to which the ledger of executed requests is written
    #[argh(option)]
    ledger: Option<PathBuf>,
}

/// State of the running fake upstream.
struct Upstream {
    args: Args,
    behaviour: Mutex<Behaviour>,
    started: Instant,
    slots: Arc<Semaphore>,
    /// Number of requests that are executing.
    executing: AtomicU64,
    /// Number of requests shed since the start.
    shed: AtomicU64,
    draining: AtomicBool,
    ledger: Arc<Ledger>,
}

/// Serves requests until SIGTERM, then drains and announces to the node that the upstream is gone.
pub async fn run(args: Args) -> Result<(), Error> {
    let announcement = Announcement {
        node: args.node,
        service: args.service.clone(),
        slots: args.slots,
        max_connections: args.connections,
    };
    let upstream = Arc::new(Upstream {
        behaviour: Mutex::new(Behaviour::parse(&args)?),
        started: Instant::now(),
        slots: Arc::new(Semaphore::new(args.slots as usize)),
        executing: AtomicU64::new(0),
        shed: AtomicU64::new(0),
        draining: AtomicBool::new(false),
        ledger: Arc::new(Ledger::create(args.ledger.as_deref())?),
        args,
    });
    let listener = TcpListener::bind(upstream.args.listen).await?;
    let limits = ListenerLimits {
        max_connections: upstream.args.connections as usize,
        connect_delay: Duration::from_micros(upstream.args.connect_us),
    };
    let served = Arc::clone(&upstream);
    let serving = http::serve(&listener, limits, move |request| {
        handle_request(Arc::clone(&served), request)
    });
    let (states, receiver) = watch::channel("warming");
    let life_cycle = run_life_cycle(&upstream, states, &announcement);
    tokio::select! {
        () = serving => Ok(()),
        () = announcement.send_repeatedly(receiver) => Ok(()),
        result = life_cycle => result,
    }
}

/// Takes the upstream through the states warming, ready, draining and gone.
async fn run_life_cycle(
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
    let busy = || upstream.executing.load(Ordering::Relaxed) > 0;
    while began.elapsed() < MIN_DRAIN_TIME || (busy() && began.elapsed() < MAX_DRAIN_TIME) {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    announcement.send("gone").await;
    Ok(())
}

async fn handle_request(upstream: Arc<Upstream>, request: Request<Incoming>) -> HandlerResult {
    let path = request.uri().path().to_owned();
    match path.as_str() {
        "/lab/ledger" => Ok(text_response(StatusCode::OK, upstream.ledger.text())),
        "/lab/behaviour" => {
            let body = http::read_body(request.into_body()).await?;
            let result = upstream.behaviour().apply_changes(&body);
            Ok(match result {
                Ok(()) => text_response(StatusCode::OK, "{}"),
                Err(message) => text_response(StatusCode::BAD_REQUEST, message),
            })
        }
        "/health" | "/load" => upstream.report_health().await,
        _ => upstream.execute(&path, request).await,
    }
}

impl Upstream {
    fn behaviour(&self) -> std::sync::MutexGuard<'_, Behaviour> {
        self.behaviour
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Responds with health and load, accurately or not as [`HealthReporting`] says.
    async fn report_health(&self) -> HandlerResult {
        let health_reporting = self.behaviour().health_reporting;
        let mut executing = self.executing.load(Ordering::Relaxed);
        let mut healthy = !self.behaviour().failing;
        match health_reporting {
            HealthReporting::AlwaysHealthy => (executing, healthy) = (0, true),
            HealthReporting::Delayed(time) => time::sleep(time).await,
            HealthReporting::Accurate => {}
        }
        let shed = self.shed.load(Ordering::Relaxed);
        let body = json!({ "healthy": healthy, "running": executing, "shed": shed });
        let code = if healthy {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        Ok(text_response(code, body.to_string()))
    }

    /// Executes a request, or sheds it if no slot is free.
    async fn execute(&self, path: &str, request: Request<Incoming>) -> HandlerResult {
        let (head, body) = request.into_parts();
        let id = header_text(&head, "medlar-request-id")
            .unwrap_or("-")
            .to_owned();
        let request_number = header_number(&head, "x-booking").unwrap_or(0);
        let Ok(_slot) = self.slots.try_acquire() else {
            self.shed.fetch_add(1, Ordering::Relaxed);
            self.ledger.record_shed(&id, request_number);
            return Ok(text_response(
                StatusCode::SERVICE_UNAVAILABLE,
                "no free slot\n",
            ));
        };
        // Guards are dropped in reverse order, so that the ledger records the end before the slot is
        // free.
        let _count_guard = ExecutionCountGuard::new(&self.executing);
        let execution = self
            .ledger
            .record_start(&id, request_number, &self.args.service, path);
        http::read_body(body).await?;
        let began = Instant::now();
        let plan = self
            .behaviour()
            .plan(path, request_number, self.started.elapsed());
        if plan.failing {
            execution.finish();
            return Ok(text_response(
                StatusCode::INTERNAL_SERVER_ERROR,
                "failing\n",
            ));
        }
        let time_left = header_number(&head, "medlar-deadline-us").map(Duration::from_micros);
        if let Some(time_left) = time_left
            && time_left < plan.work_time
        {
            time::sleep(time_left).await;
            return Ok(text_response(
                StatusCode::GATEWAY_TIMEOUT,
                "deadline passed\n",
            ));
        }
        time::sleep(plan.work_time).await;
        let onward = match plan.onward {
            Some(target) => self.call_onward(&head, &target, time_left, began).await,
            None => String::new(),
        };
        execution.finish();
        if plan.endless {
            return Ok(Response::new(EndlessBody::default().boxed()));
        }
        let size = plan.response_bytes;
        Ok(build_response(
            &self.args.service,
            path,
            request_number,
            &onward,
            size,
        ))
    }

    /// Calls another service through the upstream's node, with the remaining time and the headers of the
    /// request, and returns a summary of the response.
    async fn call_onward(
        &self,
        head: &Parts,
        target: &str,
        time_left: Option<Duration>,
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
        if let (Some(time_left), Some(headers)) = (time_left, request.headers_mut()) {
            let time_left = time_left.saturating_sub(began.elapsed()).as_micros();
            headers.insert(
                "medlar-deadline-us",
                u64::try_from(time_left).unwrap_or(0).into(),
            );
        }
        let Ok(request) = request.body(full_body("")) else {
            return "malformed".into();
        };
        match http::send(entry, request).await {
            Ok(response) => onward_result(&response),
            Err(_) => "broken".into(),
        }
    }
}

/// Summarizes the response to a call of another service: its status code, directly followed by the refusal
/// reason of the node if the response has one.
fn onward_result(response: &Response<bytes::Bytes>) -> String {
    let reason = response.headers().get("medlar-reason");
    let reason = reason.and_then(|it| it.to_str().ok()).unwrap_or("");
    format!("{}{reason}", response.status().as_u16())
}

/// Counts a request as executing until dropped.
struct ExecutionCountGuard<'a>(&'a AtomicU64);

impl<'a> ExecutionCountGuard<'a> {
    fn new(count: &'a AtomicU64) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self(count)
    }
}

impl Drop for ExecutionCountGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

fn header_text<'a>(head: &'a Parts, name: &str) -> Option<&'a str> {
    head.headers.get(name)?.to_str().ok()
}

fn header_number(head: &Parts, name: &str) -> Option<u64> {
    header_text(head, name)?.parse().ok()
}

/// Response of the fake upstream.
pub(crate) type BoxedResponse = Response<Body>;
