//! Running of admitted requests at the node's own upstream.

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
use tokio::time::Instant;

use crate::DispatchContext;
use crate::ResponseClass;
use crate::Shared;
use crate::body::End;
use crate::body::Payload;
use crate::body::Relay;
use crate::body::Source;
use crate::body::full;
use crate::caller::read_trace;
use crate::events;
use crate::headers::remove_hop_headers;
use crate::headers::remove_own_headers;
use crate::link::Link;
use crate::stored;
use crate::upstream::Failure;
use config::Service;
use control::Topology;
use errors::Reason;
use errors::Verdict;
use front::Permit;
use ids::ServiceId;
use traffic::Refusal;
use traffic::owner::IncomingRequest;
use wire::header;

/// Time after which a sender may try again when the upstream failed.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// A request for the upstream.
pub(crate) struct Work {
    pub(crate) offer: IncomingRequest,
    /// The service that is to serve it; `None` if the sender does not say.
    pub(crate) service: Option<ServiceId>,
    /// Whether it is a HEAD request.
    pub(crate) head_only: bool,
    /// Without headers of the system and of one connection.
    pub(crate) request: Request<Payload>,
}

/// An answer of the upstream.
pub(crate) struct Done {
    pub(crate) response: Response<Payload>,
    /// Whether a copy is kept for the entry.
    pub(crate) stored: bool,
}

/// The head of the upstream's answer.
struct Begun {
    parts: Parts,
    body: Incoming,
    link: Link,
    shed: bool,
    deadline: Instant,
}

/// Runs a request once it is admitted. If the future is dropped, a queued request is cancelled; a
/// running one is cancelled only if it is idempotent, since otherwise its answer may be asked for.
pub(crate) async fn run(shared: &Arc<Shared>, work: Work) -> Result<Done, Refusal> {
    let admitted = shared.driver.admit(work.offer).await;
    let permit = admitted.inspect_err(|refusal| {
        let trace = read_trace(shared, work.request.headers(), work.offer.id);
        events::held_back(shared, &trace, *refusal);
    })?;
    if work.offer.idempotent {
        return run_repeatable(shared, permit, work).await;
    }
    let shared = Arc::clone(shared);
    let task = tokio::spawn(async move { run_once(&shared, permit, work).await });
    task.await
        .unwrap_or_else(|_| Err(may_have_run(Reason::OutcomeUnknown)))
}

async fn run_repeatable(shared: &Arc<Shared>, permit: Permit, work: Work) -> Result<Done, Refusal> {
    let (begun, permit) = begin(shared, permit, work).await?;
    let Begun {
        parts,
        body,
        link,
        shed,
        deadline,
    } = begun;
    let source = Source::Link {
        prefix: None,
        body,
        link,
    };
    let payload = relay(shared, permit, source, shed, deadline);
    Ok(Done {
        response: Response::from_parts(parts, payload),
        stored: false,
    })
}

/// Reads a small answer whole before any of it goes out, so that it can be fetched later.
async fn run_once(shared: &Arc<Shared>, permit: Permit, work: Work) -> Result<Done, Refusal> {
    let offer = work.offer;
    let (begun, permit) = begin(shared, permit, work).await?;
    let Begun {
        parts,
        mut body,
        mut link,
        shed,
        deadline,
    } = begun;
    let read = tokio::time::timeout_at(deadline, read_small(&mut link, &mut body)).await;
    let (bytes, whole) = match read {
        Ok(Some(read)) => read,
        Ok(None) => {
            return Err(give_up(
                permit,
                (Verdict::MayHaveRun, Reason::ConnectionBroken),
            ));
        }
        Err(_) => {
            return Err(give_up(
                permit,
                (Verdict::MayHaveRun, Reason::DeadlinePassed),
            ));
        }
    };
    if !whole {
        let source = Source::Link {
            prefix: Some(bytes),
            body,
            link,
        };
        let payload = relay(shared, permit, source, shed, deadline);
        return Ok(Done {
            response: Response::from_parts(parts, payload),
            stored: false,
        });
    }
    let stored = !shed
        && shared.answers.keep(
            offer.id,
            offer.expires,
            parts.status,
            &parts.headers,
            &bytes,
        );
    permit.finish(verdict(shed), shed, stored);
    shared.upstream.keep(link, shared.driver.now());
    Ok(Done {
        response: Response::from_parts(parts, full(bytes)),
        stored,
    })
}

/// Sends a request to the upstream and waits for the head of its answer.
async fn begin(
    shared: &Arc<Shared>,
    permit: Permit,
    work: Work,
) -> Result<(Begun, Permit), Refusal> {
    let offer = work.offer;
    let now = shared.driver.now();
    let deadline = Instant::from_std(shared.driver.clock().to_instant(offer.expires));
    // Another service's upstream can have taken the place of the one that the request is for.
    let topology = shared.driver.topology();
    let upstream = topology.own_upstream.as_ref().map(|(_, upstream)| upstream);
    let own = upstream.map(|upstream| ServiceId::from_name(&upstream.service));
    if work.service.is_some() && work.service != own {
        return Err(give_up(permit, (Verdict::NotRun, Reason::NoEndpoint)));
    }
    let mut request = work.request;
    let trace = shared.dialect.trace_id(request.headers()).cloned();
    let dispatch = DispatchContext {
        id: offer.id,
        time_left: now.until(offer.expires),
        run_id: upstream.and_then(|it| it.run_id.as_deref()),
    };
    shared
        .dialect
        .set_dispatch_headers(request.headers_mut(), &dispatch);
    let name = read_trace(shared, request.headers(), offer.id);
    events::dispatched(shared, &name, dispatch.run_id, dispatch.time_left);
    let fail = |permit: Permit, status: u16, failure: Failure| {
        let ran = shared.driver.now().since(now);
        events::finished(&name, status, ran, Some(failure));
        give_up(permit, failure)
    };
    let cancelled = permit.cancelled();
    let sent = tokio::select! {
        biased;
        sent = shared.upstream.send(request, connections(shared), now) => sent,
        () = tokio::time::sleep_until(deadline) => {
            Err((Verdict::MayHaveRun, Reason::DeadlinePassed))
        }
        () = cancelled.cancelled() => Err((Verdict::MayHaveRun, Reason::CallerLeft)),
    };
    let (response, link) = match sent {
        Ok(sent) => sent,
        Err(failure) => return Err(fail(permit, 0, failure)),
    };
    let (mut parts, body) = response.into_parts();
    let status = parts.status.as_u16();
    if !shared.dialect.accepts_close_delimited() && !is_framed(&parts, work.head_only) {
        return Err(fail(
            permit,
            status,
            (Verdict::MayHaveRun, Reason::Malformed),
        ));
    }
    let listed = is_not_run_status(shared, status);
    let shed = match shared
        .dialect
        .classify_response(trace.as_ref(), &parts, listed)
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
    let ran = shared.driver.now().since(now);
    let refused = shed.then_some((Verdict::NotRun, Reason::UpstreamRefused));
    events::finished(&name, status, ran, refused);
    mark(&mut parts.headers, shed);
    let begun = Begun {
        parts,
        body,
        link,
        shed,
        deadline,
    };
    Ok((begun, permit))
}

fn relay(
    shared: &Arc<Shared>,
    permit: Permit,
    source: Source,
    shed: bool,
    deadline: Instant,
) -> Payload {
    let shared = Arc::clone(shared);
    let on_end = move |end| match end {
        End::Whole(link) => {
            permit.finish(verdict(shed), shed, false);
            if let Some(link) = link {
                shared.upstream.keep(link, shared.driver.now());
            }
        }
        End::Broken(_) | End::Dropped => permit.finish(Verdict::MayHaveRun, shed, false),
    };
    Payload::Relay(Box::new(Relay::new(source, deadline, on_end)))
}

async fn read_small(link: &mut Link, body: &mut Incoming) -> Option<(Bytes, bool)> {
    let mut read = BytesMut::new();
    while !body.is_end_stream() {
        let Some(part) = std::future::poll_fn(|context| link.poll_body(body, context)).await else {
            break;
        };
        if let Ok(bytes) = part.ok()?.into_data() {
            read.extend_from_slice(&bytes);
        }
        if read.len() > stored::MAX_BODY_BYTES {
            return Some((read.freeze(), false));
        }
    }
    Some((read.freeze(), true))
}

fn verdict(shed: bool) -> Verdict {
    if shed { Verdict::NotRun } else { Verdict::Ran }
}

fn give_up(permit: Permit, (verdict, reason): Failure) -> Refusal {
    permit.finish(verdict, false, false);
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

/// Whether the end of an answer can be told from a connection that broke off.
fn is_framed(parts: &Parts, head_only: bool) -> bool {
    let bodiless = [StatusCode::NO_CONTENT, StatusCode::NOT_MODIFIED].contains(&parts.status);
    parts.status != StatusCode::SWITCHING_PROTOCOLS
        && (bodiless
            || head_only
            || parts.headers.contains_key(CONTENT_LENGTH)
            || parts.headers.contains_key(TRANSFER_ENCODING))
}

fn mark(headers: &mut HeaderMap, shed: bool) {
    remove_own_headers(headers);
    remove_hop_headers(headers);
    let verdict = HeaderValue::from_static(verdict(shed).name());
    headers.insert(header::VERDICT, verdict);
    if shed {
        let reason = HeaderValue::from_static(Reason::UpstreamRefused.name());
        headers.insert(header::REASON, reason);
    }
}

/// Connections that the upstream accepts.
fn connections(shared: &Shared) -> usize {
    let topology = shared.driver.topology();
    let own = topology.own_upstream.as_ref();
    let announced = own.map_or(1, |(_, upstream)| upstream.max_connections);
    let listed = own_service(&topology).and_then(|service| service.max_connections);
    let bound = listed.map_or(announced, |listed| listed.min(announced));
    usize::try_from(bound).unwrap_or(usize::MAX)
}

fn is_not_run_status(shared: &Shared, status: u16) -> bool {
    let topology = shared.driver.topology();
    let service = own_service(&topology);
    service.is_some_and(|service| service.not_run_statuses.binary_search(&status).is_ok())
}

/// The service of the node's own upstream, if the configuration lists it.
fn own_service(topology: &Topology) -> Option<&Service> {
    let (_, upstream) = topology.own_upstream.as_ref()?;
    let snapshot = topology.snapshot.as_ref()?;
    snapshot.service(snapshot.find_service(&upstream.service)?)
}
