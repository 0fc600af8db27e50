//! Handler of the requests to the admin API.

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
use crate::query::query_param;
use crate::view::list_members;
use control::Input;
use front::TrafficDriver;

/// Maximum length of a request body in bytes; an announcement has about 100.
const MAX_BODY_BYTES: usize = 4 * 1024;
/// Timeout of receiving a body, and of passing an input to the control thread.
const OPERATION_TIMEOUT: Duration = Duration::from_secs(2);

/// Handler of the admin API of one node.
#[derive(Clone)]
pub struct AdminHandler {
    driver: Arc<TrafficDriver>,
    inputs: mpsc::Sender<Input>,
    settings: Arc<str>,
}

/// Response of the admin API.
pub(crate) type AdminResponse = Response<Full<Bytes>>;

impl AdminHandler {
    /// Creates a handler; `settings` is the text that `GET /settings` returns.
    pub fn new(driver: Arc<TrafficDriver>, inputs: mpsc::Sender<Input>, settings: String) -> Self {
        Self {
            driver,
            inputs,
            settings: Arc::from(settings),
        }
    }

    /// Handles one request.
    pub(crate) async fn handle(&self, request: Request<Incoming>) -> AdminResponse {
        let path = request.uri().path();
        let Some(allowed) = allowed_method(path) else {
            let paths = PATHS.map(|(path, _)| path).join(", ");
            return error_response(
                StatusCode::NOT_FOUND,
                format!("no such path; available: {paths}"),
            );
        };
        if request.method() != allowed {
            let mut response = error_response(
                StatusCode::METHOD_NOT_ALLOWED,
                format!("{path} accepts only {allowed}"),
            );
            if let Ok(value) = HeaderValue::from_str(allowed.as_str()) {
                response.headers_mut().insert(ALLOW, value);
            }
            return response;
        }
        match path {
            "/status" => json_response(&Status::new(&self.driver)),
            "/members" => json_response(&list_members(&self.driver.topology())),
            "/explain" => self.explain(request.uri().query()),
            "/settings" => text_response(&self.settings),
            "/metrics" => match self.driver.metrics().encode() {
                Ok(metrics) => text_response(&metrics),
                Err(error) => error_response(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
            },
            "/drain" => self.send_to_control(Input::Drain, &json!({})).await,
            "/upstream" => self.announce(request).await,
            _ => error_response(StatusCode::NOT_FOUND, "no such path".into()),
        }
    }

    /// Handles `GET /explain`.
    fn explain(&self, query: Option<&str>) -> AdminResponse {
        let method = query_param(query, "method");
        match method.and_then(|method| Ok((method, query_param(query, "path")?))) {
            Ok((method, path)) => json_response(&explain(&self.driver.topology(), &method, &path)),
            Err(message) => error_response(StatusCode::BAD_REQUEST, message),
        }
    }

    /// Handles `PUT /upstream`.
    async fn announce(&self, request: Request<Incoming>) -> AdminResponse {
        let body = Limited::new(request.into_body(), MAX_BODY_BYTES);
        let body = match timeout(OPERATION_TIMEOUT, body.collect()).await {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(_)) => {
                let message =
                    format!("the body is incomplete or longer than {MAX_BODY_BYTES} bytes");
                return error_response(StatusCode::PAYLOAD_TOO_LARGE, message);
            }
            Err(_) => {
                let message = "the body did not arrive in time".into();
                return error_response(StatusCode::REQUEST_TIMEOUT, message);
            }
        };
        let parsed = serde_json::from_slice::<Announcement>(&body);
        let parsed = parsed
            .map_err(|error| error.to_string())
            .and_then(|announcement| {
                let topology = self.driver.topology();
                let snapshot = topology.snapshot.as_ref();
                let listed =
                    snapshot.is_some_and(|it| it.find_service(&announcement.service).is_some());
                Ok((announcement.into_input().map_err(str::to_owned)?, listed))
            });
        match parsed {
            // The next configuration version may list a service that this one does not, so this is
            // not an error.
            Ok((input, listed)) => {
                self.send_to_control(input, &json!({ "listed": listed }))
                    .await
            }
            Err(message) => error_response(StatusCode::BAD_REQUEST, message),
        }
    }

    /// Sends an input to the control thread; responds with `success` once the input is queued.
    async fn send_to_control(&self, input: Input, success: &Value) -> AdminResponse {
        match timeout(OPERATION_TIMEOUT, self.inputs.send(input)).await {
            Ok(Ok(())) => json_response(success),
            Ok(Err(_)) => error_response(
                StatusCode::SERVICE_UNAVAILABLE,
                "the node is stopping".into(),
            ),
            Err(_) => error_response(StatusCode::SERVICE_UNAVAILABLE, "the node is busy".into()),
        }
    }
}

/// Paths of the admin API, each with the method that it accepts.
const PATHS: [(&str, Method); 7] = [
    ("/status", Method::GET),
    ("/members", Method::GET),
    ("/explain", Method::GET),
    ("/metrics", Method::GET),
    ("/settings", Method::GET),
    ("/drain", Method::POST),
    ("/upstream", Method::PUT),
];

/// Method that a path accepts; `None` if the path does not exist.
fn allowed_method(path: &str) -> Option<Method> {
    let entry = PATHS.into_iter().find(|(it, _)| *it == path);
    entry.map(|(_, method)| method)
}

fn json_response(value: &impl Serialize) -> AdminResponse {
    match serde_json::to_string(value) {
        Ok(text) => response_with(StatusCode::OK, "application/json", text + "\n"),
        Err(error) => error_response(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
    }
}

fn text_response(text: &str) -> AdminResponse {
    response_with(StatusCode::OK, "text/plain; charset=utf-8", text.to_owned())
}

/// A response with an error status and `message` as its body.
pub(crate) fn error_response(status: StatusCode, message: String) -> AdminResponse {
    response_with(status, "text/plain; charset=utf-8", message + "\n")
}

fn response_with(status: StatusCode, content_type: &'static str, text: String) -> AdminResponse {
    let mut response = Response::new(Full::new(Bytes::from(text)));
    *response.status_mut() = status;
    let content_type = HeaderValue::from_static(content_type);
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}
