//! Compilation of a text into a snapshot.

use std::sync::Arc;
use std::time::Duration;

use quick_error::quick_error;
use serde_saphyr::Spanned;

use crate::Pattern;
use crate::Route;
use crate::Service;
use crate::ServiceKey;
use crate::Snapshot;
use crate::source;
use ids::Digest;
use ids::Rank;
use ids::RouteId;
use ids::ServiceId;
use ids::Version;
use kernel::Arena;

/// Longest accepted text; the store holds values up to a megabyte.
pub const MAX_TEXT_BYTES: usize = 900_000;
/// Longest accepted deadline of a route; bounds how long outcomes are kept.
const MAX_DEADLINE: Duration = Duration::from_secs(60);
const MAX_WEIGHT: u32 = 1_000;
const DEFAULT_WEIGHT: u32 = 1;

quick_error! {
    /// Why a text is refused.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Fault {
        /// The text is too long.
        TooLong { bytes: usize } {
            display("the text has {bytes} bytes; at most {MAX_TEXT_BYTES} are accepted")
        }
        /// The text is not the expected YAML.
        Syntax { message: String } {
            display("{message}")
        }
        /// A rule is broken.
        Rule { line: u64, message: String } {
            display("line {line}: {message}")
        }
    }
}

fn rule<T>(at: &Spanned<T>, message: impl Into<String>) -> Fault {
    Fault::Rule {
        line: at.referenced.line(),
        message: message.into(),
    }
}

/// Compiles `text`; gives all broken rules, not only the first.
pub fn compile(text: &str, version: Version) -> Result<Snapshot, Vec<Fault>> {
    if text.len() > MAX_TEXT_BYTES {
        return Err(vec![Fault::TooLong { bytes: text.len() }]);
    }
    let source: source::Text = serde_saphyr::from_str(text).map_err(|error| {
        vec![Fault::Syntax {
            message: error.to_string(),
        }]
    })?;
    let mut build = Build::new(text, version);
    build.add_services(&source);
    build.add_routes(&source);
    build.finish()
}

struct Build {
    snapshot: Snapshot,
    faults: Vec<Fault>,
}

impl Build {
    fn new(text: &str, version: Version) -> Self {
        // Keys of one version must not be valid in another.
        let generation = u32::try_from(version.0 & u64::from(u32::MAX)).unwrap_or(0);
        let snapshot = Snapshot {
            version,
            digest: Digest::from_bytes(text.as_bytes()),
            services: Arena::new(generation),
            routes: Arena::new(generation),
            by_name: Vec::new(),
            by_match: Vec::new(),
            by_id: Vec::new(),
        };
        Self {
            snapshot,
            faults: Vec::new(),
        }
    }

    fn add_services(&mut self, source: &source::Text) {
        for service in &source.services {
            let name = &service.name;
            if name.value.is_empty() {
                self.faults.push(rule(name, "a service has a name"));
            }
            if self.snapshot.find_service(&name.value).is_some() {
                self.faults.push(rule(
                    name,
                    format!("service {:?} is listed twice", name.value),
                ));
                continue;
            }
            let mut statuses: Vec<u16> = service
                .not_run_statuses
                .iter()
                .map(|status| status.value)
                .collect();
            statuses.sort_unstable();
            let key = self.snapshot.services.insert(Service {
                id: ServiceId::from_name(&name.value),
                name: Arc::from(name.value.as_str()),
                depends: Vec::new(),
                not_run_statuses: statuses,
            });
            let at = self.snapshot.by_name.partition_point(|known| {
                self.snapshot
                    .services
                    .get(*known)
                    .is_some_and(|other| *other.name < *name.value)
            });
            self.snapshot.by_name.insert(at, key);
        }
        for service in &source.services {
            self.add_dependencies(service);
        }
    }

    fn add_dependencies(&mut self, service: &source::Service) {
        let Some(key) = self.snapshot.find_service(&service.name.value) else {
            return;
        };
        let mut depends = Vec::new();
        for name in &service.depends {
            match self.snapshot.find_service(&name.value) {
                Some(target) => depends.push(target),
                None => self.faults.push(rule(
                    name,
                    format!("service {:?} is not listed", name.value),
                )),
            }
        }
        if let Some(service) = self.snapshot.services.get_mut(key) {
            service.depends = depends;
        }
    }

    fn add_routes(&mut self, source: &source::Text) {
        for service in &source.services {
            let Some(key) = self.snapshot.find_service(&service.name.value) else {
                continue;
            };
            for route in &service.routes {
                if let Some(route) = self.check_route(key, route) {
                    self.snapshot.routes.insert(route);
                }
            }
        }
    }

    fn check_route(&mut self, service: ServiceKey, route: &source::Route) -> Option<Route> {
        let before = self.faults.len();
        let pattern = Pattern::parse(&route.path.value);
        if let Err(message) = &pattern {
            self.faults.push(rule(&route.path, *message));
        }
        let rank = route.rank.value;
        if usize::from(rank) >= Rank::COUNT {
            self.faults
                .push(rule(&route.rank, format!("rank {rank} is not 0 to 3")));
        }
        let deadline = Duration::from_millis(route.deadline_ms.value);
        if deadline.is_zero() || deadline > MAX_DEADLINE {
            self.faults
                .push(rule(&route.deadline_ms, "a deadline is 1 to 60000 ms"));
        }
        let weight = route
            .weight
            .as_ref()
            .map_or(DEFAULT_WEIGHT, |weight| weight.value);
        if let Some(written) = &route.weight
            && !(1..=MAX_WEIGHT).contains(&weight)
        {
            self.faults.push(rule(written, "a weight is 1 to 1000"));
        }
        if self.faults.len() > before {
            return None;
        }
        Some(Route {
            id: RouteId::from_parts(&route.method.value, &route.path.value),
            service,
            method: route.method.value.clone(),
            pattern: pattern.ok()?,
            path: route.path.value.clone(),
            rank: Rank(rank),
            deadline,
            idempotent: route.idempotent.unwrap_or(route.method.value == "GET"),
            weight,
        })
    }

    fn finish(mut self) -> Result<Snapshot, Vec<Fault>> {
        if !self.faults.is_empty() {
            return Err(self.faults);
        }
        let mut order: Vec<_> = self.snapshot.routes.iter().collect();
        order.sort_by(|(_, a), (_, b)| (&a.method, &a.pattern).cmp(&(&b.method, &b.pattern)));
        self.snapshot.by_match = order.into_iter().map(|(key, _)| key).collect();
        let mut by_id: Vec<_> = self
            .snapshot
            .routes
            .iter()
            .map(|(key, route)| (route.id, key))
            .collect();
        by_id.sort_unstable();
        self.snapshot.by_id = by_id;
        Ok(self.snapshot)
    }
}
