//! Mean length of the responses of each route.

use ids::RouteId;

/// Weight of a response in the moving average of its route. Lengths within a route differ by a factor of
/// ten, so the mean takes some tens of responses.
const GAIN: f64 = 1.0 / 16.0;
/// Number of routes whose length is kept.
const MAX_ROUTES: usize = 4_096;

/// Mean response length by route. If there are too many routes, those with the shortest responses are
/// forgotten, because these hardly occupy the link.
#[derive(Clone, Debug, Default)]
pub struct Sizes {
    /// Routes with their mean length in bytes, sorted.
    routes: Vec<(RouteId, f64)>,
}

impl Sizes {
    /// Records a complete response of this length in bytes.
    pub fn record(&mut self, route: RouteId, bytes: u64) {
        let bytes = bytes as f64;
        match self.position(route) {
            Ok(index) => {
                let mean = &mut self.routes[index].1;
                *mean += (bytes - *mean) * GAIN;
            }
            Err(_) => self.insert(route, bytes),
        }
    }

    /// Mean length in bytes; `None` if no response of the route is known.
    pub fn mean(&self, route: RouteId) -> Option<f64> {
        let index = self.position(route).ok()?;
        Some(self.routes[index].1)
    }

    fn insert(&mut self, route: RouteId, bytes: f64) {
        if self.routes.len() >= MAX_ROUTES {
            let routes = self.routes.iter().enumerate();
            let shortest = routes.min_by(|a, b| a.1.1.total_cmp(&b.1.1));
            match shortest {
                Some((index, (_, mean))) if *mean < bytes => self.routes.remove(index),
                _ => return,
            };
        }
        let index = self.position(route).unwrap_or_else(|index| index);
        self.routes.insert(index, (route, bytes));
    }

    fn position(&self, route: RouteId) -> Result<usize, usize> {
        self.routes.binary_search_by_key(&route, |(it, _)| *it)
    }
}
