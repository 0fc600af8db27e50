//! Life cycle of a node.

use std::marker::PhantomData;

/// Typestate: lacks the configuration or the membership.
#[derive(Clone, Copy, Debug)]
pub struct Joining;
/// Typestate: takes requests.
#[derive(Clone, Copy, Debug)]
pub struct Serving;
/// Typestate: finishes what runs and takes no new requests.
#[derive(Clone, Copy, Debug)]
pub struct Leaving;

/// Stage of a node's life as a value.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum NodeStage {
    /// Lacks the configuration or the membership.
    #[default]
    Joining,
    /// Takes requests.
    Serving,
    /// Finishes what runs and takes no new requests.
    Leaving,
}

/// Proof that a node is in the stage `S`.
#[derive(Debug)]
pub struct Node<S> {
    stage: PhantomData<S>,
}

impl Node<Joining> {
    /// A node that has just started.
    pub fn new() -> Self {
        Self { stage: PhantomData }
    }

    /// Both configuration and membership are in hand.
    pub fn serve(self) -> Node<Serving> {
        Node { stage: PhantomData }
    }

    /// The node is told to leave before it served.
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
    /// The node is told to leave.
    pub fn leave(self) -> Node<Leaving> {
        Node { stage: PhantomData }
    }
}

/// A node in whichever stage it is.
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

    pub(crate) fn serve(self) -> Self {
        match self {
            Self::Joining(node) => Self::Serving(node.serve()),
            other => other,
        }
    }

    pub(crate) fn leave(self) -> Self {
        match self {
            Self::Joining(node) => Self::Leaving(node.leave()),
            Self::Serving(node) => Self::Leaving(node.leave()),
            other => other,
        }
    }
}
