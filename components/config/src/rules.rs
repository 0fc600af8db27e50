//! Rules, limits and defaults for the values of a configuration text.

use std::sync::Arc;
use std::time::Duration;

use serde_saphyr::Spanned;

use crate::CallerLimits;
use crate::ConfigError;
use crate::Organisation;
use crate::PathPattern;
use crate::RequestLimit;
use crate::Route;
use crate::ServiceKey;
use crate::Target;
use crate::source;
use crate::suggest_name;
use ids::OrganisationId;
use ids::Rank;
use ids::RouteId;

/// Maximum number of services in a configuration; the design target is 230.
pub const MAX_SERVICES: usize = 1_000;
/// Maximum number of routes in a configuration; the design target is 1,000.
pub const MAX_ROUTES: usize = 10_000;
/// Maximum number of dependencies of a service, and number of targets of a route that are read.
pub const MAX_DEPENDENCIES: usize = 100;
/// Longest name of a service, in bytes.
pub const MAX_NAME_BYTES: usize = 63;
/// Maximum number of entries of `not_run_statuses`.
const MAX_NOT_RUN_STATUSES: usize = 32;
/// Longest deadline of a route, in milliseconds; bounds how long outcomes of requests are kept.
const MAX_DEADLINE_MS: u64 = 60_000;
/// Largest weight of a route among the routes of its rank.
const MAX_ROUTE_WEIGHT: u64 = 1_000;
/// Weight of a route or of a target for which the configuration gives none.
const DEFAULT_WEIGHT: u32 = 1;
/// Largest weight of one target of a route.
pub const MAX_TARGET_WEIGHT: u64 = 1_000_000;
/// Largest limit on the upstreams that one request may be sent to.
pub const MAX_UPSTREAMS: u64 = 100;
/// Largest limit on the connections of an upstream.
pub const MAX_CONNECTIONS: u64 = 100_000;
/// Longest host with an optional port, in bytes; RFC 1035 limits a name to 255.
const MAX_HOST_BYTES: usize = 260;
/// Longest path prefix, in bytes.
const MAX_PREFIX_BYTES: usize = 1_024;
/// Largest limit on a request head, in bytes.
pub const MAX_HEAD_BYTES: u64 = 1024 * 1024;
/// Largest limit on a request body, in bytes.
pub const MAX_BODY_BYTES: u64 = 16 * 1024 * 1024 * 1024;
/// Largest timeout for request heads and idle connections of callers, in milliseconds.
pub const MAX_CALLER_TIMEOUT_MS: u64 = 3_600_000;
/// Methods that a route can have. CONNECT and TRACE are meant for the proxy itself.
const METHODS: [&str; 7] = ["DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT"];
/// Methods whose routes are idempotent by default: those that are safe by RFC 9110. PUT and DELETE
/// are not among them, because upstreams can answer the repetition differently, as for a
/// cancellation.
const SAFE_METHODS: [&str; 3] = ["GET", "HEAD", "OPTIONS"];

/// Maximum number of organisations in a configuration.
pub const MAX_ORGANISATIONS: usize = 2_000;
/// Maximum number of keys of an organisation.
pub const MAX_KEYS: usize = 1_000;
/// Longest name of an organisation, in bytes.
pub const MAX_ORGANISATION_NAME_BYTES: usize = 100;
/// Largest rate, in requests a second, and burst of an organisation's limit.
pub const MAX_REQUEST_LIMIT: f64 = 1_000_000_000.0;

/// Reports a list with more than `max` entries, at the line of the first excess entry.
pub(crate) fn check_list_length<T>(
    list: &[T],
    max: usize,
    list_name: &str,
    line_of: impl Fn(&T) -> u64,
) -> Option<ConfigError> {
    list.get(max).map(|first_excess| ConfigError::Invalid {
        line: line_of(first_excess),
        message: format!("{} {list_name}", list.len()),
        hint: format!("at most {max} are accepted"),
    })
}

/// Checks a service name.
pub(crate) fn check_name(name: &Spanned<String>) -> Option<ConfigError> {
    let text = &name.value;
    let is_valid_byte =
        |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-';
    let is_valid_end = |byte: Option<&u8>| byte.is_some_and(|byte| *byte != b'-');
    let is_valid = text.len() <= MAX_NAME_BYTES
        && text.bytes().all(is_valid_byte)
        && is_valid_end(text.as_bytes().first())
        && is_valid_end(text.as_bytes().last());
    (!is_valid).then(|| {
        ConfigError::at(
            name,
            format!("{:?} is not a valid service name", truncate(text)),
            "use 1 to 63 lowercase letters, digits and '-', without '-' at the start or end",
        )
    })
}

/// Checks `not_run_statuses` and returns the valid ones, sorted; appends to `errors`.
pub(crate) fn check_statuses(
    source_statuses: &[Spanned<u64>],
    errors: &mut Vec<ConfigError>,
) -> Vec<u16> {
    let line_of = |status: &Spanned<u64>| status.referenced.line();
    if let Some(error) = check_list_length(
        source_statuses,
        MAX_NOT_RUN_STATUSES,
        "not_run_statuses",
        line_of,
    ) {
        errors.push(error);
        return Vec::new();
    }
    let mut statuses = Vec::with_capacity(source_statuses.len());
    for status in source_statuses {
        match u16::try_from(status.value) {
            Ok(value) if !(400..600).contains(&value) => errors.push(status_error(status)),
            Err(_) => errors.push(status_error(status)),
            Ok(value) => match statuses.binary_search(&value) {
                Err(position) => statuses.insert(position, value),
                Ok(_) => errors.push(ConfigError::at(
                    status,
                    format!("status {value} is listed twice"),
                    "remove one",
                )),
            },
        }
    }
    statuses
}

fn status_error(status: &Spanned<u64>) -> ConfigError {
    ConfigError::at(
        status,
        format!(
            "status {} cannot mean that a request did not run",
            status.value
        ),
        "use 400 to 599",
    )
}

/// Compiles a route by method and path pattern; `None` if it is invalid. Appends to `errors`.
pub(crate) fn compile_route(
    service: ServiceKey,
    route: &source::Route,
    errors: &mut Vec<ConfigError>,
) -> Option<Route> {
    let errors_before = errors.len();
    errors.extend(check_method(&route.method));
    let pattern = PathPattern::parse(&route.path.value);
    if let Err(message) = &pattern {
        let hint = "write literal segments, {name} for one segment, ** at the end for the rest";
        errors.push(ConfigError::at(&route.path, *message, hint));
    }
    let max_rank = Rank::COUNT as u64 - 1;
    errors.extend(check_range(&route.rank, 0, max_rank, "rank"));
    let deadline = &route.deadline_ms;
    errors.extend(check_range(deadline, 1, MAX_DEADLINE_MS, "deadline_ms"));
    if let Some(weight) = &route.weight {
        errors.extend(check_range(weight, 1, MAX_ROUTE_WEIGHT, "weight"));
    }
    if errors.len() > errors_before {
        return None;
    }
    let weight = route.weight.as_ref().map(|weight| weight.value);
    let is_safe = SAFE_METHODS.contains(&route.method.value.as_str());
    Some(Route {
        id: RouteId::from_parts(&route.method.value, &route.path.value),
        targets: vec![Target { service, weight: 1 }],
        host: None,
        method: route.method.value.clone(),
        pattern: pattern.ok()?,
        path: route.path.value.clone(),
        rank: Rank(u8::try_from(route.rank.value).ok()?),
        deadline: Duration::from_millis(route.deadline_ms.value),
        objective: None,
        max_upstreams: None,
        idempotent: route.idempotent.unwrap_or(is_safe),
        weight: weight.map_or(Some(DEFAULT_WEIGHT), |it| u32::try_from(it).ok())?,
        public: false,
        large_responses: false,
    })
}

/// Compiles a route by host and path prefix; `None` if it is invalid. Appends to `errors`.
pub(crate) fn compile_host_route(
    targets: Vec<Target>,
    route: &source::HostRoute,
    errors: &mut Vec<ConfigError>,
) -> Option<Route> {
    let errors_before = errors.len();
    let host = &route.host;
    let is_host_byte = |byte: u8| byte.is_ascii_alphanumeric() || b"-._:[]".contains(&byte);
    if host.value.is_empty()
        || host.value.len() > MAX_HOST_BYTES
        || !host.value.bytes().all(is_host_byte)
    {
        let message = format!("{:?} is not a valid host", truncate(&host.value));
        let hint = "write the name or address as in the Host header";
        errors.push(ConfigError::at(host, message, hint));
    }
    let prefix = &route.prefix.value;
    let is_well_formed =
        prefix.starts_with('/') && prefix.ends_with('/') && prefix.len() <= MAX_PREFIX_BYTES;
    if !is_well_formed || prefix.contains(['?', '#']) || prefix.chars().any(char::is_whitespace) {
        let message = format!("{:?} is not a valid path prefix", truncate(prefix));
        let hint = "a prefix must start and end with '/', have at most 1024 bytes and no '?', '#' or white space";
        errors.push(ConfigError::at(&route.prefix, message, hint));
    }
    if route.targets.is_empty() {
        let message = "the route has no targets".to_owned();
        errors.push(ConfigError::at(
            &route.prefix,
            message,
            "list at least one service under targets",
        ));
    }
    if targets.iter().all(|target| target.weight == 0) && !targets.is_empty() {
        let message = "all targets have weight 0".to_owned();
        errors.push(ConfigError::at(
            &route.prefix,
            message,
            "give at least one a positive weight",
        ));
    }
    let max_rank = Rank::COUNT as u64 - 1;
    errors.extend(check_range(&route.rank, 0, max_rank, "rank"));
    let ranges = [
        ("deadline_ms", Some(&route.deadline_ms), MAX_DEADLINE_MS),
        ("objective_ms", route.objective_ms.as_ref(), MAX_DEADLINE_MS),
        ("attempts", route.attempts.as_ref(), MAX_UPSTREAMS),
        ("weight", route.weight.as_ref(), MAX_ROUTE_WEIGHT),
    ];
    for (key, value, max) in ranges {
        errors.extend(value.and_then(|value| check_range(value, 1, max, key)));
    }
    if errors.len() > errors_before {
        return None;
    }
    let to_u32 = |value: &Spanned<u64>| u32::try_from(value.value).ok();
    let to_duration = |value: &Spanned<u64>| Duration::from_millis(value.value);
    Some(Route {
        id: RouteId::from_parts(&host.value, prefix),
        targets,
        host: Some(host.value.clone()),
        method: "*".to_owned(),
        pattern: PathPattern::from_prefix(prefix),
        path: prefix.clone(),
        rank: Rank(u8::try_from(route.rank.value).ok()?),
        deadline: to_duration(&route.deadline_ms),
        objective: route.objective_ms.as_ref().map(to_duration),
        max_upstreams: route.attempts.as_ref().and_then(to_u32),
        idempotent: route.idempotent,
        weight: route.weight.as_ref().map_or(Some(DEFAULT_WEIGHT), to_u32)?,
        public: route.public,
        large_responses: route.large_responses,
    })
}

/// Checks the weight of a target and returns it, or the default; appends to `errors`.
pub(crate) fn check_target_weight(
    weight: Option<&Spanned<u64>>,
    errors: &mut Vec<ConfigError>,
) -> u32 {
    let Some(weight) = weight else {
        return DEFAULT_WEIGHT;
    };
    errors.extend(check_range(weight, 0, MAX_TARGET_WEIGHT, "weight"));
    u32::try_from(weight.value.min(MAX_TARGET_WEIGHT)).unwrap_or(DEFAULT_WEIGHT)
}

/// Checks and returns the number of connections that each upstream of the service accepts; appends
/// to `errors`.
pub(crate) fn check_connections(
    service: &source::Service,
    errors: &mut Vec<ConfigError>,
) -> Option<u32> {
    let connections = service.connections.as_ref()?;
    errors.extend(check_range(connections, 1, MAX_CONNECTIONS, "connections"));
    u32::try_from(connections.value).ok()
}

/// Compiles an organisation without its keys; `None` if it is invalid. Appends to `errors`.
pub(crate) fn compile_organisation(
    source: &source::Organisation,
    errors: &mut Vec<ConfigError>,
) -> Option<Organisation> {
    let errors_before = errors.len();
    let name = &source.name;
    // The name is sent to upstreams as the value of a header.
    let is_valid_name = (1..=MAX_ORGANISATION_NAME_BYTES).contains(&name.value.len())
        && name.value.bytes().all(|byte| byte.is_ascii_graphic());
    if !is_valid_name {
        let message = format!(
            "{:?} is not a valid organisation name",
            truncate(&name.value)
        );
        let hint = "use 1 to 100 ASCII characters without spaces";
        errors.push(ConfigError::at(name, message, hint));
    }
    if let Some(rank) = &source.rank {
        errors.extend(check_range(rank, 0, Rank::COUNT as u64 - 1, "rank"));
    }
    let values = [
        ("per_second", source.per_second.as_ref()),
        ("burst", source.burst.as_ref()),
    ];
    for (key, value) in values {
        errors.extend(value.and_then(|value| check_request_limit(value, key)));
    }
    if errors.len() > errors_before {
        return None;
    }
    let rank = source.rank.as_ref().map(|rank| rank.value);
    let per_second = source.per_second.as_ref().map_or(0.0, |it| it.value);
    let burst = source.burst.as_ref().map_or(0.0, |it| it.value);
    Some(Organisation {
        id: OrganisationId::from_name(&name.value),
        name: Arc::from(name.value.as_str()),
        rank: rank.and_then(|rank| u8::try_from(rank).ok()).map(Rank),
        limit: (per_second > 0.0).then_some(RequestLimit { per_second, burst }),
    })
}

fn check_request_limit(value: &Spanned<f64>, key: &str) -> Option<ConfigError> {
    (!(0.0..=MAX_REQUEST_LIMIT).contains(&value.value)).then(|| {
        let message = format!("{key} {} is out of range", value.value);
        ConfigError::at(value, message, "use 0 to 1000000000; 0 means no limit")
    })
}

/// Checks the limits on callers and returns them, with the default for each that is not set;
/// appends to `errors`.
pub(crate) fn check_limits(
    source_limits: Option<&source::Limits>,
    errors: &mut Vec<ConfigError>,
) -> CallerLimits {
    let mut limits = CallerLimits::default();
    let Some(source_limits) = source_limits else {
        return limits;
    };
    let mut checked_value = |key, value: Option<&Spanned<u64>>, max| {
        let value = value?;
        errors.extend(check_range(value, 1, max, key));
        Some(value.value.min(max))
    };
    if let Some(bytes) = checked_value(
        "head_bytes",
        source_limits.head_bytes.as_ref(),
        MAX_HEAD_BYTES,
    ) {
        limits.max_head_bytes = usize::try_from(bytes).unwrap_or(limits.max_head_bytes);
    }
    if let Some(bytes) = checked_value(
        "body_bytes",
        source_limits.body_bytes.as_ref(),
        MAX_BODY_BYTES,
    ) {
        limits.max_body_bytes = bytes;
    }
    if let Some(millis) = checked_value(
        "head_ms",
        source_limits.head_ms.as_ref(),
        MAX_CALLER_TIMEOUT_MS,
    ) {
        limits.head_timeout = Duration::from_millis(millis);
    }
    if let Some(millis) = checked_value(
        "idle_ms",
        source_limits.idle_ms.as_ref(),
        MAX_CALLER_TIMEOUT_MS,
    ) {
        limits.idle_timeout = Duration::from_millis(millis);
    }
    limits
}

fn check_method(method: &Spanned<String>) -> Option<ConfigError> {
    let method_name = method.value.as_str();
    if METHODS.contains(&method_name) {
        return None;
    }
    let hint = suggest_name(method_name, METHODS).map_or_else(
        || format!("use one of {}", METHODS.join(", ")),
        |similar| format!("did you mean {similar:?}?"),
    );
    let message = format!(
        "{:?} is not a method that a route can have",
        truncate(method_name)
    );
    Some(ConfigError::at(method, message, &hint))
}

fn check_range(value: &Spanned<u64>, min: u64, max: u64, key: &str) -> Option<ConfigError> {
    (!(min..=max).contains(&value.value)).then(|| {
        ConfigError::at(
            value,
            format!("{key} {} is out of range", value.value),
            &format!("use {min} to {max}"),
        )
    })
}

/// The first 80 characters of a value for an error message, so that a hostile value cannot flood
/// the operator's terminal.
pub(crate) fn truncate(text: &str) -> &str {
    let end = text.char_indices().nth(80).map_or(text.len(), |(at, _)| at);
    &text[..end]
}
