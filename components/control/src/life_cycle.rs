//! Life cycle of a node.

use std::marker::PhantomData;

/// Typestate of [`NodeStage::Joining`].
#[derive(Clone, Copy, Debug)]
pub struct Joining;
/// Typestate of [`NodeStage::Serving`].
#[derive(Clone, Copy, Debug)]
pub struct Serving;
/// Typestate of [`NodeStage::Leaving`].
#[derive(Clone, Copy, Debug)]
pub struct Leaving;

/// Stage in the life cycle of a node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum NodeStage {
    /// The node waits until it has a configuration and has joined the membership.
    #[default]
    Joining,
    /// The node takes requests.
    Serving,
    /// The node finishes the running requests and takes no new ones.
    Leaving,
}

/// A node in the stage `S`. Only the transitions of the life cycle lead to another stage.
#[derive(Debug)]
pub struct Node<S> {
    stage: PhantomData<S>,
}

impl Node<Joining> {
    /// Creates a node that has just started.
    pub fn new() -> Self {
        Self { stage: PhantomData }
    }

    /// Starts to serve, because the node has a configuration and has joined the membership.
    pub fn serve(self) -> Node<Serving> {
        Node { stage: PhantomData }
    }

    /// Starts to leave before the node has served.
    pub fn leave(self) -> Node<Leaving> {
        Node { stage: PhantomData }
    }
}

impl Default for Node<Joining> {
    fn default() -> Self {
        Self::new()
    }
}

impl Node<Serving> {
    /// Starts to leave.
    pub fn leave(self) -> Node<Leaving> {
        Node { stage: PhantomData }
    }
}

/// A node, with its stage as the variant.
#[derive(Debug)]
pub(crate) enum NodeLifecycle {
    Joining(Node<Joining>),
    Serving(Node<Serving>),
    Leaving(Node<Leaving>),
}

impl NodeLifecycle {
    pub(crate) fn node_stage(&self) -> NodeStage {
        match self {
            Self::Joining(_) => NodeStage::Joining,
            Self::Serving(_) => NodeStage::Serving,
            Self::Leaving(_) => NodeStage::Leaving,
        }
    }

    /// Starts to serve, if the node is joining.
    pub(crate) fn serve(self) -> Self {
        match self {
            Self::Joining(node) => Self::Serving(node.serve()),
            other => other,
        }
    }

    /// Starts to leave, if the node is not leaving yet.
    pub(crate) fn leave(self) -> Self {
        match self {
            Self::Joining(node) => Self::Leaving(node.leave()),
            Self::Serving(node) => Self::Leaving(node.leave()),
            other => other,
        }
    }
}
