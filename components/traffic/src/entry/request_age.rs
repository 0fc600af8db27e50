//! How long the callers of a route wait from their first attempt.
//!
//! A caller that tries again has less time left than one that tries for the first time, so the time
//! left tells how long ago the first attempt was. Its objective counts from there.

use std::time::Duration;

use ids::RouteId;
use kernel::Time;

/// Routes that are remembered.
const MAX_ROUTES: usize = 1_024;
/// Time after which a longest wait that no caller has shown again is forgotten.
const LONGEST_LIFETIME: Duration = Duration::from_secs(60);

#[derive(Clone, Copy, Debug)]
struct LongestTimeLeft {
    route: RouteId,
    time_left: Duration,
    seen: Time,
}

/// The longest time that callers of each route have lately left.
#[derive(Debug, Default)]
pub(crate) struct RequestAges {
    /// Sorted by route.
    routes: Vec<LongestTimeLeft>,
}

impl RequestAges {
    /// How long ago the first attempt of a request was whose caller waits for `left`.
    pub(crate) fn estimate(&mut self, now: Time, route: RouteId, time_left: Duration) -> Duration {
        let place = self.routes.binary_search_by_key(&route, |it| it.route);
        let seen = LongestTimeLeft {
            route,
            time_left,
            seen: now,
        };
        match place {
            Ok(at) => {
                let longest = &mut self.routes[at];
                if time_left >= longest.time_left || now.since(longest.seen) >= LONGEST_LIFETIME {
                    *longest = seen;
                }
                longest.time_left.saturating_sub(time_left)
            }
            Err(at) => {
                if self.routes.len() < MAX_ROUTES {
                    self.routes.insert(at, seen);
                }
                Duration::ZERO
            }
        }
    }
}
