//! Admission of requests and their dispatch to this node's own upstream.

use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use hyper::HeaderMap;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::header::CONTENT_LENGTH;
use hyper::header::HeaderValue;
use hyper::header::TRANSFER_ENCODING;
use hyper::http::response::Parts;
use tokio::task::coop::unconstrained;
use tokio::time::Instant;

use crate::DispatchContext;
use crate::ResponseClass;
use crate::SharedState;
use crate::UpstreamNotice;
use crate::body::Payload;
use crate::body::RelayEnd;
use crate::body::RelaySource;
use crate::body::RelayedResponse;
use crate::body::full;
use crate::caller::request_trace_id;
use crate::connection::ClientConnection;
use crate::events;
use crate::headers::remove_hop_by_hop_headers;
use crate::headers::remove_internal_headers;
use crate::read_ahead::read_ahead;
use crate::stored_responses;
use crate::upstream::UpstreamFailure;
use config::Service;
use control::Topology;
use errors::Reason;
use errors::Verdict;
use front::Permit;
use ids::RouteId;
use ids::ServiceId;
use kernel::Time;
use traffic::Refusal;
use traffic::owner::IncomingRequest;
use traffic::owner::Input;
use wire::header;

/// Time for the response of an upstream that stops at the deadline to arrive, if the request expires later. The
/// node would otherwise give up first and replace that response by a refusal.
const RESPONSE_TRANSIT_TIME: Duration = Duration::from_millis(250);
/// Retry delay that is sent to the requester after the upstream failed.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Statuses that a final response can have (RFC 9110, 15). The library accepts every number from 100 to 999.
const FINAL_STATUSES: Range<u16> = 200..600;

/// A request for this node's upstream.
pub(crate) struct UpstreamRequest {
    pub(crate) incoming: IncomingRequest,
    /// Service that the request is for; `None` if the sender does not name it.
    pub(crate) service: Option<ServiceId>,
    /// Whether the method is HEAD.
    pub(crate) head_only: bool,
    /// HTTP request without internal and hop-by-hop headers.
    pub(crate) request: Request<Payload>,
}

/// A response of this node's upstream.
pub(crate) struct UpstreamResponse {
    pub(crate) response: Response<Payload>,
    /// Whether a copy is stored, so that the entry can fetch it later.
    pub(crate) stored: bool,
}

/// An upstream response whose head has been read.
struct StartedResponse {
    parts: Parts,
    body: Incoming,
    connection: ClientConnection,
    relay: Relay,
}

/// What the relay of an upstream response needs to know of its request.
struct Relay {
    shed: bool,
    /// Route whose response length the response shows; `None` for a response without its regular body.
    measured_route: Option<RouteId>,
    deadline: Instant,
    /// Identifier of the request in log lines.
    trace_id: String,
    /// When the request was sent to the upstream.
    sent: Time,
}

/// Runs a request once it is admitted. Dropping the future cancels a queued request. It cancels a
/// running request only if that is idempotent, because the response to any other may still be
/// queried and fetched.
pub(crate) async fn run_request(
    shared: &Arc<SharedState>,
    upstream_request: UpstreamRequest,
) -> Result<UpstreamResponse, Refusal> {
    let admitted = match check_quarantine(shared, &upstream_request.incoming) {
        Ok(()) => shared.driver.admit(upstream_request.incoming).await,
        Err(refusal) => Err(refusal),
    };
    let permit = admitted.inspect_err(|refusal| {
        let trace_id = request_trace_id(
            shared,
            upstream_request.request.headers(),
            upstream_request.incoming.id,
        );
        events::log_held_back(shared, &trace_id, upstream_request.incoming.rank, *refusal);
    })?;
    if upstream_request.incoming.idempotent {
        return run_idempotent(shared, permit, upstream_request).await;
    }
    let shared = Arc::clone(shared);
    let task =
        tokio::spawn(async move { run_non_idempotent(&shared, permit, upstream_request).await });
    task.await
        .unwrap_or_else(|_| Err(may_have_run(Reason::OutcomeUnknown)))
}

/// Refuses a request that is suspect of crashing upstreams.
fn check_quarantine(shared: &SharedState, incoming: &IncomingRequest) -> Result<(), Refusal> {
    let (now, topology) = (shared.driver.now(), shared.driver.topology());
    let suspects = &topology.suspects;
    let hold = incoming
        .fingerprint
        .and_then(|it| suspects.hold(now, it, incoming.seen_crashes));
    let Some(retry_after) = hold else {
        return Ok(());
    };
    let reason = Reason::Quarantined;
    shared.driver.metrics().count_refusal("owner", reason);
    Err(Refusal {
        reason,
        verdict: Verdict::NotRun,
        retry_after,
    })
}

/// Relays the response to an idempotent request while it arrives; it is never stored.
async fn run_idempotent(
    shared: &Arc<SharedState>,
    permit: Permit,
    upstream_request: UpstreamRequest,
) -> Result<UpstreamResponse, Refusal> {
    let (started, permit) = send_to_upstream(shared, permit, upstream_request).await?;
    let StartedResponse {
        parts,
        body,
        connection,
        relay,
    } = started;
    let source = RelaySource::Connection {
        prefix: None,
        body,
        connection,
    };
    let payload = relay_response(shared, permit, source, relay);
    Ok(UpstreamResponse {
        response: Response::from_parts(parts, payload),
        stored: false,
    })
}

/// Reads a small response to its end before any of it is sent on, so that it can be stored.
async fn run_non_idempotent(
    shared: &Arc<SharedState>,
    permit: Permit,
    upstream_request: UpstreamRequest,
) -> Result<UpstreamResponse, Refusal> {
    let incoming = upstream_request.incoming;
    let (started, permit) = send_to_upstream(shared, permit, upstream_request).await?;
    let StartedResponse {
        parts,
        mut body,
        mut connection,
        relay,
    } = started;
    let read =
        tokio::time::timeout_at(relay.deadline, read_up_to_limit(&mut connection, &mut body)).await;
    let (bytes, complete) = match read {
        Ok(Some(read)) => read,
        Ok(None) => {
            return Err(finish_failed(
                permit,
                (Verdict::MayHaveRun, Reason::ConnectionBroken),
            ));
        }
        Err(_) => {
            return Err(finish_failed(
                permit,
                (Verdict::MayHaveRun, Reason::DeadlinePassed),
            ));
        }
    };
    if !complete {
        let source = RelaySource::Connection {
            prefix: Some(bytes),
            body,
            connection,
        };
        let payload = relay_response(shared, permit, source, relay);
        return Ok(UpstreamResponse {
            response: Response::from_parts(parts, payload),
            stored: false,
        });
    }
    let Relay {
        shed,
        measured_route,
        ..
    } = relay;
    let stored = !shed
        && shared.stored_responses.store(
            incoming.id,
            incoming.expires,
            parts.status,
            &parts.headers,
            &bytes,
        );
    permit.finish(verdict_of(shed), shed, stored);
    report_length(shared, measured_route, bytes.len() as u64);
    release_connection(shared, connection, shed);
    Ok(UpstreamResponse {
        response: Response::from_parts(parts, full(bytes)),
        stored,
    })
}

/// Sends a request to the upstream, reads the head of the response and classifies it.
async fn send_to_upstream(
    shared: &Arc<SharedState>,
    permit: Permit,
    upstream_request: UpstreamRequest,
) -> Result<(StartedResponse, Permit), Refusal> {
    let incoming = upstream_request.incoming;
    let now = shared.driver.now();
    let give_up_at = (permit.deadline() + RESPONSE_TRANSIT_TIME).min(incoming.expires);
    let deadline = Instant::from_std(shared.driver.clock().to_instant(give_up_at));
    // The upstream of another service may have replaced the one that the request was routed to.
    let topology = shared.driver.topology();
    let upstream = topology.own_upstream.as_ref().map(|(_, upstream)| upstream);
    let own_service_id = upstream.map(|upstream| ServiceId::from_name(&upstream.service));
    if upstream_request.service.is_some() && upstream_request.service != own_service_id {
        return Err(finish_failed(permit, (Verdict::NotRun, Reason::NoEndpoint)));
    }
    if let Err(refusal) = check_quarantine(shared, &incoming) {
        permit.finish(Verdict::NotRun, false, false);
        return Err(refusal);
    }
    let mut request = upstream_request.request;
    let trace_header = shared.dialect.trace_id(request.headers()).cloned();
    let snapshot = topology.snapshot.as_ref();
    let organisation = incoming.organisation;
    let organisation =
        snapshot.and_then(|it| it.organisation(it.find_organisation(organisation?)?));
    if organisation.is_none() && incoming.organisation.is_some() {
        // The configuration of this node does not list the organisation yet, or no longer.
        return Err(finish_failed(permit, (Verdict::NotRun, Reason::UnknownKey)));
    }
    let dispatch = DispatchContext {
        id: incoming.id,
        time_left: now.until(permit.deadline()),
        run_id: upstream.and_then(|it| it.run_id.as_deref()),
        organisation: organisation.map(|it| &*it.name),
    };
    shared
        .dialect
        .set_dispatch_headers(request.headers_mut(), &dispatch);
    let trace_id = request_trace_id(shared, request.headers(), incoming.id);
    events::log_dispatched(
        shared,
        &trace_id,
        incoming.rank,
        dispatch.run_id,
        dispatch.time_left,
    );
    let fail = |permit: Permit, status: u16, failure: UpstreamFailure| {
        let elapsed = shared.driver.now().since(now);
        events::log_finished(&trace_id, status, elapsed, Some(failure));
        finish_failed(permit, failure)
    };
    let cancelled = permit.cancelled();
    let sent = tokio::select! {
        biased;
        sent = shared.upstream.send(request, max_upstream_connections(shared), now) => sent,
        // Unconstrained, because an upstream that sends without end uses up the task's budget of I/O in
        // each poll, and the timer would never be checked.
        () = unconstrained(tokio::time::sleep_until(deadline)) => {
            Err((Verdict::MayHaveRun, Reason::DeadlinePassed))
        }
        () = cancelled.cancelled() => Err((Verdict::MayHaveRun, Reason::CallerLeft)),
    };
    let (response, connection) = match sent {
        Ok(sent) => sent,
        Err(failure) => return Err(fail(permit, 0, failure)),
    };
    let (mut parts, body) = response.into_parts();
    let status = parts.status.as_u16();
    let is_framed = shared.dialect.accepts_close_delimited()
        || has_explicit_framing(&parts, upstream_request.head_only);
    if !is_framed || !FINAL_STATUSES.contains(&status) {
        return Err(fail(
            permit,
            status,
            (Verdict::MayHaveRun, Reason::Malformed),
        ));
    }
    let status_means_not_run = is_not_run_status(shared, status);
    let shed =
        match shared
            .dialect
            .classify_response(trace_header.as_ref(), &parts, status_means_not_run)
        {
            ResponseClass::Ran => false,
            ResponseClass::NotRun => true,
            ResponseClass::Mismatched => {
                return Err(fail(
                    permit,
                    status,
                    (Verdict::MayHaveRun, Reason::Malformed),
                ));
            }
        };
    let is_served = !shed && !parts.status.is_server_error();
    let served = incoming.fingerprint.filter(|_| is_served);
    let notice = shared.dialect.read_notice(&parts);
    if let Some(UpstreamNotice {
        rate_limit,
        leaving,
    }) = notice
    {
        shared
            .driver
            .step_owner(Input::UpstreamResponded { rate_limit, served });
        if leaving {
            let run_id = upstream.and_then(|it| it.run_id.clone());
            shared.driver.report_leaving(run_id);
        }
    }
    if let Some(fingerprint) = served.filter(|it| topology.suspects.contains(*it)) {
        shared.driver.report_completion(fingerprint);
    }
    let elapsed = shared.driver.now().since(now);
    let refused = shed.then_some((Verdict::NotRun, Reason::UpstreamRefused));
    events::log_finished(&trace_id, status, elapsed, refused);
    set_internal_headers(&mut parts.headers, shed, notice.unwrap_or_default());
    let started = StartedResponse {
        parts,
        body,
        connection,
        relay: Relay {
            shed,
            measured_route: Some(incoming.route)
                .filter(|_| is_served && !upstream_request.head_only),
            deadline,
            trace_id,
            sent: now,
        },
    };
    Ok((started, permit))
}

/// Relays a response from its connection; the end of the relay finishes the permit. If the link is paced, a long
/// response is read into memory while it is sent.
fn relay_response(
    shared: &Arc<SharedState>,
    permit: Permit,
    source: RelaySource,
    Relay {
        shed,
        measured_route,
        deadline,
        trace_id,
        sent,
    }: Relay,
) -> Payload {
    let owner = Arc::clone(shared);
    let on_end = move |end, bytes| {
        let reason = match end {
            RelayEnd::Complete(connection) => {
                permit.finish(verdict_of(shed), shed, false);
                report_length(&owner, measured_route, bytes);
                if let Some(connection) = connection {
                    release_connection(&owner, connection, shed);
                }
                return;
            }
            RelayEnd::Failed(reason) => reason,
            RelayEnd::Dropped => Reason::CallerLeft,
        };
        permit.finish(Verdict::MayHaveRun, shed, false);
        let elapsed = owner.driver.now().since(sent);
        events::log_response_cut(&trace_id, reason, bytes, elapsed);
    };
    let relayed = Payload::Relayed(Box::new(RelayedResponse::new(source, deadline, on_end)));
    match shared.driver.active_link() {
        Some(link) => read_ahead(relayed, link.paced_above(), &shared.read_ahead),
        None => relayed,
    }
}

/// Reports the length of a complete response, by which the link admits requests of its route.
fn report_length(shared: &SharedState, measured_route: Option<RouteId>, bytes: u64) {
    if let Some(route) = measured_route {
        shared.driver.report_response_length(route, bytes);
    }
}

/// Returns the connection of a complete response to the pool, unless the upstream refused the request. A faulty
/// upstream can write its refusal once more, which would then be taken for the response to the next request.
fn release_connection(shared: &SharedState, connection: ClientConnection, shed: bool) {
    if !shed {
        shared.upstream.release(connection, shared.driver.now());
    }
}

/// Reads a body until its end or past [`stored_responses::MAX_BODY_BYTES`]. The flag states whether
/// the end was reached; `None` if the connection failed.
async fn read_up_to_limit(
    connection: &mut ClientConnection,
    body: &mut Incoming,
) -> Option<(Bytes, bool)> {
    let mut read = BytesMut::new();
    while !body.is_end_stream() {
        let Some(part) = std::future::poll_fn(|context| connection.poll_body(body, context)).await
        else {
            break;
        };
        if let Ok(bytes) = part.ok()?.into_data() {
            read.extend_from_slice(&bytes);
        }
        if read.len() > stored_responses::MAX_BODY_BYTES {
            return Some((read.freeze(), false));
        }
    }
    Some((read.freeze(), true))
}

fn verdict_of(shed: bool) -> Verdict {
    if shed { Verdict::NotRun } else { Verdict::Ran }
}

/// Finishes the permit of a failed request and returns the refusal for its sender.
fn finish_failed(permit: Permit, (verdict, reason): UpstreamFailure) -> Refusal {
    if reason == Reason::UpstreamCrashed {
        permit.finish_crashed();
    } else {
        permit.finish(verdict, false, false);
    }
    Refusal {
        reason,
        verdict,
        retry_after: RETRY_AFTER,
    }
}

fn may_have_run(reason: Reason) -> Refusal {
    Refusal {
        reason,
        verdict: Verdict::MayHaveRun,
        retry_after: RETRY_AFTER,
    }
}

/// Whether a complete response can be told from one that was cut off by a closed connection.
fn has_explicit_framing(parts: &Parts, head_only: bool) -> bool {
    let bodiless = [StatusCode::NO_CONTENT, StatusCode::NOT_MODIFIED].contains(&parts.status);
    parts.status != StatusCode::SWITCHING_PROTOCOLS
        && (bodiless
            || head_only
            || parts.headers.contains_key(CONTENT_LENGTH)
            || parts.headers.contains_key(TRANSFER_ENCODING))
}

/// Replaces the internal headers of a response by its verdict, the reason if it was shed, and the rate limit
/// that the upstream names.
fn set_internal_headers(headers: &mut HeaderMap, shed: bool, notice: UpstreamNotice) {
    remove_internal_headers(headers);
    remove_hop_by_hop_headers(headers);
    let verdict = HeaderValue::from_static(verdict_of(shed).name());
    headers.insert(header::VERDICT, verdict);
    if shed {
        let reason = HeaderValue::from_static(Reason::UpstreamRefused.name());
        headers.insert(header::REASON, reason);
    }
    let rate_limit = notice.rate_limit.rate();
    let rate_limit = rate_limit.map(|it| it.per_second().to_string());
    if let Some(Ok(value)) = rate_limit.map(|it| HeaderValue::from_str(&it)) {
        headers.insert(header::RATE_LIMIT, value);
    }
}

/// Number of connections that the upstream accepts: the lower of the announced and the configured
/// one.
fn max_upstream_connections(shared: &SharedState) -> usize {
    let topology = shared.driver.topology();
    let own_upstream = topology.own_upstream.as_ref();
    let announced = own_upstream.map_or(1, |(_, upstream)| upstream.max_connections);
    let configured = own_service(&topology).and_then(|service| service.max_connections);
    let max_connections = configured.map_or(announced, |limit| limit.min(announced));
    usize::try_from(max_connections).unwrap_or(usize::MAX)
}

fn is_not_run_status(shared: &SharedState, status: u16) -> bool {
    let topology = shared.driver.topology();
    let service = own_service(&topology);
    service.is_some_and(|service| service.not_run_statuses.binary_search(&status).is_ok())
}

/// Service of this node's own upstream, if the configuration contains it.
fn own_service(topology: &Topology) -> Option<&Service> {
    let (_, upstream) = topology.own_upstream.as_ref()?;
    let snapshot = topology.snapshot.as_ref()?;
    snapshot.service(snapshot.find_service(&upstream.service)?)
}
