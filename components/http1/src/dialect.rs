//! Extension point `dialect`: header conventions between the node, callers and the upstream.
//!
//! A dialect reads the head of a caller's request, sets the headers of a request to the upstream,
//! classifies the upstream's response and builds the responses to refused requests. The default
//! dialect is `medlar`; other crates can register more.

use std::time::Duration;

use hyper::HeaderMap;
use hyper::StatusCode;
use hyper::header::AUTHORIZATION;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderValue;
use hyper::header::RETRY_AFTER;
use hyper::http::response::Parts;
use linkme::distributed_slice;
use serde_json::json;

use crate::responses::parse_header;
use errors::Reason;
use errors::Verdict;
use ids::KeyDigest;
use ids::RequestId;
use kernel::Plugin;
use kernel::plugin;
use kernel::plugin::EXTENSION_POINTS;
use kernel::plugin::ExtensionPoint;
use policy::LimitNotice;
use traffic::Refusal;
use wire::header;

/// Registered dialect plug-ins.
#[distributed_slice]
pub static DIALECT_PLUGINS: [Plugin<dyn Dialect>];

#[distributed_slice(EXTENSION_POINTS)]
static EXTENSION_POINT: ExtensionPoint = ExtensionPoint {
    kind: "dialect",
    names: || plugin::list_names(&DIALECT_PLUGINS),
};

/// Name of the default dialect.
pub(crate) const DEFAULT_DIALECT: &str = "medlar";

/// Value of `medlar-retry-owner` which states that an outer level of the call chain retries.
const RETRY_OWNER_VALUE: &[u8] = b"1";

/// What the head of a caller's request asks for.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestDirectives {
    /// Time until the caller's deadline; `None` if it sets none.
    pub time_left: Option<Duration>,
    /// Whether an outer level of the call chain retries the request.
    pub outer_retries: bool,
    /// Request at this node's upstream on whose behalf the call is made.
    pub parent: Option<RequestId>,
    /// Whether a leaving node still accepts the request.
    pub allowed_while_leaving: bool,
    /// Digest of the key that the request carries.
    pub key: Option<KeyDigest>,
}

/// What a dialect needs to know of a request that is sent to the upstream.
#[derive(Clone, Copy, Debug)]
pub struct DispatchContext<'a> {
    /// Internal identifier of the request.
    pub id: RequestId,
    /// Time until the request's deadline.
    pub time_left: Duration,
    /// Identifier of the upstream's current run, if it has announced one.
    pub run_id: Option<&'a str>,
    /// Name of the caller's organisation, if the request belongs to one.
    pub organisation: Option<&'a str>,
}

/// What the head of a response proves about the execution of the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseClass {
    /// The response belongs to the request, which has run.
    Ran,
    /// The upstream has not run the request.
    NotRun,
    /// The response belongs to another request.
    Mismatched,
}

/// Reads the value of the header in which an upstream names its rate limit, in requests a second.
pub fn read_rate_limit(value: Option<&HeaderValue>) -> LimitNotice {
    let rate = value.map(|value| value.to_str().ok()?.parse().ok());
    match rate {
        None => LimitNotice::Unlimited,
        Some(Some(rate)) => LimitNotice::Limited(rate),
        Some(None) => LimitNotice::Unreadable,
    }
}

/// Removes the header `name` of a caller's request and returns the digest of the key that it contains. The key
/// itself is kept nowhere.
pub fn take_key(headers: &mut HeaderMap, name: &str) -> Option<KeyDigest> {
    let value = headers.remove(name)?;
    Some(KeyDigest::of(value.as_bytes()))
}

/// What an upstream states about itself in the head of a response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UpstreamNotice {
    /// What the response says of a limit on the rate of requests from all nodes together.
    pub rate_limit: LimitNotice,
    /// Whether the upstream is leaving.
    pub leaving: bool,
}

/// Response to a caller whose request is refused or has failed.
#[derive(Clone, Debug)]
pub struct RefusalResponse {
    /// HTTP status.
    pub status: StatusCode,
    /// All headers except those that hyper adds.
    pub headers: HeaderMap,
    /// Text of the body.
    pub body: String,
}

/// Header conventions between the node, callers and the upstream.
pub trait Dialect: Send + Sync {
    /// Reads the head of a caller's request. Replaces or removes headers that callers may not set.
    fn read_request_head(&self, headers: &mut HeaderMap) -> RequestDirectives;

    /// Identifier that the caller gave the request, for log lines.
    fn trace_id<'a>(&self, headers: &'a HeaderMap) -> Option<&'a HeaderValue>;

    /// Value by which a request names its caller, if it does; part of the request's fingerprint.
    fn caller_id<'a>(&self, headers: &'a HeaderMap) -> Option<&'a HeaderValue> {
        headers.get(AUTHORIZATION)
    }

    /// Sets the headers of a request that is sent to the upstream.
    fn set_dispatch_headers(&self, headers: &mut HeaderMap, dispatch: &DispatchContext<'_>);

    /// Classifies the head of a response to the request with this trace identifier.
    /// `status_means_not_run` states whether the configuration lists the status as one that means
    /// "not run".
    fn classify_response(
        &self,
        trace_id: Option<&HeaderValue>,
        response: &Parts,
        status_means_not_run: bool,
    ) -> ResponseClass;

    /// Reads what the upstream states about itself in a response; `None` if the response is not from the run
    /// that the request was intended for.
    fn read_notice(&self, response: &Parts) -> Option<UpstreamNotice>;

    /// Whether a response without a declared length is complete when the upstream closes the
    /// connection.
    fn accepts_close_delimited(&self) -> bool;

    /// Builds the response to a caller whose request is refused or has failed.
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

/// The default dialect.
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
            key: take_key(headers, header::KEY),
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
        if let Some(Ok(name)) = dispatch.organisation.map(HeaderValue::from_str) {
            headers.insert(header::ORGANISATION_NAME, name);
        }
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

    fn read_notice(&self, response: &Parts) -> Option<UpstreamNotice> {
        let leaving = response.headers.get(header::LEAVING);
        Some(UpstreamNotice {
            rate_limit: read_rate_limit(response.headers.get(header::RATE_LIMIT)),
            leaving: leaving.is_some_and(|value| value.as_bytes() == b"1"),
        })
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

/// HTTP status with which a refusal or failure is reported to callers.
pub fn refusal_status(refusal: Refusal) -> StatusCode {
    match (refusal.reason, refusal.verdict) {
        (Reason::NoRoute, _) => StatusCode::NOT_FOUND,
        (Reason::UnknownKey, Verdict::NotRun) => StatusCode::UNAUTHORIZED,
        (Reason::LimitReached, Verdict::NotRun) => StatusCode::TOO_MANY_REQUESTS,
        (Reason::TooLarge, _) => StatusCode::PAYLOAD_TOO_LARGE,
        (Reason::Malformed, Verdict::NotRun) => StatusCode::BAD_REQUEST,
        (Reason::DeadlinePassed | Reason::ConnectionSilent, Verdict::MayHaveRun) => {
            StatusCode::GATEWAY_TIMEOUT
        }
        (_, Verdict::NotRun) => StatusCode::SERVICE_UNAVAILABLE,
        (_, Verdict::MayHaveRun | Verdict::Ran) => StatusCode::BAD_GATEWAY,
    }
}
