//! Requests that other nodes send to this node's upstream.

use std::sync::Arc;
use std::time::Duration;

use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::header::HeaderValue;

use crate::Shared;
use crate::answer;
use crate::answer::not_run;
use crate::answer::parse_header;
use crate::body::Payload;
use crate::body::full;
use crate::headers::check_head;
use crate::headers::clean_request;
use crate::intake::Intake;
use crate::listen::Session;
use crate::pool::ANSWER;
use crate::pool::CLOCK;
use crate::pool::HELLO;
use crate::run::Work;
use crate::run::run;
use errors::Reason;
use ids::NodeId;
use ids::Rank;
use ids::RequestId;
use ids::RouteId;
use kernel::Time;
use traffic::Refusal;
use traffic::owner::IncomingRequest;
use wire::header;

/// Latest expiry of a request that is accepted; the configuration allows deadlines of up to 60 s.
const MAX_EXPIRY: Duration = Duration::from_secs(120);

/// Answers one request of another node.
pub(crate) async fn handle(
    shared: Arc<Shared>,
    session: Arc<Session>,
    mut request: Request<Incoming>,
) -> Response<Payload> {
    // The entry sends nothing more on a connection before it has read the whole answer.
    if let Some(id) = session.take_stored() {
        shared.answers.forget(id);
    }
    let path = request.uri().path();
    if path == HELLO {
        return hello(&shared);
    }
    if let Some(id) = path.strip_prefix(ANSWER) {
        return fetch(&shared, id);
    }
    let mut response = match check_head(&mut request) {
        Ok(()) => serve(&shared, &session, request)
            .await
            .unwrap_or_else(answer::refuse_node),
        Err(reason) => answer::refuse_node(not_run(reason)),
    };
    answer::set_load(response.headers_mut(), shared.driver.load());
    response
}

async fn serve(
    shared: &Arc<Shared>,
    session: &Session,
    request: Request<Incoming>,
) -> Result<Response<Payload>, Refusal> {
    let offer = read_offer(shared, request.headers()).ok_or_else(|| not_run(Reason::Malformed))?;
    let service = parse_header(request.headers(), header::SERVICE);
    let (mut parts, body) = request.into_parts();
    let most = shared.limits().max_body_bytes;
    let payload = Intake::read(body, most).await.map_err(not_run)?.payload();
    clean_request(&mut parts.headers);
    let work = Work {
        offer,
        service,
        head_only: parts.method == Method::HEAD,
        request: Request::from_parts(parts, payload.unwrap_or_else(|| full(""))),
    };
    let done = run(shared, work).await?;
    if done.stored {
        session.set_stored(offer.id);
    }
    Ok(done.response)
}

fn hello(shared: &Shared) -> Response<Payload> {
    let mut response = Response::new(full(""));
    let headers = response.headers_mut();
    let values = [
        (header::OWNER, shared.driver.node_id().to_string()),
        (CLOCK, shared.driver.now().0.to_string()),
    ];
    for (name, value) in values {
        if let Ok(value) = HeaderValue::from_str(&value) {
            headers.insert(name, value);
        }
    }
    response
}

/// Gives out a stored answer.
fn fetch(shared: &Shared, id: &str) -> Response<Payload> {
    let stored = id.parse().ok().and_then(|id| shared.answers.get(id));
    stored.unwrap_or_else(|| {
        answer::refuse_node(Refusal {
            reason: Reason::OutcomeUnknown,
            verdict: errors::Verdict::MayHaveRun,
            retry_after: Duration::ZERO,
        })
    })
}

fn read_offer(shared: &Shared, headers: &HeaderMap) -> Option<IncomingRequest> {
    let route: RouteId = parse_header(headers, header::ROUTE)?;
    let expires = Time(parse_header(headers, header::EXPIRES)?);
    if expires > shared.driver.now() + MAX_EXPIRY {
        return None;
    }
    let topology = shared.driver.topology();
    let snapshot = topology.snapshot.as_ref();
    let known = snapshot.and_then(|it| it.route(it.find_route_by_id(route)?));
    Some(IncomingRequest {
        tag: 0,
        id: parse_header::<RequestId>(headers, header::REQUEST_ID)?,
        attempt: parse_header(headers, header::ATTEMPT)?,
        intended_owner: parse_header::<NodeId>(headers, header::OWNER)?,
        expires,
        route,
        objective: parse_header(headers, header::OBJECTIVE).map(Time),
        // A route that this node does not know yet is served at the least urgent rank.
        rank: known.map_or(Rank(u8::MAX), |route| route.rank),
        weight: known.map_or(1, |route| route.weight),
        // A route that this node does not know yet runs at most once.
        idempotent: known.is_some_and(|route| route.idempotent),
    })
}
