//! Early shedding at the entry.
//!
//! The entry refuses a request itself only if every owner to which it could send the request has
//! recently reported that it refuses the rank, and an owner has recently refused a request of the
//! same route. The second condition spares routes of that rank that stay within their share of the
//! capacity, because the owners still accept those.

use std::time::Duration;

use crate::entry::RouteProfile;
use errors::Reason;
use ids::RouteId;
use kernel::Random;
use kernel::Time;

/// Time for which the refusal of a route by an owner counts.
const REFUSAL_LIFETIME: Duration = Duration::from_millis(500);
/// Percentage of requests that are sent although the owners refuse, so that the entry notices when
/// the owners accept again.
const PROBE_PERCENT: usize = 5;
/// Number of routes whose refusals are kept.
const MAX_TRACKED_ROUTES: usize = 1_024;

/// Routes of which an owner has recently refused a request, with the time of the last refusal.
#[derive(Debug, Default)]
pub(crate) struct RefusedRoutes {
    /// Sorted by route.
    routes: Vec<(RouteId, Time)>,
}

impl RefusedRoutes {
    /// Records a refusal by an owner if its reason is a lack of capacity. The link is a part of the capacity
    /// only for a route with large responses.
    pub(crate) fn record(&mut self, now: Time, profile: &RouteProfile, reason: Reason) {
        let lacks_capacity = match reason {
            Reason::QueueFull | Reason::Displaced | Reason::DeadlineTooShort => true,
            Reason::LinkBusy => profile.large_responses,
            _ => false,
        };
        if !lacks_capacity {
            return;
        }
        let route = profile.route;
        match self.position(route) {
            Ok(index) => self.routes[index].1 = now,
            Err(_) => {
                self.routes
                    .retain(|(_, refused_at)| now.since(*refused_at) < REFUSAL_LIFETIME);
                if self.routes.len() < MAX_TRACKED_ROUTES {
                    let index = self.position(route).unwrap_or_else(|index| index);
                    self.routes.insert(index, (route, now));
                }
            }
        }
    }

    /// Whether to shed a request of this route, provided that all owners refuse its rank.
    pub(crate) fn should_shed(&self, now: Time, route: RouteId, random: &mut dyn Random) -> bool {
        let recent = self
            .position(route)
            .is_ok_and(|index| now.since(self.routes[index].1) < REFUSAL_LIFETIME);
        recent && random.below(100) >= PROBE_PERCENT
    }

    fn position(&self, route: RouteId) -> Result<usize, usize> {
        self.routes
            .binary_search_by_key(&route, |(refused_route, _)| *refused_route)
    }
}
