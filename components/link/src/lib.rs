//! Scheduling of the link of an instance, and admission by what the link can carry.

mod room;
mod sizes;

pub use room::Expected;
pub use room::Fit;
pub use room::Room;
pub use sizes::Sizes;
