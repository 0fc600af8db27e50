//! Search of the route by host and path prefix.

use crate::RouteKey;

/// Routes by host and prefix, sorted by both. Each prefix ends with a slash.
#[derive(Clone, Debug, Default)]
pub(crate) struct Prefixes {
    routes: Vec<(Box<str>, Box<str>, RouteKey)>,
}

impl Prefixes {
    /// Adds a route; gives the earlier one if it has the same host and prefix.
    pub(crate) fn insert(&mut self, host: &str, prefix: &str, key: RouteKey) -> Option<RouteKey> {
        match self.position(host, prefix) {
            Ok(at) => Some(self.routes[at].2),
            Err(at) => {
                let entry = (Box::from(host), Box::from(prefix), key);
                self.routes.insert(at, entry);
                None
            }
        }
    }

    /// The route with the longest prefix that begins `path`.
    pub(crate) fn find(&self, host: &str, path: &str) -> Option<RouteKey> {
        let mut rest = path;
        while let Some(slash) = rest.rfind('/') {
            if let Ok(at) = self.position(host, &rest[..=slash]) {
                return Some(self.routes[at].2);
            }
            rest = &rest[..slash];
        }
        None
    }

    fn position(&self, host: &str, prefix: &str) -> Result<usize, usize> {
        self.routes.binary_search_by(|(known_host, known, _)| {
            (&**known_host, &**known).cmp(&(host, prefix))
        })
    }
}
