//! Explanation of where a request goes and why.

use crate::EndpointView;
use crate::Explanation;
use crate::RouteView;
use crate::view::describe_stage;
use control::Endpoint;
use control::Topology;
use member::Stage;

/// Explains a request by method and path (without query).
pub(crate) fn explain(topology: &Topology, method: &str, path: &str) -> Explanation {
    let Some(snapshot) = &topology.snapshot else {
        return Explanation {
            reason: "the node holds no configuration yet".into(),
            ..Explanation::default()
        };
    };
    let mut matches = snapshot.list_matches(method, path).into_iter();
    let Some((key, route)) = matches
        .next()
        .and_then(|it| Some((it, snapshot.route(it)?)))
    else {
        let others = ["DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT"];
        let known = |other: &&str| snapshot.find_route(None, other, path).is_some();
        let others: Vec<_> = others.into_iter().filter(known).collect();
        let reason = if others.is_empty() {
            format!(
                "no route of version {} covers this path",
                snapshot.version()
            )
        } else {
            format!("the path has routes for {} only", others.join(", "))
        };
        let version = snapshot.version().0;
        return Explanation {
            version,
            reason,
            ..Explanation::default()
        };
    };
    let passed_over: Vec<_> = matches
        .filter(|other| *other != key)
        .filter_map(|other| Some(RouteView::new(snapshot, snapshot.route(other)?)))
        .collect();
    let reason = if passed_over.is_empty() {
        "it is the only route that covers the request"
    } else {
        "segment by segment, a literal goes before {name} and {name} before **"
    };
    Explanation {
        version: snapshot.version().0,
        route: Some(RouteView::new(snapshot, route)),
        reason: reason.into(),
        passed_over,
        endpoints: route
            .targets
            .iter()
            .flat_map(|target| topology.endpoints_of(target.service))
            .map(|(_, endpoint)| describe_endpoint(topology, endpoint))
            .collect(),
    }
}

fn describe_endpoint(topology: &Topology, endpoint: &Endpoint) -> EndpointView {
    let reason = match endpoint.stage {
        Stage::Warming => "not ready yet",
        Stage::Draining => "leaving: takes no new requests",
        Stage::Gone => "has left",
        Stage::Ready if endpoint.node == topology.node_id => "own upstream",
        Stage::Ready if endpoint.domain == topology.domain => "same failure domain: preferred",
        Stage::Ready => "other failure domain: used when the own one has no room",
    };
    EndpointView {
        node: endpoint.node.to_string(),
        request_address: endpoint.request_address.to_string(),
        domain: endpoint.domain.to_string(),
        state: describe_stage(endpoint.stage).to_owned(),
        slots: endpoint.slots,
        takes_requests: endpoint.stage == Stage::Ready,
        reason: reason.to_owned(),
    }
}
