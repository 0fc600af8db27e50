//! Acceptance and settlement against a fake store.

mod machine;
mod race;
mod settle;
mod support;
