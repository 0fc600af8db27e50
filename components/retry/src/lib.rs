//! Retry plug-ins: `budget` bounds retries to a share of first attempts, `none` never retries.

mod budget;
mod no_retries;

pub use budget::RetryBudget;
pub use no_retries::NoRetries;
