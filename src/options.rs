//! Options that every verb takes.

use std::net::SocketAddr;

use crate::output::OutputFormat;

/// Options that can stand before or after any verb.
#[derive(Debug)]
pub(crate) struct GlobalOptions {
    /// Address of the store.
    pub(crate) store_address: SocketAddr,
    /// Admin addresses of nodes, in the order in which they are queried.
    pub(crate) admin_addresses: Vec<SocketAddr>,
    /// Format of the results on standard output.
    pub(crate) output_format: OutputFormat,
}
