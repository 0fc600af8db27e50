//! Compilation of a configuration text into a snapshot.

use std::sync::Arc;

use serde_saphyr::Spanned;

use crate::CallerLimits;
use crate::ConfigError;
use crate::OrganisationKey;
use crate::Service;
use crate::ServiceKey;
use crate::Snapshot;
use crate::Target;
use crate::cycle::find_cycle;
use crate::organisation::OrganisationTable;
use crate::parse::parse;
use crate::parse::parse_json;
use crate::prefix_table::PrefixTable;
use crate::route_tree::RouteTree;
use crate::rules;
use crate::rules::MAX_DEPENDENCIES;
use crate::rules::MAX_KEYS;
use crate::rules::MAX_ORGANISATIONS;
use crate::rules::MAX_ROUTES;
use crate::rules::MAX_SERVICES;
use crate::source;
use crate::suggest_name;
use ids::Digest;
use ids::ServiceId;
use ids::Version;
use kernel::Arena;

/// Longest accepted configuration text, in bytes.
pub const MAX_TEXT_BYTES: usize = 900_000;
/// Longest record, in bytes; the store holds values of up to a megabyte.
pub const MAX_RECORD_BYTES: usize = 1_000_000;
/// Maximum number of errors reported for a configuration; more would not help to correct it.
const MAX_ERRORS: usize = 100;

/// Compiles `text`; fails with all errors found, up to a limit, rather than only with the first.
pub fn compile(text: &str, version: Version) -> Result<Snapshot, Vec<ConfigError>> {
    // JSON is also valid YAML, but is parsed many times faster by a JSON parser. That one gives no
    // line numbers, so an invalid text is parsed again as YAML to report its errors.
    if let Some(source) = parse_json(text)
        && let Ok(snapshot) = build_snapshot(text, version, &source)
    {
        return Ok(snapshot);
    }
    build_snapshot(text, version, &parse(text)?)
}

fn build_snapshot(
    text: &str,
    version: Version,
    source: &source::Text,
) -> Result<Snapshot, Vec<ConfigError>> {
    let mut builder = SnapshotBuilder::new(text, version);
    builder.snapshot.limits = rules::check_limits(source.limits.as_ref(), &mut builder.errors);
    builder.add_services(source);
    builder.add_dependencies(source);
    builder.add_routes(source);
    builder.add_host_routes(source);
    builder.add_organisations(source);
    builder.finish()
}

/// A snapshot under construction, and the errors found so far.
struct SnapshotBuilder {
    snapshot: Snapshot,
    /// Line of each service in the configuration text, by the index of its key.
    service_lines: Vec<u64>,
    /// Line of each route in the configuration text, by the index of its key.
    route_lines: Vec<u64>,
    errors: Vec<ConfigError>,
}

impl SnapshotBuilder {
    fn new(text: &str, version: Version) -> Self {
        // A different generation for each version, so that a key of one snapshot is not valid in
        // another.
        let generation = u32::try_from(version.0 & u64::from(u32::MAX)).unwrap_or(0);
        let snapshot = Snapshot {
            version,
            digest: Digest::of(text.as_bytes()),
            services: Arena::new(generation),
            routes: Arena::new(generation),
            services_by_name: Vec::new(),
            routes_by_id: Vec::new(),
            route_tree: RouteTree::default(),
            prefix_table: PrefixTable::default(),
            limits: CallerLimits::default(),
            organisations: OrganisationTable::new(generation),
            has_large_responses: false,
        };
        Self {
            snapshot,
            service_lines: Vec::new(),
            route_lines: Vec::new(),
            errors: Vec::new(),
        }
    }

    fn add_services(&mut self, source: &source::Text) {
        let line_of = |service: &source::Service| service.name.referenced.line();
        let limit_error =
            rules::check_list_length(&source.services, MAX_SERVICES, "services", line_of);
        self.errors.extend(limit_error);
        for service in source.services.iter().take(MAX_SERVICES) {
            let name = &service.name;
            self.errors.extend(rules::check_name(name));
            if self.snapshot.find_service(&name.value).is_some() {
                let message = format!("service {:?} is listed twice", name.value);
                let hint = "merge the two or rename one";
                self.errors.push(ConfigError::at(name, message, hint));
                continue;
            }
            let not_run_statuses =
                rules::check_statuses(&service.not_run_statuses, &mut self.errors);
            let key = self.snapshot.services.insert(Service {
                id: ServiceId::from_name(&name.value),
                name: Arc::from(name.value.as_str()),
                dependencies: Vec::new(),
                not_run_statuses,
                max_connections: rules::check_connections(service, &mut self.errors),
            });
            self.service_lines.push(line_of(service));
            let position = self.snapshot.services_by_name.partition_point(|other_key| {
                self.snapshot
                    .services
                    .get(*other_key)
                    .is_some_and(|other| *other.name < *name.value)
            });
            self.snapshot.services_by_name.insert(position, key);
        }
    }

    fn add_dependencies(&mut self, source: &source::Text) {
        for service in &source.services {
            let Some(key) = self.snapshot.find_service(&service.name.value) else {
                continue;
            };
            let line_of = |name: &Spanned<String>| name.referenced.line();
            let limit_error =
                rules::check_list_length(&service.depends, MAX_DEPENDENCIES, "depends", line_of);
            self.errors.extend(limit_error);
            for name in service.depends.iter().take(MAX_DEPENDENCIES) {
                self.add_dependency(key, name);
            }
        }
        if let Some(cycle) = find_cycle(&self.snapshot.services) {
            self.report_cycle(&cycle);
        }
    }

    fn add_dependency(&mut self, service: ServiceKey, name: &Spanned<String>) {
        // Errors beyond the limit are not reported, and the search for a similar name would cost
        // time for each of them.
        if self.errors.len() >= MAX_ERRORS {
            return;
        }
        let Some(dependency) = self.snapshot.find_service(&name.value) else {
            let known_names = self.snapshot.services.iter().map(|(_, it)| &*it.name);
            let hint = suggest_name(&name.value, known_names).map_or_else(
                || "list it under services".to_owned(),
                |similar| format!("did you mean {similar:?}?"),
            );
            let message = format!("service {:?} is not listed", rules::truncate(&name.value));
            self.errors.push(ConfigError::at(name, message, &hint));
            return;
        };
        let Some(service) = self.snapshot.services.get_mut(service) else {
            return;
        };
        if service.dependencies.contains(&dependency) {
            let message = format!("{:?} is listed twice", name.value);
            self.errors
                .push(ConfigError::at(name, message, "remove one"));
            return;
        }
        service.dependencies.push(dependency);
    }

    fn report_cycle(&mut self, cycle: &[ServiceKey]) {
        let name = |key: &ServiceKey| self.snapshot.service(*key).map_or("", |it| &it.name);
        let mut names: Vec<&str> = cycle.iter().map(name).collect();
        names.extend(cycle.first().map(name));
        let line = cycle
            .first()
            .map_or(1, |key| self.service_lines[key.index()]);
        self.errors.push(ConfigError::Invalid {
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
        let line_of =
            |(_, route): &(Option<ServiceKey>, &source::Route)| route.path.referenced.line();
        let limit_error = rules::check_list_length(&routes, MAX_ROUTES, "routes", line_of);
        self.errors.extend(limit_error);
        for (service, source_route) in routes.into_iter().take(MAX_ROUTES) {
            let Some(service) = service else {
                continue;
            };
            let Some(route) = rules::compile_route(service, source_route, &mut self.errors) else {
                continue;
            };
            let key = self.snapshot.routes.insert(route);
            self.route_lines.push(source_route.path.referenced.line());
            let earlier = match self.snapshot.routes.get(key) {
                Some(route) => self.snapshot.route_tree.insert(key, route),
                None => None,
            };
            if let Some(earlier) = earlier.and_then(|it| self.snapshot.routes.get(it).zip(Some(it)))
            {
                let (other, other_key) = earlier;
                let message = format!(
                    "{} {} covers the same paths as {} in line {}",
                    other.method,
                    source_route.path.value,
                    other.path,
                    self.route_lines[other_key.index()],
                );
                let hint = "remove one, or replace a {name} in one by a literal";
                self.errors
                    .push(ConfigError::at(&source_route.path, message, hint));
            }
        }
    }

    fn add_host_routes(&mut self, source: &source::Text) {
        let line_of = |route: &source::HostRoute| route.prefix.referenced.line();
        let max_host_routes = MAX_ROUTES.saturating_sub(self.route_lines.len());
        let limit_error =
            rules::check_list_length(&source.routes, max_host_routes, "routes", line_of);
        self.errors.extend(limit_error);
        for source_route in source.routes.iter().take(max_host_routes) {
            let targets = self.resolve_targets(source_route);
            let Some(route) = rules::compile_host_route(targets, source_route, &mut self.errors)
            else {
                continue;
            };
            let key = self.snapshot.routes.insert(route);
            self.route_lines.push(line_of(source_route));
            let (host, prefix) = (&source_route.host.value, &source_route.prefix.value);
            if let Some(earlier) = self.snapshot.prefix_table.insert(host, prefix, key) {
                let line = self.route_lines[earlier.index()];
                let message = format!("host {host} already has the prefix {prefix} in line {line}");
                self.errors
                    .push(ConfigError::at(&source_route.prefix, message, "remove one"));
            }
        }
    }

    fn add_organisations(&mut self, source: &source::Text) {
        let line_of = |it: &source::Organisation| it.name.referenced.line();
        let list = &source.organisations;
        let limit_error =
            rules::check_list_length(list, MAX_ORGANISATIONS, "organisations", line_of);
        self.errors.extend(limit_error);
        for source_organisation in list.iter().take(MAX_ORGANISATIONS) {
            let name = &source_organisation.name;
            let Some(organisation) =
                rules::compile_organisation(source_organisation, &mut self.errors)
            else {
                continue;
            };
            let Some(holder) = self.snapshot.organisations.insert(organisation) else {
                let message = format!("organisation {:?} is listed twice", name.value);
                let hint = "merge the two or rename one";
                self.errors.push(ConfigError::at(name, message, hint));
                continue;
            };
            self.add_keys(holder, source_organisation);
        }
    }

    fn add_keys(&mut self, holder: OrganisationKey, source: &source::Organisation) {
        let line_of = |digest: &Spanned<String>| digest.referenced.line();
        let limit_error = rules::check_list_length(&source.keys, MAX_KEYS, "keys", line_of);
        self.errors.extend(limit_error);
        for source_digest in source.keys.iter().take(MAX_KEYS) {
            // The text may be a key that was written in place of its digest, so no error repeats it.
            let Ok(digest) = source_digest.value.parse() else {
                let message = "the key is not given as a SHA-256 digest";
                let hint = "write the 64 hexadecimal digits that `sha256sum` prints for the key";
                self.errors
                    .push(ConfigError::at(source_digest, message, hint));
                continue;
            };
            if !self.snapshot.organisations.insert_key(digest, holder) {
                let message = "the key is listed twice";
                self.errors
                    .push(ConfigError::at(source_digest, message, "remove one"));
            }
        }
    }

    fn resolve_targets(&mut self, source_route: &source::HostRoute) -> Vec<Target> {
        let mut targets = Vec::with_capacity(source_route.targets.len());
        for target in source_route.targets.iter().take(MAX_DEPENDENCIES) {
            let name = &target.service;
            match self.snapshot.find_service(&name.value) {
                Some(service) => targets.push(Target {
                    service,
                    weight: rules::check_target_weight(target.weight.as_ref(), &mut self.errors),
                }),
                None if self.errors.len() >= MAX_ERRORS => {}
                None => {
                    let message =
                        format!("service {:?} is not listed", rules::truncate(&name.value));
                    let hint = "list it under services";
                    self.errors.push(ConfigError::at(name, message, hint));
                }
            }
        }
        targets
    }

    fn finish(mut self) -> Result<Snapshot, Vec<ConfigError>> {
        if !self.errors.is_empty() {
            self.errors.truncate(MAX_ERRORS);
            return Err(self.errors);
        }
        let has_large_responses = self
            .snapshot
            .routes
            .iter()
            .any(|(_, route)| route.large_responses);
        self.snapshot.has_large_responses = has_large_responses;
        let routes = self.snapshot.routes.iter();
        let mut routes_by_id: Vec<_> = routes.map(|(key, route)| (route.id, key)).collect();
        routes_by_id.sort_unstable();
        self.snapshot.routes_by_id = routes_by_id;
        Ok(self.snapshot)
    }
}
