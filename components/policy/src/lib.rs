//! Extension points for admission, load balancing, retries and health of endpoints.
//!
//! Declares the traits [`Admission`], [`Balance`], [`Retry`] and [`Health`], their input and output
//! types, and the distributed slices in which plug-ins register.

mod admission;
mod balance;
mod health;
mod request_rate;
mod retry;

pub use admission::ADMISSION_PLUGINS;
pub use admission::Admission;
pub use admission::Completion;
pub use admission::Decision;
pub use admission::Job;
pub use admission::Load;
pub use admission::Ticket;
pub use balance::AVERAGE_SLOWNESS;
pub use balance::BALANCE_PLUGINS;
pub use balance::Balance;
pub use balance::Candidate;
pub use health::FULL_WEIGHT;
pub use health::HEALTH_PLUGINS;
pub use health::Health;
pub use health::HealthChange;
pub use request_rate::LimitNotice;
pub use request_rate::RequestRate;
pub use retry::FailedAttempt;
pub use retry::RETRY_PLUGINS;
pub use retry::Retry;
