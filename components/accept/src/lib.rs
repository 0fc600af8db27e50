//! Acceptance of an edit: the decisions between an operator's text and the record in the store.
//!
//! [`Machine`] makes an edit the next version by compare-and-swap and settles answers that were lost;
//! [`Settle`] finds out later what became of an edit. Both are pure; `medlarctl` runs them against
//! the store. They never write over a record that the operator did not edit.

mod edit;
mod machine;
mod outcome;
mod pace;
mod settle;

pub use edit::Base;
pub use edit::Edit;
pub use edit::EditId;
pub use machine::Machine;
pub use outcome::Cause;
pub use outcome::Effect;
pub use outcome::Entry;
pub use outcome::Failure;
pub use outcome::Input;
pub use outcome::Outcome;
pub use outcome::Written;
pub use settle::Settle;
