//! Handler of requests that other nodes forward to this node's upstream.

use std::sync::Arc;
use std::time::Duration;

use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::header::HeaderValue;

use crate::SharedState;
use crate::body::Payload;
use crate::body::full;
use crate::dispatch::UpstreamRequest;
use crate::dispatch::run_request;
use crate::headers::strip_request_headers;
use crate::headers::validate_request_head;
use crate::listen::ConnectionState;
use crate::node_pool::CLOCK_HEADER;
use crate::node_pool::HELLO_PATH;
use crate::node_pool::STORED_RESPONSE_PATH;
use crate::paced_body::SendPriority;
use crate::request_body::RequestBody;
use crate::responses;
use crate::responses::not_run_refusal;
use crate::responses::parse_header;
use errors::Reason;
use ids::NodeId;
use ids::OrganisationId;
use ids::RequestId;
use ids::RouteId;
use kernel::Time;
use traffic::Precedence;
use traffic::Refusal;
use traffic::owner::IncomingRequest;
use wire::header;

/// Maximum time to the expiry of an accepted request; the configuration allows deadlines of up to
/// 60 s.
const MAX_TIME_TO_EXPIRY: Duration = Duration::from_secs(120);

/// Serves one request of another node.
pub(crate) async fn handle(
    shared: Arc<SharedState>,
    connection_state: Arc<ConnectionState>,
    mut request: Request<Incoming>,
) -> Response<Payload> {
    // The entry has read the previous response to its end before it sends another request on the
    // connection, so the stored copy is no longer needed.
    if let Some(id) = connection_state.take_stored() {
        shared.stored_responses.remove(id);
    }
    let path = request.uri().path();
    if path == HELLO_PATH {
        return hello_response(&shared);
    }
    if let Some(id) = path.strip_prefix(STORED_RESPONSE_PATH) {
        return stored_response(&shared, id);
    }
    let mut response = match validate_request_head(&mut request) {
        Ok(()) => serve(&shared, &connection_state, request)
            .await
            .unwrap_or_else(responses::refusal_to_node),
        Err(reason) => responses::refusal_to_node(not_run_refusal(reason)),
    };
    responses::set_load_header(response.headers_mut(), shared.driver.load());
    response
}

async fn serve(
    shared: &Arc<SharedState>,
    connection_state: &ConnectionState,
    request: Request<Incoming>,
) -> Result<Response<Payload>, Refusal> {
    let incoming = read_incoming_request(shared, request.headers())
        .ok_or_else(|| not_run_refusal(Reason::Malformed))?;
    let service = parse_header(request.headers(), header::SERVICE);
    let (mut parts, body) = request.into_parts();
    let max_bytes = shared.limits().max_body_bytes;
    let payload = RequestBody::read(Some(body), max_bytes)
        .await
        .map_err(not_run_refusal)?
        .payload();
    strip_request_headers(&mut parts.headers);
    let upstream_request = UpstreamRequest {
        incoming,
        service,
        head_only: parts.method == Method::HEAD,
        request: Request::from_parts(parts, payload.unwrap_or_else(|| full(""))),
    };
    let mut upstream_response = run_request(shared, upstream_request).await?;
    if upstream_response.stored {
        connection_state.set_stored(incoming.id);
    }
    let priority = SendPriority {
        rank: incoming.rank,
        objective: incoming.objective,
        deadline: incoming.expires,
    };
    priority.attach(shared, upstream_response.response.extensions_mut());
    Ok(upstream_response.response)
}

fn hello_response(shared: &SharedState) -> Response<Payload> {
    let mut response = Response::new(full(""));
    let headers = response.headers_mut();
    let values = [
        (header::OWNER, shared.driver.node_id().to_string()),
        (CLOCK_HEADER, shared.driver.now().0.to_string()),
    ];
    for (name, value) in values {
        if let Ok(value) = HeaderValue::from_str(&value) {
            headers.insert(name, value);
        }
    }
    response
}

/// Serves a stored response.
fn stored_response(shared: &SharedState, id: &str) -> Response<Payload> {
    let stored = id
        .parse()
        .ok()
        .and_then(|id| shared.stored_responses.get(id));
    stored.unwrap_or_else(|| {
        responses::refusal_to_node(Refusal {
            reason: Reason::OutcomeUnknown,
            verdict: errors::Verdict::MayHaveRun,
            retry_after: Duration::ZERO,
        })
    })
}

fn read_incoming_request(shared: &SharedState, headers: &HeaderMap) -> Option<IncomingRequest> {
    let route: RouteId = parse_header(headers, header::ROUTE)?;
    let expires = Time(parse_header(headers, header::EXPIRES)?);
    if expires > shared.driver.now() + MAX_TIME_TO_EXPIRY {
        return None;
    }
    let work_end = parse_header(headers, header::WORK_END).map_or(expires, Time);
    let topology = shared.driver.topology();
    let snapshot = topology.snapshot.as_ref();
    let route_config = snapshot.and_then(|it| it.route(it.find_route_by_id(route)?));
    let organisation = parse_header::<OrganisationId>(headers, header::ORGANISATION);
    // A route that this node's configuration does not contain yet gets the least urgent rank.
    let precedence = snapshot.zip(route_config).map_or_else(
        || Precedence::of_unknown_route(snapshot.map(|it| &**it)),
        |(snapshot, route)| Precedence::find(snapshot, route, organisation),
    );
    Some(IncomingRequest {
        tag: 0,
        id: parse_header::<RequestId>(headers, header::REQUEST_ID)?,
        attempt: parse_header(headers, header::ATTEMPT)?,
        intended_owner: parse_header::<NodeId>(headers, header::OWNER)?,
        expires,
        deadline: work_end.min(expires),
        route,
        objective: parse_header(headers, header::OBJECTIVE).map(Time),
        spillable: headers.contains_key(header::SPILLABLE),
        rate_limit: parse_header(headers, header::RATE_LIMIT),
        fingerprint: parse_header(headers, header::FINGERPRINT),
        seen_crashes: parse_header(headers, header::SEEN_CRASHES).unwrap_or(0),
        rank: precedence.rank,
        organisation,
        onward: headers.contains_key(header::ONWARD),
        link_backlog: 0,
        weight: precedence.weight,
        // A route that this node's configuration does not contain yet is not treated as idempotent.
        idempotent: route_config.is_some_and(|route| route.idempotent),
    })
}
