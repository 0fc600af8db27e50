//! State machines that accept an operator's edit of the configuration as the next version in the
//! store.
//!
//! [`ApplyMachine`] writes an edit by compare-and-swap and reads the key back when the answer to
//! the write is lost. [`SettleMachine`] determines later whether an edit whose outcome stayed
//! unknown was accepted. Neither does any I/O; `medlarctl` runs them against the store. They never
//! overwrite a record that the operator did not edit.

mod apply;
mod edit;
mod outcome;
mod retry;
mod settle;

pub use apply::ApplyMachine;
pub use edit::Base;
pub use edit::Edit;
pub use edit::EditId;
pub use outcome::Effect;
pub use outcome::Entry;
pub use outcome::Input;
pub use outcome::Outcome;
pub use outcome::Rejection;
pub use outcome::StoreError;
pub use outcome::WriteOutcome;
pub use settle::SettleMachine;
