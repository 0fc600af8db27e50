//! Estimates how long ago a caller first sent a request.
//!
//! A caller that retries has less time left until its deadline than one that sends a request for
//! the first time. The difference between the longest time left that was recently seen on the route
//! and the time left of a request is therefore its age. The latency objective counts from the first
//! send.

use std::time::Duration;

use ids::RouteId;
use kernel::Time;

/// Number of routes for which observations are kept.
const MAX_TRACKED_ROUTES: usize = 1_024;
/// Time after which the longest time left of a route is replaced if no later request had as much.
const OBSERVATION_LIFETIME: Duration = Duration::from_secs(60);

/// Maximum time left until the deadline that was recently seen on a route.
#[derive(Clone, Copy, Debug)]
struct LongestTimeLeft {
    route: RouteId,
    time_left: Duration,
    observed_at: Time,
}

/// Estimates the age of requests by route.
#[derive(Debug, Default)]
pub(crate) struct RequestAges {
    /// Sorted by route.
    routes: Vec<LongestTimeLeft>,
}

impl RequestAges {
    /// Estimates how long ago a request with this time left was first sent, and records the
    /// observation.
    pub(crate) fn estimate(&mut self, now: Time, route: RouteId, time_left: Duration) -> Duration {
        let position = self.routes.binary_search_by_key(&route, |it| it.route);
        let observation = LongestTimeLeft {
            route,
            time_left,
            observed_at: now,
        };
        match position {
            Ok(index) => {
                let longest = &mut self.routes[index];
                if time_left >= longest.time_left
                    || now.since(longest.observed_at) >= OBSERVATION_LIFETIME
                {
                    *longest = observation;
                }
                longest.time_left.saturating_sub(time_left)
            }
            Err(index) => {
                if self.routes.len() < MAX_TRACKED_ROUTES {
                    self.routes.insert(index, observation);
                }
                Duration::ZERO
            }
        }
    }
}
