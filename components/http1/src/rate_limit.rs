//! Rate limit of a request's organisation, before the request is forwarded.

use std::sync::Arc;
use std::time::Duration;

use crate::SharedState;
use front::Token;
use traffic::Refusal;
use traffic::entry::Credential;
use traffic::entry::RequestHead;
use traffic::entry::identify;

/// Shortest limit on the wait for a token: several round trips between failure domains, with slow processors.
const MIN_WAIT: Duration = Duration::from_millis(60);
/// Part of the route's latency objective, or of the time left without one, that a request waits at most: one in
/// this number.
const USEFUL_TIME_SHARE: u32 = 4;

/// Spends a token for a request whose organisation has a limit. The wait counts against the request's deadline. A
/// request that shows no organisation, or a wrong one, is left to the entry state machine.
pub(crate) async fn acquire_token(
    shared: &Arc<SharedState>,
    head: &mut RequestHead,
) -> Result<Token, Refusal> {
    let driver = &shared.driver;
    if !driver.has_rate_limits() || !matches!(head.credential, Credential::Key(_)) {
        return Ok(Token::unlimited());
    }
    let topology = driver.topology();
    let snapshot = topology.snapshot.as_ref();
    let route = snapshot.and_then(|it| {
        let key = it.find_route(head.host.as_deref(), &head.method, &head.path)?;
        Some((it, it.route(key)?))
    });
    let Some((snapshot, route)) = route else {
        return Ok(Token::unlimited());
    };
    let Ok(Some(organisation)) = identify(snapshot, route, head.credential) else {
        return Ok(Token::unlimited());
    };
    if organisation.limit.is_none() {
        return Ok(Token::unlimited());
    }
    let time_left = head
        .time_left
        .map_or(route.deadline, |it| it.min(route.deadline));
    let useful_time = route.objective.unwrap_or(time_left);
    let started = driver.now();
    let wait = (useful_time / USEFUL_TIME_SHARE)
        .max(MIN_WAIT)
        .min(time_left);
    let token = driver.acquire_token(organisation.id, wait).await?;
    let waited = driver.now().since(started);
    // A token that was at hand leaves the head as the caller sent it.
    if waited >= Duration::from_millis(1) {
        head.time_left = Some(time_left.saturating_sub(waited));
    }
    Ok(token)
}
