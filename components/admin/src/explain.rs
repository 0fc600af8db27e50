//! Explains which route and which endpoints a request is sent to, and why.

use crate::EndpointView;
use crate::Explanation;
use crate::RouteView;
use crate::view::describe_stage;
use control::Endpoint;
use control::Topology;
use member::Stage;

/// Explains how a request with this method and path (without query) is routed.
pub(crate) fn explain(topology: &Topology, method: &str, path: &str) -> Explanation {
    let Some(snapshot) = &topology.snapshot else {
        return Explanation {
            reason: "the node has no configuration yet".into(),
            ..Explanation::default()
        };
    };
    let mut matches = snapshot.list_matches(method, path).into_iter();
    let Some((key, route)) = matches
        .next()
        .and_then(|it| Some((it, snapshot.route(it)?)))
    else {
        let methods = ["DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT"];
        let has_route = |method: &&str| snapshot.find_route(None, method, path).is_some();
        let methods: Vec<_> = methods.into_iter().filter(has_route).collect();
        let reason = if methods.is_empty() {
            format!(
                "no route of version {} matches this path",
                snapshot.version()
            )
        } else {
            format!("the path has routes for {} only", methods.join(", "))
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
        "it is the only route that matches the request"
    } else {
        "in each segment, a literal has precedence over {name}, and {name} over **"
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
        Stage::Ready => "other failure domain: used when the local endpoints are highly utilized",
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
