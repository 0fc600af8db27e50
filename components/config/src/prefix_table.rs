//! Lookup of routes by host and path prefix.

use crate::RouteKey;

/// Routes by host and path prefix.
#[derive(Clone, Debug, Default)]
pub(crate) struct PrefixTable {
    /// Host, prefix (which ends with a slash) and route, sorted by host and prefix.
    routes: Vec<(Box<str>, Box<str>, RouteKey)>,
}

impl PrefixTable {
    /// Adds a route; if there is one with the same host and prefix, returns that and changes
    /// nothing.
    pub(crate) fn insert(&mut self, host: &str, prefix: &str, key: RouteKey) -> Option<RouteKey> {
        match self.search(host, prefix) {
            Ok(index) => Some(self.routes[index].2),
            Err(index) => {
                let entry = (Box::from(host), Box::from(prefix), key);
                self.routes.insert(index, entry);
                None
            }
        }
    }

    /// The route of the host with the longest prefix of `path`.
    pub(crate) fn find(&self, host: &str, path: &str) -> Option<RouteKey> {
        let mut remainder = path;
        while let Some(slash) = remainder.rfind('/') {
            if let Ok(index) = self.search(host, &remainder[..=slash]) {
                return Some(self.routes[index].2);
            }
            remainder = &remainder[..slash];
        }
        None
    }

    fn search(&self, host: &str, prefix: &str) -> Result<usize, usize> {
        self.routes
            .binary_search_by(|(existing_host, existing_prefix, _)| {
                (&**existing_host, &**existing_prefix).cmp(&(host, prefix))
            })
    }
}
