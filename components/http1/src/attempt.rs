//! Sending of one attempt, to this node's upstream or to another node.

use std::pin::Pin;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::header::HeaderValue;
use hyper::http::request::Parts;
use tokio::task::coop::unconstrained;
use tokio::time::Instant;

use crate::SharedState;
use crate::body::Payload;
use crate::body::RelayEnd;
use crate::body::RelaySource;
use crate::body::RelayedResponse;
use crate::body::full;
use crate::dispatch::UpstreamRequest;
use crate::dispatch::run_request;
use crate::node_pool::NodeConnection;
use crate::request_body::RequestBody;
use crate::responses::parse_header;
use crate::upstream::execution_verdict;
use errors::Reason;
use errors::Verdict;
use front::query_outcome;
use ids::Fingerprint;
use ids::RequestId;
use kernel::Time;
use policy::Load;
use traffic::Precedence;
use traffic::entry::Attempt;
use traffic::entry::AttemptReport;
use traffic::entry::CallKey;
use traffic::entry::Effect;
use traffic::entry::Input;
use traffic::entry::RouteProfile;
use traffic::owner::IncomingRequest;
use traffic::owner::OutcomeQuery;
use wire::header;

/// Time to wait for the head of a response before the first outcome query to the owner.
const FIRST_SILENCE_LIMIT: Duration = Duration::from_millis(250);
/// Minimum time between an outcome query and the next one.
const NEXT_SILENCE_LIMIT: Duration = Duration::from_millis(500);
/// Interval between outcome queries while the node shuts down, which leaves only a few hundred
/// milliseconds for them.
const SHUTDOWN_QUERY_INTERVAL: Duration = Duration::from_millis(100);

/// Statuses with which hyper refuses a head by itself, before it calls a handler.
const HEAD_REFUSALS: [StatusCode; 3] = [
    StatusCode::BAD_REQUEST,
    StatusCode::URI_TOO_LONG,
    StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
];

/// A request of a caller, from which the HTTP request of each attempt is built.
pub(crate) struct OutgoingRequest {
    pub(crate) id: RequestId,
    pub(crate) fingerprint: Fingerprint,
    /// Request head without internal and hop-by-hop headers.
    pub(crate) parts: Parts,
    pub(crate) body: RequestBody,
    /// Whether the current attempt was passed on to its owner.
    pub(crate) sent: bool,
}

/// Response to an attempt whose head has arrived, or an empty one if the attempt failed.
pub(crate) struct AttemptResponse {
    pub(crate) response: Response<Payload>,
    pub(crate) report: AttemptReport,
}

/// How one attempt ended.
pub(crate) enum SendOutcome {
    /// A response or a failure that has yet to be reported to the entry state machine.
    Responded(AttemptResponse),
    /// A response that was fetched from the owner's stored responses, and the effects of the entry
    /// state machine, to which it has been reported.
    Fetched(Response<Payload>, Vec<Effect>),
    /// No response; the effects with which the entry state machine continues.
    Resolved(Vec<Effect>),
}

/// Sends one attempt and queries its owner for the outcome while no response arrives.
pub(crate) async fn send(
    shared: &Arc<SharedState>,
    outgoing: &mut OutgoingRequest,
    call: CallKey,
    profile: RouteProfile,
    attempt: Attempt,
) -> SendOutcome {
    if attempt.node == shared.driver.node_id() {
        outgoing.sent = true;
        return SendOutcome::Responded(send_local(shared, outgoing, profile, attempt).await);
    }
    let node_connection = match shared
        .node_pool
        .acquire(attempt.request_address, attempt.node, shared.driver.clock())
        .await
    {
        Ok(node_connection) => node_connection,
        Err(reason) => return SendOutcome::Responded(failed_attempt(Verdict::NotRun, reason)),
    };
    outgoing.sent = true;
    let expires = node_connection
        .peer_clock
        .convert_to_peer_time(attempt.give_up_at);
    let work_end = (attempt.deadline < attempt.give_up_at).then(|| {
        node_connection
            .peer_clock
            .convert_to_peer_time(attempt.deadline)
    });
    let objective = attempt
        .objective
        .map(|it| node_connection.peer_clock.convert_to_peer_time(it));
    let query = OutcomeQuery {
        id: outgoing.id,
        intended_owner: attempt.node,
        attempt: attempt.number,
        expires,
        cancel_if_queued: false,
    };
    let mut response = pin!(send_remote(
        shared,
        outgoing,
        profile,
        attempt,
        node_connection,
        PeerTimes {
            expires,
            work_end,
            objective,
        }
    ));
    let deadline = Instant::from_std(shared.driver.clock().to_instant(attempt.give_up_at));
    let mut owner_query = pin!(None);
    // A response that takes no longer than the route's latency objective is not overdue.
    let first_silence_limit = profile
        .objective
        .map_or(FIRST_SILENCE_LIMIT, |it| it.max(FIRST_SILENCE_LIMIT));
    let mut silence_limit = first_silence_limit.max(NEXT_SILENCE_LIMIT);
    let shutting_down = shared.driver.shutting_down();
    let mut next_query_at = (Instant::now() + first_silence_limit).min(deadline);
    loop {
        let no_query_open = owner_query.is_none();
        tokio::select! {
            biased;
            attempt_response = response.as_mut() => return SendOutcome::Responded(attempt_response),
            outcome = wait_if_some(owner_query.as_mut()) => {
                let SendOutcome::Resolved(effects) = &outcome else {
                    return outcome;
                };
                if !effects.iter().any(|effect| matches!(effect, Effect::Wait { .. })) {
                    return outcome;
                }
                owner_query.set(None);
                next_query_at = (Instant::now() + silence_limit).min(deadline);
            }
            () = shutting_down.cancelled(), if silence_limit != SHUTDOWN_QUERY_INTERVAL => {
                silence_limit = SHUTDOWN_QUERY_INTERVAL;
                next_query_at = Instant::now();
            }
            // Unconstrained for the same reason as the owner's timer of a request.
            () = unconstrained(tokio::time::sleep_until(if no_query_open {
                next_query_at
            } else {
                deadline
            })) => {
                if Instant::now() >= deadline {
                    return SendOutcome::Responded(failed_attempt(
                        Verdict::MayHaveRun,
                        Reason::DeadlinePassed,
                    ));
                }
                owner_query.set(Some(query_owner(shared, query, call, attempt)));
            }
        }
    }
}

/// Waits for `future` if it is set, and forever otherwise.
async fn wait_if_some<F>(future: Pin<&mut Option<F>>) -> SendOutcome
where
    F: Future<Output = SendOutcome>,
{
    match future.as_pin_mut() {
        Some(query) => query.await,
        None => std::future::pending().await,
    }
}

/// Asks the owner for the outcome of an attempt and fetches the stored response if the entry state
/// machine requests it.
async fn query_owner(
    shared: &SharedState,
    query: OutcomeQuery,
    call: CallKey,
    attempt: Attempt,
) -> SendOutcome {
    let effects = shared.driver.step_entry(Input::SilenceTimeout { call });
    let cancel_if_queued = effects.iter().any(|effect| {
        matches!(
            effect,
            Effect::Query {
                cancel_if_queued: true,
                ..
            }
        )
    });
    let query = OutcomeQuery {
        cancel_if_queued,
        ..query
    };
    let outcome = query_outcome(attempt.peer_address, query).await;
    let topology = shared.driver.topology();
    let mut effects = shared.driver.step_entry(Input::OutcomeReceived {
        call,
        topology,
        outcome,
    });
    while effects
        .iter()
        .any(|effect| matches!(effect, Effect::Fetch { .. }))
    {
        let (address, clock) = (attempt.request_address, shared.driver.clock());
        let fetched = shared
            .node_pool
            .fetch(address, attempt.node, query.id, clock);
        let fetched = fetched.await;
        let topology = shared.driver.topology();
        let found = fetched.is_some();
        effects = shared.driver.step_entry(Input::FetchCompleted {
            call,
            topology,
            found,
        });
        if let Some(response) = fetched {
            return SendOutcome::Fetched(response, effects);
        }
    }
    SendOutcome::Resolved(effects)
}

/// Runs an attempt at this node's own upstream.
async fn send_local(
    shared: &Arc<SharedState>,
    outgoing: &mut OutgoingRequest,
    profile: RouteProfile,
    attempt: Attempt,
) -> AttemptResponse {
    let Some(request) = build_request(outgoing) else {
        return failed_attempt(Verdict::MayHaveRun, Reason::ConnectionBroken);
    };
    let topology = shared.driver.topology();
    let snapshot = topology.snapshot.as_ref();
    let precedence = snapshot.and_then(|it| {
        let route = it.route(it.find_route_by_id(profile.route)?)?;
        Some(Precedence::find(it, route, profile.organisation))
    });
    let weight = precedence.map_or(1, |it| it.weight);
    let incoming = IncomingRequest {
        tag: 0,
        id: outgoing.id,
        attempt: attempt.number,
        intended_owner: attempt.node,
        expires: attempt.give_up_at,
        deadline: attempt.deadline,
        objective: attempt.objective,
        spillable: attempt.spillable,
        route: profile.route,
        rank: profile.rank,
        organisation: profile.organisation,
        onward: profile.onward,
        link_backlog: 0,
        weight,
        idempotent: profile.idempotent,
        rate_limit: attempt.rate_limit,
        fingerprint: Some(outgoing.fingerprint),
        seen_crashes: attempt.seen_crashes,
    };
    let upstream_request = UpstreamRequest {
        incoming,
        service: Some(profile.service),
        head_only: outgoing.parts.method == Method::HEAD,
        request,
    };
    match run_request(shared, upstream_request).await {
        Ok(upstream_response) => read_attempt_response(upstream_response.response),
        Err(refusal) => AttemptResponse {
            response: Response::new(full("")),
            report: AttemptReport {
                verdict: refusal.verdict,
                reason: Some(outgoing.body.abort_reason().unwrap_or(refusal.reason)),
                retry_after: refusal.retry_after,
                load: Some(shared.driver.load()),
                rate_limit: None,
                upstream_failed: false,
            },
        },
    }
}

/// Times of an attempt on the clock of the node that owns it.
#[derive(Clone, Copy, Debug)]
struct PeerTimes {
    /// Time until which the entry waits for the answer.
    expires: Time,
    /// Time by which the upstream has to be done, if that is before `expires`.
    work_end: Option<Time>,
    /// Time by which the route's latency objective asks for the answer.
    objective: Option<Time>,
}

/// Sends an attempt to the node that owns it.
async fn send_remote(
    shared: &Arc<SharedState>,
    outgoing: &mut OutgoingRequest,
    profile: RouteProfile,
    attempt: Attempt,
    node_connection: NodeConnection,
    times: PeerTimes,
) -> AttemptResponse {
    let Some(mut request) = build_request(outgoing) else {
        return failed_attempt(Verdict::MayHaveRun, Reason::ConnectionBroken);
    };
    let objective = times
        .objective
        .map(|it| (header::OBJECTIVE, it.0.to_string()));
    let work_end = times
        .work_end
        .map(|it| (header::WORK_END, it.0.to_string()));
    let values = [
        (header::REQUEST_ID, outgoing.id.to_string()),
        (header::ROUTE, profile.route.to_string()),
        (header::OWNER, attempt.node.to_string()),
        (header::EXPIRES, times.expires.0.to_string()),
        (header::ATTEMPT, attempt.number.to_string()),
        (header::FINGERPRINT, outgoing.fingerprint.to_string()),
        (header::SERVICE, profile.service.to_string()),
    ];
    let spillable = attempt
        .spillable
        .then(|| (header::SPILLABLE, "1".to_owned()));
    let seen_crashes = (attempt.seen_crashes > 0)
        .then(|| (header::SEEN_CRASHES, attempt.seen_crashes.to_string()));
    let rate_limit = attempt
        .rate_limit
        .map(|it| (header::RATE_LIMIT, it.per_second().to_string()));
    let organisation = profile
        .organisation
        .map(|it| (header::ORGANISATION, it.to_string()));
    let onward = profile.onward.then(|| (header::ONWARD, "1".to_owned()));
    let optional = objective.into_iter().chain(work_end).chain(spillable);
    let optional = optional
        .chain(rate_limit)
        .chain(seen_crashes)
        .chain(organisation)
        .chain(onward);
    for (name, value) in values.into_iter().chain(optional) {
        if let Ok(value) = HeaderValue::from_str(&value) {
            request.headers_mut().insert(name, value);
        }
    }
    let NodeConnection {
        mut connection,
        peer_clock,
    } = node_connection;
    match connection.send(request).await {
        // The owner states its load in each response of its handler.
        Ok(response) if !response.headers().contains_key(header::LOAD) => {
            if HEAD_REFUSALS.contains(&response.status()) {
                failed_attempt(Verdict::NotRun, Reason::LimitsDiffer)
            } else {
                failed_attempt(Verdict::MayHaveRun, Reason::Malformed)
            }
        }
        Ok(response) => {
            let (parts, body) = response.into_parts();
            let source = RelaySource::Connection {
                prefix: None,
                body,
                connection,
            };
            let shared = Arc::clone(shared);
            let deadline = Instant::from_std(shared.driver.clock().to_instant(attempt.give_up_at));
            let on_end = move |end, _| {
                if let RelayEnd::Complete(Some(connection)) = end {
                    let node_connection = NodeConnection {
                        connection,
                        peer_clock,
                    };
                    shared.node_pool.release(
                        attempt.request_address,
                        node_connection,
                        shared.driver.now(),
                    );
                }
            };
            let payload =
                Payload::Relayed(Box::new(RelayedResponse::new(source, deadline, on_end)));
            let mut attempt_response = read_attempt_response(Response::from_parts(parts, payload));
            let report = &mut attempt_response.report;
            report.reason = report.reason.map(|it| entry_reason(it, report.verdict));
            attempt_response
        }
        Err(mut error) => {
            let reason = outgoing
                .body
                .abort_reason()
                .unwrap_or(Reason::ConnectionBroken);
            failed_attempt(execution_verdict(&mut error), reason)
        }
    }
}

/// Builds the HTTP request of one attempt; `None` if the body was streamed and cannot be sent
/// again.
fn build_request(outgoing: &mut OutgoingRequest) -> Option<Request<Payload>> {
    let payload = outgoing.body.payload()?;
    Some(Request::from_parts(outgoing.parts.clone(), payload))
}

/// Reason of an owner's refusal as the entry sees it. This entry has accepted the request by its own
/// limits, so an owner with another configuration, and not the caller, is the cause of such a refusal.
fn entry_reason(reason: Reason, verdict: Verdict) -> Reason {
    match (reason, verdict) {
        (Reason::TooLarge | Reason::Malformed, Verdict::NotRun) => Reason::LimitsDiffer,
        _ => reason,
    }
}

/// Reads verdict, reason, load, rate limit and retry delay from the headers of an owner's response.
fn read_attempt_response(response: Response<Payload>) -> AttemptResponse {
    let upstream_failed = response.status().is_server_error();
    let headers = response.headers();
    let verdict = parse_header::<Verdict>(headers, header::VERDICT).unwrap_or(Verdict::MayHaveRun);
    let reason = parse_header::<Reason>(headers, header::REASON);
    let load: Option<Load> = headers
        .get(header::LOAD)
        .and_then(|value| header::parse_load(value.to_str().ok()?));
    let retry_after =
        parse_header(headers, header::RETRY_AFTER).map_or(Duration::ZERO, Duration::from_millis);
    let rate_limit = parse_header(headers, header::RATE_LIMIT);
    AttemptResponse {
        response,
        report: AttemptReport {
            verdict,
            reason,
            retry_after,
            load,
            rate_limit,
            upstream_failed,
        },
    }
}

fn failed_attempt(verdict: Verdict, reason: Reason) -> AttemptResponse {
    let report = AttemptReport {
        verdict,
        reason: Some(reason),
        retry_after: Duration::ZERO,
        load: None,
        rate_limit: None,
        upstream_failed: false,
    };
    AttemptResponse {
        response: Response::new(full("")),
        report,
    }
}
