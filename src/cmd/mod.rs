//! The verbs of the command line, one module each.

pub(crate) mod apply;
pub(crate) mod check;
pub(crate) mod drain;
pub(crate) mod explain;
pub(crate) mod get;
pub(crate) mod nodes;
pub(crate) mod settle;
pub(crate) mod status;
pub(crate) mod trace;
pub(crate) mod version;
