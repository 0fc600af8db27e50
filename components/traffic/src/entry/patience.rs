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
const MEMORY: Duration = Duration::from_secs(60);

#[derive(Clone, Copy, Debug)]
struct Longest {
    route: RouteId,
    left: Duration,
    seen: Time,
}

/// The longest time that callers of each route have lately left.
#[derive(Debug, Default)]
pub(crate) struct Patience {
    /// Sorted by route.
    routes: Vec<Longest>,
}

impl Patience {
    /// How long ago the first attempt of a request was whose caller waits for `left`.
    pub(crate) fn age(&mut self, now: Time, route: RouteId, left: Duration) -> Duration {
        let place = self.routes.binary_search_by_key(&route, |it| it.route);
        let seen = Longest {
            route,
            left,
            seen: now,
        };
        match place {
            Ok(at) => {
                let longest = &mut self.routes[at];
                if left >= longest.left || now.since(longest.seen) >= MEMORY {
                    *longest = seen;
                }
                longest.left.saturating_sub(left)
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
