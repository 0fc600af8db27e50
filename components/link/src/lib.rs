//! Scheduling of the link of an instance.

mod scheduler;

pub use scheduler::Body;
pub use scheduler::BodyKey;
pub use scheduler::Grant;
pub use scheduler::Rate;
pub use scheduler::Scheduler;
