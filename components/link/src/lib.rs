//! Scheduling of the link of an instance, and admission by what the link can carry.

mod room;
mod scheduler;
mod sizes;

pub use room::Expected;
pub use room::Fit;
pub use room::Room;
pub use scheduler::Body;
pub use scheduler::BodyKey;
pub use scheduler::Grant;
pub use scheduler::Rate;
pub use scheduler::Scheduler;
pub use sizes::Sizes;
