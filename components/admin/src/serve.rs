//! The admin listener.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use serde::Deserialize;
use serde::Serialize;
use tokio::net::TcpListener;
use tokio::sync::mpsc;

use crate::Announcement;
use control::Input;
use front::Desk;

/// Longest accepted body, in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024;

/// Body of `GET /status`.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub struct Status {
    /// Identity of the node.
    pub node: String,
    /// Its failure domain.
    pub domain: String,
    /// Stage of its life.
    pub life: String,
    /// Version in force; 0 before the first.
    pub version: u64,
    /// Hash of the text in force.
    pub digest: String,
    /// Requests that run at its upstream.
    pub running: u32,
    /// Requests that wait.
    pub queued: u32,
}

/// Serves the admin listener until the future is dropped.
pub async fn serve(
    listener: TcpListener,
    desk: Arc<Desk>,
    inputs: mpsc::Sender<Input>,
) -> Result<(), Infallible> {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::task::yield_now().await;
            continue;
        };
        let desk = Arc::clone(&desk);
        let inputs = inputs.clone();
        tokio::spawn(async move {
            let service = service_fn(move |request| {
                let desk = Arc::clone(&desk);
                let inputs = inputs.clone();
                async move { Ok::<_, Infallible>(handle(&desk, &inputs, request).await) }
            });
            // Errors are those of the other end.
            let _ = http1::Builder::new()
                .timer(TokioTimer::new())
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

type Answer = Response<Full<Bytes>>;

async fn handle(desk: &Desk, inputs: &mpsc::Sender<Input>, request: Request<Incoming>) -> Answer {
    let method = request.method().clone();
    let path = request.uri().path().to_owned();
    match (method, path.as_str()) {
        (Method::GET, "/status") => json(&status(desk)),
        (Method::GET, "/metrics") => match desk.counters().encode() {
            Ok(text) => answer(StatusCode::OK, text),
            Err(error) => answer(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
        },
        (Method::POST, "/drain") => forward(inputs, Input::Drain).await,
        (Method::PUT, "/upstream") => announce(inputs, request).await,
        _ => answer(StatusCode::NOT_FOUND, "no such path\n"),
    }
}

async fn announce(inputs: &mpsc::Sender<Input>, request: Request<Incoming>) -> Answer {
    let Ok(body) = Limited::new(request.into_body(), MAX_BODY_BYTES)
        .collect()
        .await
    else {
        return answer(StatusCode::PAYLOAD_TOO_LARGE, "the body is too long\n");
    };
    let announcement: Announcement = match serde_json::from_slice(&body.to_bytes()) {
        Ok(announcement) => announcement,
        Err(error) => return answer(StatusCode::BAD_REQUEST, format!("{error}\n")),
    };
    match announcement.into_input() {
        Ok(input) => forward(inputs, input).await,
        Err(message) => answer(StatusCode::BAD_REQUEST, format!("{message}\n")),
    }
}

async fn forward(inputs: &mpsc::Sender<Input>, input: Input) -> Answer {
    match inputs.send(input).await {
        Ok(()) => answer(StatusCode::OK, "{}\n"),
        Err(_) => answer(StatusCode::SERVICE_UNAVAILABLE, "the node is stopping\n"),
    }
}

fn status(desk: &Desk) -> Status {
    let picture = desk.picture();
    let load = desk.load();
    let snapshot = picture.snapshot.as_ref();
    Status {
        node: picture.me.to_string(),
        domain: picture.domain.to_string(),
        life: format!("{:?}", picture.life).to_lowercase(),
        version: snapshot.map_or(0, |it| it.version().0),
        digest: snapshot.map_or_else(String::new, |it| it.digest().to_string()),
        running: load.running,
        queued: load.queued,
    }
}

fn json(value: &impl Serialize) -> Answer {
    match serde_json::to_string(value) {
        Ok(text) => answer(StatusCode::OK, text + "\n"),
        Err(error) => answer(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
    }
}

fn answer(status: StatusCode, text: impl Into<Bytes>) -> Answer {
    let mut response = Response::new(Full::new(text.into()));
    *response.status_mut() = status;
    response
}

/// Binds the admin address.
pub async fn bind(address: SocketAddr) -> std::io::Result<TcpListener> {
    TcpListener::bind(address).await
}
