//! Search of the route that takes a request.

use crate::Route;
use crate::RouteKey;
use crate::pattern::Segment;
use kernel::Arena;
use kernel::Key;

/// What can follow after some segments.
#[derive(Clone, Debug, Default)]
struct Node {
    /// Sorted by segment.
    literals: Vec<(Box<str>, Key<Node>)>,
    any: Option<Key<Node>>,
    rest: Option<RouteKey>,
    end: Option<RouteKey>,
}

/// Routes by method, then segment by segment.
#[derive(Clone, Debug, Default)]
pub(crate) struct Tree {
    /// Sorted by method.
    methods: Vec<(Box<str>, Key<Node>)>,
    nodes: Arena<Node>,
}

impl Tree {
    /// Adds a route; gives the earlier one if its pattern has the same shape.
    pub(crate) fn insert(&mut self, key: RouteKey, route: &Route) -> Option<RouteKey> {
        let mut at = self.root_of(&route.method);
        for segment in route.pattern.segments() {
            match segment {
                Segment::Rest => return put(&mut self.nodes.get_mut(at)?.rest, key),
                Segment::Any => at = self.child_any(at)?,
                Segment::Literal(text) => at = self.child_literal(at, text)?,
            }
        }
        put(&mut self.nodes.get_mut(at)?.end, key)
    }

    fn root_of(&mut self, method: &str) -> Key<Node> {
        match self
            .methods
            .binary_search_by(|(known, _)| (**known).cmp(method))
        {
            Ok(found) => self.methods[found].1,
            Err(place) => {
                let root = self.nodes.insert(Node::default());
                self.methods.insert(place, (Box::from(method), root));
                root
            }
        }
    }

    fn child_any(&mut self, at: Key<Node>) -> Option<Key<Node>> {
        if let Some(child) = self.nodes.get(at)?.any {
            return Some(child);
        }
        let child = self.nodes.insert(Node::default());
        self.nodes.get_mut(at)?.any = Some(child);
        Some(child)
    }

    fn child_literal(&mut self, at: Key<Node>, text: &str) -> Option<Key<Node>> {
        let literals = &self.nodes.get(at)?.literals;
        match literals.binary_search_by(|(known, _)| (**known).cmp(text)) {
            Ok(found) => Some(literals[found].1),
            Err(place) => {
                let child = self.nodes.insert(Node::default());
                let literals = &mut self.nodes.get_mut(at)?.literals;
                literals.insert(place, (Box::from(text), child));
                Some(child)
            }
        }
    }

    /// The first route in the order of match that covers `path` (without query).
    pub(crate) fn find(&self, method: &str, path: &str) -> Option<RouteKey> {
        let found = self
            .methods
            .binary_search_by(|(known, _)| (**known).cmp(method));
        let root = self.methods[found.ok()?].1;
        let rest = path.strip_prefix('/')?;
        self.descend(root, (!rest.is_empty()).then_some(rest))
    }

    /// Searches below `at`; `rest` is what is left of the path. The recursion is as deep as the
    /// longest pattern, and visits each node of the tree at most once.
    fn descend(&self, at: Key<Node>, rest: Option<&str>) -> Option<RouteKey> {
        let node = self.nodes.get(at)?;
        let Some(rest) = rest else {
            return node.end.or(node.rest);
        };
        let (part, after) = match rest.split_once('/') {
            Some((part, after)) => (part, Some(after)),
            None => (rest, None),
        };
        let literal = node
            .literals
            .binary_search_by(|(known, _)| (**known).cmp(part))
            .ok()
            .and_then(|found| self.descend(node.literals[found].1, after));
        let any = || {
            let child = node.any.filter(|_| !part.is_empty())?;
            self.descend(child, after)
        };
        literal.or_else(any).or(node.rest)
    }
}

fn put(place: &mut Option<RouteKey>, key: RouteKey) -> Option<RouteKey> {
    if place.is_none() {
        *place = Some(key);
        return None;
    }
    *place
}
