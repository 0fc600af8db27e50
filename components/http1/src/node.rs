//! Requests that other nodes send to this node's upstream.

use std::sync::Arc;
use std::time::Duration;

use http_body_util::BodyExt;
use http_body_util::Limited;
use hyper::HeaderMap;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::header::HeaderValue;

use crate::Shared;
use crate::answer;
use crate::answer::not_run;
use crate::answer::parse_header;
use crate::body::Payload;
use crate::body::Tracked;
use crate::body::full;
use crate::pool::CLOCK;
use crate::pool::HELLO;
use errors::Reason;
use errors::Verdict;
use ids::NodeId;
use ids::RequestId;
use ids::RouteId;
use kernel::Time;
use traffic::Refusal;
use traffic::owner::Offer;
use wire::header;

/// Longest body of a request, in bytes.
pub(crate) const MAX_BODY_BYTES: usize = 1_048_576;

/// Answers one request of another node.
pub(crate) async fn handle(shared: Arc<Shared>, request: Request<Incoming>) -> Response<Payload> {
    if request.uri().path() == HELLO {
        return hello(&shared);
    }
    let Some(offer) = read_offer(&shared, request.headers()) else {
        return answer::refuse(not_run(Reason::Malformed));
    };
    let (parts, body) = request.into_parts();
    let Ok(bytes) = Limited::new(body, MAX_BODY_BYTES).collect().await else {
        return answer::refuse(not_run(Reason::TooLarge));
    };
    let request = Request::from_parts(parts, full(bytes.to_bytes()));
    let mut response = match run(&shared, offer, request).await {
        Ok(response) => response,
        Err(refusal) => answer::refuse(refusal),
    };
    answer::set_load(response.headers_mut(), shared.desk.load());
    response
}

fn hello(shared: &Shared) -> Response<Payload> {
    let mut response = Response::new(full(""));
    let headers = response.headers_mut();
    let values = [
        (header::OWNER, shared.desk.me().to_string()),
        (CLOCK, shared.desk.now().0.to_string()),
    ];
    for (name, value) in values {
        if let Ok(value) = HeaderValue::from_str(&value) {
            headers.insert(name, value);
        }
    }
    response
}

fn read_offer(shared: &Shared, headers: &HeaderMap) -> Option<Offer> {
    let route: RouteId = parse_header(headers, header::ROUTE)?;
    let picture = shared.desk.picture();
    let snapshot = picture.snapshot.as_ref();
    // A route that this node does not know yet is served at the least urgent rank.
    let known = snapshot.and_then(|it| it.route(it.find_route_by_id(route)?));
    Some(Offer {
        tag: 0,
        id: parse_header::<RequestId>(headers, header::REQUEST_ID)?,
        attempt: parse_header(headers, header::ATTEMPT)?,
        meant_for: parse_header::<NodeId>(headers, header::OWNER)?,
        expires: Time(parse_header(headers, header::EXPIRES)?),
        route,
        rank: known.map_or(ids::Rank(u8::MAX), |route| route.rank),
        weight: known.map_or(1, |route| route.weight),
        // A route that this node does not know yet runs at most once.
        idempotent: known.is_some_and(|route| route.idempotent),
    })
}

/// Runs a request at the upstream once it is admitted.
pub(crate) async fn run(
    shared: &Arc<Shared>,
    offer: Offer,
    request: Request<Payload>,
) -> Result<Response<Payload>, Refusal> {
    let permit = shared.desk.admit(offer).await?;
    let left = shared.desk.now().until(offer.expires);
    let request = prepare(request, &offer, left);
    let cancelled = permit.cancelled();
    let sent = tokio::select! {
        sent = shared.upstream.send(request, shared.desk.now()) => sent,
        () = tokio::time::sleep(left) => Err((Verdict::MayHaveRun, Reason::DeadlinePassed)),
        () = cancelled.cancelled() => Err((Verdict::MayHaveRun, Reason::CallerLeft)),
    };
    let (response, sender) = match sent {
        Ok(sent) => sent,
        Err((verdict, reason)) => {
            permit.finish(verdict, false, false);
            return Err(Refusal {
                reason,
                verdict,
                retry_after: Duration::from_secs(1),
            });
        }
    };
    let shed = is_not_run_status(shared, offer.route, response.status().as_u16());
    let verdict = if shed { Verdict::NotRun } else { Verdict::Ran };
    let (mut parts, body) = response.into_parts();
    remove_own_headers(&mut parts.headers);
    parts
        .headers
        .insert(header::VERDICT, HeaderValue::from_static(verdict.name()));
    if shed {
        let reason = HeaderValue::from_static(Reason::UpstreamRefused.name());
        parts.headers.insert(header::REASON, reason);
    }
    let kept = Arc::clone(shared);
    let body = Tracked::new(body, move |whole| {
        permit.finish(verdict, shed, false);
        if whole {
            kept.upstream.keep(sender, kept.desk.now());
        }
    });
    Ok(Response::from_parts(parts, BodyExt::boxed(body)))
}

fn prepare(mut request: Request<Payload>, offer: &Offer, left: Duration) -> Request<Payload> {
    let headers = request.headers_mut();
    remove_own_headers(headers);
    remove_hop_headers(headers);
    let values = [
        (header::REQUEST_ID, offer.id.to_string()),
        (header::DEADLINE, left.as_micros().to_string()),
        (header::RETRY_OWNER, "1".to_owned()),
    ];
    for (name, value) in values {
        if let Ok(value) = HeaderValue::from_str(&value) {
            headers.insert(name, value);
        }
    }
    request
}

fn is_not_run_status(shared: &Shared, route: RouteId, status: u16) -> bool {
    let picture = shared.desk.picture();
    let Some(snapshot) = picture.snapshot.as_ref() else {
        return false;
    };
    let route = snapshot
        .find_route_by_id(route)
        .and_then(|key| snapshot.route(key));
    let service = route.and_then(|route| snapshot.service(route.service));
    service.is_some_and(|service| service.not_run_statuses.binary_search(&status).is_ok())
}

/// Removes the headers that are the system's own.
pub(crate) fn remove_own_headers(headers: &mut HeaderMap) {
    let own: Vec<_> = headers
        .keys()
        .filter(|name| name.as_str().starts_with(header::PREFIX))
        .cloned()
        .collect();
    for name in own {
        headers.remove(name);
    }
}

/// Removes the headers that are about one connection.
pub(crate) fn remove_hop_headers(headers: &mut HeaderMap) {
    let listed: Vec<String> = headers
        .get_all("connection")
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    for name in listed {
        headers.remove(name.as_str());
    }
    const HOP: [&str; 7] = [
        "connection",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    ];
    for name in HOP {
        headers.remove(name);
    }
}
