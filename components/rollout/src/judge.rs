//! Judgement on a version on trial by the outcomes of its requests.

use crate::Counts;
use crate::Tally;
use ids::NodeId;
use ids::RouteId;

/// Excess of the share of failures from which a version is bad.
const FAILURE_MARGIN: f64 = 0.10;
/// Excess of the share of slow requests from which a version is bad. Slowness varies more than failures do.
const SLOW_MARGIN: f64 = 0.25;
/// Smallest number of bad requests that prove anything.
const MIN_BAD: u32 = 6;
/// The same where one endpoint alone runs the version and a bad neighbour would look the same.
const MIN_BAD_ALONE: u32 = 24;
/// Standard errors that the excess has to exceed. It is tested for each route every 250 ms.
const MIN_DEVIATIONS: f64 = 4.0;
/// Requests of an endpoint on trial from which it counts as one of several.
const MIN_ENDPOINT_REQUESTS: u32 = 8;
/// Requests of the established version without which nothing can be compared.
const MIN_ESTABLISHED: u32 = 10;
/// Requests on trial without which a version is not good.
const MIN_GOOD: u32 = 50;
/// Requests on trial of a route without which a version is not good, if the route has [`MIN_ROUTE_SHARE`].
const MIN_GOOD_OF_ROUTE: u32 = 8;
/// Part of the requests, in percent, from which a route has to be tried.
const MIN_ROUTE_SHARE: u64 = 5;
/// Part of the margins up to which a version is good.
const GOOD_PART: f64 = 0.5;

/// What the outcomes show.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Judgement {
    /// The version fails or is slow where the established one is not.
    Bad,
    /// The version is no worse than the established one.
    Good,
    /// Neither is proved.
    Open,
}

/// Outcomes of one scope, all routes or one, under both versions.
#[derive(Clone, Copy, Debug, Default)]
struct Scope {
    established: Counts,
    target: Counts,
}

/// Judges a version. The outcomes of both versions are of the same span of time, so that an overload shows in both.
/// The worst endpoint on trial does not count against the version, because it may have a bad neighbour.
pub fn judge(tallies: &[Tally]) -> Judgement {
    let endpoints = list_endpoints(tallies);
    let is_alone = endpoints.len() < 2;
    let excluded = find_worst(tallies, &endpoints).filter(|_| !is_alone);
    let routes = list_routes(tallies);
    let all = sum_scope(tallies, None, excluded);
    let scopes: Vec<Scope> = routes
        .iter()
        .map(|route| sum_scope(tallies, Some(*route), excluded))
        .collect();
    let min_bad = if is_alone { MIN_BAD_ALONE } else { MIN_BAD };
    let mut every = scopes.iter().chain([&all]);
    if every.any(|scope| scope.is_bad(min_bad)) {
        return Judgement::Bad;
    }
    let is_tried = |scope: &Scope| {
        let share = u64::from(scope.established.requests) * 100;
        let is_small = share < u64::from(all.established.requests) * MIN_ROUTE_SHARE;
        is_small || scope.target.requests >= MIN_GOOD_OF_ROUTE
    };
    let is_good = all.target.requests >= MIN_GOOD
        && all.is_good()
        && scopes
            .iter()
            .all(|scope| is_tried(scope) && scope.is_good());
    if is_good {
        Judgement::Good
    } else {
        Judgement::Open
    }
}

impl Scope {
    fn is_bad(&self, min_bad: u32) -> bool {
        let (old, new) = (self.established, self.target);
        let is_worse = |old_bad: u32, new_bad: u32, margin: f64| {
            let (old_part, new_part) = (part(old_bad, old.requests), part(new_bad, new.requests));
            let excess = new_part - old_part;
            new_bad >= min_bad
                && excess > margin
                && excess > MIN_DEVIATIONS * self.deviation(old_bad + new_bad)
        };
        old.requests >= MIN_ESTABLISHED
            && (is_worse(old.failures, new.failures, FAILURE_MARGIN)
                || is_worse(old.slow, new.slow, SLOW_MARGIN))
    }

    /// Whether nothing hints at a worse version, beyond what chance explains.
    fn is_good(&self) -> bool {
        let (old, new) = (self.established, self.target);
        let is_close = |old_bad: u32, new_bad: u32, margin: f64| {
            let excess = part(new_bad, new.requests) - part(old_bad, old.requests);
            excess <= (margin * GOOD_PART).max(self.deviation(old_bad + new_bad) * 2.0)
        };
        is_close(old.failures, new.failures, FAILURE_MARGIN)
            && is_close(old.slow, new.slow, SLOW_MARGIN)
    }

    /// Standard error of the difference of two parts if both versions are equal.
    fn deviation(&self, bad: u32) -> f64 {
        let (old, new) = (self.established.requests, self.target.requests);
        let (old, new) = (f64::from(old.max(1)), f64::from(new.max(1)));
        let pooled = (f64::from(bad) + 1.0) / (old + new + 2.0);
        let pooled = pooled.min(1.0);
        (pooled * (1.0 - pooled) * (1.0 / old + 1.0 / new)).sqrt()
    }
}

fn part(bad: u32, requests: u32) -> f64 {
    f64::from(bad) / f64::from(requests.max(1))
}

/// The endpoints on trial with enough requests.
fn list_endpoints(tallies: &[Tally]) -> Vec<NodeId> {
    let mut nodes: Vec<NodeId> = tallies.iter().filter_map(|it| it.canary).collect();
    nodes.sort_unstable();
    nodes.dedup();
    nodes.retain(|node| sum_endpoint(tallies, *node).requests >= MIN_ENDPOINT_REQUESTS);
    nodes
}

fn list_routes(tallies: &[Tally]) -> Vec<RouteId> {
    let mut routes: Vec<RouteId> = tallies.iter().map(|it| it.route).collect();
    routes.sort_unstable();
    routes.dedup();
    routes
}

fn find_worst(tallies: &[Tally], endpoints: &[NodeId]) -> Option<NodeId> {
    let badness = |node: &NodeId| {
        let counts = sum_endpoint(tallies, *node);
        part(counts.failures + counts.slow, counts.requests)
    };
    let worst = endpoints
        .iter()
        .max_by(|left, right| badness(left).total_cmp(&badness(right)));
    worst.copied()
}

fn sum_endpoint(tallies: &[Tally], node: NodeId) -> Counts {
    let mut sum = Counts::default();
    let own = tallies.iter().filter(|it| it.canary == Some(node));
    own.for_each(|it| sum.add(it.counts));
    sum
}

fn sum_scope(tallies: &[Tally], route: Option<RouteId>, excluded: Option<NodeId>) -> Scope {
    let mut scope = Scope::default();
    for tally in tallies {
        if route.is_some_and(|route| route != tally.route) {
            continue;
        }
        match tally.canary {
            None => scope.established.add(tally.counts),
            Some(node) if Some(node) != excluded => scope.target.add(tally.counts),
            Some(_) => {}
        }
    }
    scope
}
