//! Requests of callers and onward calls of the upstream.

use std::sync::Arc;
use std::time::Duration;

use hyper::HeaderMap;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::header::CONNECTION;
use hyper::header::HOST;
use hyper::header::HeaderValue;
use hyper::header::TRANSFER_ENCODING;
use tokio::time::Instant;

use crate::Shared;
use crate::answer;
use crate::answer::not_run;
use crate::attempt;
use crate::attempt::Saved;
use crate::attempt::Sent;
use crate::body::End;
use crate::body::Payload;
use crate::body::Relay;
use crate::body::Source;
use crate::events;
use crate::events::Subject;
use crate::headers::check_head;
use crate::headers::clean_request;
use crate::headers::remove_hop_headers;
use crate::headers::remove_own_headers;
use crate::intake::Intake;
use crate::listen::Session;
use errors::Reason;
use errors::Verdict;
use ids::RequestId;
use traffic::Refusal;
use traffic::entry::Attempt;
use traffic::entry::CallKey;
use traffic::entry::Effect;
use traffic::entry::Input;
use traffic::entry::RequestHead;
use traffic::entry::RouteProfile;

/// Ends the call if the caller leaves before the answer is relayed.
struct Guard {
    shared: Arc<Shared>,
    call: Option<CallKey>,
}

impl Drop for Guard {
    fn drop(&mut self) {
        if let Some(call) = self.call.take() {
            self.shared.driver.metrics().count_drop(Reason::CallerLeft);
            self.shared.driver.step_entry(Input::CallEnded { call });
        }
    }
}

impl Guard {
    fn end(mut self) {
        if let Some(call) = self.call.take() {
            self.shared.driver.step_entry(Input::CallEnded { call });
        }
    }
}

/// Answers one request of a caller.
pub(crate) async fn handle(
    shared: Arc<Shared>,
    _session: Arc<Session>,
    request: Request<Incoming>,
) -> Response<Payload> {
    let chunked = request.headers().contains_key(TRANSFER_ENCODING);
    let (mut response, close) = match serve(&shared, request).await {
        // Whether a Content-Length came along is not visible here, and after one the connection
        // must be closed (RFC 9112, 6.1).
        Ok(response) => (response, chunked),
        Err(refusal) => {
            let metrics = shared.driver.metrics();
            metrics.count_refusal("entry", refusal.reason);
            let close = [Reason::Malformed, Reason::TooLarge, Reason::DeadlinePassed];
            (
                answer::refuse(&*shared.dialect, refusal),
                close.contains(&refusal.reason),
            )
        }
    };
    if close {
        let headers = response.headers_mut();
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

async fn serve(
    shared: &Arc<Shared>,
    mut request: Request<Incoming>,
) -> Result<Response<Payload>, Refusal> {
    let arrived = shared.driver.now();
    check_head(&mut request).map_err(not_run)?;
    let (mut parts, body) = request.into_parts();
    let body = Intake::read(body, shared.limits().max_body_bytes)
        .await
        .map_err(not_run)?;
    let headers = &mut parts.headers;
    let directives = shared.dialect.read_request_head(headers);
    // Matters only while the node leaves, so the look is left out before.
    let running = |id| shared.driver.is_queued_or_running(id);
    let allowed_while_leaving = shared.driver.is_leaving()
        && (directives.allowed_while_leaving || directives.parent.is_some_and(running));
    clean_request(headers);
    let id = RequestId(rand::random());
    let mut subject = Subject {
        trace: read_trace(shared, headers, id),
        arrived,
        history: String::new(),
    };
    let head = RequestHead {
        id,
        host: read_host(&parts.headers),
        method: parts.method.as_str().to_owned(),
        path: parts.uri.path().to_owned(),
        time_left: directives.time_left,
        outer_retries: directives.outer_retries,
        replayable: body.is_whole(),
        allowed_while_leaving,
    };
    let mut saved = Saved {
        id: head.id,
        parts,
        body,
    };
    let topology = shared.driver.topology();
    let effects = shared.driver.step_entry(Input::Arrived { topology, head });
    let mut guard = Guard {
        shared: Arc::clone(shared),
        call: None,
    };
    let result = carry_out(shared, &mut saved, effects, &mut guard, &mut subject).await;
    let (response, profile, attempt) = result.inspect_err(|refusal| {
        guard.call = None;
        events::refused(shared, &subject, *refusal);
    })?;
    Ok(relay(response, guard, profile, attempt, subject))
}

/// The host that the caller asks for, without its port.
fn read_host(headers: &HeaderMap) -> Option<String> {
    let host = headers.get(HOST)?.to_str().ok()?;
    let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
    Some(name.to_ascii_lowercase())
}

/// Identity of the request as its caller knows it, or the system's own.
pub(crate) fn read_trace(shared: &Shared, headers: &HeaderMap, id: RequestId) -> String {
    let trace = shared.dialect.trace_id(headers);
    let trace = trace.and_then(|trace| trace.to_str().ok());
    trace.map_or_else(|| id.to_string(), str::to_owned)
}

/// Passes an answer on; its end ends the call.
fn relay(
    response: Response<Payload>,
    guard: Guard,
    profile: RouteProfile,
    attempt: Attempt,
    subject: Subject,
) -> Response<Payload> {
    let (mut parts, body) = response.into_parts();
    remove_own_headers(&mut parts.headers);
    remove_hop_headers(&mut parts.headers);
    let shared = Arc::clone(&guard.shared);
    let deadline = Instant::from_std(shared.driver.clock().to_instant(attempt.deadline));
    let status = parts.status.as_u16();
    let on_end = move |end| {
        let broken = match end {
            End::Whole(_) => None,
            End::Broken(reason) => Some(reason),
            End::Dropped => Some(Reason::CallerLeft),
        };
        events::answered(&shared, &subject, (status, attempt.node), broken);
        let metrics = shared.driver.metrics();
        match broken {
            None => {
                let seconds = shared.driver.now().since(subject.arrived).as_secs_f64();
                metrics.count_request(profile.rank, seconds);
            }
            Some(reason) => metrics.count_drop(reason),
        }
        guard.end();
    };
    let relay = Relay::new(Source::Payload(body), deadline, on_end);
    Response::from_parts(parts, Payload::Relay(Box::new(relay)))
}

/// Does what the entry machine asks for until there is an answer or a refusal.
async fn carry_out(
    shared: &Arc<Shared>,
    saved: &mut Saved,
    effects: Vec<Effect>,
    guard: &mut Guard,
    subject: &mut Subject,
) -> Result<(Response<Payload>, RouteProfile, Attempt), Refusal> {
    let mut effects = effects;
    loop {
        let mut forward = None;
        for effect in effects.drain(..) {
            match effect {
                Effect::Retrying { reason } => {
                    shared.driver.metrics().count_retry(reason);
                    events::retried(shared, subject, reason);
                }
                Effect::RetryDenied { reason } => {
                    shared.driver.metrics().count_refusal("retry", reason)
                }
                Effect::Refuse { refusal } => return Err(refusal),
                Effect::Forward {
                    call,
                    route,
                    attempt,
                } => {
                    guard.call = Some(call);
                    forward = Some((call, route, attempt));
                }
                Effect::Query { .. }
                | Effect::Fetch { .. }
                | Effect::Wait { .. }
                | Effect::HealthChanged { .. }
                | Effect::Deliver { .. } => {}
            }
        }
        let Some((call, profile, attempt)) = forward else {
            return Err(Refusal {
                reason: Reason::OutcomeUnknown,
                verdict: Verdict::MayHaveRun,
                retry_after: Duration::ZERO,
            });
        };
        events::forwarded(shared, subject, attempt);
        if !attempt.delay.is_zero() {
            tokio::time::sleep(attempt.delay).await;
        }
        match attempt::send(shared, saved, call, profile, attempt).await {
            Sent::Begun(begun) => {
                let topology = shared.driver.topology();
                let report = begun.report;
                if let Some(reason) = report.reason {
                    subject.add(attempt.node, reason, report.verdict);
                }
                effects = shared.driver.step_entry(Input::AttemptReported {
                    call,
                    topology,
                    report,
                });
                if delivers(&effects) {
                    return Ok((begun.response, profile, attempt));
                }
            }
            Sent::Fetched(response, next) if delivers(&next) => {
                return Ok((response, profile, attempt));
            }
            Sent::Fetched(_, next) => effects = next,
            Sent::Decided(next) => effects = next,
        }
    }
}

fn delivers(effects: &[Effect]) -> bool {
    effects
        .iter()
        .any(|effect| matches!(effect, Effect::Deliver { .. }))
}
