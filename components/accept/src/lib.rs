//! Acceptance of an edit: the decisions between an operator's text and the record in the store.
//!
//! [`ApplyMachine`] makes an edit the next version by compare-and-swap and settles answers that were lost;
//! [`SettleMachine`] finds out later what became of an edit. Both are pure; `medlarctl` runs them against
//! the store. They never write over a record that the operator did not edit.

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
