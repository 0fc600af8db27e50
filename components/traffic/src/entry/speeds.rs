//! Speed of the endpoints, by the response times that the entry has seen.
//!
//! Routes take different times, so each response is compared with the mean of its route over all endpoints.

use std::time::Duration;

use ids::NodeId;
use ids::RouteId;

/// Weight of a response in the mean of its route, and of its ratio to that in the mean of its node.
const ROUTE_GAIN: f64 = 1.0 / 64.0;
const NODE_GAIN: f64 = 1.0 / 16.0;
/// Range of the ratio of one response, so that one pause of an endpoint does not decide.
const MIN_RATIO: f64 = 0.1;
const MAX_RATIO: f64 = 5.0;
/// Number of routes whose mean is kept.
const MAX_ROUTES: usize = 1_024;
/// Slowness of an average endpoint.
const AVERAGE: f64 = policy::AVERAGE_SLOWNESS as f64;

/// Means of response times by route and of their ratios to these by node.
#[derive(Debug, Default)]
pub(crate) struct Speeds {
    /// Mean response time in microseconds; sorted by route.
    routes: Vec<(RouteId, f64)>,
    /// Sorted by node.
    nodes: Vec<(NodeId, f64)>,
}

impl Speeds {
    /// Records the time that a node took for a response.
    pub(crate) fn record(&mut self, route: RouteId, node: NodeId, elapsed: Duration) {
        let micros = elapsed.as_micros() as f64 + 1.0;
        let mean = match self.routes.binary_search_by_key(&route, |(it, _)| *it) {
            Ok(index) => {
                let mean = &mut self.routes[index].1;
                *mean += (micros - *mean) * ROUTE_GAIN;
                *mean
            }
            Err(index) if self.routes.len() < MAX_ROUTES => {
                self.routes.insert(index, (route, micros));
                micros
            }
            Err(_) => return,
        };
        let ratio = (micros / mean).clamp(MIN_RATIO, MAX_RATIO);
        match self.nodes.binary_search_by_key(&node, |(it, _)| *it) {
            Ok(index) => {
                let slowness = &mut self.nodes[index].1;
                *slowness += (ratio - *slowness) * NODE_GAIN;
            }
            Err(index) => self.nodes.insert(index, (node, 1.0)),
        }
    }

    /// Response time of the node in thousandths of that of an average one.
    pub(crate) fn slowness(&self, node: NodeId) -> u32 {
        let index = self.nodes.binary_search_by_key(&node, |(it, _)| *it);
        let slowness = index.map_or(1.0, |index| self.nodes[index].1);
        (slowness * AVERAGE) as u32
    }

    /// Removes nodes that are not in `ready`, which is sorted.
    pub(crate) fn retain_ready(&mut self, ready: &[NodeId]) {
        self.nodes
            .retain(|(node, _)| ready.binary_search(node).is_ok());
    }
}
