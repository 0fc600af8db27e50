//! Answers to single requests.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header::ALLOW;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderValue;
use serde::Serialize;
use serde_json::Value;
use serde_json::json;
use tokio::sync::mpsc;
use tokio::time::timeout;

use crate::Announcement;
use crate::Status;
use crate::explain::explain;
use crate::query::read_query;
use crate::view::list_members;
use control::Input;
use front::TrafficDriver;

/// Longest accepted body, in bytes; an announcement has about 100.
const MAX_BODY_BYTES: usize = 4 * 1024;
/// Longest time for a body to arrive, and for the control thread to take an input.
const STEP_LIMIT: Duration = Duration::from_secs(2);

/// What the admin listener shows and steers.
#[derive(Clone)]
pub struct AdminHandler {
    driver: Arc<TrafficDriver>,
    inputs: mpsc::Sender<Input>,
    settings: Arc<str>,
}

pub(crate) type Answer = Response<Full<Bytes>>;

impl AdminHandler {
    /// A node with its settings as text.
    pub fn new(driver: Arc<TrafficDriver>, inputs: mpsc::Sender<Input>, settings: String) -> Self {
        Self {
            driver,
            inputs,
            settings: Arc::from(settings),
        }
    }

    /// Answers one request.
    pub(crate) async fn handle(&self, request: Request<Incoming>) -> Answer {
        let path = request.uri().path();
        let Some(allowed) = method_of(path) else {
            let known = PATHS.map(|(path, _)| path).join(", ");
            return refuse(
                StatusCode::NOT_FOUND,
                format!("no such path; known: {known}"),
            );
        };
        if request.method() != allowed {
            let mut answer = refuse(
                StatusCode::METHOD_NOT_ALLOWED,
                format!("{path} takes {allowed}"),
            );
            if let Ok(value) = HeaderValue::from_str(allowed.as_str()) {
                answer.headers_mut().insert(ALLOW, value);
            }
            return answer;
        }
        match path {
            "/status" => give(&Status::new(&self.driver)),
            "/members" => give(&list_members(&self.driver.topology())),
            "/explain" => self.explain(request.uri().query()),
            "/settings" => text(&self.settings),
            "/metrics" => match self.driver.metrics().encode() {
                Ok(metrics) => text(&metrics),
                Err(error) => refuse(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
            },
            "/drain" => self.forward(Input::Drain, &json!({})).await,
            "/upstream" => self.announce(request).await,
            _ => refuse(StatusCode::NOT_FOUND, "no such path".into()),
        }
    }

    fn explain(&self, query: Option<&str>) -> Answer {
        let method = read_query(query, "method");
        match method.and_then(|method| Ok((method, read_query(query, "path")?))) {
            Ok((method, path)) => give(&explain(&self.driver.topology(), &method, &path)),
            Err(message) => refuse(StatusCode::BAD_REQUEST, message),
        }
    }

    async fn announce(&self, request: Request<Incoming>) -> Answer {
        let body = Limited::new(request.into_body(), MAX_BODY_BYTES);
        let body = match timeout(STEP_LIMIT, body.collect()).await {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(_)) => {
                let message =
                    format!("the body is broken off or longer than {MAX_BODY_BYTES} bytes");
                return refuse(StatusCode::PAYLOAD_TOO_LARGE, message);
            }
            Err(_) => {
                let message = "the body did not arrive in time".into();
                return refuse(StatusCode::REQUEST_TIMEOUT, message);
            }
        };
        let read = serde_json::from_slice::<Announcement>(&body);
        let read = read.map_err(|error| error.to_string()).and_then(|it| {
            let topology = self.driver.topology();
            let snapshot = topology.snapshot.as_ref();
            let listed = snapshot.is_some_and(|known| known.find_service(&it.service).is_some());
            Ok((it.into_input().map_err(str::to_owned)?, listed))
        });
        match read {
            // A service that is not listed may be so with the next version, so it is no error.
            Ok((input, listed)) => self.forward(input, &json!({ "listed": listed })).await,
            Err(message) => refuse(StatusCode::BAD_REQUEST, message),
        }
    }

    async fn forward(&self, input: Input, done: &Value) -> Answer {
        match timeout(STEP_LIMIT, self.inputs.send(input)).await {
            Ok(Ok(())) => give(done),
            Ok(Err(_)) => refuse(
                StatusCode::SERVICE_UNAVAILABLE,
                "the node is stopping".into(),
            ),
            Err(_) => refuse(StatusCode::SERVICE_UNAVAILABLE, "the node is busy".into()),
        }
    }
}

/// Paths with their method.
const PATHS: [(&str, Method); 7] = [
    ("/status", Method::GET),
    ("/members", Method::GET),
    ("/explain", Method::GET),
    ("/metrics", Method::GET),
    ("/settings", Method::GET),
    ("/drain", Method::POST),
    ("/upstream", Method::PUT),
];

fn method_of(path: &str) -> Option<Method> {
    let found = PATHS.into_iter().find(|(known, _)| *known == path);
    found.map(|(_, method)| method)
}

fn give(value: &impl Serialize) -> Answer {
    match serde_json::to_string(value) {
        Ok(text) => answer(StatusCode::OK, "application/json", text + "\n"),
        Err(error) => refuse(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
    }
}

fn text(text: &str) -> Answer {
    answer(StatusCode::OK, "text/plain; charset=utf-8", text.to_owned())
}

/// A refusal with a body that says why.
pub(crate) fn refuse(status: StatusCode, message: String) -> Answer {
    answer(status, "text/plain; charset=utf-8", message + "\n")
}

fn answer(status: StatusCode, kind: &'static str, text: String) -> Answer {
    let mut response = Response::new(Full::new(Bytes::from(text)));
    *response.status_mut() = status;
    let kind = HeaderValue::from_static(kind);
    response.headers_mut().insert(CONTENT_TYPE, kind);
    response
}
