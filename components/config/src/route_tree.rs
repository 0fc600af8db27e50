//! Lookup of routes by method and path pattern.

use crate::Route;
use crate::RouteKey;
use crate::pattern::Segment;
use kernel::Arena;
use kernel::Key;

/// The routes and the child nodes below one sequence of segments.
#[derive(Clone, Debug, Default)]
struct TreeNode {
    /// Children for literal segments, sorted by segment.
    literals: Vec<(Box<str>, Key<TreeNode>)>,
    /// Child for a `{name}` segment.
    parameter: Option<Key<TreeNode>>,
    /// Route whose pattern continues with `**`.
    catch_all: Option<RouteKey>,
    /// Route whose pattern ends here.
    exact: Option<RouteKey>,
}

/// For each method, a tree of the segments of the routes' path patterns.
#[derive(Clone, Debug, Default)]
pub(crate) struct RouteTree {
    /// Root node of each method, sorted by method.
    methods: Vec<(Box<str>, Key<TreeNode>)>,
    nodes: Arena<TreeNode>,
}

impl RouteTree {
    /// Adds a route; if there is one with the same method and an equal pattern, returns that and
    /// changes nothing.
    pub(crate) fn insert(&mut self, key: RouteKey, route: &Route) -> Option<RouteKey> {
        let mut node = self.root_or_insert(&route.method);
        for segment in route.pattern.segments() {
            match segment {
                Segment::CatchAll => {
                    return insert_if_vacant(&mut self.nodes.get_mut(node)?.catch_all, key);
                }
                Segment::Parameter => node = self.parameter_child_or_insert(node)?,
                Segment::Literal(text) => node = self.literal_child_or_insert(node, text)?,
            }
        }
        insert_if_vacant(&mut self.nodes.get_mut(node)?.exact, key)
    }

    fn root_or_insert(&mut self, method: &str) -> Key<TreeNode> {
        match self
            .methods
            .binary_search_by(|(existing, _)| (**existing).cmp(method))
        {
            Ok(index) => self.methods[index].1,
            Err(index) => {
                let root = self.nodes.insert(TreeNode::default());
                self.methods.insert(index, (Box::from(method), root));
                root
            }
        }
    }

    fn parameter_child_or_insert(&mut self, parent: Key<TreeNode>) -> Option<Key<TreeNode>> {
        if let Some(child) = self.nodes.get(parent)?.parameter {
            return Some(child);
        }
        let child = self.nodes.insert(TreeNode::default());
        self.nodes.get_mut(parent)?.parameter = Some(child);
        Some(child)
    }

    fn literal_child_or_insert(
        &mut self,
        parent: Key<TreeNode>,
        text: &str,
    ) -> Option<Key<TreeNode>> {
        let literals = &self.nodes.get(parent)?.literals;
        match literals.binary_search_by(|(existing, _)| (**existing).cmp(text)) {
            Ok(index) => Some(literals[index].1),
            Err(index) => {
                let child = self.nodes.insert(TreeNode::default());
                let literals = &mut self.nodes.get_mut(parent)?.literals;
                literals.insert(index, (Box::from(text), child));
                Some(child)
            }
        }
    }

    /// The first route, in the order of [`PathPattern`], that covers `path` (without query).
    pub(crate) fn find(&self, method: &str, path: &str) -> Option<RouteKey> {
        let found = self
            .methods
            .binary_search_by(|(existing, _)| (**existing).cmp(method));
        let root = self.methods[found.ok()?].1;
        let remaining = path.strip_prefix('/')?;
        self.find_below(root, (!remaining.is_empty()).then_some(remaining))
    }

    /// Finds the first route below a node that covers the remaining path; `None` is the end of the
    /// path. The recursion is as deep as the longest pattern and visits each node at most once.
    fn find_below(&self, node_key: Key<TreeNode>, remaining: Option<&str>) -> Option<RouteKey> {
        let node = self.nodes.get(node_key)?;
        let Some(remaining) = remaining else {
            return node.exact.or(node.catch_all);
        };
        let (segment, remainder) = match remaining.split_once('/') {
            Some((segment, remainder)) => (segment, Some(remainder)),
            None => (remaining, None),
        };
        let literal = node
            .literals
            .binary_search_by(|(existing, _)| (**existing).cmp(segment))
            .ok()
            .and_then(|index| self.find_below(node.literals[index].1, remainder));
        let parameter = || {
            let child = node.parameter.filter(|_| !segment.is_empty())?;
            self.find_below(child, remainder)
        };
        literal.or_else(parameter).or(node.catch_all)
    }
}

/// Sets an empty slot to `key`; returns the content of a slot that is in use.
fn insert_if_vacant(slot: &mut Option<RouteKey>, key: RouteKey) -> Option<RouteKey> {
    if slot.is_none() {
        *slot = Some(key);
        return None;
    }
    *slot
}
