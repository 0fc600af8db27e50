//! Early shedding at the entry.
//!
//! A request is refused here only if every owner it could go to has lately reported that it refuses
//! the rank, and an owner has lately refused a request of the same route. The second condition keeps
//! the routes of a rank that do not flood: their owners still take them in within their share.

use std::time::Duration;

use errors::Reason;
use ids::RouteId;
use kernel::Random;
use kernel::Time;

/// Time for which a refusal of a route counts.
const REFUSAL_LIFETIME: Duration = Duration::from_millis(500);
/// Requests in a hundred that go through although the owners refuse, so that recovery is noticed.
const PROBE_PERCENT: usize = 5;
/// Routes that are remembered.
const MAX_ROUTES: usize = 1_024;

/// Routes that an owner has refused lately.
#[derive(Debug, Default)]
pub(crate) struct RefusedRoutes {
    /// Sorted by route.
    routes: Vec<(RouteId, Time)>,
}

impl RefusedRoutes {
    /// Takes in a refusal.
    pub(crate) fn record(&mut self, now: Time, route: RouteId, reason: Reason) {
        if !matches!(
            reason,
            Reason::QueueFull | Reason::Displaced | Reason::DeadlineTooShort
        ) {
            return;
        }
        match self.position(route) {
            Ok(at) => self.routes[at].1 = now,
            Err(_) => {
                self.routes
                    .retain(|(_, at)| now.since(*at) < REFUSAL_LIFETIME);
                if self.routes.len() < MAX_ROUTES {
                    let at = self.position(route).unwrap_or_else(|at| at);
                    self.routes.insert(at, (route, now));
                }
            }
        }
    }

    /// Whether to shed a request of this route, given that all owners refuse its rank.
    pub(crate) fn should_shed(&self, now: Time, route: RouteId, random: &mut dyn Random) -> bool {
        let recent = self
            .position(route)
            .is_ok_and(|at| now.since(self.routes[at].1) < REFUSAL_LIFETIME);
        recent && random.below(100) >= PROBE_PERCENT
    }

    fn position(&self, route: RouteId) -> Result<usize, usize> {
        self.routes
            .binary_search_by_key(&route, |(known, _)| *known)
    }
}
