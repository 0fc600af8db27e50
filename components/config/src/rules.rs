//! Rules for single values of a text.

use std::time::Duration;

use serde_saphyr::Spanned;

use crate::Fault;
use crate::Pattern;
use crate::Route;
use crate::ServiceKey;
use crate::source;
use crate::suggest_name;
use ids::Rank;
use ids::RouteId;

/// Most services of a text; four times the target of 230.
pub const MAX_SERVICES: usize = 1_000;
/// Most routes of a text; ten times the target of 1,000.
pub const MAX_ROUTES: usize = 10_000;
/// Most dependencies of a service.
pub const MAX_DEPENDS: usize = 100;
/// Longest name of a service, in bytes.
pub const MAX_NAME_BYTES: usize = 63;
/// Most entries of `not_run_statuses`.
const MAX_STATUSES: usize = 32;
/// Longest accepted deadline of a route; bounds how long outcomes are kept.
const MAX_DEADLINE_MS: u64 = 60_000;
const MAX_WEIGHT: u64 = 1_000;
const DEFAULT_WEIGHT: u32 = 1;
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
) -> Option<Fault> {
    list.get(most).map(|extra| Fault::Line {
        line: line(extra),
        message: format!("{} {what}", list.len()),
        hint: format!("at most {most} are accepted"),
    })
}

/// Checks the name of a service.
pub(crate) fn check_name(name: &Spanned<String>) -> Option<Fault> {
    let text = &name.value;
    let valid = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-';
    let edge = |byte: Option<&u8>| byte.is_some_and(|byte| *byte != b'-');
    let good = text.len() <= MAX_NAME_BYTES
        && text.bytes().all(valid)
        && edge(text.as_bytes().first())
        && edge(text.as_bytes().last());
    (!good).then(|| {
        Fault::at(
            name,
            format!("{:?} is not the name of a service", shorten(text)),
            "a name has 1 to 63 small letters, digits and '-', with '-' only inside",
        )
    })
}

/// The statuses in order; adds what is wrong with them to `faults`.
pub(crate) fn check_statuses(written: &[Spanned<u64>], faults: &mut Vec<Fault>) -> Vec<u16> {
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
                Ok(_) => faults.push(Fault::at(
                    status,
                    format!("status {value} is listed twice"),
                    "remove one",
                )),
            },
        }
    }
    statuses
}

fn refuse_status(status: &Spanned<u64>) -> Fault {
    Fault::at(
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
    faults: &mut Vec<Fault>,
) -> Option<Route> {
    let before = faults.len();
    faults.extend(check_method(&route.method));
    let pattern = Pattern::parse(&route.path.value);
    if let Err(message) = &pattern {
        let hint = "write literal segments, {name} for one segment, ** at the end for the rest";
        faults.push(Fault::at(&route.path, *message, hint));
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
        service,
        method: route.method.value.clone(),
        pattern: pattern.ok()?,
        path: route.path.value.clone(),
        rank: Rank(u8::try_from(route.rank.value).ok()?),
        deadline: Duration::from_millis(route.deadline_ms.value),
        idempotent: route.idempotent.unwrap_or(safe),
        weight: weight.map_or(Some(DEFAULT_WEIGHT), |it| u32::try_from(it).ok())?,
    })
}

fn check_method(method: &Spanned<String>) -> Option<Fault> {
    let written = method.value.as_str();
    if METHODS.contains(&written) {
        return None;
    }
    let hint = suggest_name(written, METHODS).map_or_else(
        || format!("use one of {}", METHODS.join(", ")),
        |near| format!("did you mean {near:?}?"),
    );
    let message = format!("{:?} is not a method of a route", shorten(written));
    Some(Fault::at(method, message, &hint))
}

fn check_range(value: &Spanned<u64>, least: u64, most: u64, key: &str) -> Option<Fault> {
    (!(least..=most).contains(&value.value)).then(|| {
        Fault::at(
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
