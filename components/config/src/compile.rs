//! Compilation of a text into a snapshot.

use std::sync::Arc;

use serde_saphyr::Spanned;

use crate::CallerLimits;
use crate::ConfigError;
use crate::Service;
use crate::ServiceKey;
use crate::Snapshot;
use crate::Target;
use crate::cycle::find_circle;
use crate::parse::parse;
use crate::parse::parse_json;
use crate::prefix_table::Prefixes;
use crate::route_tree::Tree;
use crate::rules;
use crate::rules::MAX_DEPENDENCIES;
use crate::rules::MAX_ROUTES;
use crate::rules::MAX_SERVICES;
use crate::source;
use crate::suggest_name;
use ids::Digest;
use ids::ServiceId;
use ids::Version;
use kernel::Arena;

/// Longest accepted text, in bytes.
pub const MAX_TEXT_BYTES: usize = 900_000;
/// Longest record; the store holds values up to a megabyte.
pub const MAX_RECORD_BYTES: usize = 1_000_000;
/// Most faults that are listed; more do not help to repair a text.
const MAX_FAULTS: usize = 100;

/// Compiles `text`; gives the broken rules, not only the first.
pub fn compile(text: &str, version: Version) -> Result<Snapshot, Vec<ConfigError>> {
    // A text in JSON, which is YAML too, is read many times faster as such, but without the lines
    // that faults name.
    if let Some(source) = parse_json(text)
        && let Ok(snapshot) = build(text, version, &source)
    {
        return Ok(snapshot);
    }
    build(text, version, &parse(text)?)
}

fn build(
    text: &str,
    version: Version,
    source: &source::Text,
) -> Result<Snapshot, Vec<ConfigError>> {
    let mut build = Build::new(text, version);
    build.snapshot.limits = rules::check_limits(source.limits.as_ref(), &mut build.faults);
    build.add_services(source);
    build.add_dependencies(source);
    build.add_routes(source);
    build.add_host_routes(source);
    build.finish()
}

struct Build {
    snapshot: Snapshot,
    /// Line of each service by position.
    service_lines: Vec<u64>,
    /// Line of each route by position.
    route_lines: Vec<u64>,
    faults: Vec<ConfigError>,
}

impl Build {
    fn new(text: &str, version: Version) -> Self {
        // Keys of one version must not be valid in another.
        let generation = u32::try_from(version.0 & u64::from(u32::MAX)).unwrap_or(0);
        let snapshot = Snapshot {
            version,
            digest: Digest::of(text.as_bytes()),
            services: Arena::new(generation),
            routes: Arena::new(generation),
            by_name: Vec::new(),
            by_id: Vec::new(),
            tree: Tree::default(),
            prefixes: Prefixes::default(),
            limits: CallerLimits::default(),
        };
        Self {
            snapshot,
            service_lines: Vec::new(),
            route_lines: Vec::new(),
            faults: Vec::new(),
        }
    }

    fn add_services(&mut self, source: &source::Text) {
        let line = |service: &source::Service| service.name.referenced.line();
        let too_many = rules::check_count(&source.services, MAX_SERVICES, "services", line);
        self.faults.extend(too_many);
        for service in source.services.iter().take(MAX_SERVICES) {
            let name = &service.name;
            self.faults.extend(rules::check_name(name));
            if self.snapshot.find_service(&name.value).is_some() {
                let message = format!("service {:?} is listed twice", name.value);
                let hint = "merge the two or rename one";
                self.faults.push(ConfigError::at(name, message, hint));
                continue;
            }
            let not_run_statuses =
                rules::check_statuses(&service.not_run_statuses, &mut self.faults);
            let key = self.snapshot.services.insert(Service {
                id: ServiceId::from_name(&name.value),
                name: Arc::from(name.value.as_str()),
                dependencies: Vec::new(),
                not_run_statuses,
                max_connections: rules::check_connections(service, &mut self.faults),
            });
            self.service_lines.push(line(service));
            let at = self.snapshot.by_name.partition_point(|known| {
                self.snapshot
                    .services
                    .get(*known)
                    .is_some_and(|other| *other.name < *name.value)
            });
            self.snapshot.by_name.insert(at, key);
        }
    }

    fn add_dependencies(&mut self, source: &source::Text) {
        for service in &source.services {
            let Some(key) = self.snapshot.find_service(&service.name.value) else {
                continue;
            };
            let line = |name: &Spanned<String>| name.referenced.line();
            let too_many = rules::check_count(&service.depends, MAX_DEPENDENCIES, "depends", line);
            self.faults.extend(too_many);
            for name in service.depends.iter().take(MAX_DEPENDENCIES) {
                self.add_dependency(key, name);
            }
        }
        if let Some(circle) = find_circle(&self.snapshot.services) {
            self.refuse_circle(&circle);
        }
    }

    fn add_dependency(&mut self, service: ServiceKey, name: &Spanned<String>) {
        // The search for a near name costs time for each fault, and no more are listed.
        if self.faults.len() >= MAX_FAULTS {
            return;
        }
        let Some(target) = self.snapshot.find_service(&name.value) else {
            let known = self.snapshot.services.iter().map(|(_, it)| &*it.name);
            let hint = suggest_name(&name.value, known).map_or_else(
                || "list it under services".to_owned(),
                |near| format!("did you mean {near:?}?"),
            );
            let message = format!("service {:?} is not listed", rules::shorten(&name.value));
            self.faults.push(ConfigError::at(name, message, &hint));
            return;
        };
        let Some(service) = self.snapshot.services.get_mut(service) else {
            return;
        };
        if service.dependencies.contains(&target) {
            let message = format!("{:?} is listed twice", name.value);
            self.faults
                .push(ConfigError::at(name, message, "remove one"));
            return;
        }
        service.dependencies.push(target);
    }

    fn refuse_circle(&mut self, circle: &[ServiceKey]) {
        let name = |key: &ServiceKey| self.snapshot.service(*key).map_or("", |it| &it.name);
        let mut names: Vec<&str> = circle.iter().map(name).collect();
        names.extend(circle.first().map(name));
        let line = circle
            .first()
            .map_or(1, |key| self.service_lines[key.index()]);
        self.faults.push(ConfigError::Invalid {
            line,
            message: format!("circular dependency: {}", names.join(" -> ")),
            hint: "remove one of these dependencies".into(),
        });
    }

    fn add_routes(&mut self, source: &source::Text) {
        let routes = source.services.iter().flat_map(|service| {
            let key = self.snapshot.find_service(&service.name.value);
            service.routes.iter().map(move |route| (key, route))
        });
        let routes: Vec<_> = routes.collect();
        let line = |(_, route): &(Option<ServiceKey>, &source::Route)| route.path.referenced.line();
        let too_many = rules::check_count(&routes, MAX_ROUTES, "routes", line);
        self.faults.extend(too_many);
        for (service, written) in routes.into_iter().take(MAX_ROUTES) {
            let Some(service) = service else {
                continue;
            };
            let Some(route) = rules::check_route(service, written, &mut self.faults) else {
                continue;
            };
            let key = self.snapshot.routes.insert(route);
            self.route_lines.push(written.path.referenced.line());
            let earlier = match self.snapshot.routes.get(key) {
                Some(route) => self.snapshot.tree.insert(key, route),
                None => None,
            };
            if let Some(earlier) = earlier.and_then(|it| self.snapshot.routes.get(it).zip(Some(it)))
            {
                let (other, at) = earlier;
                let message = format!(
                    "{} {} covers the same paths as {} in line {}",
                    other.method,
                    written.path.value,
                    other.path,
                    self.route_lines[at.index()],
                );
                let hint = "remove one, or replace a {name} in one by a literal";
                self.faults
                    .push(ConfigError::at(&written.path, message, hint));
            }
        }
    }

    fn add_host_routes(&mut self, source: &source::Text) {
        let line = |route: &source::HostRoute| route.prefix.referenced.line();
        let room = MAX_ROUTES.saturating_sub(self.route_lines.len());
        let too_many = rules::check_count(&source.routes, room, "routes", line);
        self.faults.extend(too_many);
        for written in source.routes.iter().take(room) {
            let targets = self.find_targets(written);
            let Some(route) = rules::check_host_route(targets, written, &mut self.faults) else {
                continue;
            };
            let key = self.snapshot.routes.insert(route);
            self.route_lines.push(line(written));
            let (host, prefix) = (&written.host.value, &written.prefix.value);
            if let Some(earlier) = self.snapshot.prefixes.insert(host, prefix, key) {
                let at = self.route_lines[earlier.index()];
                let message = format!("{host} has the prefix {prefix} already in line {at}");
                self.faults
                    .push(ConfigError::at(&written.prefix, message, "remove one"));
            }
        }
    }

    fn find_targets(&mut self, written: &source::HostRoute) -> Vec<Target> {
        let mut targets = Vec::with_capacity(written.targets.len());
        for target in written.targets.iter().take(MAX_DEPENDENCIES) {
            let name = &target.service;
            match self.snapshot.find_service(&name.value) {
                Some(service) => targets.push(Target {
                    service,
                    weight: rules::check_share(target.weight.as_ref(), &mut self.faults),
                }),
                None if self.faults.len() >= MAX_FAULTS => {}
                None => {
                    let message =
                        format!("service {:?} is not listed", rules::shorten(&name.value));
                    let hint = "list it under services";
                    self.faults.push(ConfigError::at(name, message, hint));
                }
            }
        }
        targets
    }

    fn finish(mut self) -> Result<Snapshot, Vec<ConfigError>> {
        if !self.faults.is_empty() {
            self.faults.truncate(MAX_FAULTS);
            return Err(self.faults);
        }
        let routes = self.snapshot.routes.iter();
        let mut by_id: Vec<_> = routes.map(|(key, route)| (route.id, key)).collect();
        by_id.sort_unstable();
        self.snapshot.by_id = by_id;
        Ok(self.snapshot)
    }
}
