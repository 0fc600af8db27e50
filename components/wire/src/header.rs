//! Names and values of the headers on requests between nodes and towards upstreams.

use ids::Rank;
use policy::Load;

/// Identity of the request, 32 hexadecimal digits.
pub const REQUEST_ID: &str = "medlar-request-id";
/// Identity of the route, 16 hexadecimal digits.
pub const ROUTE: &str = "medlar-route";
/// Identity of the service that is to serve the request, 16 hexadecimal digits.
pub const SERVICE: &str = "medlar-service";
/// Time left, in microseconds.
pub const DEADLINE: &str = "medlar-deadline-us";
/// Identity of the node that the request is meant for, 16 hexadecimal digits.
pub const OWNER: &str = "medlar-owner";
/// Time on the owner's clock after which the request must not start, in microseconds.
pub const EXPIRES: &str = "medlar-expires-us";
/// Time on the owner's clock until which the answer is worth most, in microseconds.
pub const OBJECTIVE: &str = "medlar-objective-us";
/// Number of the attempt, from 1.
pub const ATTEMPT: &str = "medlar-attempt";
/// `1` if a level further out retries.
pub const RETRY_OWNER: &str = "medlar-retry-owner";
/// Name of the verdict.
pub const VERDICT: &str = "medlar-verdict";
/// Name of the reason of a refusal.
pub const REASON: &str = "medlar-reason";
/// Time after which an owner that refused takes the request, in milliseconds.
pub const RETRY_AFTER: &str = "medlar-retry-after-ms";
/// Load of the owner: running, queued, limit, accepted rank, then queued by rank, separated by
/// commas.
pub const LOAD: &str = "medlar-load";
/// Prefix of all headers that are the system's own; callers' headers with it are dropped.
pub const PREFIX: &str = "medlar-";

/// Writes the value of [`LOAD`].
pub fn format_load(load: Load) -> String {
    let queued_by_rank = load
        .queued_by_rank
        .map(|count| format!(",{count}"))
        .concat();
    format!(
        "{},{},{},{}{queued_by_rank}",
        load.running, load.queued, load.limit, load.least_urgent_accepted.0
    )
}

/// Reads the value of [`LOAD`].
pub fn parse_load(text: &str) -> Option<Load> {
    let mut parts = text.split(',');
    let running = parts.next()?.parse().ok()?;
    let queued = parts.next()?.parse().ok()?;
    let limit = parts.next()?.parse().ok()?;
    let least_urgent_accepted = Rank(parts.next()?.parse().ok()?);
    let mut queued_by_rank = [0; Rank::COUNT];
    for count in &mut queued_by_rank {
        *count = parts.next()?.parse().ok()?;
    }
    parts.next().is_none().then_some(Load {
        running,
        queued,
        queued_by_rank,
        limit,
        least_urgent_accepted,
    })
}
