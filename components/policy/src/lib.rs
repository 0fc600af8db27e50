//! Extension points for the decisions about requests.
//!
//! Declares the traits [`Admission`], [`Balance`], [`Retry`] and [`Health`], the data that they
//! work on, and the distributed slices in which plug-ins register.

mod admission;
mod balance;
mod health;
mod retry;

pub use admission::ADMISSIONS;
pub use admission::Admission;
pub use admission::Decision;
pub use admission::Finish;
pub use admission::Job;
pub use admission::Load;
pub use admission::Ticket;
pub use balance::BALANCES;
pub use balance::Balance;
pub use balance::Candidate;
pub use health::FULL_WEIGHT;
pub use health::HEALTHS;
pub use health::Health;
pub use health::Judgement;
pub use retry::Failure;
pub use retry::RETRIES;
pub use retry::Retry;
