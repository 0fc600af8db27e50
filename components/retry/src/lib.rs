//! Retry plug-ins: `budget` bounds retries to a share of first tries, `none` never retries.

mod budget;
mod none;

pub use budget::Budget;
pub use none::Never;
