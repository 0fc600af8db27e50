//! Handler of requests from callers and of calls that the upstream itself makes.

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
use hyper::http::request::Parts;
use hyper::http::uri::PathAndQuery;
use tokio::time::Instant;
use tokio_util::task::AbortOnDropHandle;

use crate::SharedState;
use crate::attempt;
use crate::attempt::OutgoingRequest;
use crate::attempt::SendOutcome;
use crate::body::Payload;
use crate::body::RelayEnd;
use crate::body::RelaySource;
use crate::body::RelayedResponse;
use crate::body::read_into_memory;
use crate::events;
use crate::events::RequestLogContext;
use crate::headers::remove_hop_by_hop_headers;
use crate::headers::remove_internal_headers;
use crate::headers::strip_request_headers;
use crate::headers::validate_request_head;
use crate::listen::ConnectionState;
use crate::paced_body::SendPriority;
use crate::pipeline::StartedRequest;
use crate::rate_limit::acquire_token;
use crate::request_body::RequestBody;
use crate::responses;
use crate::responses::not_run_refusal;
use control::Topology;
use errors::Reason;
use errors::Verdict;
use ids::Fingerprint;
use ids::RequestId;
use traffic::Refusal;
use traffic::entry::Attempt;
use traffic::entry::CallKey;
use traffic::entry::Credential;
use traffic::entry::Effect;
use traffic::entry::Input;
use traffic::entry::RequestHead;
use traffic::entry::RouteProfile;
use traffic::entry::identify;

/// Number of bytes of a response that are read before its turn, so that small responses free their
/// upstream's slot.
const MAX_EARLY_BODY_BYTES: usize = 64 * 1024;

/// Ends the call in the entry state machine and counts a drop if the caller leaves before the
/// response is relayed.
struct CallGuard {
    shared: Arc<SharedState>,
    call: Option<CallKey>,
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        if let Some(call) = self.call.take() {
            self.shared.driver.metrics().count_drop(Reason::CallerLeft);
            self.shared.driver.step_entry(Input::CallEnded { call });
        }
    }
}

impl CallGuard {
    fn finish(mut self) {
        if let Some(call) = self.call.take() {
            self.shared.driver.step_entry(Input::CallEnded { call });
        }
    }
}

/// Serves one request of a caller.
pub(crate) async fn handle(
    shared: Arc<SharedState>,
    connection_state: Arc<ConnectionState>,
    request: Request<Incoming>,
) -> Response<Payload> {
    match connection_state.started_requests.take(&request) {
        Some(started) => started.task.await.unwrap_or_else(|_| {
            let refusal = Refusal {
                reason: Reason::OutcomeUnknown,
                verdict: Verdict::MayHaveRun,
                retry_after: Duration::ZERO,
            };
            responses::refusal_to_caller(&*shared.dialect, refusal)
        }),
        None => respond(shared, request.map(Some), 0, connection_state.is_local).await,
    }
}

/// Starts a request without a body that stands behind `pipelined` unanswered ones on its connection.
/// `None` if it has to wait for its turn: it may not be repeated, so that it must not be cancelled with
/// the connection, the node is leaving, or too many requests were started.
pub(crate) fn start_early(
    shared: &Arc<SharedState>,
    request: Request<()>,
    pipelined: usize,
    is_local: bool,
) -> Option<StartedRequest> {
    let (host, method) = (read_host(request.headers()), request.method().as_str());
    let topology = shared.driver.topology();
    let snapshot = topology.snapshot.as_ref()?;
    let route = snapshot.find_route(host.as_deref(), method, request.uri().path())?;
    let idempotent = snapshot.route(route).is_some_and(|it| it.idempotent);
    if !idempotent || shared.driver.is_leaving() {
        return None;
    }
    let permit = Arc::clone(&shared.started_requests)
        .try_acquire_owned()
        .ok()?;
    shared.driver.metrics().count_pipelined();
    let shared = Arc::clone(shared);
    let budget = Arc::clone(&shared.read_ahead);
    let own_request = request.clone().map(|()| None);
    let task = tokio::spawn(async move {
        let response = respond(shared, own_request, pipelined, is_local).await;
        let (parts, body) = response.into_parts();
        let body = read_into_memory(body, MAX_EARLY_BODY_BYTES, &budget).await;
        Response::from_parts(parts, body)
    });
    Some(StartedRequest {
        request,
        task: AbortOnDropHandle::new(task),
        _permit: permit,
    })
}

async fn respond(
    shared: Arc<SharedState>,
    request: Request<Option<Incoming>>,
    pipelined: usize,
    is_local: bool,
) -> Response<Payload> {
    let has_transfer_encoding = request.headers().contains_key(TRANSFER_ENCODING);
    let (mut response, close) = match serve(&shared, request, pipelined, is_local).await {
        // After a request with both Transfer-Encoding and Content-Length the connection must be
        // closed (RFC 9112, 6.1). hyper does not show whether there was a Content-Length, so each
        // request with a Transfer-Encoding closes it.
        Ok(response) => (response, has_transfer_encoding),
        Err(refusal) => {
            let metrics = shared.driver.metrics();
            metrics.count_refusal("entry", refusal.reason);
            let close = [Reason::Malformed, Reason::TooLarge, Reason::DeadlinePassed];
            (
                responses::refusal_to_caller(&*shared.dialect, refusal),
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
    shared: &Arc<SharedState>,
    mut request: Request<Option<Incoming>>,
    pipelined: usize,
    is_local: bool,
) -> Result<Response<Payload>, Refusal> {
    let arrived = shared.driver.now();
    validate_request_head(&mut request).map_err(not_run_refusal)?;
    let (mut parts, body) = request.into_parts();
    let body = RequestBody::read(body, shared.limits().max_body_bytes)
        .await
        .map_err(not_run_refusal)?;
    let headers = &mut parts.headers;
    let directives = shared.dialect.read_request_head(headers);
    // The lookup of the parent request is needed only while the node is leaving.
    let is_active = |id| shared.driver.is_queued_or_running(id);
    let allowed_while_leaving = shared.driver.is_leaving()
        && (directives.allowed_while_leaving || directives.parent.is_some_and(is_active));
    strip_request_headers(headers);
    let id = RequestId(rand::random());
    let mut log_context = RequestLogContext {
        trace_id: request_trace_id(shared, headers, id),
        arrived,
        pipelined,
        failed_attempts: String::new(),
    };
    let fingerprint = fingerprint(shared, &parts, &body);
    let mut head = RequestHead {
        id,
        fingerprint: Some(fingerprint),
        host: read_host(&parts.headers),
        method: parts.method.as_str().to_owned(),
        path: parts.uri.path().to_owned(),
        credential: match directives.key {
            Some(digest) => Credential::Key(digest),
            None if is_local => Credential::Onward,
            None => Credential::None,
        },
        time_left: directives.time_left,
        outer_retries: directives.outer_retries,
        replayable: body.is_buffered(),
        allowed_while_leaving,
    };
    let mut outgoing = OutgoingRequest {
        id: head.id,
        fingerprint,
        parts,
        body,
        sent: false,
    };
    let token = acquire_token(shared, &mut head)
        .await
        .inspect_err(|refusal| events::log_refused(shared, &log_context, *refusal))?;
    // Read before the topology, which is then not older than the one for which keys are verified.
    let keys_are_fresh = shared.driver.keys_are_fresh();
    let topology = shared.driver.topology();
    let refused = if shared.driver.abandoning_calls().is_cancelled() {
        Some(Reason::Draining)
    } else {
        (!keys_are_fresh && depends_on_keys(&topology, &head)).then_some(Reason::KeysUnverified)
    };
    if let Some(reason) = refused {
        token.give_back();
        let refusal = not_run_refusal(reason);
        events::log_refused(shared, &log_context, refusal);
        return Err(refusal);
    }
    let effects = shared.driver.step_entry(Input::Arrived { topology, head });
    let mut call_guard = CallGuard {
        shared: Arc::clone(shared),
        call: None,
    };
    let answered = execute_effects(
        shared,
        &mut outgoing,
        effects,
        &mut call_guard,
        &mut log_context,
    );
    let result = tokio::select! {
        biased;
        result = answered => Some(result),
        () = shared.driver.abandoning_calls().cancelled() => None,
    };
    let result = result.unwrap_or_else(|| Err(abandon(shared, call_guard.call, outgoing.sent)));
    let result = result.inspect_err(|refusal| {
        call_guard.call = None;
        events::log_refused(shared, &log_context, *refusal);
    });
    if matches!(&result, Err(refusal) if refusal.verdict == Verdict::NotRun) {
        token.give_back();
    }
    let (response, profile, attempt) = result?;
    Ok(relay_response(
        response,
        call_guard,
        profile,
        attempt,
        log_context,
    ))
}

/// Whether keys decide if a request is accepted: its route requires one, and it is no call of the upstream.
fn depends_on_keys(topology: &Topology, head: &RequestHead) -> bool {
    let Some(snapshot) = &topology.snapshot else {
        return false;
    };
    let route = snapshot.find_route(head.host.as_deref(), &head.method, &head.path);
    let route = route.and_then(|route| snapshot.route(route));
    route.is_some_and(|route| !matches!(identify(snapshot, route, head.credential), Ok(None)))
}

/// Fingerprint of a request: the same whenever a caller repeats the request, at whichever node.
fn fingerprint(shared: &SharedState, parts: &Parts, body: &RequestBody) -> Fingerprint {
    let host = parts
        .headers
        .get(HOST)
        .map_or(&[][..], HeaderValue::as_bytes);
    let caller = shared.dialect.caller_id(&parts.headers);
    let caller = caller.map_or(&[][..], HeaderValue::as_bytes);
    let target = parts.uri.path_and_query().map_or("", PathAndQuery::as_str);
    let method = parts.method.as_str();
    let body = body.fingerprint().0.to_le_bytes();
    Fingerprint::of(&[method.as_bytes(), host, target.as_bytes(), caller, &body])
}

/// Ends a call without an answer, because the process exits.
fn abandon(shared: &SharedState, call: Option<CallKey>, sent: bool) -> Refusal {
    let topology = shared.driver.topology();
    let effects = call.map_or_else(Vec::new, |call| {
        shared.driver.step_entry(Input::Abandoned {
            call,
            topology,
            sent,
        })
    });
    let refusal = effects.into_iter().find_map(|effect| match effect {
        Effect::Refuse { refusal } => Some(refusal),
        _ => None,
    });
    refusal.unwrap_or(Refusal {
        reason: Reason::Draining,
        verdict: Verdict::MayHaveRun,
        retry_after: Duration::ZERO,
    })
}

/// Host that the caller requests, in lower case and without its port.
fn read_host(headers: &HeaderMap) -> Option<String> {
    let host = headers.get(HOST)?.to_str().ok()?;
    let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
    Some(name.to_ascii_lowercase())
}

/// Identifier that the caller gave the request, or else the request's internal identifier.
pub(crate) fn request_trace_id(shared: &SharedState, headers: &HeaderMap, id: RequestId) -> String {
    let trace_id = shared.dialect.trace_id(headers);
    let trace_id = trace_id.and_then(|trace_id| trace_id.to_str().ok());
    trace_id.map_or_else(|| id.to_string(), str::to_owned)
}

/// Relays a response to the caller; the call ends with the relay.
fn relay_response(
    response: Response<Payload>,
    call_guard: CallGuard,
    profile: RouteProfile,
    attempt: Attempt,
    log_context: RequestLogContext,
) -> Response<Payload> {
    let (mut parts, body) = response.into_parts();
    remove_internal_headers(&mut parts.headers);
    remove_hop_by_hop_headers(&mut parts.headers);
    let shared = Arc::clone(&call_guard.shared);
    let deadline = Instant::from_std(shared.driver.clock().to_instant(attempt.give_up_at));
    let priority = SendPriority {
        rank: profile.rank,
        objective: attempt.objective,
        deadline: attempt.give_up_at,
    };
    priority.attach(&shared, &mut parts.extensions);
    let status = parts.status.as_u16();
    let on_end = move |end, _| {
        let failure_reason = match end {
            RelayEnd::Complete(_) => None,
            RelayEnd::Failed(reason) => Some(reason),
            RelayEnd::Dropped => Some(Reason::CallerLeft),
        };
        events::log_answered(
            &shared,
            &log_context,
            (status, attempt.node),
            failure_reason,
        );
        let metrics = shared.driver.metrics();
        match failure_reason {
            None => {
                let seconds = shared.driver.now().since(log_context.arrived).as_secs_f64();
                metrics.count_request(profile.rank.of_route(), seconds);
            }
            Some(reason) => metrics.count_drop(reason),
        }
        call_guard.finish();
    };
    let relayed = RelayedResponse::new(RelaySource::Payload(body), deadline, on_end);
    Response::from_parts(parts, Payload::Relayed(Box::new(relayed)))
}

/// Executes the effects of the entry state machine until there is a response or a refusal.
async fn execute_effects(
    shared: &Arc<SharedState>,
    outgoing: &mut OutgoingRequest,
    effects: Vec<Effect>,
    call_guard: &mut CallGuard,
    log_context: &mut RequestLogContext,
) -> Result<(Response<Payload>, RouteProfile, Attempt), Refusal> {
    let mut effects = effects;
    loop {
        let mut forward = None;
        for effect in effects.drain(..) {
            match effect {
                Effect::Retrying { reason } => {
                    shared.driver.metrics().count_retry(reason);
                    events::log_retried(shared, log_context, reason);
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
                    call_guard.call = Some(call);
                    outgoing.sent = false;
                    forward = Some((call, route, attempt));
                }
                Effect::Query { .. }
                | Effect::Fetch { .. }
                | Effect::Wait { .. }
                | Effect::HealthChanged { .. }
                | Effect::OutcomesCounted { .. }
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
        events::log_forwarded(shared, log_context, profile.rank, attempt);
        if !attempt.delay.is_zero() {
            tokio::time::sleep(attempt.delay).await;
        }
        match attempt::send(shared, outgoing, call, profile, attempt).await {
            SendOutcome::Responded(attempt_response) => {
                let topology = shared.driver.topology();
                let report = attempt_response.report;
                if let Some(reason) = report.reason {
                    log_context.add_failed_attempt(attempt.node, reason, report.verdict);
                }
                effects = shared.driver.step_entry(Input::AttemptReported {
                    call,
                    topology,
                    report,
                });
                if contains_deliver(&effects) {
                    return Ok((attempt_response.response, profile, attempt));
                }
            }
            SendOutcome::Fetched(response, next_effects) if contains_deliver(&next_effects) => {
                return Ok((response, profile, attempt));
            }
            SendOutcome::Fetched(_, next_effects) => effects = next_effects,
            SendOutcome::Resolved(next_effects) => effects = next_effects,
        }
    }
}

fn contains_deliver(effects: &[Effect]) -> bool {
    effects
        .iter()
        .any(|effect| matches!(effect, Effect::Deliver { .. }))
}
