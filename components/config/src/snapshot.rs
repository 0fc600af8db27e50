//! What nodes route by.

use std::sync::Arc;
use std::time::Duration;

use crate::CallerLimits;
use crate::PathPattern;
use crate::prefix_table::Prefixes;
use crate::route_tree::Tree;
use ids::Digest;
use ids::Rank;
use ids::RouteId;
use ids::ServiceId;
use ids::Version;
use kernel::Arena;
use kernel::Key;

/// Address of a service in a snapshot.
pub type ServiceKey = Key<Service>;
/// Address of a route in a snapshot.
pub type RouteKey = Key<Route>;

/// A service of the configuration.
#[derive(Clone, Debug)]
pub struct Service {
    /// Identity across versions.
    pub id: ServiceId,
    /// Name, unique in the snapshot.
    pub name: Arc<str>,
    /// Services that it calls.
    pub dependencies: Vec<ServiceKey>,
    /// Upstream statuses that mean that the request did not run, sorted.
    pub not_run_statuses: Vec<u16>,
    /// Connections that each of its upstreams accepts; `None` if the text sets no bound.
    pub max_connections: Option<u32>,
}

/// One part of a route's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Target {
    /// The service that serves it.
    pub service: ServiceKey,
    /// Share of the requests, relative to the other targets.
    pub weight: u32,
}

/// A route of the configuration.
#[derive(Clone, Debug)]
pub struct Route {
    /// Identity across versions.
    pub id: RouteId,
    /// The services that serve it; at least one.
    pub targets: Vec<Target>,
    /// Host that it is for; `None` if any.
    pub host: Option<String>,
    /// HTTP method in capitals; `*` stands for any.
    pub method: String,
    /// Paths that it covers.
    pub pattern: PathPattern,
    /// The pattern as written.
    pub path: String,
    /// Urgency.
    pub rank: Rank,
    /// Longest time from arrival to answer.
    pub deadline: Duration,
    /// Time within which an answer is worth most to its caller, if the operator has said so.
    pub objective: Option<Duration>,
    /// Upstreams that one request may be sent to, if the operator bounds it.
    pub max_upstreams: Option<u32>,
    /// Whether a request can run more than once without harm.
    pub idempotent: bool,
    /// Share among the routes of its rank.
    pub weight: u32,
}

impl Route {
    /// The target of a request whose position among all requests is `position`, from 0 to below
    /// the sum of the weights.
    pub fn target_at(&self, position: usize) -> Option<ServiceKey> {
        let mut left = position;
        for target in &self.targets {
            let weight = usize::try_from(target.weight).unwrap_or(usize::MAX);
            match left.checked_sub(weight) {
                Some(rest) => left = rest,
                None => return Some(target.service),
            }
        }
        None
    }

    /// Sum of the weights of all targets.
    pub fn total_weight(&self) -> usize {
        let weights = self.targets.iter().map(|it| it.weight);
        weights.map(|it| usize::try_from(it).unwrap_or(0)).sum()
    }
}

/// An immutable compiled configuration.
#[derive(Clone, Debug)]
pub struct Snapshot {
    pub(crate) version: Version,
    pub(crate) digest: Digest,
    pub(crate) services: Arena<Service>,
    pub(crate) routes: Arena<Route>,
    /// Services sorted by name.
    pub(crate) by_name: Vec<ServiceKey>,
    /// Routes sorted by identity.
    pub(crate) by_id: Vec<(RouteId, RouteKey)>,
    /// Search by method and path.
    pub(crate) tree: Tree,
    /// Search by host and prefix.
    pub(crate) prefixes: Prefixes,
    pub(crate) limits: CallerLimits,
}

impl Snapshot {
    /// Version of the text.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Hash of the text.
    pub fn digest(&self) -> Digest {
        self.digest
    }

    /// Bounds on what a caller sends.
    pub fn limits(&self) -> &CallerLimits {
        &self.limits
    }

    /// The service at `key`, if the key is of this snapshot.
    pub fn service(&self, key: ServiceKey) -> Option<&Service> {
        self.services.get(key)
    }

    /// The route at `key`, if the key is of this snapshot.
    pub fn route(&self, key: RouteKey) -> Option<&Route> {
        self.routes.get(key)
    }

    /// All services, in the order of the text.
    pub fn services(&self) -> impl Iterator<Item = (ServiceKey, &Service)> {
        self.services.iter()
    }

    /// All routes, in the order of the text.
    pub fn routes(&self) -> impl Iterator<Item = (RouteKey, &Route)> {
        self.routes.iter()
    }

    /// Looks a route up by its identity.
    pub fn find_route_by_id(&self, id: RouteId) -> Option<RouteKey> {
        let at = self.by_id.binary_search_by_key(&id, |(known, _)| *known);
        at.ok().map(|at| self.by_id[at].1)
    }

    /// Looks a service up by name.
    pub fn find_service(&self, name: &str) -> Option<ServiceKey> {
        let at = self.by_name.binary_search_by(|key| {
            self.services
                .get(*key)
                .map_or("", |service| &service.name)
                .cmp(name)
        });
        at.ok().map(|at| self.by_name[at])
    }

    /// The route that takes a request; `path` is without query.
    ///
    /// Of the routes of the host it is the one with the longest prefix of the path. Otherwise, of all
    /// routes of the method that cover the path, it is the one whose pattern is first segment by
    /// segment: literal before `{name}` before `**`.
    pub fn find_route(&self, host: Option<&str>, method: &str, path: &str) -> Option<RouteKey> {
        let by_host = host.and_then(|host| self.prefixes.find(host, path));
        by_host.or_else(|| self.tree.find(method, path))
    }

    /// All routes that cover a request, in the order of match; for explanations, not for traffic.
    pub fn list_matches(&self, method: &str, path: &str) -> Vec<RouteKey> {
        let covers = |route: &Route| {
            route.host.is_none() && route.method == method && route.pattern.matches(path)
        };
        let mut found: Vec<_> = self.routes().filter(|(_, it)| covers(it)).collect();
        found.sort_by(|(_, a), (_, b)| a.pattern.cmp(&b.pattern));
        found.into_iter().map(|(key, _)| key).collect()
    }
}
