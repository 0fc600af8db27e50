//! Names and values of the HTTP headers that nodes exchange with each other and with upstreams.

use std::time::Duration;

use ids::Rank;
use policy::Load;

/// Identifier of the request, 32 hexadecimal digits.
pub const REQUEST_ID: &str = "medlar-request-id";
/// Identifier of the route, 16 hexadecimal digits.
pub const ROUTE: &str = "medlar-route";
/// Identifier of the service that serves the request, 16 hexadecimal digits.
pub const SERVICE: &str = "medlar-service";
/// Identifier of the caller's organisation, 16 hexadecimal digits; absent if the request belongs to none.
pub const ORGANISATION: &str = "medlar-organisation";
/// `1` if the upstream of the sender makes the request as part of a run, and the owner lets it go before new
/// requests of its rank.
pub const ONWARD: &str = "medlar-onward";
/// API key of a caller; never passed on.
pub const KEY: &str = "medlar-key";
/// Name of the caller's organisation, in requests to upstreams.
pub const ORGANISATION_NAME: &str = "medlar-organisation-name";
/// Time left until the deadline of the request, in microseconds.
pub const DEADLINE: &str = "medlar-deadline-us";
/// Identifier of the owner, 16 hexadecimal digits: in a request the node that it is intended for, in a
/// response the responding node.
pub const OWNER: &str = "medlar-owner";
/// Time after which the request must not start, in microseconds on the owner's clock.
pub const EXPIRES: &str = "medlar-expires-us";
/// Time by which the upstream has to be done if that is before the expiry, in microseconds on the owner's
/// clock.
pub const WORK_END: &str = "medlar-work-end-us";
/// Latency objective of the request: time by which the response should arrive, in microseconds on the
/// owner's clock.
pub const OBJECTIVE: &str = "medlar-objective-us";
/// `1` if the owner may refuse the request because it would miss its objective there.
pub const SPILLABLE: &str = "medlar-spillable";
/// Fingerprint of the request, 32 hexadecimal digits: the same for each repetition by any caller's node.
pub const FINGERPRINT: &str = "medlar-fingerprint";
/// Number of upstreams that crashed while they ran earlier attempts of the sender at the request.
pub const SEEN_CRASHES: &str = "medlar-seen-crashes";
/// Number of the attempt at the request; the first attempt is 1.
pub const ATTEMPT: &str = "medlar-attempt";
/// `1` if the sender of the request, or a service in front of it, retries it; the receiver then must
/// not retry it.
pub const RETRY_OWNER: &str = "medlar-retry-owner";
/// Verdict on the attempt: whether the request ran.
pub const VERDICT: &str = "medlar-verdict";
/// Reason why the request was refused.
pub const REASON: &str = "medlar-reason";
/// Number of requests a second that the upstream accepts from all nodes together, as a decimal number: in
/// each response of an upstream that has such a limit, and in the requests of entries that have recently
/// received such a response.
pub const RATE_LIMIT: &str = "medlar-rate-limit";
/// `1` in each response of an upstream that is leaving.
pub const LEAVING: &str = "medlar-leaving";
/// Time after which the owner that refused the request expects to accept it, in milliseconds.
pub const RETRY_AFTER: &str = "medlar-retry-after-ms";
/// Load of the owner as comma-separated numbers: running requests, queued requests, concurrency
/// limit, least urgent rank that is accepted, then the queued requests of each rank: of the four of a
/// configuration without organisations, and of further ones up to the last in use. If the link of the
/// instance is busy, `link=` and the time for which it is, in milliseconds, follow.
pub const LOAD: &str = "medlar-load";
/// Prefix of the headers that nodes add to requests and responses. Headers of callers that have this
/// prefix are removed.
pub const PREFIX: &str = "medlar-";

/// Beginning of the field of the [`LOAD`] header for the time for which the link is busy.
const LINK_FIELD: &str = "link=";

/// Formats the value of the [`LOAD`] header.
pub fn format_load(load: Load) -> String {
    let used = load.queued_by_rank.iter().rposition(|count| *count > 0);
    let ranks = used.map_or(Rank::COUNT, |last| (last + 1).max(Rank::COUNT));
    let queued_by_rank = load.queued_by_rank[..ranks].iter();
    let queued_by_rank: String = queued_by_rank.map(|count| format!(",{count}")).collect();
    let link_busy = match load.link_busy.as_millis() {
        0 => String::new(),
        millis => format!(",{LINK_FIELD}{millis}"),
    };
    format!(
        "{},{},{},{}{queued_by_rank}{link_busy}",
        load.running, load.queued, load.limit, load.least_urgent_accepted.0
    )
}

/// Parses the value of the [`LOAD`] header; returns `None` if it is malformed.
pub fn parse_load(text: &str) -> Option<Load> {
    let mut fields = text.split(',');
    let running = fields.next()?.parse().ok()?;
    let queued = fields.next()?.parse().ok()?;
    let limit = fields.next()?.parse().ok()?;
    let least_urgent_accepted = Rank(fields.next()?.parse().ok()?);
    let mut queued_by_rank = [0; Rank::REQUEST_COUNT];
    let mut link_busy = Duration::ZERO;
    for (index, count) in queued_by_rank.iter_mut().enumerate() {
        match fields.clone().next() {
            Some(field) if !field.starts_with(LINK_FIELD) => *count = field.parse().ok()?,
            _ if index < Rank::COUNT => return None,
            _ => break,
        }
        fields.next();
    }
    if let Some(field) = fields.next() {
        let millis: u32 = field.strip_prefix(LINK_FIELD)?.parse().ok()?;
        link_busy = Duration::from_millis(millis.into());
    }
    fields.next().is_none().then_some(Load {
        running,
        queued,
        queued_by_rank,
        limit,
        least_urgent_accepted,
        link_busy,
    })
}
