//! The compiled configuration.

use std::sync::Arc;
use std::time::Duration;

use crate::CallerLimits;
use crate::Organisation;
use crate::OrganisationKey;
use crate::PathPattern;
use crate::organisation::OrganisationTable;
use crate::prefix_table::PrefixTable;
use crate::route_tree::RouteTree;
use ids::Digest;
use ids::KeyDigest;
use ids::OrganisationId;
use ids::Rank;
use ids::RouteId;
use ids::ServiceId;
use ids::Version;
use kernel::Arena;
use kernel::Key;

/// Key of a service in its snapshot.
pub type ServiceKey = Key<Service>;
/// Key of a route in its snapshot.
pub type RouteKey = Key<Route>;

/// A service of the configuration.
#[derive(Clone, Debug)]
pub struct Service {
    /// Identifier that stays the same across versions.
    pub id: ServiceId,
    /// Name of the service, unique in the snapshot.
    pub name: Arc<str>,
    /// Services that this one calls.
    pub dependencies: Vec<ServiceKey>,
    /// Status codes by which upstreams say that a request did not run, sorted.
    pub not_run_statuses: Vec<u16>,
    /// Connections that each upstream of the service accepts; `None` if the configuration sets no
    /// limit.
    pub max_connections: Option<u32>,
}

/// A service that receives a share of the requests of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Target {
    /// The service.
    pub service: ServiceKey,
    /// Share of the route's requests, relative to the other targets.
    pub weight: u32,
}

/// A route of the configuration.
#[derive(Clone, Debug)]
pub struct Route {
    /// Identifier that stays the same across versions.
    pub id: RouteId,
    /// The services that serve the route; at least one.
    pub targets: Vec<Target>,
    /// Host whose requests take the route; `None` for any host.
    pub host: Option<String>,
    /// HTTP method in upper case, or `*` for any method.
    pub method: String,
    /// Pattern of the paths that the route covers.
    pub pattern: PathPattern,
    /// The path pattern or prefix as written in the configuration.
    pub path: String,
    /// Urgency of the route's requests.
    pub rank: Rank,
    /// Maximum time from the arrival of a request to its response.
    pub deadline: Duration,
    /// Latency objective: time within which an answer has its full value for the caller, if the
    /// configuration gives one.
    pub objective: Option<Duration>,
    /// Maximum number of upstreams that one request may be sent to, if the configuration limits it.
    pub max_upstreams: Option<u32>,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// Share of the route among the routes of its rank.
    pub weight: u32,
    /// Whether requests need no key of an organisation.
    pub public: bool,
    /// Whether responses are mostly so large that they occupy the link of an instance for some time.
    pub large_responses: bool,
}

impl Route {
    /// The service at `position` when each target takes as many positions as its weight; `None`
    /// from [`Self::total_weight`] on.
    pub fn target_at(&self, position: usize) -> Option<ServiceKey> {
        let mut remaining = position;
        for target in &self.targets {
            let weight = usize::try_from(target.weight).unwrap_or(usize::MAX);
            match remaining.checked_sub(weight) {
                Some(rest) => remaining = rest,
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
    /// Keys of the services, sorted by name.
    pub(crate) services_by_name: Vec<ServiceKey>,
    /// Identifiers and keys of the routes, sorted.
    pub(crate) routes_by_id: Vec<(RouteId, RouteKey)>,
    /// Routes by method and path pattern.
    pub(crate) route_tree: RouteTree,
    /// Routes by host and path prefix.
    pub(crate) prefix_table: PrefixTable,
    pub(crate) limits: CallerLimits,
    pub(crate) organisations: OrganisationTable,
    /// Whether a route has large responses.
    pub(crate) has_large_responses: bool,
}

impl Snapshot {
    /// Version of the configuration.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Hash of the configuration text.
    pub fn digest(&self) -> Digest {
        self.digest
    }

    /// Limits on requests and connections of callers.
    pub fn limits(&self) -> &CallerLimits {
        &self.limits
    }

    /// The service with this key; `None` if the key is of another snapshot.
    pub fn service(&self, key: ServiceKey) -> Option<&Service> {
        self.services.get(key)
    }

    /// The route with this key; `None` if the key is of another snapshot.
    pub fn route(&self, key: RouteKey) -> Option<&Route> {
        self.routes.get(key)
    }

    /// All services, in the order of the configuration.
    pub fn services(&self) -> impl Iterator<Item = (ServiceKey, &Service)> {
        self.services.iter()
    }

    /// All routes in the order of the configuration: first those of the services, then those by
    /// host.
    pub fn routes(&self) -> impl Iterator<Item = (RouteKey, &Route)> {
        self.routes.iter()
    }

    /// Whether a route has large responses, for which the links of instances are scheduled.
    pub fn has_large_responses(&self) -> bool {
        self.has_large_responses
    }

    /// Whether the configuration lists organisations, so that requests need keys.
    pub fn has_organisations(&self) -> bool {
        !self.organisations.by_id.is_empty()
    }

    /// The organisation with this key; `None` if the key is of another snapshot.
    pub fn organisation(&self, key: OrganisationKey) -> Option<&Organisation> {
        self.organisations.organisations.get(key)
    }

    /// All organisations, in the order of the configuration.
    pub fn organisations(&self) -> impl Iterator<Item = (OrganisationKey, &Organisation)> {
        self.organisations.organisations.iter()
    }

    /// Mean rate of the organisations that have a limit, in requests a second; `None` if none has one.
    pub fn mean_organisation_rate(&self) -> Option<f64> {
        self.organisations.mean_rate()
    }

    /// Finds an organisation by its identifier.
    pub fn find_organisation(&self, id: OrganisationId) -> Option<OrganisationKey> {
        self.organisations.find(id)
    }

    /// Finds the organisation that holds an API key.
    pub fn find_key_holder(&self, digest: &KeyDigest) -> Option<OrganisationKey> {
        self.organisations.find_key_holder(digest)
    }

    /// Digests of the keys of an organisation, sorted.
    pub fn key_digests(&self, holder: OrganisationKey) -> impl Iterator<Item = KeyDigest> {
        let keys = self.organisations.by_key.iter();
        keys.filter(move |(_, it)| *it == holder)
            .map(|(digest, _)| *digest)
    }

    /// Finds a route by its identifier.
    pub fn find_route_by_id(&self, id: RouteId) -> Option<RouteKey> {
        let index = self
            .routes_by_id
            .binary_search_by_key(&id, |(existing_id, _)| *existing_id);
        index.ok().map(|index| self.routes_by_id[index].1)
    }

    /// Finds a service by its name.
    pub fn find_service(&self, name: &str) -> Option<ServiceKey> {
        let index = self.services_by_name.binary_search_by(|key| {
            self.services
                .get(*key)
                .map_or("", |service| &service.name)
                .cmp(name)
        });
        index.ok().map(|index| self.services_by_name[index])
    }

    /// Finds the route of a request; `path` is without query.
    ///
    /// Of the routes for the host, that is the one with the longest prefix of the path. If there is
    /// none, it is the first in the order of [`PathPattern`] among the routes of the method that
    /// cover the path.
    pub fn find_route(&self, host: Option<&str>, method: &str, path: &str) -> Option<RouteKey> {
        let by_host = host.and_then(|host| self.prefix_table.find(host, path));
        by_host.or_else(|| self.route_tree.find(method, path))
    }

    /// All routes by method and path pattern that cover a request, in order of precedence. Checks
    /// every route, so it is meant for explanations to operators, not for routing.
    pub fn list_matches(&self, method: &str, path: &str) -> Vec<RouteKey> {
        let covers = |route: &Route| {
            route.host.is_none() && route.method == method && route.pattern.matches(path)
        };
        let mut found: Vec<_> = self.routes().filter(|(_, it)| covers(it)).collect();
        found.sort_by(|(_, a), (_, b)| a.pattern.cmp(&b.pattern));
        found.into_iter().map(|(key, _)| key).collect()
    }
}
