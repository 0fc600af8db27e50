//! Stand-in for an upstream.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use argh::FromArgs;
use http_body_util::BodyExt;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use serde_json::json;

use crate::http::Body;
use crate::http::full;
use crate::http::send;
use crate::http::serve;

/// Time between two announcements.
const ANNOUNCE_PERIOD: Duration = Duration::from_secs(3);

/// run a stand-in upstream
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "upstream")]
pub(crate) struct Args {
    /// address to listen on
    #[argh(option)]
    listen: SocketAddr,
    /// admin address of its node
    #[argh(option)]
    node: SocketAddr,
    /// name of its service
    #[argh(option)]
    service: String,
    /// requests that it runs at once
    #[argh(option, default = "10")]
    slots: u32,
    /// connections that it accepts
    #[argh(option, default = "100")]
    connections: u32,
    /// time that a request takes, in milliseconds
    #[argh(option, default = "5")]
    work_ms: u64,
}

/// Serves until the process ends.
pub(crate) async fn run(args: Args) -> io::Result<()> {
    let announcement = json!({
        "service": args.service,
        "state": "ready",
        "slots": args.slots,
        "connections": args.connections,
    });
    let node = args.node;
    tokio::spawn(async move {
        loop {
            let request = Request::put("/upstream")
                .header("host", node.to_string())
                .body(full(announcement.to_string()));
            let sent = match request {
                Ok(request) => send(node, request).await.is_ok(),
                Err(_) => false,
            };
            let pause = if sent {
                ANNOUNCE_PERIOD
            } else {
                Duration::from_millis(100)
            };
            tokio::time::sleep(pause).await;
        }
    });
    let work = Duration::from_millis(args.work_ms);
    let service = args.service;
    serve(args.listen, move |request| {
        answer(service.clone(), work, request)
    })
    .await
}

async fn answer(service: String, work: Duration, request: Request<Incoming>) -> Response<Body> {
    let path = request.uri().path().to_owned();
    let bytes = request
        .into_body()
        .collect()
        .await
        .map(|it| it.to_bytes())
        .unwrap_or_default();
    tokio::time::sleep(work).await;
    Response::new(full(format!("{service} {path} {}\n", bytes.len())))
}
