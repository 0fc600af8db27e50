//! What every verb works with.

use std::net::SocketAddr;

use crate::messages::Output;

/// Options that all verbs share.
#[derive(Debug)]
pub(crate) struct Context {
    /// Address of the store.
    pub(crate) store: SocketAddr,
    /// Admin addresses of nodes.
    pub(crate) nodes: Vec<SocketAddr>,
    /// Form of the output.
    pub(crate) output: Output,
}
