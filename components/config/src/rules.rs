//! Rules for single values of a text.

use std::time::Duration;

use serde_saphyr::Spanned;

use crate::CallerLimits;
use crate::ConfigError;
use crate::PathPattern;
use crate::Route;
use crate::ServiceKey;
use crate::Target;
use crate::source;
use crate::suggest_name;
use ids::Rank;
use ids::RouteId;

/// Most services of a text; four times the target of 230.
pub const MAX_SERVICES: usize = 1_000;
/// Most routes of a text; ten times the target of 1,000.
pub const MAX_ROUTES: usize = 10_000;
/// Most dependencies of a service.
pub const MAX_DEPENDENCIES: usize = 100;
/// Longest name of a service, in bytes.
pub const MAX_NAME_BYTES: usize = 63;
/// Most entries of `not_run_statuses`.
const MAX_STATUSES: usize = 32;
/// Longest accepted deadline of a route; bounds how long outcomes are kept.
const MAX_DEADLINE_MS: u64 = 60_000;
const MAX_WEIGHT: u64 = 1_000;
const DEFAULT_WEIGHT: u32 = 1;
/// Largest weight of one target of a route.
const MAX_SHARE: u64 = 1_000_000;
/// Largest bound on the upstreams that one request may be sent to.
const MAX_ATTEMPTS: u64 = 100;
/// Largest bound on the connections of an upstream.
const MAX_CONNECTIONS: u64 = 100_000;
/// Longest host, in bytes (RFC 1035), with a port.
const MAX_HOST_BYTES: usize = 260;
/// Longest prefix, in bytes.
const MAX_PREFIX: usize = 1_024;
/// Largest bound on the head of a request, in bytes.
const MAX_HEAD_BYTES: u64 = 1024 * 1024;
/// Largest bound on the body of a request, in bytes.
const MAX_BODY_BYTES: u64 = 16 * 1024 * 1024 * 1024;
/// Largest bound on a caller's pause, in milliseconds.
const MAX_PAUSE_MS: u64 = 3_600_000;
/// Methods that a route can have. CONNECT and TRACE concern the proxy itself.
const METHODS: [&str; 7] = ["DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT"];
/// Methods that are safe by RFC 9110. PUT and DELETE are not repeated without the operator's word,
/// because a repeated cancellation is answered differently.
const SAFE_METHODS: [&str; 3] = ["GET", "HEAD", "OPTIONS"];

/// Refuses a list that is longer than `most`, at the line of the first entry too many.
pub(crate) fn check_count<T>(
    list: &[T],
    most: usize,
    what: &str,
    line: impl Fn(&T) -> u64,
) -> Option<ConfigError> {
    list.get(most).map(|extra| ConfigError::Invalid {
        line: line(extra),
        message: format!("{} {what}", list.len()),
        hint: format!("at most {most} are accepted"),
    })
}

/// Checks the name of a service.
pub(crate) fn check_name(name: &Spanned<String>) -> Option<ConfigError> {
    let text = &name.value;
    let valid = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-';
    let edge = |byte: Option<&u8>| byte.is_some_and(|byte| *byte != b'-');
    let good = text.len() <= MAX_NAME_BYTES
        && text.bytes().all(valid)
        && edge(text.as_bytes().first())
        && edge(text.as_bytes().last());
    (!good).then(|| {
        ConfigError::at(
            name,
            format!("{:?} is not the name of a service", shorten(text)),
            "a name has 1 to 63 small letters, digits and '-', with '-' only inside",
        )
    })
}

/// The statuses in order; adds what is wrong with them to `faults`.
pub(crate) fn check_statuses(written: &[Spanned<u64>], faults: &mut Vec<ConfigError>) -> Vec<u16> {
    let line = |status: &Spanned<u64>| status.referenced.line();
    if let Some(fault) = check_count(written, MAX_STATUSES, "not_run_statuses", line) {
        faults.push(fault);
        return Vec::new();
    }
    let mut statuses = Vec::with_capacity(written.len());
    for status in written {
        match u16::try_from(status.value) {
            Ok(value) if !(400..600).contains(&value) => faults.push(refuse_status(status)),
            Err(_) => faults.push(refuse_status(status)),
            Ok(value) => match statuses.binary_search(&value) {
                Err(place) => statuses.insert(place, value),
                Ok(_) => faults.push(ConfigError::at(
                    status,
                    format!("status {value} is listed twice"),
                    "remove one",
                )),
            },
        }
    }
    statuses
}

fn refuse_status(status: &Spanned<u64>) -> ConfigError {
    ConfigError::at(
        status,
        format!(
            "status {} cannot mean that a request did not run",
            status.value
        ),
        "use 400 to 599",
    )
}

/// Checks one route; adds what is wrong with it to `faults`.
pub(crate) fn check_route(
    service: ServiceKey,
    route: &source::Route,
    faults: &mut Vec<ConfigError>,
) -> Option<Route> {
    let before = faults.len();
    faults.extend(check_method(&route.method));
    let pattern = PathPattern::parse(&route.path.value);
    if let Err(message) = &pattern {
        let hint = "write literal segments, {name} for one segment, ** at the end for the rest";
        faults.push(ConfigError::at(&route.path, *message, hint));
    }
    let most_rank = Rank::COUNT as u64 - 1;
    faults.extend(check_range(&route.rank, 0, most_rank, "rank"));
    let deadline = &route.deadline_ms;
    faults.extend(check_range(deadline, 1, MAX_DEADLINE_MS, "deadline_ms"));
    if let Some(weight) = &route.weight {
        faults.extend(check_range(weight, 1, MAX_WEIGHT, "weight"));
    }
    if faults.len() > before {
        return None;
    }
    let weight = route.weight.as_ref().map(|weight| weight.value);
    let safe = SAFE_METHODS.contains(&route.method.value.as_str());
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
        idempotent: route.idempotent.unwrap_or(safe),
        weight: weight.map_or(Some(DEFAULT_WEIGHT), |it| u32::try_from(it).ok())?,
    })
}

/// Checks one route by host and prefix; adds what is wrong with it to `faults`.
pub(crate) fn check_host_route(
    targets: Vec<Target>,
    route: &source::HostRoute,
    faults: &mut Vec<ConfigError>,
) -> Option<Route> {
    let before = faults.len();
    let host = &route.host;
    let plain = |byte: u8| byte.is_ascii_alphanumeric() || b"-._:[]".contains(&byte);
    if host.value.is_empty() || host.value.len() > MAX_HOST_BYTES || !host.value.bytes().all(plain)
    {
        let message = format!("{:?} is not a host", shorten(&host.value));
        let hint = "write the name or the address as the Host header has it";
        faults.push(ConfigError::at(host, message, hint));
    }
    let prefix = &route.prefix.value;
    let bounded = prefix.starts_with('/') && prefix.ends_with('/') && prefix.len() <= MAX_PREFIX;
    if !bounded || prefix.contains(['?', '#']) || prefix.chars().any(char::is_whitespace) {
        let message = format!("{:?} is not a prefix of paths", shorten(prefix));
        let hint = "a prefix begins and ends with '/' and has at most 1024 bytes";
        faults.push(ConfigError::at(&route.prefix, message, hint));
    }
    if route.targets.is_empty() {
        let message = "the route goes to no service".to_owned();
        faults.push(ConfigError::at(
            &route.prefix,
            message,
            "list one under targets",
        ));
    }
    if targets.iter().all(|target| target.weight == 0) && !targets.is_empty() {
        let message = "all targets have the weight 0".to_owned();
        faults.push(ConfigError::at(&route.prefix, message, "give one a weight"));
    }
    let most_rank = Rank::COUNT as u64 - 1;
    faults.extend(check_range(&route.rank, 0, most_rank, "rank"));
    let times = [
        ("deadline_ms", Some(&route.deadline_ms), MAX_DEADLINE_MS),
        ("objective_ms", route.objective_ms.as_ref(), MAX_DEADLINE_MS),
        ("attempts", route.attempts.as_ref(), MAX_ATTEMPTS),
        ("weight", route.weight.as_ref(), MAX_WEIGHT),
    ];
    for (key, value, most) in times {
        faults.extend(value.and_then(|value| check_range(value, 1, most, key)));
    }
    if faults.len() > before {
        return None;
    }
    let number = |value: &Spanned<u64>| u32::try_from(value.value).ok();
    let millis = |value: &Spanned<u64>| Duration::from_millis(value.value);
    Some(Route {
        id: RouteId::from_parts(&host.value, prefix),
        targets,
        host: Some(host.value.clone()),
        method: "*".to_owned(),
        pattern: PathPattern::from_prefix(prefix),
        path: prefix.clone(),
        rank: Rank(u8::try_from(route.rank.value).ok()?),
        deadline: millis(&route.deadline_ms),
        objective: route.objective_ms.as_ref().map(millis),
        max_upstreams: route.attempts.as_ref().and_then(number),
        idempotent: route.idempotent,
        weight: route.weight.as_ref().map_or(Some(DEFAULT_WEIGHT), number)?,
    })
}

/// The weight of one target; adds what is wrong with it to `faults`.
pub(crate) fn check_share(weight: Option<&Spanned<u64>>, faults: &mut Vec<ConfigError>) -> u32 {
    let Some(weight) = weight else {
        return DEFAULT_WEIGHT;
    };
    faults.extend(check_range(weight, 0, MAX_SHARE, "weight"));
    u32::try_from(weight.value.min(MAX_SHARE)).unwrap_or(DEFAULT_WEIGHT)
}

/// The connections that each upstream of the service accepts.
pub(crate) fn check_connections(
    service: &source::Service,
    faults: &mut Vec<ConfigError>,
) -> Option<u32> {
    let written = service.connections.as_ref()?;
    faults.extend(check_range(written, 1, MAX_CONNECTIONS, "connections"));
    u32::try_from(written.value).ok()
}

/// The bounds on callers, with a default for each that the text does not set.
pub(crate) fn check_limits(
    written: Option<&source::Limits>,
    faults: &mut Vec<ConfigError>,
) -> CallerLimits {
    let mut limits = CallerLimits::default();
    let Some(written) = written else {
        return limits;
    };
    let mut read = |key, value: Option<&Spanned<u64>>, most| {
        let value = value?;
        faults.extend(check_range(value, 1, most, key));
        Some(value.value.min(most))
    };
    if let Some(bytes) = read("head_bytes", written.head_bytes.as_ref(), MAX_HEAD_BYTES) {
        limits.max_head_bytes = usize::try_from(bytes).unwrap_or(limits.max_head_bytes);
    }
    if let Some(bytes) = read("body_bytes", written.body_bytes.as_ref(), MAX_BODY_BYTES) {
        limits.max_body_bytes = bytes;
    }
    if let Some(millis) = read("head_ms", written.head_ms.as_ref(), MAX_PAUSE_MS) {
        limits.head_timeout = Duration::from_millis(millis);
    }
    if let Some(millis) = read("idle_ms", written.idle_ms.as_ref(), MAX_PAUSE_MS) {
        limits.idle_timeout = Duration::from_millis(millis);
    }
    limits
}

fn check_method(method: &Spanned<String>) -> Option<ConfigError> {
    let written = method.value.as_str();
    if METHODS.contains(&written) {
        return None;
    }
    let hint = suggest_name(written, METHODS).map_or_else(
        || format!("use one of {}", METHODS.join(", ")),
        |near| format!("did you mean {near:?}?"),
    );
    let message = format!("{:?} is not a method of a route", shorten(written));
    Some(ConfigError::at(method, message, &hint))
}

fn check_range(value: &Spanned<u64>, least: u64, most: u64, key: &str) -> Option<ConfigError> {
    (!(least..=most).contains(&value.value)).then(|| {
        ConfigError::at(
            value,
            format!("{key} {} is out of range", value.value),
            &format!("use {least} to {most}"),
        )
    })
}

/// At most 80 characters, so that a hostile value does not fill the operator's screen.
pub(crate) fn shorten(text: &str) -> &str {
    let end = text.char_indices().nth(80).map_or(text.len(), |(at, _)| at);
    &text[..end]
}
