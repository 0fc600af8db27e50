//! Health plug-ins: `outcomes` ejects endpoints that fail in a row, `none` ejects nobody.

mod none;
mod outcomes;

pub use none::Never;
pub use outcomes::Outcomes;
