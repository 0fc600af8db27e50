//! Names and rules of HTTP messages with callers and with the upstream.
//!
//! The front end asks the dialect what a caller's head says, what to write on a request for the
//! upstream, what the head of an answer proves and what a refusal looks like. The dialect `medlar` is
//! the project's own; a crate that speaks another one registers it.

use std::time::Duration;

use hyper::HeaderMap;
use hyper::StatusCode;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderValue;
use hyper::header::RETRY_AFTER;
use hyper::http::response::Parts;
use linkme::distributed_slice;
use serde_json::json;

use crate::responses::parse_header;
use errors::Reason;
use errors::Verdict;
use ids::RequestId;
use kernel::Plugin;
use kernel::plugin;
use kernel::plugin::EXTENSION_POINTS;
use kernel::plugin::ExtensionPoint;
use traffic::Refusal;
use wire::header;

/// Registered dialects.
#[distributed_slice]
pub static DIALECT_PLUGINS: [Plugin<dyn Dialect>];

#[distributed_slice(EXTENSION_POINTS)]
static EXTENSION_POINT: ExtensionPoint = ExtensionPoint {
    kind: "dialect",
    names: || plugin::list_names(&DIALECT_PLUGINS),
};

/// Name of the project's own dialect.
pub(crate) const DEFAULT_DIALECT: &str = "medlar";

/// Value of `medlar-retry-owner` by which a level further out says that it retries.
const RETRY_OWNER_VALUE: &[u8] = b"1";

/// What the head of a caller's request says.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestDirectives {
    /// Time that the caller waits; `None` if it sets no deadline.
    pub time_left: Option<Duration>,
    /// Whether a level further out retries.
    pub outer_retries: bool,
    /// The request that runs at this node's upstream and makes this call.
    pub parent: Option<RequestId>,
    /// Whether a leaving node takes the request all the same.
    pub allowed_while_leaving: bool,
}

/// A request as it goes to the upstream.
#[derive(Clone, Copy, Debug)]
pub struct DispatchContext<'a> {
    /// Identity of the request inside the system.
    pub id: RequestId,
    /// Time until its deadline.
    pub time_left: Duration,
    /// Identity of the upstream's present run, if it has one.
    pub run_id: Option<&'a str>,
}

/// What the head of an upstream's answer proves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseClass {
    /// It is the answer to this request, which has run.
    Ran,
    /// The upstream has not run the request.
    NotRun,
    /// It is the answer to another request.
    Mismatched,
}

/// Status and headers of a refusal, and its body.
#[derive(Clone, Debug)]
pub struct RefusalResponse {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: String,
}

/// Names and rules of HTTP messages with callers and the upstream.
pub trait Dialect: Send + Sync {
    /// Reads a caller's head and replaces or removes the headers that only the system sets.
    fn read_request_head(&self, headers: &mut HeaderMap) -> RequestDirectives;

    /// Identity of the request as its caller knows it, for logs.
    fn trace_id<'a>(&self, headers: &'a HeaderMap) -> Option<&'a HeaderValue>;

    /// Writes what the upstream is told.
    fn set_dispatch_headers(&self, headers: &mut HeaderMap, dispatch: &DispatchContext<'_>);

    /// Judges the head of an answer to the request with this trace; `listed` tells whether the
    /// configuration lists the status as one that means not run.
    fn classify_response(
        &self,
        trace: Option<&HeaderValue>,
        response: &Parts,
        status_means_not_run: bool,
    ) -> ResponseClass;

    /// Whether an answer without a length that ends with its connection is complete.
    fn accepts_close_delimited(&self) -> bool;

    /// What a caller gets in place of an answer.
    fn refusal_response(&self, refusal: Refusal) -> RefusalResponse;
}

#[distributed_slice(DIALECT_PLUGINS)]
static PLUGIN: Plugin<dyn Dialect> = Plugin {
    name: DEFAULT_DIALECT,
    make: |params| {
        params.check_names(&[])?;
        Ok(Box::new(MedlarDialect))
    },
};

/// The project's own dialect.
#[derive(Clone, Copy, Debug)]
struct MedlarDialect;

impl Dialect for MedlarDialect {
    fn read_request_head(&self, headers: &mut HeaderMap) -> RequestDirectives {
        RequestDirectives {
            time_left: parse_header(headers, header::DEADLINE).map(Duration::from_micros),
            outer_retries: headers
                .get(header::RETRY_OWNER)
                .is_some_and(|value| value.as_bytes() == RETRY_OWNER_VALUE),
            parent: parse_header(headers, header::REQUEST_ID),
            allowed_while_leaving: false,
        }
    }

    fn trace_id<'a>(&self, _: &'a HeaderMap) -> Option<&'a HeaderValue> {
        None
    }

    fn set_dispatch_headers(&self, headers: &mut HeaderMap, dispatch: &DispatchContext<'_>) {
        let values = [
            (header::REQUEST_ID, dispatch.id.to_string()),
            (header::DEADLINE, dispatch.time_left.as_micros().to_string()),
        ];
        for (name, value) in values {
            if let Ok(value) = HeaderValue::from_str(&value) {
                headers.insert(name, value);
            }
        }
        headers.insert(header::RETRY_OWNER, HeaderValue::from_static("1"));
    }

    fn classify_response(
        &self,
        _: Option<&HeaderValue>,
        _: &Parts,
        status_means_not_run: bool,
    ) -> ResponseClass {
        if status_means_not_run {
            ResponseClass::NotRun
        } else {
            ResponseClass::Ran
        }
    }

    fn accepts_close_delimited(&self) -> bool {
        false
    }

    fn refusal_response(&self, refusal: Refusal) -> RefusalResponse {
        let body = json!({
            "reason": refusal.reason.name(),
            "verdict": refusal.verdict.name(),
            "message": refusal.reason.summary(),
        });
        let mut headers = HeaderMap::new();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        let reason = HeaderValue::from_static(refusal.reason.name());
        headers.insert(header::REASON, reason);
        let verdict = HeaderValue::from_static(refusal.verdict.name());
        headers.insert(header::VERDICT, verdict);
        let seconds = refusal.retry_after.as_millis().div_ceil(1_000);
        if let Ok(value) = HeaderValue::from_str(&seconds.to_string()) {
            headers.insert(RETRY_AFTER, value);
        }
        RefusalResponse {
            status: refusal_status(refusal),
            headers,
            body: format!("{body}\n"),
        }
    }
}

/// Status by which callers see a refusal.
pub fn refusal_status(refusal: Refusal) -> StatusCode {
    match (refusal.reason, refusal.verdict) {
        (Reason::NoRoute, _) => StatusCode::NOT_FOUND,
        (Reason::TooLarge, _) => StatusCode::PAYLOAD_TOO_LARGE,
        (Reason::Malformed, Verdict::NotRun) => StatusCode::BAD_REQUEST,
        (Reason::DeadlinePassed | Reason::ConnectionSilent, Verdict::MayHaveRun) => {
            StatusCode::GATEWAY_TIMEOUT
        }
        (_, Verdict::NotRun) => StatusCode::SERVICE_UNAVAILABLE,
        (_, Verdict::MayHaveRun | Verdict::Ran) => StatusCode::BAD_GATEWAY,
    }
}
