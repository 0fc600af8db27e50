//! Findings in a valid configuration text: entries without effect, and limits that contradict each other.
//!
//! The command line reports them before an operator sends a text. Nodes do not run these checks, and no
//! finding keeps a text from being accepted.

use std::fmt;

use serde_saphyr::Spanned;

use crate::ConfigError;
use crate::MAX_TEXT_BYTES;
use crate::parse::parse;
use crate::rules::MAX_ROUTES;
use crate::rules::truncate;
use crate::source;

/// Percentage of a bound on the text from which the text counts as close to it.
const NEAR_BOUND_PERCENT: usize = 90;
/// Maximum number of findings that are reported.
const MAX_FINDINGS: usize = 100;

/// An entry of a valid text that probably does not do what its author expects.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// Line of the text; 0 if it concerns the whole text.
    pub line: u64,
    /// What is odd.
    pub message: String,
    /// What to do about it.
    pub hint: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.line > 0 {
            write!(f, "line {}: ", self.line)?;
        }
        write!(f, "{}; {}", self.message, self.hint)
    }
}

/// Returns the findings in a text, in the order of its lines.
///
/// # Errors
///
/// The text cannot be parsed. Its values are not checked here.
pub fn lint(text: &str) -> Result<Vec<Finding>, Vec<ConfigError>> {
    let source = parse(text)?;
    let mut findings = Vec::new();
    check_size(text, &source, &mut findings);
    for route in &source.routes {
        check_host(route, &mut findings);
        check_limits(route, &mut findings);
        check_targets(route, &mut findings);
        if route.public && source.organisations.is_empty() {
            let message = "public has no effect, because no organisations are listed";
            findings.push(at(
                &route.prefix,
                message,
                "remove it or list organisations",
            ));
        }
    }
    for service in &source.services {
        check_service(service, &source, &mut findings);
    }
    for organisation in &source.organisations {
        check_organisation(organisation, &mut findings);
    }
    findings.sort_by_key(|it| it.line);
    findings.truncate(MAX_FINDINGS);
    Ok(findings)
}

fn at<T>(value: &Spanned<T>, message: impl Into<String>, hint: &str) -> Finding {
    Finding {
        line: value.referenced.line(),
        message: message.into(),
        hint: hint.to_owned(),
    }
}

fn check_size(text: &str, source: &source::Text, findings: &mut Vec<Finding>) {
    let by_path = source.services.iter().map(|it| it.routes.len());
    let routes = by_path.sum::<usize>() + source.routes.len();
    let sizes = [
        (text.len(), MAX_TEXT_BYTES, "bytes"),
        (routes, MAX_ROUTES, "routes"),
    ];
    for (size, max, unit) in sizes {
        if size * 100 >= max * NEAR_BOUND_PERCENT {
            findings.push(Finding {
                line: 0,
                message: format!("{size} of at most {max} {unit} are used"),
                hint: "remove what is no longer used before the text is refused".to_owned(),
            });
        }
    }
}

/// Reports a host that no request can have: the host of a request is compared in lower case and without port.
fn check_host(route: &source::HostRoute, findings: &mut Vec<Finding>) {
    let host = route.host.value.as_str();
    let shown = truncate(host);
    if host.bytes().any(|byte| byte.is_ascii_uppercase()) {
        let message = format!("no request matches host {shown:?}, which has capital letters");
        findings.push(at(&route.host, message, "write it in lower case"));
    }
    let port = host.rsplit_once(':').map(|(_, port)| port);
    if port.is_some_and(|it| !it.ends_with(']') && !it.is_empty()) {
        let message = format!("no request matches host {shown:?}, which has a port");
        findings.push(at(&route.host, message, "leave out the port"));
    }
}

fn check_limits(route: &source::HostRoute, findings: &mut Vec<Finding>) {
    let deadline = route.deadline_ms.value;
    if let Some(objective) = &route.objective_ms
        && objective.value > deadline
    {
        let message = format!(
            "objective_ms {} is longer than deadline_ms {deadline}",
            objective.value
        );
        findings.push(at(
            objective,
            message,
            "no response can come later than the deadline",
        ));
    }
    if let Some(attempts) = &route.attempts
        && attempts.value > 1
        && !route.idempotent
    {
        let message = format!(
            "attempts {} on a route that is not idempotent",
            attempts.value
        );
        let hint = "a request is sent to another upstream only if it has certainly not run";
        findings.push(at(attempts, message, hint));
    }
}

fn check_targets(route: &source::HostRoute, findings: &mut Vec<Finding>) {
    for (index, target) in route.targets.iter().enumerate() {
        if target.weight.as_ref().is_some_and(|it| it.value == 0) {
            let message = format!(
                "service {:?} gets no requests of this route",
                target.service.value
            );
            findings.push(at(
                &target.service,
                message,
                "remove it or give it a weight",
            ));
        }
        let earlier = &route.targets[..index];
        if earlier
            .iter()
            .any(|it| it.service.value == target.service.value)
        {
            let message = format!("service {:?} is a target twice", target.service.value);
            findings.push(at(&target.service, message, "add up the weights"));
        }
    }
}

/// Reports a service that no request can reach.
fn check_service(service: &source::Service, source: &source::Text, findings: &mut Vec<Finding>) {
    let name = &service.name.value;
    let has_weight = |it: &source::Target| it.weight.as_ref().is_none_or(|it| it.value > 0);
    let is_target = |it: &source::Target| it.service.value == *name && has_weight(it);
    let routed = source
        .routes
        .iter()
        .any(|it| it.targets.iter().any(is_target));
    if service.routes.is_empty() && !routed {
        let message = format!("no route leads to service {name:?}");
        findings.push(at(
            &service.name,
            message,
            "add a route or remove the service",
        ));
    }
}

fn check_organisation(organisation: &source::Organisation, findings: &mut Vec<Finding>) {
    let name = &organisation.name;
    if organisation.keys.is_empty() {
        let message = format!("organisation {:?} has no keys", name.value);
        findings.push(at(name, message, "all its requests are refused"));
    }
    let rate = organisation.per_second.as_ref().map_or(0.0, |it| it.value);
    let Some(burst) = &organisation.burst else {
        return;
    };
    if rate == 0.0 && burst.value > 0.0 {
        let message = "burst has no effect without per_second";
        findings.push(at(burst, message, "set per_second or remove burst"));
    }
    if rate > 0.0 && burst.value < 1.0 {
        let message = format!("burst {} lets no request pass", burst.value);
        findings.push(at(burst, message, "set burst to 1 or more"));
    } else if burst.value < rate {
        let message = format!("burst {} is below per_second {rate}", burst.value);
        let hint = "requests that come close together are refused though the rate is not used up";
        findings.push(at(burst, message, hint));
    }
}
