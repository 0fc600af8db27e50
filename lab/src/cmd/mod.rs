//! One module a verb.

pub(crate) mod store;
pub(crate) mod upstream;
